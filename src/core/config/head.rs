//! The numbered head under which the parts of a configuration are stored.
//!
//! A configuration is stored as one small head and one object for each part:
//! a service, a workspace or a move. A part never changes once it is written,
//! so it can be read from any copy.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::core::Name;
use crate::core::config::patch;
use crate::core::config::patch::Patch;
use crate::core::table::Table;

/// Changes kept in the head for conflict reports and resends.
pub const MAX_HISTORY: usize = 64;

/// The head object: which parts make up the configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// The configuration number.
    pub number: u64,
    /// The key of each part by its path, for instance `services/dosel-llm`.
    pub parts: Table<Name>,
    /// The last changes, oldest first.
    pub history: Vec<Change>,
    /// Parts that are no longer used, with the number that dropped them.
    pub retired: Vec<RetiredPart>,
}

/// One entry of the history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// The configuration number that this change made.
    pub number: u64,
    /// The id of the patch.
    pub id: Name,
    /// Who made the change.
    pub author: String,
    /// The paths that the change set or removed.
    pub paths: Vec<String>,
    /// When the change was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A part that is no longer used.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RetiredPart {
    /// The configuration number that dropped the part.
    pub number: u64,
    /// The key of the part.
    pub key: Name,
}

/// What becomes of a patch when it meets the current head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PatchDecision {
    /// The patch may be applied.
    Apply,
    /// The patch was applied before, as this number.
    AlreadyApplied(u64),
    /// The patch was made against another number.
    Conflict {
        /// The current number.
        current: u64,
        /// Paths of the patch that were changed since its base.
        paths: Vec<String>,
    },
}

/// A part of a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The path of the part, for instance `services/dosel-llm`.
    pub path: Name,
    /// The content.
    pub value: Value,
}

impl Part {
    /// Returns the hexadecimal digest of the content.
    fn digest(&self) -> String {
        let bytes = self.value.to_string();
        format!("{:032x}", xxhash_rust::xxh3::xxh3_128(bytes.as_bytes()))
    }
}

impl Head {
    /// Decides what becomes of `patch`.
    pub fn check_patch(&self, patch: &Patch) -> PatchDecision {
        if let Some(change) = self.history.iter().find(|change| change.id == patch.id) {
            return PatchDecision::AlreadyApplied(change.number);
        }
        if patch.base == self.number {
            return PatchDecision::Apply;
        }
        let mine = patch::paths(&patch.patch);
        let mut paths: Vec<String> = self
            .history
            .iter()
            .filter(|change| change.number > patch.base)
            .flat_map(|change| patch::clashes(&mine, &change.paths))
            .collect();
        paths.sort();
        paths.dedup();
        PatchDecision::Conflict {
            current: self.number,
            paths,
        }
    }

    /// Returns the key under which the next head refers to `part`.
    ///
    /// An unchanged part keeps its key. A changed part gets a key with the next
    /// number, so that a key that was retired is never used again and deleting
    /// it cannot race with a later change.
    fn key_of(&self, part: &Part) -> Name {
        let digest = part.digest();
        match self.parts.get(&part.path) {
            Some(key) if key.ends_with(&digest) => key.clone(),
            _ => format!("config/part/{}-{digest}", self.number + 1).into(),
        }
    }

    /// Returns the head that follows this one when `patch` turns the parts into `parts`.
    pub fn next(&self, patch: &Patch, parts: &[Part], at_ms: u64) -> Head {
        let number = self.number + 1;
        let table: Table<Name> = parts
            .iter()
            .map(|part| (part.path.clone(), self.key_of(part)))
            .collect();
        let mut retired = self.retired.clone();
        for (path, key) in self.parts.iter() {
            if table.get(path) != Some(key) {
                retired.push(RetiredPart {
                    number,
                    key: key.clone(),
                });
            }
        }
        let mut history = self.history.clone();
        history.push(Change {
            number,
            id: patch.id.clone(),
            author: patch.author.clone(),
            paths: patch::paths(&patch.patch),
            at_ms,
        });
        let excess = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..excess);
        Head {
            number,
            parts: table,
            history,
            retired,
        }
    }

    /// Takes out the retired parts that no reader of a recent head can need.
    pub fn take_expired(&mut self) -> Vec<Name> {
        let horizon = self.number.saturating_sub(MAX_HISTORY as u64);
        let (old, kept) = std::mem::take(&mut self.retired)
            .into_iter()
            .partition(|part| part.number <= horizon);
        self.retired = kept;
        let old: Vec<RetiredPart> = old;
        old.into_iter().map(|part| part.key).collect()
    }
}

/// What changed between two numbers, for a node that holds the older one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// The number that the delta applies to.
    pub from: u64,
    /// The number that it makes.
    pub number: u64,
    /// The key of each part that was set, by path.
    pub set: Table<Name>,
    /// Paths of parts that were removed.
    pub removed: Vec<Name>,
    /// The changes, oldest first.
    pub changes: Vec<Change>,
}

impl Head {
    /// Returns what changed since `from`, if the history reaches back to it.
    pub fn delta_since(&self, from: u64) -> Option<Delta> {
        let changes: Vec<Change> = self
            .history
            .iter()
            .filter(|change| change.number > from)
            .cloned()
            .collect();
        if from == 0 || changes.len() as u64 != self.number.checked_sub(from)? {
            return None;
        }
        let mut delta = Delta {
            from,
            number: self.number,
            ..Delta::default()
        };
        for path in changes.iter().flat_map(|change| &change.paths) {
            let Some(path) = part_of(path) else {
                // The patch set or removed a whole kind.
                return None;
            };
            match self.parts.get(&path) {
                Some(key) => {
                    delta.set.insert(path, key.clone());
                }
                None if delta.removed.contains(&path) => {}
                None => delta.removed.push(path),
            }
        }
        delta.changes = changes;
        Some(delta)
    }

    /// Returns the head that `delta` makes of this one, if it applies to it.
    ///
    /// The retired parts stay as they are: only the node that stores a change
    /// collects them, and it reads the head from the store first.
    pub fn with_delta(&self, delta: &Delta) -> Option<Head> {
        if delta.from != self.number {
            return None;
        }
        let mut next = self.clone();
        next.number = delta.number;
        for (path, key) in delta.set.iter() {
            next.parts.insert(path.clone(), key.clone());
        }
        for path in &delta.removed {
            next.parts.remove(path);
        }
        next.history.extend(delta.changes.iter().cloned());
        let excess = next.history.len().saturating_sub(MAX_HISTORY);
        next.history.drain(..excess);
        Some(next)
    }
}

/// Returns the part that a path of a patch lies in: `/services/x/slots` lies
/// in `services/x`.
fn part_of(path: &str) -> Option<Name> {
    let mut steps = path.strip_prefix('/')?.split('/');
    let kind = steps.next()?;
    let name = steps.next()?;
    Some(format!("{kind}/{name}").into())
}

/// Splits a document into its parts.
pub fn split(doc: &Value) -> Vec<Part> {
    let mut parts = Vec::new();
    let Some(kinds) = doc.as_object() else {
        return parts;
    };
    for (kind, entries) in kinds {
        let Some(entries) = entries.as_object() else {
            continue;
        };
        for (name, value) in entries {
            parts.push(Part {
                path: format!("{kind}/{name}").into(),
                value: value.clone(),
            });
        }
    }
    parts
}

/// Joins parts, given by path and content, into a document.
pub fn join<'a>(parts: impl IntoIterator<Item = (&'a str, &'a Value)>) -> Value {
    let mut doc = Map::new();
    for (path, value) in parts {
        let Some((kind, name)) = path.split_once('/') else {
            continue;
        };
        let entries = doc.entry(kind).or_insert_with(|| Value::Object(Map::new()));
        if let Value::Object(entries) = entries {
            entries.insert(name.into(), value.clone());
        }
    }
    Value::Object(doc)
}
