//! The head object, which lists the parts of a configuration.
//!
//! A configuration is stored as one small head object and one object for each
//! part: a service, a workspace or a move. Parts are immutable once written, so
//! any replica can serve them.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Map;
use serde_json::Value;

use crate::core::Name;
use crate::core::config::patch;
use crate::core::config::patch::Patch;
use crate::core::name_map::NameMap;

/// Number of changes that the head keeps for conflict reports and for detecting resent patches.
pub const MAX_HISTORY: usize = 64;

/// The head object, which identifies the parts of one configuration.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// Configuration number.
    pub number: u64,
    /// Key of each part, by part path, for example `services/dosel-llm`.
    pub parts: NameMap<Name>,
    /// Most recent changes, oldest first.
    pub history: Vec<Change>,
    /// Parts that are no longer used and not yet deleted.
    pub retired: Vec<RetiredPart>,
}

/// An entry of the change history.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Change {
    /// Configuration number that the change created.
    pub number: u64,
    /// ID of the patch.
    pub id: Name,
    /// Author of the change.
    pub author: String,
    /// Paths that the change set or removed.
    pub paths: Vec<String>,
    /// Time at which the change was accepted, in milliseconds since the Unix epoch.
    pub at_ms: u64,
}

/// A part that is no longer used.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RetiredPart {
    /// Configuration number from which the part is no longer used.
    pub number: u64,
    /// Key of the part.
    pub key: Name,
}

/// Result of checking a patch against the current head.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PatchDecision {
    /// The patch can be applied.
    Apply,
    /// The patch was already applied and created this configuration number.
    AlreadyApplied(u64),
    /// The base of the patch is not the current configuration number.
    Conflict {
        /// Current configuration number.
        current: u64,
        /// Paths of the patch that have changed since its base.
        paths: Vec<String>,
    },
}

/// A part of a configuration: a service, a workspace or a move.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// Path of the part, for example `services/dosel-llm`.
    pub path: Name,
    /// Content of the part.
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
    /// Checks whether `patch` can be applied to this head.
    pub fn check_patch(&self, patch: &Patch) -> PatchDecision {
        if let Some(change) = self.history.iter().find(|change| change.id == patch.id) {
            return PatchDecision::AlreadyApplied(change.number);
        }
        if patch.base == self.number {
            return PatchDecision::Apply;
        }
        let patched = patch::changed_paths(&patch.patch);
        let mut paths: Vec<String> = self
            .history
            .iter()
            .filter(|change| change.number > patch.base)
            .flat_map(|change| patch::conflicting_paths(&patched, &change.paths))
            .collect();
        paths.sort();
        paths.dedup();
        PatchDecision::Conflict {
            current: self.number,
            paths,
        }
    }

    /// Returns the key of `part` in the next head.
    ///
    /// An unchanged part keeps its key. The key of a changed part contains the next
    /// configuration number, so a retired key is never reused and deleting it cannot
    /// race with a later change.
    fn next_key(&self, part: &Part) -> Name {
        let digest = part.digest();
        match self.parts.get(&part.path) {
            Some(key) if key.ends_with(&digest) => key.clone(),
            _ => format!("config/part/{}-{digest}", self.number + 1).into(),
        }
    }

    /// Returns the next head, after `patch` has changed the configuration to `parts`.
    pub fn next(&self, patch: &Patch, parts: &[Part], at_ms: u64) -> Head {
        let number = self.number + 1;
        let keys: NameMap<Name> = parts
            .iter()
            .map(|part| (part.path.clone(), self.next_key(part)))
            .collect();
        let mut retired = self.retired.clone();
        for (path, key) in self.parts.iter() {
            if keys.get(path) != Some(key) {
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
            paths: patch::changed_paths(&patch.patch),
            at_ms,
        });
        let excess = history.len().saturating_sub(MAX_HISTORY);
        history.drain(..excess);
        Head {
            number,
            parts: keys,
            history,
            retired,
        }
    }

    /// Removes the retired parts that no recent head refers to, and returns their keys.
    pub fn take_expired(&mut self) -> Vec<Name> {
        let last_expired = self.number.saturating_sub(MAX_HISTORY as u64);
        let (expired, kept) = std::mem::take(&mut self.retired)
            .into_iter()
            .partition(|part| part.number <= last_expired);
        self.retired = kept;
        let expired: Vec<RetiredPart> = expired;
        expired.into_iter().map(|part| part.key).collect()
    }
}

/// The difference between two configuration numbers, for a node that has the older one.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Delta {
    /// Configuration number that the delta applies to.
    pub from: u64,
    /// Configuration number that results from applying the delta.
    pub number: u64,
    /// Key of each part that was added or changed, by part path.
    pub set: NameMap<Name>,
    /// Paths of the parts that were removed.
    pub removed: Vec<Name>,
    /// Changes between the two numbers, oldest first.
    pub changes: Vec<Change>,
}

impl Head {
    /// Returns the delta from configuration number `from`.
    ///
    /// Returns `None` if the history does not reach back to `from`, or if a patch has
    /// changed a whole kind of parts.
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
            let Some(path) = part_path(path) else {
                // The patch set or removed all parts of a kind.
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

    /// Returns the head that results from applying `delta`, or `None` if `delta` is not
    /// based on this head.
    ///
    /// The retired parts are not updated: only the node that stores a change deletes
    /// them, and it reads the head from the store first.
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

/// Returns the path of the part that contains a path of a patch: `services/x` for
/// `/services/x/slots`.
fn part_path(path: &str) -> Option<Name> {
    let mut segments = path.strip_prefix('/')?.split('/');
    let kind = segments.next()?;
    let name = segments.next()?;
    Some(format!("{kind}/{name}").into())
}

/// Splits a configuration document into its parts.
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

/// Joins parts, given as paths and contents, into a configuration document.
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
