//! The whole path without faults, and the contract towards callers.

use std::time::Duration;

use cassialock::load::caller::Ending;
use cassialock::load::prompts;
use cassialock::load::prompts::ChatRequest;
use cassialock::load::prompts::Corpus;
use cassialock::node::callers::refuse::RefusalBody;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;

use crate::cluster::Cluster;

pub const DEADLINE: Duration = Duration::from_secs(20);

pub fn body(at: usize, max_tokens: u32, stream: bool) -> Vec<u8> {
    prompts::chat_body(&ChatRequest {
        model: "cassia-pool",
        corpus: Corpus::Label,
        index: at,
        prefix: at % 3,
        max_tokens,
        stream,
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_whole_at_every_node() {
    let cluster = Cluster::start(2, 1).await;
    for at in 0..12 {
        let caller = cluster.caller(at % 3);
        let seen = caller
            .complete(&body(at, 20, at % 2 == 0), DEADLINE, None)
            .await;
        assert_eq!(seen.ending, Ending::Complete);
        assert_eq!(seen.tokens, 20);
    }
}

/// One malformed call and what it must get.
struct Bad {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    reason: &'static str,
    names: &'static str,
}

const HOME: (&str, &str) = ("cassialock-workspace", "printers");

fn bad(
    name: &'static str,
    path: &'static str,
    body: &str,
    status: u16,
    reason: &'static str,
    names: &'static str,
) -> Bad {
    Bad {
        name,
        method: "POST",
        path,
        headers: &[HOME],
        body: body.into(),
        status,
        reason,
        names,
    }
}

fn bad_calls() -> Vec<Bad> {
    let chat = "/v1/chat/completions";
    let good =
        r#"{"model":"cassia-pool","messages":[{"role":"user","content":"hi"}],"max_tokens":2}"#;
    vec![
        Bad {
            headers: &[],
            ..bad(
                "no workspace",
                chat,
                good,
                400,
                "malformed",
                "cassialock-workspace",
            )
        },
        Bad {
            headers: &[("cassialock-workspace", "nobody")],
            ..bad(
                "unknown workspace",
                chat,
                good,
                403,
                "unknown_workspace",
                "nobody",
            )
        },
        Bad {
            headers: &[HOME, ("cassialock-deadline-ms", "soon")],
            ..bad(
                "bad deadline",
                chat,
                good,
                400,
                "malformed",
                "cassialock-deadline-ms",
            )
        },
        Bad {
            headers: &[HOME, ("cassialock-priority", "vip")],
            ..bad(
                "bad priority",
                chat,
                good,
                400,
                "malformed",
                "cassialock-priority",
            )
        },
        Bad {
            headers: &[HOME, ("last-event-id", "x")],
            ..bad(
                "bad event id",
                chat,
                good,
                400,
                "malformed",
                "last-event-id",
            )
        },
        Bad {
            headers: &[HOME, ("last-event-id", "gone:3")],
            ..bad(
                "unknown stream",
                chat,
                good,
                410,
                "unknown_stream",
                "stream",
            )
        },
        Bad {
            headers: &[HOME, ("cassialock-deadline-ms", "1")],
            ..bad(
                "no time",
                chat,
                r#"{"model":"cassia-pool","messages":[{"role":"user","content":"hi"}],"max_tokens":2000}"#,
                504,
                "deadline",
                "caller waits",
            )
        },
        bad("not JSON", chat, "{", 400, "malformed", "EOF"),
        bad("no model", chat, "{}", 400, "malformed", "model"),
        bad(
            "unknown model",
            chat,
            &good.replace("cassia-pool", "gpt"),
            404,
            "unknown_service",
            "gpt",
        ),
        bad(
            "plain service as model",
            chat,
            &good.replace("cassia-pool", "label-portal"),
            404,
            "unknown_service",
            "label-portal",
        ),
        bad(
            "oversize",
            chat,
            &"x".repeat(1_100_000),
            413,
            "oversize",
            "1048576",
        ),
        Bad {
            method: "GET",
            ..bad("wrong method", chat, "", 400, "malformed", "POST")
        },
        bad(
            "unknown path",
            "/v2/chat",
            "",
            404,
            "unknown_route",
            "/v2/chat",
        ),
        bad(
            "unknown service",
            "/services/none/x",
            "",
            404,
            "unknown_service",
            "none",
        ),
        bad(
            "no service path",
            "/services/none",
            "",
            404,
            "unknown_route",
            "/services/",
        ),
        bad(
            "unknown route",
            "/services/label-portal/secrets",
            "",
            404,
            "unknown_route",
            "/secrets",
        ),
        bad(
            "no key",
            "/services/label-portal/approvals",
            "",
            428,
            "key_required",
            "idempotency-key",
        ),
        bad(
            "bad patch",
            "/v1/config",
            r#"{"base":"x"}"#,
            400,
            "malformed",
            "patch",
        ),
        Bad {
            method: "GET",
            ..bad(
                "entries without workspace",
                "/v1/entries",
                "",
                400,
                "malformed",
                "workspace",
            )
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn bad_calls_get_a_clear_refusal() {
    let cluster = Cluster::start(1, 1).await;
    for call in bad_calls() {
        let address = &cluster.nodes[0].address;
        let mut request = Request::builder()
            .method(call.method)
            .uri(format!("http://{address}{}", call.path));
        for (name, value) in call.headers {
            request = request.header(*name, *value);
        }
        let request = request.body(Full::new(call.body.into())).unwrap();
        let response = cluster.client.send(request, true, DEADLINE).await.unwrap();
        let status = response.status().as_u16();
        let header = response.headers().get("cassialock-verdict").cloned();
        let content = response.into_body().collect().await.unwrap().to_bytes();
        let refusal: RefusalBody = serde_json::from_slice(&content).unwrap();
        let name = call.name;
        assert_eq!(status, call.status, "{name}: {refusal:?}");
        assert_eq!(refusal.error.reason, call.reason, "{name}");
        assert!(
            refusal.error.message.contains(call.names),
            "{name}: {refusal:?}"
        );
        assert_eq!(header.unwrap(), refusal.error.verdict.as_str(), "{name}");
    }
    let seen = cluster
        .caller(0)
        .complete(&body(1, 5, true), DEADLINE, None)
        .await;
    assert_eq!(seen.ending, Ending::Complete, "the node still serves");
    let metrics = Request::get(format!("http://{}/metrics", cluster.nodes[0].address));
    let metrics = metrics.body(Full::default()).unwrap();
    let response = cluster.client.send(metrics, true, DEADLINE).await.unwrap();
    let text = response.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8_lossy(&text).into_owned();
    assert!(text.contains(r#"reason="key_required""#), "{text}");
}
