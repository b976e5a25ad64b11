//! Where a request would go, as `cassialock explain` says.

use std::process::Command;
use std::time::Duration;

use bytes::Bytes;
use cassialock::load::deploy::Deployment;
use cassialock::load::deploy::DeploymentSpec;
use cassialock::node::explain::Explanation;
use cassialock::web;
use http::Request;
use http_body_util::Full;
use serde_json::json;

/// Timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum size of a response.
const MAX_BYTES: usize = 1_000_000;

/// Runs `cassialock` with `args` and returns its exit code, output and errors.
fn run(node: &str, args: &[&str]) -> (i32, String, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_cassialock"))
        .args(["--node", node])
        .args(args)
        .output()
        .unwrap();
    let text = |bytes: Vec<u8>| String::from_utf8(bytes).unwrap();
    (
        output.status.code().unwrap(),
        text(output.stdout),
        text(output.stderr),
    )
}

/// Asks `node` about a request and returns the exit code and the output.
fn explain(node: &str, args: &[&str]) -> (i32, String) {
    let args: Vec<&str> = ["explain"].iter().chain(args).copied().collect();
    let (code, output, errors) = run(node, &args);
    (code, output + &errors)
}

/// Guards against an explanation that names another server than the one chosen, that
/// leaves one out without a reason, or that changes what it explains.
#[tokio::test(flavor = "multi_thread")]
async fn an_explanation_names_the_server_that_is_chosen_and_changes_nothing() {
    let spec = DeploymentSpec::labels().with_engines(3).with_nodes(1);
    let deployment = Deployment::start(spec).await.unwrap();
    let address = deployment.entries().join(",");
    let node = &deployment.nodes[0].as_ref().unwrap().node;
    // Long enough for several blocks of the cache.
    let prompt = "label of the tea house in the third street ".repeat(40);
    let args = [
        "--service",
        "cassia-pool",
        "--workspace",
        "catalogue",
        &prompt,
    ];
    let ask = || {
        let args: Vec<&str> = ["--json", "explain"].iter().chain(&args).copied().collect();
        let (code, output, errors) = run(&address, &args);
        assert_eq!(code, 0, "{errors}");
        serde_json::from_str::<Explanation>(&output).unwrap()
    };
    let before = format!("{:?}", node.budget.lock().unwrap());
    let explained = ask();
    let first = &explained.candidates[0];
    assert_eq!(explained.candidates.len(), 3);
    assert!(first.cost < explained.candidates[1].cost, "{explained:?}");
    let sum: f64 = first.parts.iter().map(|part| part.amount).sum();
    assert!((first.cost - sum).abs() < 1e-6);
    let again = ask();
    assert_eq!(again.candidates[0].server, first.server);
    assert!(again.candidates.iter().all(|row| row.cached_tokens == 0.0));
    assert_eq!(format!("{:?}", node.budget.lock().unwrap()), before);

    let body = json!({"model": "cassia-pool", "prompt": prompt, "max_tokens": 4});
    let request = Request::post(format!("http://{address}/v1/completions"))
        .header("cassialock-workspace", "catalogue")
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap();
    let sending = deployment.client.send(request, true, TIMEOUT);
    let response = sending.await.unwrap();
    assert_eq!(response.status(), 200);
    web::read(response.into_body(), MAX_BYTES).await.unwrap();
    let used = ask();
    let used = used.candidates.iter().find(|row| row.cached_tokens > 0.0);
    assert_eq!(used.unwrap().server, first.server);

    let server = first.server.clone();
    node.servers.lock().unwrap().set_leaving(&server);
    let (code, text) = explain(&address, &args);
    assert_eq!(code, 0, "{text}");
    assert!(
        text.contains("is leaving") && text.contains("LOAD AGE"),
        "{text}"
    );
    for (args, part) in [
        (
            ["--service", "none", "--workspace", "catalogue"],
            "no service",
        ),
        (
            ["--service", "cassia-pool", "--workspace", "none"],
            "no workspace",
        ),
    ] {
        let (code, text) = explain(&address, &args);
        assert_eq!(code, 2, "{text}");
        assert!(text.contains(part), "{text}");
    }
    assert_eq!(explain(&address, &["--service", "cassia-pool"]).0, 2);
    node.draining.send_replace(true);
    let (code, text) = explain(&address, &args);
    assert_eq!(code, 1, "{text}");
    assert!(text.contains("takes no requests"), "{text}");
}
