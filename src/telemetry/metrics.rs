//! Metrics of the process in the Prometheus text format.

use std::sync::OnceLock;

use metrics_exporter_prometheus::Matcher;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;

/// Bucket upper bounds of the latency histograms, in seconds.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1.0, 2.0, 5.0, 15.0,
];

/// Bucket upper bounds of times relative to the predicted ones.
const RATIO_BUCKETS: [f64; 11] = [0.25, 0.5, 0.67, 0.8, 0.9, 1.1, 1.25, 1.5, 2.0, 3.0, 6.0];

/// Returns the metrics handle of this process, which all its nodes share.
///
/// The first call installs the recorder.
pub fn prometheus_handle() -> PrometheusHandle {
    static HANDLE: OnceLock<PrometheusHandle> = OnceLock::new();
    HANDLE
        .get_or_init(|| {
            let builder = PrometheusBuilder::new();
            let builder = builder.set_buckets(&LATENCY_BUCKETS_S).unwrap_or_default();
            let ratios = Matcher::Suffix("_time_ratio".to_string());
            let builder = builder
                .set_buckets_for_metric(ratios, &RATIO_BUCKETS)
                .unwrap_or_default();
            let recorder = builder.build_recorder();
            let handle = recorder.handle();
            // Fails if the program that uses the library has already set a
            // recorder; that one stays in place.
            let _ = metrics::set_global_recorder(recorder);
            handle
        })
        .clone()
}
