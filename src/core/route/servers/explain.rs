//! Reasons why servers get no requests, for operators.

use serde::Deserialize;
use serde::Serialize;

use crate::core::Name;
use crate::core::route::servers::Server;
use crate::core::route::servers::Servers;
use crate::core::time::Time;

/// Reason why a server is not a candidate for a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LeftOut {
    /// The server is shutting down.
    Leaving,
    /// Its failure domain is evacuated.
    Evacuated,
    /// It runs a version that gets no requests.
    Version,
    /// This node uses other servers of the service.
    NotUsedHere,
    /// It turns requests away for some time.
    Closed,
    /// It has failed.
    Ejected,
    /// It sends nothing to the requests that it has.
    Silent,
    /// Its rate limit allows no request of this node yet.
    RateLimited,
}

impl LeftOut {
    /// Returns the text that operators see.
    pub const fn as_str(self) -> &'static str {
        match self {
            LeftOut::Leaving => "is leaving",
            LeftOut::Evacuated => "is in an evacuated failure domain",
            LeftOut::Version => "runs a version that gets no requests",
            LeftOut::NotUsedHere => "is not among the servers that this node uses",
            LeftOut::Closed => "turns requests away",
            LeftOut::Ejected => "has failed",
            LeftOut::Silent => "is silent",
            LeftOut::RateLimited => "limits its rate",
        }
    }
}

impl Servers {
    /// Returns the servers of a service that are not among `candidates`, with the reason.
    ///
    /// `versions` are those that get requests.
    pub fn left_out(
        &self,
        service: &str,
        versions: &[Name],
        candidates: &[Name],
        now: Time,
    ) -> Vec<(&Server, LeftOut)> {
        self.iter()
            .filter(|server| *server.vm.service == *service)
            .filter(|server| !candidates.contains(&server.vm.id))
            .map(|server| (server, self.reason(server, versions, now)))
            .collect()
    }

    fn reason(&self, server: &Server, versions: &[Name], now: Time) -> LeftOut {
        let vm = &server.vm;
        let mut used = self.subset(&vm.service, Some(&vm.version));
        if server.leaving {
            LeftOut::Leaving
        } else if self.evacuated.contains(&vm.domain) {
            LeftOut::Evacuated
        } else if !versions.contains(&vm.version) {
            LeftOut::Version
        } else if !used.any(|other| other.vm.id == vm.id) {
            LeftOut::NotUsedHere
        } else if !server.is_open(now) {
            LeftOut::Closed
        } else if server.is_suspected(now) {
            LeftOut::Silent
        } else if server.health.is_ejected(now) {
            LeftOut::Ejected
        } else {
            LeftOut::RateLimited
        }
    }
}
