//! The text of the metrics page.

use std::fmt::Write;

use wagtailmoor_core::{BackEndId, CustomerId, Reason, millis};
use wagtailmoor_site::ElementKind;

use crate::state::RouterState;
use crate::stats::{LATENCY_BOUNDS_MS, RequestLabels};

/// Writes every counter and histogram as `name{labels} value` lines.
pub(crate) fn render(state: &RouterState) -> String {
    let mut page = String::new();
    for (labels, counts) in state.stats.requests() {
        let labels = format_labels(labels);
        write_line(&mut page, "wagtailmoor_requests_total", &labels, counts.requests);
        let mut sum = 0;
        let bounds = LATENCY_BOUNDS_MS.iter().map(u64::to_string).chain(["+Inf".to_owned()]);
        for (bound, count) in bounds.zip(counts.buckets) {
            sum += count;
            let labels = format!("{labels},le=\"{bound}\"");
            write_line(&mut page, "wagtailmoor_latency_ms_bucket", &labels, sum);
        }
        let total_ms = millis(counts.total);
        write_line(&mut page, "wagtailmoor_latency_ms_sum", &labels, total_ms);
        write_line(&mut page, "wagtailmoor_latency_ms_count", &labels, counts.requests);
    }
    for (name, count) in state.stats.counters() {
        write_line(&mut page, "wagtailmoor_events_total", &format!("event=\"{name}\""), *count);
    }
    let dropped = wagtailmoor_telemetry::dropped_lines();
    write_line(&mut page, "wagtailmoor_log_lines_dropped_total", "", dropped);
    let version = state.config.as_ref().map_or(0, |config| config.version().get());
    write_line(&mut page, "wagtailmoor_config_version", "", version);
    for kind in ElementKind::ALL {
        let count = state.config.as_ref().map_or(0, |config| config.unusable().count(kind));
        let labels = format!("kind=\"{kind}\"");
        let name = "wagtailmoor_config_elements_unusable";
        write_line(&mut page, name, &labels, u64::from(count));
    }
    write_line(&mut page, "wagtailmoor_crash_suspects", "", state.ledger.len() as u64);
    write_line(&mut page, "wagtailmoor_targets", "", state.registry.targets().count() as u64);
    page
}

fn format_labels(labels: &RequestLabels) -> String {
    let back_end = labels.back_end.as_ref().map_or("-", BackEndId::as_str);
    let customer = labels.customer.as_ref().map_or("-", CustomerId::as_str);
    let reason = labels.reason.map_or("-", Reason::code);
    format!(
        "back_end=\"{back_end}\",customer=\"{customer}\",outcome=\"{}\",reason=\"{reason}\"",
        labels.outcome
    )
}

fn write_line(page: &mut String, name: &str, labels: &str, value: u64) {
    let written = match labels.is_empty() {
        true => writeln!(page, "{name} {value}"),
        false => writeln!(page, "{name}{{{labels}}} {value}"),
    };
    written.expect("writing to a string cannot fail");
}
