//! What nodes tell each other of cold servers.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::route::servers::Servers;
use crate::core::route::servers::cold::MAX_COLD;
use crate::core::route::servers::cold::MAX_CONFIRM_AGE;
use crate::core::route::servers::cold::Source;
use crate::core::time::Time;

/// Time for which nodes tell each other what was stated of a server.
///
/// It is longer than a node is paused at most. A node that has missed it all holds a new server for cold for as long as servers of its
/// service are, and lists all servers when it starts.
const NEWS_TIME: Duration = Duration::from_secs(6);

/// Maximum number of servers in one message, about 2 KB.
const MAX_NEWS: usize = 64;

/// Difference of two times below which news are not newer than what is known: the age of
/// news does not include the time of their transit.
const MIN_NEWER: Duration = Duration::from_millis(50);

/// What was stated of one server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServerNews {
    /// Incarnation of the server.
    pub server: Name,
    /// Time for which it stays cold; zero if it is warm.
    pub left: Duration,
    /// Time since this was learned from the store or the server.
    pub age: Duration,
}

/// What a node knows of cold servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ColdNews {
    /// Time since the store was known to have reported all changes.
    pub age: Duration,
    /// The recent statements.
    pub servers: Vec<ServerNews>,
}

impl Servers {
    /// Returns what this node knows of cold servers, for other nodes.
    ///
    /// With `is_all` it includes what others have told, otherwise only what the store and
    /// the servers have. If one message does not hold all statements, each message goes on
    /// where the one before it ended.
    pub fn cold_news(&mut self, is_all: bool, now: Time) -> Option<ColdNews> {
        if !self.has_cold_starts() {
            return None;
        }
        // A listing is no news, since each node lists the servers when it starts.
        let is_told = |source: Source| match source {
            Source::Record | Source::Health => true,
            Source::Peer => is_all,
            _ => false,
        };
        let known = self.by_id.iter().map(|(id, server)| (id, &server.cold));
        let recent = known.filter(|(_, known)| {
            let is_recent = now.since(known.learned) < NEWS_TIME;
            known.rule.is_some() && is_told(known.source) && is_recent
        });
        let mut servers: Vec<ServerNews> = recent
            .map(|(id, known)| ServerNews {
                server: id.clone(),
                left: known.until.since(now),
                age: now.since(known.learned),
            })
            .collect();
        let confirmed_at = if is_all {
            self.cold.confirmed_at
        } else {
            self.cold.answered_at
        };
        let age = now.since(confirmed_at);
        if servers.is_empty() && age > MAX_CONFIRM_AGE {
            return None;
        }
        let last_told = self.cold.last_told.as_ref();
        let told = servers.partition_point(|news| Some(&news.server) <= last_told);
        servers.rotate_left(told);
        servers.truncate(MAX_NEWS);
        self.cold.last_told = servers.last().map(|news| news.server.clone());
        Some(ColdNews { age, servers })
    }

    /// Records what another node tells of cold servers.
    pub fn record_cold_news(&mut self, news: &ColdNews, now: Time) {
        for told in &news.servers {
            let learned = now.before(told.age);
            let Some(server) = self.by_id.get_mut(&told.server) else {
                continue;
            };
            let known = &mut server.cold;
            if known.source != Source::Unknown && learned <= known.learned + MIN_NEWER {
                continue;
            }
            let until = now + told.left.min(MAX_COLD);
            known.learn(Source::Peer, until, learned, now);
        }
        self.cold.confirm(now.before(news.age));
    }
}
