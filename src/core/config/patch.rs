//! Patches to a numbered configuration.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::core::Name;

/// A change that is based on a configuration number.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Patch {
    /// Unique ID of the change, by which a resent patch is detected.
    pub id: Name,
    /// Configuration number that the patch is based on.
    pub base: u64,
    /// Author of the change, recorded in the history.
    #[serde(default)]
    pub author: String,
    /// JSON merge patch (RFC 7386): a value replaces a field, and `null` removes it.
    pub patch: Value,
}

/// Returns `doc` with the merge patch `patch` applied.
pub fn apply(doc: &Value, patch: &Value) -> Value {
    let mut next = doc.clone();
    json_patch::merge(&mut next, patch);
    next
}

/// Returns the paths of the values that a merge patch sets or removes, sorted.
pub fn changed_paths(patch: &Value) -> Vec<String> {
    let mut paths = Vec::new();
    collect_paths(patch, String::new(), &mut paths);
    paths.sort();
    paths
}

fn collect_paths(value: &Value, path: String, paths: &mut Vec<String>) {
    match value {
        Value::Object(fields) if !fields.is_empty() => {
            for (name, field) in fields {
                collect_paths(field, format!("{path}/{name}"), paths);
            }
        }
        _ => paths.push(path),
    }
}

/// Returns the paths of `ours` that conflict with a path of `theirs`.
///
/// Two paths conflict if they are equal or if one is an ancestor of the other.
pub fn conflicting_paths(ours: &[String], theirs: &[String]) -> Vec<String> {
    ours.iter()
        .filter(|path| theirs.iter().any(|other| overlaps(path, other)))
        .cloned()
        .collect()
}

/// Returns whether one path equals the other or is an ancestor of it.
fn overlaps(a: &str, b: &str) -> bool {
    let (short, long) = if a.len() <= b.len() { (a, b) } else { (b, a) };
    match long.strip_prefix(short) {
        Some(rest) => rest.is_empty() || rest.starts_with('/'),
        None => false,
    }
}
