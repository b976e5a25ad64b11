//! Servers for hedged requests.

use crate::core::Name;
use crate::core::route::Policy;
use crate::core::route::Request as RouteRequest;
use crate::core::route::servers::Filter;
use crate::core::route::speed::Work;
use crate::core::time::Time;
use crate::entry::backends::Backends;
use crate::entry::backends::ChosenBackend;

impl Backends {
    /// Chooses a server of the same version for a second attempt beside one at `first`,
    /// or returns `None` if there is none that is suitable.
    pub fn choose_hedge(
        &self,
        first: &ChosenBackend,
        avoid: &[Name],
        session: Option<u64>,
        random: u64,
        now: Time,
    ) -> Option<ChosenBackend> {
        let mut state = self.state.lock().unwrap();
        let request = RouteRequest {
            session,
            ..RouteRequest::default()
        };
        let filter = Filter {
            service: &first.server.service,
            version: Some(&first.server.version),
            slots: state.slots(&first.server.service),
            excluded: avoid,
            exclude_suspected: false,
        };
        let candidates = state
            .servers
            .hedge_candidates(&first.id, &filter, &request, now);
        let at = state.policy.choose(&request, &candidates, random)?;
        let id = candidates[at].id.clone();
        let server = state.registered.get(&id).cloned()?;
        // Counts if the server becomes cold right after this request.
        let paced = state.servers.spend_rate(&id, now).then_some(now);
        Some(ChosenBackend {
            id,
            server,
            trial: None,
            paced,
            work: Work::default(),
            forecast: None,
        })
    }
}
