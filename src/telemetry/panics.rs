//! Reports panics in the event log and the metrics.

use std::panic;

use crate::telemetry::events::Event;
use crate::telemetry::events::EventLog;

/// Writes an event for each panic of the process, in addition to the usual message.
pub fn report_to(events: EventLog) {
    let default_hook = panic::take_hook();
    panic::set_hook(Box::new(move |info| {
        metrics::counter!("cassialock_panics_total").increment(1);
        let location = info.location().map(ToString::to_string);
        events.write(
            Event::new("panicked")
                .with("location", location)
                .with("message", info.payload_as_str()),
        );
        default_hook(info);
    }));
}
