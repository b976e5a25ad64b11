//! The command that prints where a request would go.

use serde_json::json;

use crate::cli;
use crate::cli::Context;
use crate::cli::client;
use crate::cli::exit;
use crate::cli::table;
use crate::error::Error;
use crate::node::explain::Explanation;
use crate::node::explain::Question;

/// Path of the endpoint that explains decisions.
const PATH: &str = "/v1/explain";

/// Prints where a request would go at this moment and why, without sending it.
///
/// # Errors
///
/// Returns an error if no node answered, the service or the workspace is unknown, or the
/// node takes no requests.
pub fn explain(context: &Context, question: &Question) -> Result<u8, Error> {
    let body = json!(question).to_string();
    let answer = client::try_nodes(&context.nodes, |node| {
        client::post(node, PATH, body.clone().into_bytes())
    })?;
    let explanation: Explanation = cli::parse(PATH, &answer)?;
    if context.json {
        context.print_json(&json!(explanation));
    } else {
        print_tables(&explanation);
    }
    Ok(exit::SUCCESS)
}

fn print_tables(explanation: &Explanation) {
    println!(
        "node {}, policy {}, costs in {}, {} prompt tokens, versions {}, {} requests queued",
        explanation.node,
        explanation.policy,
        explanation.unit,
        explanation.prompt_tokens,
        explanation.versions.join(" and "),
        explanation.queued_requests,
    );
    let candidates: Vec<Vec<String>> = explanation
        .candidates
        .iter()
        .map(|row| {
            let parts = row.parts.iter();
            let parts = parts.map(|part| format!("{} {:.1}", part.name, part.amount));
            let age = row.load_age_ms.map(|age| format!("{age} ms"));
            vec![
                row.server.clone(),
                row.domain.clone(),
                row.version.clone(),
                format!("{:.1}", row.cost),
                parts.collect::<Vec<String>>().join(", "),
                format!("{:.1}", row.in_flight),
                format!("{:.0}", row.cached_tokens),
                age.unwrap_or_else(|| "-".into()),
            ]
        })
        .collect();
    table::print(
        &[
            "SERVER",
            "FAILURE DOMAIN",
            "VERSION",
            "COST",
            "PARTS",
            "IN FLIGHT",
            "CACHED",
            "LOAD AGE",
        ],
        &candidates,
    );
    let left_out: Vec<Vec<String>> = explanation
        .left_out
        .iter()
        .map(|row| {
            vec![
                row.server.clone(),
                row.domain.clone(),
                row.version.clone(),
                row.reason.as_str().into(),
            ]
        })
        .collect();
    if !left_out.is_empty() {
        let heading = ["LEFT OUT", "FAILURE DOMAIN", "VERSION", "REASON"];
        table::print(&heading, &left_out);
    }
}
