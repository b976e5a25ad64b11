//! The metrics of the process, in Prometheus text.

use std::sync::OnceLock;

use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Upper bounds of the latency histograms, in seconds.
const BUCKETS: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0,
];

/// Returns the metrics of this process, which all its nodes share.
pub fn prometheus_handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let builder = PrometheusBuilder::new();
            let builder = builder.set_buckets(&BUCKETS).unwrap_or_default();
            let recorder = builder.build_recorder();
            let handle = recorder.handle();
            // A recorder set by the program that uses the library stays.
            let _ = metrics::set_global_recorder(recorder);
            handle
        })
        .clone()
}
