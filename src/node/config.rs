//! Reads, installs and patches the configuration of a node.

use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use arc_swap::ArcSwap;
use bytes::Bytes;
use serde_json::Value;

use crate::core::Name;
use crate::core::config::Config;
use crate::core::config::head;
use crate::core::config::head::Head;
use crate::core::config::head::PatchDecision;
use crate::core::config::patch;
use crate::core::config::patch::Patch;
use crate::core::config::validate;
use crate::core::member::gossip::Fact;
use crate::core::name_map::NameMap;
use crate::node::Node;
use crate::node::members;
use crate::node::peers::Answer;
use crate::node::peers::Call;
use crate::node::peers::PartText;
use crate::node::platform_api::Condition;
use crate::node::platform_api::Events;
use crate::node::platform_api::Unavailable;
use crate::node::platform_api::WriteError;
use crate::node::platform_api::client;

/// Key of the head object, which lists the parts of the configuration.
pub const HEAD_KEY: &str = "config/head";

/// Delay before a failed read of the store is retried.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Interval between two reads of the store by a node that is not a relay.
const FALLBACK_INTERVAL: Duration = Duration::from_secs(10);

/// Delay before a change is read from the store, in which a neighbour may deliver it.
const STORE_READ_DELAY: Duration = Duration::from_millis(300);

/// Attempts to store a patch before the store counts as unavailable.
const PATCH_ATTEMPTS: usize = 4;

/// A configuration together with the head and the parts it was built from.
#[derive(Clone, Debug, Default)]
pub struct Installed {
    /// Head object of the configuration.
    pub head: Head,
    /// The parsed configuration.
    pub config: Config,
    /// Version of the head object in the store.
    pub version: u64,
    parts: NameMap<Arc<str>>,
}

/// Why a configuration could not be read or installed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateError {
    /// The source did not answer.
    Unavailable,
    /// The source returned data that is incomplete or does not parse.
    Invalid,
}

/// Holds the configuration in force, whose number never decreases.
#[derive(Debug, Default)]
pub struct ActiveConfig {
    current: ArcSwap<Installed>,
    installing: Mutex<()>,
}

impl ActiveConfig {
    /// Creates a holder with an empty configuration, number 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the configuration in force.
    pub fn load(&self) -> Arc<Installed> {
        self.current.load_full()
    }

    /// Returns the number of the configuration in force, or 0 if there is none.
    pub fn number(&self) -> u64 {
        self.current.load().head.number
    }

    /// Returns the changes since number `have`, as a delta if possible and
    /// otherwise as the whole head.
    pub fn changes_since(&self, have: u64) -> Answer {
        let current = self.current.load();
        if let Some(delta) = current.head.delta_since(have) {
            let keys: Vec<Name> = delta.set.iter().map(|(_, key)| key.clone()).collect();
            let parts = self.parts(&keys);
            return Answer::Delta(delta, parts, current.version);
        }
        if current.head.number == 0 {
            return Answer::Head(String::new(), 0);
        }
        let text = serde_json::to_string(&current.head).unwrap_or_default();
        Answer::Head(text, current.version)
    }

    /// Returns the parts under `keys` that are held.
    pub fn parts(&self, keys: &[Name]) -> Vec<PartText> {
        let current = self.current.load();
        keys.iter()
            .filter_map(|key| {
                let text = current.parts.get(key)?;
                Some(PartText {
                    key: key.clone(),
                    text: text.to_string(),
                })
            })
            .collect()
    }

    /// Returns the keys in `head` whose parts are not held.
    fn missing(&self, head: &Head) -> Vec<Name> {
        let current = self.current.load();
        head.parts
            .iter()
            .filter(|(_, key)| current.parts.get(key).is_none())
            .map(|(_, key)| key.clone())
            .collect()
    }

    /// Installs a configuration and returns true, or returns false if the one in
    /// force has the same or a higher number.
    fn install(
        &self,
        head: Head,
        fetched: Vec<PartText>,
        version: u64,
    ) -> Result<bool, UpdateError> {
        let _installing = self.installing.lock().unwrap();
        let current = self.current.load_full();
        if head.number <= current.head.number {
            return Ok(false);
        }
        let fetched: NameMap<Arc<str>> = fetched
            .into_iter()
            .map(|part| (part.key, part.text.into()))
            .collect();
        let mut parts = NameMap::new();
        let mut values = Vec::new();
        for (path, key) in head.parts.iter() {
            let text = fetched
                .get(key)
                .or_else(|| current.parts.get(key))
                .ok_or(UpdateError::Invalid)?;
            let value: Value = serde_json::from_str(text).map_err(|_| UpdateError::Invalid)?;
            parts.insert(key.clone(), text.clone());
            values.push((path.clone(), value));
        }
        let doc = head::join(values.iter().map(|(path, value)| (&**path, value)));
        let config = validate::parse(&doc).map_err(|_| UpdateError::Invalid)?;
        self.current.store(Arc::new(Installed {
            head,
            config,
            version,
            parts,
        }));
        Ok(true)
    }
}

/// Returns an installed configuration as a JSON document.
pub fn document(installed: &Installed) -> Value {
    serde_json::to_value(&installed.config).unwrap_or_default()
}

async fn read_head(node: &Node) -> Result<Option<(u64, Head)>, UpdateError> {
    match node.platform.get(HEAD_KEY).await {
        Ok(None) => Ok(None),
        Ok(Some(object)) => {
            let head = serde_json::from_slice(&object.value).map_err(|_| UpdateError::Invalid)?;
            Ok(Some((object.version, head)))
        }
        Err(Unavailable) => Err(UpdateError::Unavailable),
    }
}

async fn read_parts(node: &Node, keys: Vec<Name>) -> Result<Vec<PartText>, UpdateError> {
    let mut parts = Vec::with_capacity(keys.len());
    for key in keys {
        let object = node
            .platform
            .get(&key)
            .await
            .map_err(|_| UpdateError::Unavailable)?
            .ok_or(UpdateError::Invalid)?;
        let text = String::from_utf8(object.value.to_vec()).map_err(|_| UpdateError::Invalid)?;
        parts.push(PartText { key, text });
    }
    Ok(parts)
}

/// Installs the configuration from the object store if it is newer.
///
/// # Errors
///
/// Returns [`UpdateError`] if the store did not answer or its content is invalid.
pub async fn update_from_store(node: &Arc<Node>) -> Result<(), UpdateError> {
    let Some((version, head)) = read_head(node).await? else {
        return Ok(());
    };
    if head.number <= node.config.number() {
        return Ok(());
    }
    let parts = read_parts(node, node.config.missing(&head)).await?;
    install(node, head, parts, version)
}

/// Installs the configuration of the node at `peer` if it is newer.
///
/// # Errors
///
/// Returns [`UpdateError`] if the node did not answer or its answer is invalid.
pub async fn update_from_peer(node: &Arc<Node>, peer: &Name) -> Result<(), UpdateError> {
    let current = node.config.load();
    let call = Call::GetConfig(current.head.number);
    match node.peers.call(peer, &call).await {
        Ok(Answer::Delta(delta, parts, version)) => match current.head.with_delta(&delta) {
            Some(head) => install(node, head, parts, version),
            None => Err(UpdateError::Invalid),
        },
        Ok(Answer::Head(text, version)) => install_head(node, peer, &text, version).await,
        _ => Err(UpdateError::Unavailable),
    }
}

/// Installs a whole head that the node at `peer` sent, after fetching its parts.
async fn install_head(
    node: &Arc<Node>,
    peer: &Name,
    text: &str,
    version: u64,
) -> Result<(), UpdateError> {
    if text.is_empty() {
        return Ok(());
    }
    let head: Head = serde_json::from_str(text).map_err(|_| UpdateError::Invalid)?;
    if head.number <= node.config.number() {
        return Ok(());
    }
    let keys = node.config.missing(&head);
    let answer = node.peers.call(peer, &Call::GetParts(keys)).await;
    let Ok(Answer::Parts(parts)) = answer else {
        return Err(UpdateError::Unavailable);
    };
    install(node, head, parts, version)
}

fn install(
    node: &Arc<Node>,
    head: Head,
    parts: Vec<PartText>,
    version: u64,
) -> Result<(), UpdateError> {
    let number = head.number;
    if node.config.install(head, parts, version)? {
        log::info!("config: number {number} is in force");
        node.moves.update(&node.config.load().config);
        members::publish(node, Fact::Config { number });
    }
    Ok(())
}

/// Keeps the configuration up to date until the node stops.
///
/// Relays watch the store. The other nodes learn of changes from their
/// neighbours and read the store only as a fallback, at long intervals.
pub async fn run(node: Arc<Node>) {
    let mut revision = 0;
    loop {
        let is_first = node.config.number() == 0;
        if !is_first && !node.roster.lock().unwrap().is_relay() {
            tokio::time::sleep(FALLBACK_INTERVAL + node.jitter(FALLBACK_INTERVAL)).await;
            // The next iteration retries a failed read.
            let _ = update_from_store(&node).await;
            continue;
        }
        if is_first {
            install_first(&node).await;
        }
        match node
            .platform
            .watch("config/head", revision, client::MAX_WATCH_WAIT)
            .await
        {
            Ok(events) => {
                if handle_events(&node, &events).await {
                    revision = events.revision;
                }
            }
            Err(Unavailable) => {
                node.count_store_failure("watch");
                tokio::time::sleep(RETRY_DELAY + node.jitter(RETRY_DELAY)).await;
            }
        }
    }
}

/// Installs the changes that a watch reported, or returns false if that failed.
///
/// The node that stored the change also announces it to its neighbours. The
/// delta fetched from them usually arrives before a read of the whole head
/// would finish, so the store is read only after [`STORE_READ_DELAY`].
async fn handle_events(node: &Arc<Node>, events: &Events) -> bool {
    let Some(newest) = events.events.iter().map(|event| event.version).max() else {
        return true;
    };
    if node.config.load().version < newest {
        tokio::time::sleep(STORE_READ_DELAY).await;
    }
    node.config.load().version >= newest || update_from_store(node).await.is_ok()
}

/// Installs the first configuration, from the store or else from another node.
async fn install_first(node: &Arc<Node>) {
    if update_from_store(node).await.is_ok() {
        return;
    }
    for peer in members::known_peers(node) {
        if update_from_peer(node, &peer).await.is_ok() && node.config.number() > 0 {
            return;
        }
    }
}

/// The outcome of a patch.
#[derive(Clone, Debug, PartialEq)]
pub enum PatchOutcome {
    /// The patch was accepted and produced this number.
    Accepted(u64),
    /// The patch had already been accepted and produced this number.
    AlreadyAccepted(u64),
    /// The base of the patch is not the current number.
    Conflict {
        /// The current number.
        current: u64,
        /// Paths of the patch that were changed after its base.
        paths: Vec<String>,
    },
    /// The patched document is not a valid configuration.
    Invalid(Vec<validate::DocumentError>),
    /// The patch could not be stored; nothing was changed.
    NotStored,
    /// The store did not answer; the patch may have been accepted.
    Unknown,
}

/// Applies an operator's patch with one conditional update of the head.
pub async fn apply_patch(node: &Arc<Node>, patch: &Patch) -> PatchOutcome {
    let mut may_be_stored = false;
    for _ in 0..PATCH_ATTEMPTS {
        let current = match read_head(node).await {
            Ok(current) => current,
            Err(_) => {
                tokio::time::sleep(node.jitter(RETRY_DELAY)).await;
                continue;
            }
        };
        let (version, head) = match current {
            Some((version, head)) => (Some(version), head),
            None => (None, Head::default()),
        };
        match head.check_patch(patch) {
            PatchDecision::AlreadyApplied(number) if may_be_stored => {
                return PatchOutcome::Accepted(number);
            }
            PatchDecision::AlreadyApplied(number) => return PatchOutcome::AlreadyAccepted(number),
            PatchDecision::Conflict { current, paths } => {
                return PatchOutcome::Conflict { current, paths };
            }
            PatchDecision::Apply => {}
        }
        match try_store(node, patch, version, &head).await {
            Ok(number) => return PatchOutcome::Accepted(number),
            Err(StoreError::Invalid(faults)) => return PatchOutcome::Invalid(faults),
            Err(StoreError::Conflict | StoreError::NotStored) => {}
            Err(StoreError::Unknown) => may_be_stored = true,
        }
    }
    if may_be_stored {
        PatchOutcome::Unknown
    } else {
        PatchOutcome::NotStored
    }
}

enum StoreError {
    Invalid(Vec<validate::DocumentError>),
    Conflict,
    NotStored,
    Unknown,
}

async fn try_store(
    node: &Arc<Node>,
    patch: &Patch,
    version: Option<u64>,
    head: &Head,
) -> Result<u64, StoreError> {
    let fetched_parts: Vec<PartText> = read_parts(node, node.config.missing(head))
        .await
        .map_err(|_| StoreError::NotStored)?;
    let current = node.config.load();
    let mut values = Vec::new();
    for (path, key) in head.parts.iter() {
        let fetched = fetched_parts.iter().find(|part| part.key == *key);
        let text = match fetched {
            Some(part) => part.text.as_str(),
            None => current.parts.get(key).ok_or(StoreError::NotStored)?,
        };
        let value: Value = serde_json::from_str(text).map_err(|_| StoreError::NotStored)?;
        values.push((path.clone(), value));
    }
    let doc = head::join(values.iter().map(|(path, value)| (&**path, value)));
    let next_doc = patch::apply(&doc, &patch.patch);
    validate::parse(&next_doc).map_err(StoreError::Invalid)?;

    let parts = head::split(&next_doc);
    let mut next = head.next(patch, &parts, node.clock.now().as_millis());
    let expired = next.take_expired();
    let mut texts = Vec::new();
    for part in &parts {
        let Some(key) = next.parts.get(&part.path) else {
            continue;
        };
        let text = part.value.to_string();
        if head.parts.get(&part.path) != Some(key) {
            put_part(node, key, &text).await?;
        }
        texts.push(PartText {
            key: key.clone(),
            text,
        });
    }
    let content = serde_json::to_vec(&next).map_err(|_| StoreError::NotStored)?;
    let condition = version.map_or(Condition::Absent, Condition::Version);
    let version = match node.platform.put(HEAD_KEY, content.into(), condition).await {
        Ok(version) => version,
        Err(WriteError::Conflict) => return Err(StoreError::Conflict),
        Err(WriteError::Unavailable) => return Err(StoreError::Unknown),
    };
    let number = next.number;
    // The configuration was checked above, so it can be installed.
    let _ = install(node, next, texts, version);
    delete_expired(node, expired);
    Ok(number)
}

async fn put_part(node: &Node, key: &Name, text: &str) -> Result<(), StoreError> {
    let value = Bytes::copy_from_slice(text.as_bytes());
    match node.platform.put(key, value, Condition::Absent).await {
        // An earlier attempt wrote the same content under the same key.
        Ok(_) | Err(WriteError::Conflict) => Ok(()),
        Err(WriteError::Unavailable) => Err(StoreError::NotStored),
    }
}

fn delete_expired(node: &Arc<Node>, keys: Vec<Name>) {
    if keys.is_empty() {
        return;
    }
    let node = Arc::clone(node);
    tokio::spawn(async move {
        for key in keys {
            if node.platform.delete(&key).await.is_err() {
                log::warn!("config: failed to delete expired part {key}: the store did not answer");
            }
        }
    });
}
