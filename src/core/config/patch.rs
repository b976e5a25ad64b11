//! Patches against a numbered configuration.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::core::Name;

/// A change made against a numbered configuration.
///
/// `patch` is a JSON merge patch (RFC 7386): fields replace, `null` removes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Identifies this change, so that a resend is recognised.
    pub id: Name,
    /// The configuration number that the operator last read.
    pub base: u64,
    /// Who made the change, for the history.
    #[serde(default)]
    pub author: String,
    /// The merge patch.
    pub patch: Value,
}

/// Returns `doc` with the merge patch applied.
pub fn apply(doc: &Value, patch: &Value) -> Value {
    let mut next = doc.clone();
    json_patch::merge(&mut next, patch);
    next
}

/// Returns the paths of the values that a merge patch sets or removes, sorted.
pub fn paths(patch: &Value) -> Vec<String> {
    let mut found = Vec::new();
    collect_paths(patch, String::new(), &mut found);
    found.sort();
    found
}

fn collect_paths(value: &Value, path: String, found: &mut Vec<String>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, field) in fields {
                collect_paths(field, format!("{path}/{name}"), found);
            }
        }
        _ => found.push(path),
    }
}

/// Returns the paths of `mine` that meet a path of `theirs`: equal, above or below.
pub fn clashes(mine: &[String], theirs: &[String]) -> Vec<String> {
    mine.iter()
        .filter(|path| theirs.iter().any(|other| meets(path, other)))
        .cloned()
        .collect()
}

fn meets(a: &str, b: &str) -> bool {
    let (short, long) = if a.len() <= b.len() { (a, b) } else { (b, a) };
    match long.strip_prefix(short) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
