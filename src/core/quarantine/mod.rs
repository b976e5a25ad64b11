//! Keeps requests that crash backend servers away from them.
//!
//! When a server crashes, every request that it had not begun to answer is a
//! suspect. What crashes servers may be shared by requests that are otherwise
//! different, so each suspect stands for its [`Feature`]s. A feature is cleared as
//! soon as a request that has it is answered. Features that remain and were
//! present at several crashes are blocked: a request that has all of them is
//! refused. Nodes exchange what they know in a [`Bulletin`].

use std::time::Duration;

use crate::core::Name;
use crate::core::name_map::NameMap;
use crate::core::quarantine::bulletin::BLOCK_TIME;
use crate::core::quarantine::bulletin::Block;
use crate::core::quarantine::bulletin::Bulletin;
use crate::core::quarantine::bulletin::Crash;
use crate::core::quarantine::bulletin::Scope;
use crate::core::quarantine::candidate::CERTAIN_CRASHES;
use crate::core::quarantine::candidate::Candidate;
use crate::core::quarantine::features::Feature;
use crate::core::quarantine::features::Features;
use crate::core::quarantine::successes::Successes;
use crate::core::time::Time;

pub mod bulletin;
mod candidate;
pub mod features;
mod successes;

/// Answers of this node after the last crash that are needed to block features that
/// requests had which were answered before.
///
/// While the servers of a service are all down, no request can clear its features.
const MIN_ANSWERS: u64 = 20;

/// Time after a crash in which other nodes may still clear the suspects.
const SETTLE_TIME: Duration = Duration::from_millis(1_500);

/// Time for which a node publishes what it has learned.
const PUBLISH_TIME: Duration = Duration::from_secs(3);

/// Maximum number of crashes remembered.
const MAX_CRASHES: usize = 256;

/// Maximum number of suspects remembered of one crash.
const MAX_SUSPECTS: usize = 32;

/// Maximum number of crashes in a bulletin.
const MAX_PUBLISHED: usize = 16;

/// Maximum number of cleared features in a bulletin.
const MAX_CLEARED: usize = 256;

/// Maximum number of blocks.
const MAX_BLOCKS: usize = 64;

/// A crash, as remembered at this node.
#[derive(Clone, Debug)]
struct Evidence {
    crash: Crash,
    /// Time at which this node last learned something about the crash.
    learned_at: Time,
    /// Whether this node observed the crash itself.
    is_own: bool,
    /// Number of answers of this node before it learned of the crash.
    answers: u64,
}

/// When a request with a feature was last answered.
#[derive(Clone, Copy, Debug)]
struct Clearance {
    feature: Feature,
    at: Time,
    learned_at: Time,
    is_own: bool,
}

/// Finds out which features crash servers, and blocks them.
///
/// # Invariants
///
/// `cleared` is sorted by feature and `blocks` by features, without repeats.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    crashes: NameMap<Evidence>,
    cleared: Vec<Clearance>,
    blocks: Vec<Block>,
    successes: Successes,
    answers: u64,
}

impl Quarantine {
    /// Creates a quarantine without crashes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that `server` crashed while it ran a request that it had not begun to
    /// answer, and returns whether this node did not know the crash before.
    pub fn record_crash(&mut self, server: &Name, features: &Features, at: Time) -> bool {
        let is_new = self.crashes.get(server).is_none();
        let crash = Crash {
            server: server.clone(),
            at,
            suspects: vec![features.clone()],
        };
        self.add_crash(crash, true, at);
        is_new
    }

    /// Records that a request was answered; the answer began at `at`.
    pub fn record_success(&mut self, features: &Features, at: Time, now: Time) {
        self.answers += 1;
        self.successes.record(features, at);
        if self.crashes.is_empty() && self.blocks.is_empty() {
            return;
        }
        for feature in features.iter() {
            if self.is_suspected(feature, at) {
                self.clear(feature, at, true, now);
            }
        }
    }

    /// Returns the block that a request with these features must be refused for.
    pub fn blocking(&self, features: &Features, now: Time) -> Option<&Block> {
        self.blocks.iter().find(|block| {
            let remaining = self.remaining(block);
            now < block.ends_at() && !remaining.is_empty() && remaining.is_subset(features)
        })
    }

    /// Returns the features of a block that were not cleared after its last crash.
    fn remaining(&self, block: &Block) -> Features {
        block
            .features
            .filtered(|feature| !self.is_cleared_since(feature, block.crashed_at))
    }

    /// Returns the blocks in force.
    pub fn blocks(&self, now: Time) -> Vec<Block> {
        let is_active = |block: &&Block| now < block.ends_at() && !self.remaining(block).is_empty();
        self.blocks.iter().filter(is_active).cloned().collect()
    }

    /// Returns what to tell other nodes.
    pub fn bulletin(&self, scope: Scope, now: Time) -> Bulletin {
        let is_told = |is_own: bool, learned_at: Time| {
            (is_own || scope == Scope::All) && now.since(learned_at) < PUBLISH_TIME
        };
        let mut recent: Vec<&Evidence> = self
            .crashes
            .iter()
            .map(|(_, evidence)| evidence)
            .filter(|evidence| is_told(evidence.is_own, evidence.learned_at))
            .collect();
        recent.sort_unstable_by_key(|evidence| std::cmp::Reverse(evidence.crash.at));
        let crashes = recent.iter().take(MAX_PUBLISHED);
        let cleared = self.cleared.iter();
        let cleared = cleared.filter(|row| is_told(row.is_own, row.learned_at));
        Bulletin {
            crashes: crashes.map(|evidence| evidence.crash.clone()).collect(),
            cleared: cleared
                .take(MAX_CLEARED)
                .map(|row| (row.feature, row.at))
                .collect(),
            blocks: self.blocks(now),
        }
    }

    /// Adds what another node has told.
    pub fn merge(&mut self, bulletin: Bulletin, now: Time) {
        for crash in bulletin.crashes {
            self.add_crash(crash, false, now);
        }
        for (feature, at) in bulletin.cleared {
            self.clear(feature, at, false, now);
        }
        for block in bulletin.blocks {
            self.add_block(block, now);
        }
    }

    /// Adds features that another node has blocked.
    pub fn add_block(&mut self, block: Block, now: Time) {
        if now >= block.ends_at() || self.remaining(&block).is_empty() {
            return;
        }
        match self.find_block(&block.features) {
            Ok(index) => {
                let known = &mut self.blocks[index];
                known.crashed_at = known.crashed_at.max(block.crashed_at);
            }
            Err(_) if self.blocks.len() >= MAX_BLOCKS => {}
            Err(index) => self.blocks.insert(index, block),
        }
    }

    /// Blocks the features that the known crashes speak against, and returns the new
    /// blocks.
    pub fn update(&mut self, now: Time) -> Vec<Block> {
        self.expire(now);
        let mut added = Vec::new();
        for is_unproven in [true, false] {
            while self.blocks.len() < MAX_BLOCKS {
                let blocks = self.next_blocks(is_unproven, now);
                if blocks.is_empty() {
                    break;
                }
                for block in blocks {
                    self.add_block(block.clone(), now);
                    added.push(block);
                }
            }
        }
        added
    }

    /// Returns the next features to block.
    ///
    /// `is_unproven` restricts them to features that no answered request had.
    fn next_blocks(&self, is_unproven: bool, now: Time) -> Vec<Block> {
        let open = self.open_crashes(is_unproven, now);
        let mut candidates: Vec<Candidate> = Vec::new();
        let mut features: Vec<Feature> = open
            .iter()
            .flat_map(|crash| crash.suspects.iter().flat_map(Features::iter))
            .collect();
        features.sort_unstable();
        features.dedup();
        for feature in features {
            let candidate = Candidate::new(feature, &open);
            let is_known = |known: &Candidate| known.features == candidate.features;
            if candidate.is_sufficient(is_unproven, &open) && !candidates.iter().any(is_known) {
                candidates.push(candidate);
            }
        }
        let most = candidates.iter().map(|row| row.servers.len()).max();
        candidates.retain(|row| Some(row.servers.len()) == most);
        // Another crash tells which of them it is.
        if candidates.len() > 1 && most < Some(CERTAIN_CRASHES) {
            return Vec::new();
        }
        candidates.retain(|row| self.find_block(&row.features).is_err());
        candidates
            .into_iter()
            .map(|candidate| Block {
                features: candidate.features,
                crashed_at: candidate.crashed_at,
            })
            .collect()
    }

    /// Returns the crashes with the suspects and features that may have caused them.
    ///
    /// Cleared features are left out. If blocked features were present, only these are
    /// left, and none if they are a single one: further crashes may show which of
    /// several it is.
    fn open_crashes(&self, is_unproven: bool, now: Time) -> Vec<Crash> {
        let mut open = Vec::new();
        for (_, evidence) in self.crashes.iter() {
            let Evidence { crash, answers, .. } = evidence;
            let is_judged = is_unproven || self.answers - answers >= MIN_ANSWERS;
            if now.since(crash.at) < SETTLE_TIME || !is_judged {
                continue;
            }
            let explanations = self.explanations(crash);
            if explanations.iter().any(Features::is_single) {
                continue;
            }
            let is_open = |feature: Feature| {
                let is_blamed = |blocked: &Features| blocked.contains(feature);
                let is_unexplained = explanations.is_empty();
                (is_unexplained || explanations.iter().any(is_blamed))
                    && if is_unproven {
                        self.clearance(feature).is_none()
                    } else {
                        !self.is_cleared_since(feature, crash.at)
                    }
            };
            let suspects = crash.suspects.iter();
            let suspects: Vec<Features> = suspects
                .map(|features| features.filtered(is_open))
                .filter(|features| !features.is_empty())
                .collect();
            if !suspects.is_empty() {
                open.push(Crash {
                    suspects,
                    ..crash.clone()
                });
            }
        }
        open
    }

    /// Returns the blocked features that were present at a crash.
    fn explanations(&self, crash: &Crash) -> Vec<Features> {
        let remaining = self.blocks.iter().map(|block| self.remaining(block));
        let is_present = |features: &Features| {
            let mut suspects = crash.suspects.iter();
            !features.is_empty() && suspects.any(|suspect| features.is_subset(suspect))
        };
        remaining.filter(is_present).collect()
    }

    fn add_crash(&mut self, crash: Crash, is_own: bool, now: Time) {
        let known = self.successes_of(&crash);
        let answers = self.answers;
        let evidence = self.crashes.get_or_insert_with(&crash.server, || Evidence {
            crash: Crash {
                server: crash.server.clone(),
                at: crash.at,
                suspects: Vec::new(),
            },
            learned_at: now,
            is_own,
            answers,
        });
        evidence.is_own |= is_own;
        evidence.crash.at = evidence.crash.at.min(crash.at);
        let suspects = &mut evidence.crash.suspects;
        for suspect in crash.suspects {
            if suspects.len() < MAX_SUSPECTS && !suspects.contains(&suspect) {
                suspects.push(suspect);
                evidence.learned_at = now;
            }
        }
        for (feature, at) in known {
            self.clear(feature, at, true, now);
        }
        if self.crashes.len() > MAX_CRASHES {
            self.forget_oldest();
        }
    }

    /// Returns the features of a crash that this node has seen in answered requests.
    fn successes_of(&self, crash: &Crash) -> Vec<(Feature, Time)> {
        let features = crash.suspects.iter().flat_map(Features::iter);
        features
            .filter_map(|feature| Some((feature, self.successes.last(feature)?)))
            .collect()
    }

    fn forget_oldest(&mut self) {
        let rows = self.crashes.iter();
        let oldest = rows.min_by_key(|(_, evidence)| evidence.crash.at);
        if let Some(server) = oldest.map(|(server, _)| server.clone()) {
            self.crashes.remove(&server);
        }
    }

    fn find_block(&self, features: &Features) -> Result<usize, usize> {
        self.blocks
            .binary_search_by(|block| block.features.cmp(features))
    }

    fn find_clearance(&self, feature: Feature) -> Result<usize, usize> {
        self.cleared
            .binary_search_by_key(&feature, |row| row.feature)
    }

    fn clearance(&self, feature: Feature) -> Option<Time> {
        let index = self.find_clearance(feature).ok()?;
        Some(self.cleared[index].at)
    }

    fn is_cleared_since(&self, feature: Feature, crashed_at: Time) -> bool {
        self.clearance(feature).is_some_and(|at| at > crashed_at)
    }

    /// Returns whether a request has a feature that may have crashed a server.
    pub fn has_suspect(&self, features: &Features, now: Time) -> bool {
        let mut features = features.iter();
        features.any(|feature| self.is_suspected(feature, now))
    }

    /// Returns whether a crash or a block before `at` speaks against a feature that
    /// was not cleared since.
    fn is_suspected(&self, feature: Feature, at: Time) -> bool {
        let is_open =
            |crashed_at: Time| crashed_at < at && !self.is_cleared_since(feature, crashed_at);
        let has = |suspect: &Features| suspect.contains(feature);
        self.crashes.iter().any(|(_, evidence)| {
            is_open(evidence.crash.at) && evidence.crash.suspects.iter().any(has)
        }) || self
            .blocks
            .iter()
            .any(|block| is_open(block.crashed_at) && block.features.contains(feature))
    }

    fn clear(&mut self, feature: Feature, at: Time, is_own: bool, now: Time) {
        let row = Clearance {
            feature,
            at,
            learned_at: now,
            is_own,
        };
        match self.find_clearance(feature) {
            Ok(index) if self.cleared[index].at < at => self.cleared[index] = row,
            Ok(_) => {}
            Err(index) => self.cleared.insert(index, row),
        }
    }

    /// Forgets what no longer counts.
    fn expire(&mut self, now: Time) {
        let Self {
            crashes, cleared, ..
        } = self;
        let is_cleared_since = |feature: Feature, crashed_at: Time| {
            let index = cleared.binary_search_by_key(&feature, |row| row.feature);
            index.is_ok_and(|index| cleared[index].at > crashed_at)
        };
        crashes.retain(|_, evidence| {
            let crash = &mut evidence.crash;
            let age = now.since(crash.at);
            if age >= SETTLE_TIME + PUBLISH_TIME {
                for suspect in &mut crash.suspects {
                    *suspect = suspect.filtered(|feature| !is_cleared_since(feature, crash.at));
                }
                crash.suspects.retain(|suspect| !suspect.is_empty());
            }
            age < BLOCK_TIME && !crash.suspects.is_empty()
        });
        self.blocks.retain(|block| now < block.ends_at());
        self.cleared.retain(|row| now.since(row.at) < BLOCK_TIME);
    }
}
