//! The text of the metrics page.

use std::fmt::Write;

use wagtailmoor_core::{BackEndId, CustomerId, Reason, millis};
use wagtailmoor_site::ElementKind;

use crate::rollouts::Rollouts;
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
    for (kind, zone, meter) in state.traffic.iter() {
        for (direction, bytes) in [("sent", meter.sent()), ("received", meter.received())] {
            let labels = format!("kind=\"{kind}\",to_zone=\"{zone}\",direction=\"{direction}\"");
            write_line(&mut page, "wagtailmoor_zone_bytes_total", &labels, bytes.get());
        }
    }
    for ((back_end, priority), count) in state.stats.withheld() {
        let labels = format!("back_end=\"{back_end}\",priority=\"{priority}\"");
        write_line(&mut page, "wagtailmoor_withheld_total", &labels, *count);
    }
    for ((back_end, priority), admitted) in state.admission.lowest_shares().iter() {
        let labels = format!("back_end=\"{back_end}\",priority=\"{priority}\"");
        let admitted_ppm = u64::from(admitted.get());
        write_line(&mut page, "wagtailmoor_admitted_ppm", &labels, admitted_ppm);
    }
    let dropped = wagtailmoor_telemetry::dropped_lines();
    write_line(&mut page, "wagtailmoor_log_lines_dropped_total", "", dropped);
    let version = state.config.as_ref().map_or(0, |config| config.version().get());
    write_line(&mut page, "wagtailmoor_config_version", "", version);
    write_line(&mut page, "wagtailmoor_store_era", "", state.lease.era().get());
    for kind in ElementKind::ALL {
        let count = state.config.as_ref().map_or(0, |config| config.unusable().count(kind));
        let labels = format!("kind=\"{kind}\"");
        let name = "wagtailmoor_config_elements_unusable";
        write_line(&mut page, name, &labels, u64::from(count));
    }
    write_line(&mut page, "wagtailmoor_crash_suspects", "", state.ledger.len() as u64);
    write_line(&mut page, "wagtailmoor_targets", "", state.registry.targets().count() as u64);
    let hosts = state.rollouts.iter().flat_map(Rollouts::hosts);
    for (back_end, host) in hosts {
        for (version, sent) in ["old", "new"].into_iter().zip(host.sent()) {
            let labels = format!("back_end=\"{back_end}\",version=\"{version}\"");
            write_line(&mut page, "wagtailmoor_rollout_requests_total", &labels, sent);
        }
        let rollout = host.policy().row().and_then(|row| row.rollout.as_ref());
        if let Some(rollout) = rollout {
            let (to, phase) = (&rollout.to, host.phase().unwrap_or(rollout.phase));
            let labels = format!("back_end=\"{back_end}\",to={to:?},state=\"{phase}\"");
            write_line(&mut page, "wagtailmoor_rollout_state", &labels, 1);
        }
    }
    let named = state.room.named_targets() as u64;
    write_line(&mut page, "wagtailmoor_targets_short_of_room", "", named);
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
