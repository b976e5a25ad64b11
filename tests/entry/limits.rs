//! Quotas of an entry beside others that use most of them.

use std::sync::Arc;
use std::time::Duration;

use cassialock::core::catalog::BillingUnit;
use cassialock::core::catalog::Catalog;
use cassialock::core::catalog::Workspace;
use cassialock::core::limit::quota::Tolerance;
use cassialock::core::peer::QuotaUsage;
use cassialock::core::request::RequestInfo;
use cassialock::core::request::TokenCounts;
use cassialock::entry::limits;

use crate::fakes;
use crate::fakes::Script;

const RATE: f64 = 100_000.0;

fn workspace() -> Workspace {
    Workspace {
        name: "familias".into(),
        keys: vec!["key".into()],
        rate: RATE,
        burst: RATE,
        unit: BillingUnit::Tokens {
            default_tokens: 200,
        },
        ..Workspace::default()
    }
}

/// In a large fleet, a workspace reaches most entries only now and then. Such an entry
/// subtracted what the others admitted and added nothing, since it did not know the
/// limit before the first request, which it refused.
#[tokio::test(start_paused = true)]
async fn the_first_request_of_a_workspace_is_admitted_beside_the_use_of_others() {
    let entry = fakes::entry(&Arc::new(Script::default()));
    let catalog = Catalog::new(1).with_workspaces(vec![workspace()]);
    entry.catalog.install(catalog);
    let round = Duration::from_millis(500);
    for seq in 1..=60 {
        let mut status = fakes::status("entry-9");
        status.seq = seq;
        let usage = QuotaUsage {
            demand: RATE * 0.5,
            admitted: RATE * 0.5 * round.as_secs_f64() * seq as f64,
        };
        status.quota_usage = [("familias".into(), usage)].into_iter().collect();
        entry.membership.merge(status, entry.clock.now());
        limits::refresh(&entry);
        tokio::time::advance(round).await;
    }
    let request = RequestInfo {
        tokens: Some(TokenCounts {
            prompt: 9_000,
            max_output: 200,
        }),
        ..RequestInfo::default()
    };
    let now = entry.clock.now();
    let taken = entry
        .limits
        .take(&workspace(), &request, Tolerance::default(), 0.99, now);
    assert_eq!(taken, Ok(()));
}
