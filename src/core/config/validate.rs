//! Checks that a configuration document holds together.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::core::config::Config;
use crate::core::config::ServiceKind;

/// One fault in a document: a configuration or a settings file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct DocumentError {
    /// Where the fault is, for instance `services.dosel-llm.slots`.
    pub path: String,
    /// What is wrong, in one clause.
    pub problem: String,
}

impl DocumentError {
    /// Creates a fault at a place in a document.
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

/// Parses and checks a whole document.
///
/// # Errors
///
/// Returns the faults found: the first one if the document has the wrong
/// shape, else every one.
pub fn parse(doc: &Value) -> Result<Config, Vec<DocumentError>> {
    let config: Config = serde_path_to_error::deserialize(doc).map_err(|e| {
        vec![DocumentError::new(
            e.path().to_string(),
            e.inner().to_string(),
        )]
    })?;
    let mut faults = Vec::new();
    check_services(&config, &mut faults);
    check_workspaces(&config, &mut faults);
    check_moves(&config, &mut faults);
    if faults.is_empty() {
        Ok(config)
    } else {
        Err(faults)
    }
}

fn check_services(config: &Config, faults: &mut Vec<DocumentError>) {
    for (name, service) in config.services.iter() {
        let mut fault = |field: &str, problem: &str| {
            faults.push(DocumentError::new(
                format!("services.{name}.{field}"),
                problem,
            ));
        };
        if service.version.is_empty() {
            fault("version", "must not be empty");
        }
        if service.slots == 0 {
            fault("slots", "must be at least 1");
        }
        if service.silence_ms < 50 {
            fault("silence_ms", "must be at least 50");
        }
        if service.kind == ServiceKind::Plain && service.routes.is_empty() {
            fault("routes", "a plain service needs at least one route");
        }
        for (at, route) in service.routes.iter().enumerate() {
            if !route.path.starts_with('/') {
                fault(&format!("routes[{at}].path"), "must begin with /");
            }
            if route.method.chars().any(|c| c.is_ascii_lowercase()) {
                fault(&format!("routes[{at}].method"), "must be upper case");
            }
        }
    }
}

fn check_workspaces(config: &Config, faults: &mut Vec<DocumentError>) {
    for (name, workspace) in config.workspaces.iter() {
        if workspace.weight == 0 {
            faults.push(DocumentError::new(
                format!("workspaces.{name}.weight"),
                "must be at least 1",
            ));
        }
        if workspace.tokens_per_s == 0 {
            faults.push(DocumentError::new(
                format!("workspaces.{name}.tokens_per_s"),
                "must be at least 1",
            ));
        }
    }
}

fn check_moves(config: &Config, faults: &mut Vec<DocumentError>) {
    for (name, item) in config.moves.iter() {
        let mut fault = |field: &str, problem: String| {
            faults.push(DocumentError::new(format!("moves.{name}.{field}"), problem));
        };
        match config.services.get(&item.service) {
            None => fault("service", format!("no service named {}", item.service)),
            Some(service) if service.version != item.from && service.version != item.to => {
                fault("from", format!("the service runs {}", service.version));
            }
            Some(_) => {}
        }
        if item.from == item.to {
            fault("to", "must differ from `from`".into());
        }
        if item.deadline_ms <= item.start_ms {
            fault("deadline_ms", "must be later than start_ms".into());
        }
    }
    check_overlap(config, faults);
}

/// Refuses two moves of one service that are under way at the same time.
fn check_overlap(config: &Config, faults: &mut Vec<DocumentError>) {
    for (name, item) in config.moves.iter() {
        let other = config.moves.iter().find(|(other, o)| {
            *other < name
                && o.service == item.service
                && o.start_ms < item.deadline_ms
                && item.start_ms < o.deadline_ms
        });
        if let Some((other, _)) = other {
            faults.push(DocumentError::new(
                format!("moves.{name}.start_ms"),
                format!("overlaps the move {other} of the same service"),
            ));
        }
    }
}
