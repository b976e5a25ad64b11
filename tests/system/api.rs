//! Requests without injected faults, and the refusals of invalid calls.

use std::time::Duration;

use cassialock::load::caller::Ending;
use cassialock::load::prompts;
use cassialock::load::prompts::ChatRequest;
use cassialock::load::prompts::Corpus;
use cassialock::node::api::refusals::RefusalBody;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;

use crate::cluster::Cluster;

pub const DEADLINE: Duration = Duration::from_secs(20);

pub fn chat_body(index: usize, max_tokens: u32, stream: bool) -> Vec<u8> {
    prompts::chat_body(&ChatRequest {
        model: "cassia-pool",
        corpus: Corpus::Label,
        index,
        prefix: index % 3,
        max_tokens,
        stream,
    })
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_answered_whole_at_every_node() {
    let cluster = Cluster::start(2, 1).await;
    for index in 0..12 {
        let caller = cluster.caller(index % 3);
        let outcome = caller
            .complete(&chat_body(index, 20, index % 2 == 0), DEADLINE, None)
            .await;
        assert_eq!(outcome.ending, Ending::Complete);
        assert_eq!(outcome.tokens, 20);
    }
}

/// An invalid call and the refusal that it must get.
struct InvalidCall {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    reason: &'static str,
    mentions: &'static str,
}

const WORKSPACE: (&str, &str) = ("cassialock-workspace", "printers");

fn invalid_call(
    name: &'static str,
    path: &'static str,
    body: &str,
    status: u16,
    reason: &'static str,
    mentions: &'static str,
) -> InvalidCall {
    InvalidCall {
        name,
        method: "POST",
        path,
        headers: &[WORKSPACE],
        body: body.into(),
        status,
        reason,
        mentions,
    }
}

fn invalid_calls() -> Vec<InvalidCall> {
    let chat = "/v1/chat/completions";
    let good =
        r#"{"model":"cassia-pool","messages":[{"role":"user","content":"hi"}],"max_tokens":2}"#;
    vec![
        InvalidCall {
            headers: &[],
            ..invalid_call(
                "no workspace",
                chat,
                good,
                400,
                "malformed",
                "cassialock-workspace",
            )
        },
        InvalidCall {
            headers: &[("cassialock-workspace", "nobody")],
            ..invalid_call(
                "unknown workspace",
                chat,
                good,
                403,
                "unknown_workspace",
                "nobody",
            )
        },
        InvalidCall {
            headers: &[WORKSPACE, ("cassialock-deadline-ms", "soon")],
            ..invalid_call(
                "bad deadline",
                chat,
                good,
                400,
                "malformed",
                "cassialock-deadline-ms",
            )
        },
        InvalidCall {
            headers: &[WORKSPACE, ("cassialock-priority", "vip")],
            ..invalid_call(
                "bad priority",
                chat,
                good,
                400,
                "malformed",
                "cassialock-priority",
            )
        },
        InvalidCall {
            headers: &[WORKSPACE, ("last-event-id", "x")],
            ..invalid_call(
                "bad event id",
                chat,
                good,
                400,
                "malformed",
                "last-event-id",
            )
        },
        InvalidCall {
            headers: &[WORKSPACE, ("last-event-id", "gone:3")],
            ..invalid_call(
                "unknown stream",
                chat,
                good,
                410,
                "unknown_stream",
                "stream",
            )
        },
        InvalidCall {
            headers: &[WORKSPACE, ("cassialock-deadline-ms", "1")],
            ..invalid_call(
                "deadline too short",
                chat,
                r#"{"model":"cassia-pool","messages":[{"role":"user","content":"hi"}],"max_tokens":2000}"#,
                504,
                "deadline",
                "but the deadline is in",
            )
        },
        invalid_call("not JSON", chat, "{", 400, "malformed", "EOF"),
        invalid_call("no model", chat, "{}", 400, "malformed", "model"),
        invalid_call(
            "unknown model",
            chat,
            &good.replace("cassia-pool", "gpt"),
            404,
            "unknown_service",
            "gpt",
        ),
        invalid_call(
            "plain service as model",
            chat,
            &good.replace("cassia-pool", "label-portal"),
            404,
            "unknown_service",
            "label-portal",
        ),
        invalid_call(
            "oversize",
            chat,
            &"x".repeat(1_100_000),
            413,
            "oversize",
            "1048576",
        ),
        InvalidCall {
            method: "GET",
            ..invalid_call("wrong method", chat, "", 400, "malformed", "POST")
        },
        invalid_call(
            "unknown path",
            "/v2/chat",
            "",
            404,
            "unknown_route",
            "/v2/chat",
        ),
        invalid_call(
            "unknown service",
            "/services/none/x",
            "",
            404,
            "unknown_service",
            "none",
        ),
        invalid_call(
            "no service path",
            "/services/none",
            "",
            404,
            "unknown_route",
            "/services/",
        ),
        invalid_call(
            "unknown route",
            "/services/label-portal/secrets",
            "",
            404,
            "unknown_route",
            "/secrets",
        ),
        invalid_call(
            "no key",
            "/services/label-portal/approvals",
            "",
            428,
            "key_required",
            "idempotency-key",
        ),
        invalid_call(
            "bad patch",
            "/v1/config",
            r#"{"base":"x"}"#,
            400,
            "malformed",
            "patch",
        ),
        InvalidCall {
            method: "GET",
            ..invalid_call(
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
    for call in invalid_calls() {
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
            refusal.error.message.contains(call.mentions),
            "{name}: {refusal:?}"
        );
        assert_eq!(header.unwrap(), refusal.error.verdict.as_str(), "{name}");
    }
    let outcome = cluster
        .caller(0)
        .complete(&chat_body(1, 5, true), DEADLINE, None)
        .await;
    assert_eq!(outcome.ending, Ending::Complete, "the node still serves");
    let metrics = Request::get(format!("http://{}/metrics", cluster.nodes[0].address));
    let metrics = metrics.body(Full::default()).unwrap();
    let response = cluster.client.send(metrics, true, DEADLINE).await.unwrap();
    let text = response.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8_lossy(&text).into_owned();
    assert!(text.contains(r#"reason="key_required""#), "{text}");
}
