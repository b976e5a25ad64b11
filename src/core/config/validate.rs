//! Parsing and validation of configuration documents.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::core::config::Config;
use crate::core::config::ServiceKind;

/// An error in a configuration document or a settings file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentError {
    /// Path of the invalid field, for example `services.dosel-llm.slots`.
    pub path: String,
    /// Description of the problem.
    pub problem: String,
}

impl DocumentError {
    /// Creates an error for the field at `path`.
    pub fn new(path: impl Into<String>, problem: impl Into<String>) -> Self {
        Self {
            path: path.into(),
            problem: problem.into(),
        }
    }
}

impl std::fmt::Display for DocumentError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// Parses and validates a configuration document.
///
/// # Errors
///
/// Returns the first error if the document does not match the schema, and
/// otherwise all semantic errors.
pub fn parse(doc: &Value) -> Result<Config, Vec<DocumentError>> {
    let config: Config = serde_path_to_error::deserialize(doc).map_err(|e| {
        vec![DocumentError::new(
            e.path().to_string(),
            e.inner().to_string(),
        )]
    })?;
    let mut errors = Vec::new();
    check_services(&config, &mut errors);
    check_workspaces(&config, &mut errors);
    check_moves(&config, &mut errors);
    if errors.is_empty() {
        Ok(config)
    } else {
        Err(errors)
    }
}

fn check_services(config: &Config, errors: &mut Vec<DocumentError>) {
    for (name, service) in config.services.iter() {
        let mut report = |field: &str, problem: &str| {
            errors.push(DocumentError::new(
                format!("services.{name}.{field}"),
                problem,
            ));
        };
        if service.version.is_empty() {
            report("version", "must not be empty");
        }
        if service.slots == 0 {
            report("slots", "must be at least 1");
        }
        if service.silence_ms < 50 {
            report("silence_ms", "must be at least 50");
        }
        if service.kind == ServiceKind::Plain && service.routes.is_empty() {
            report("routes", "a plain service needs at least one route");
        }
        for (index, route) in service.routes.iter().enumerate() {
            if !route.path.starts_with('/') {
                report(&format!("routes[{index}].path"), "must start with `/`");
            }
            if route.method.chars().any(|c| c.is_ascii_lowercase()) {
                report(&format!("routes[{index}].method"), "must be upper case");
            }
        }
    }
}

fn check_workspaces(config: &Config, errors: &mut Vec<DocumentError>) {
    for (name, workspace) in config.workspaces.iter() {
        if workspace.weight == 0 {
            errors.push(DocumentError::new(
                format!("workspaces.{name}.weight"),
                "must be at least 1",
            ));
        }
        if workspace.tokens_per_s == 0 {
            errors.push(DocumentError::new(
                format!("workspaces.{name}.tokens_per_s"),
                "must be at least 1",
            ));
        }
    }
}

fn check_moves(config: &Config, errors: &mut Vec<DocumentError>) {
    for (name, item) in config.moves.iter() {
        let mut report = |field: &str, problem: String| {
            errors.push(DocumentError::new(format!("moves.{name}.{field}"), problem));
        };
        match config.services.get(&item.service) {
            None => report("service", format!("no service named {}", item.service)),
            Some(service) if service.version != item.from && service.version != item.to => {
                report(
                    "from",
                    format!("the service runs version {}", service.version),
                );
            }
            Some(_) => {}
        }
        if item.from == item.to {
            report("to", "must differ from `from`".into());
        }
        if item.deadline_ms <= item.start_ms {
            report("deadline_ms", "must be later than `start_ms`".into());
        }
    }
    check_overlapping_moves(config, errors);
}

/// Rejects moves of the same service whose time ranges overlap.
fn check_overlapping_moves(config: &Config, errors: &mut Vec<DocumentError>) {
    for (name, item) in config.moves.iter() {
        let overlapping = config.moves.iter().find(|(other_name, other)| {
            *other_name < name
                && other.service == item.service
                && other.start_ms < item.deadline_ms
                && item.start_ms < other.deadline_ms
        });
        if let Some((other_name, _)) = overlapping {
            errors.push(DocumentError::new(
                format!("moves.{name}.start_ms"),
                format!("overlaps move {other_name} of the same service"),
            ));
        }
    }
}
