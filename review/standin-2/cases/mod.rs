//! The scenarios, one in each file.

pub mod away;
pub mod endless;
pub mod gone;
pub mod heads;
pub mod part;
pub mod poison;
pub mod restored;
pub mod tenants;
pub mod version;

/// Returns a configuration with these routes and tenants.
pub fn config(version: u64, routes: &str, tenants: &str, limits: &str) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"portal\",\"health_path\":\"/health\",\"max_conns\":200,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{limits},\"tenants\":{tenants}}}"
    )
}

pub const LIMITS: &str = "{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

pub const TENANTS: &str = "[{\"name\":\"one\",\"api_keys\":[\"k-1\"],\"priority\":1,\"billing_unit\":\"token_stream\",\"plain_tokens\":200,\"rate_per_s\":400000,\"burst\":400000}]";

pub fn route(name: &str, kind: &str, attempts: u32) -> String {
    format!(
        "{{\"name\":\"r-{name}\",\"host\":\"shop.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout_ms\":4000,\"target_latency_ms\":300,\"priority\":2,\"service\":\"portal\",\"max_attempts\":{attempts},\"public\":false,\"sticky\":false,\"resumable\":false}}"
    )
}
