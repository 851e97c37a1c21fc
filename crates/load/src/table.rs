//! Formats reports as text tables.

use std::fmt::Write;

use crate::report::RequestStats;
use crate::{DirectComparison, Report};

/// Returns the report of a run as text.
pub fn report_table(report: &Report) -> String {
    let mut text = String::new();
    let facts = &report.facts;
    // Writing to a string cannot fail.
    let _ = writeln!(
        text,
        "{}: {} requests planned in {} ms, {} overflow, {} connections, start lag p99 {} us",
        facts.scenario,
        facts.planned,
        facts.duration_ms,
        facts.overflow,
        facts.connections_opened,
        report.start_lag.p99_us
    );
    let _ = writeln!(
        text,
        "\n{:<22} {:>8} {:>9} {:>8} {:>8} {:>8} {:>9} {:>9} {:>9}",
        "slice",
        "requests",
        "success",
        "refused",
        "repeated",
        "unknown",
        "p50 ms",
        "p99 ms",
        "p999 ms"
    );
    let all_stats =
        std::iter::once(&report.overall).chain(&report.workloads).chain(&report.customers);
    all_stats.for_each(|stats| text.push_str(&stats_row(stats)));
    let worst = report.worst_customer.as_deref().unwrap_or("-");
    let _ = writeln!(
        text,
        "\nworst customer {worst}, refused within rate {}, owner changes {} on {} keys",
        report.refused_within_rate(),
        report.owner_changes,
        report.keys_moved
    );
    for refusals in report
        .rate_refusals
        .iter()
        .filter(|refusals| refusals.within_rate + refusals.above_rate > 0)
    {
        let _ = writeln!(
            text,
            "rate refusals {}: {} within rate, {} above",
            refusals.customer, refusals.within_rate, refusals.above_rate
        );
    }
    for balance in &report.balance {
        let _ = writeln!(
            text,
            "back end {}: {} executions at {} targets, busiest {:.2} of mean",
            balance.back_end,
            balance.executions,
            balance.targets,
            f64::from(balance.most_busy_ppm.get()) / 1e6
        );
    }
    for gap in
        report.unavailable.iter().filter(|gap| gap.unavailable_ms + gap.longest_key_gap_ms > 0)
    {
        let _ = writeln!(
            text,
            "unavailable {}: {} ms in all, longest for a key {} ms ({})",
            gap.workload,
            gap.unavailable_ms,
            gap.longest_key_gap_ms,
            gap.key.as_deref().unwrap_or("-")
        );
    }
    for ending in &report.endings {
        let status = ending.status.map_or("none".to_owned(), |status| status.to_string());
        let reason = ending.reason.as_deref().unwrap_or("-");
        let _ = writeln!(text, "status {status} {} {reason}: {}", ending.outcome, ending.count);
    }
    for step in report.facts.steps.iter().filter(|step| step.error.is_some()) {
        let error = step.error.as_deref().unwrap_or_default();
        let _ = writeln!(text, "step failed: {} at {} ms: {error}", step.name, step.at_ms);
    }
    text.push_str(&checks_table(&report.checks));
    text
}

/// Returns the results of the checker as text.
pub fn checks_table(checks: &[wagtailmoor_history::CheckResult]) -> String {
    let mut text = String::new();
    for check in checks {
        let _ = writeln!(
            text,
            "check {:<20} {:>8} examined {:>6} skipped {:>6} findings",
            check.name, check.examined, check.skipped, check.findings
        );
        check.details.iter().for_each(|detail| {
            let _ = writeln!(text, "  {detail}");
        });
    }
    text
}

/// Returns two reports side by side, with the ratio of each figure.
pub fn compare_table(left: &Report, right: &Report) -> String {
    let mut text = String::new();
    let mut row = |name: &str, left: f64, right: f64| {
        let ratio = if left == 0.0 { "-".to_owned() } else { format!("{:.3}", right / left) };
        let _ = writeln!(text, "{name:<34} {left:>12.3} {right:>12.3} {ratio:>8}");
    };
    for (left, right) in compared_figures(left).into_iter().zip(compared_figures(right)) {
        row(left.0, left.1, right.1);
    }
    for left in &left.workloads {
        if let Some(right) = right.workloads.iter().find(|right| right.name == left.name) {
            let (name, ms) = (&left.name, |us: u64| us as f64 / 1e3);
            row(&format!("{name} success"), success_rate(left), success_rate(right));
            row(&format!("{name} p99 ms"), ms(left.latency.p99_us), ms(right.latency.p99_us));
        }
    }
    format!("{:<34} {:>12} {:>12} {:>8}\n{text}", "figure", "A", "B", "B / A")
}

/// Returns the comparison of the direct path with the path through an entry process as text.
pub fn direct_table(direct: &DirectComparison) -> String {
    let mut text = format!(
        "{:<8} {:>8} {:>8} {:>10} {:>10} {:>10}\n",
        "path", "requests", "success", "p50 us", "p99 us", "p999 us"
    );
    for (name, stats) in [("direct", &direct.direct), ("entry", &direct.entry)] {
        let latency = stats.latency;
        let _ = writeln!(
            text,
            "{name:<8} {:>8} {:>8.4} {:>10} {:>10} {:>10}",
            stats.requests,
            success_rate(stats),
            latency.p50_us,
            latency.p99_us,
            latency.p999_us
        );
    }
    let _ = writeln!(
        text,
        "ratio entry / direct: p50 {:.3}, p99 {:.3}",
        f64::from(direct.p50_ratio_ppm.get()) / 1e6,
        f64::from(direct.p99_ratio_ppm.get()) / 1e6
    );
    text
}

/// Returns the figures of a report that are compared, with their names.
fn compared_figures(report: &Report) -> Vec<(&'static str, f64)> {
    let overall = &report.overall;
    let worst = report.customers.iter().map(success_rate).fold(1.0, f64::min);
    let worst_p99 = report.customers.iter().map(|customer| customer.latency.p99_us).max();
    let imbalance = report.balance.iter().map(|balance| balance.most_busy_ppm.get()).max();
    let unavailable: u64 = report.unavailable.iter().map(|workload| workload.unavailable_ms).sum();
    let longest_key_gap_ms =
        report.unavailable.iter().map(|workload| workload.longest_key_gap_ms).max();
    vec![
        ("requests", overall.requests as f64),
        ("success", success_rate(overall)),
        ("p50 ms", overall.latency.p50_us as f64 / 1e3),
        ("p99 ms", overall.latency.p99_us as f64 / 1e3),
        ("p999 ms", overall.latency.p999_us as f64 / 1e3),
        ("worst customer success", worst),
        ("worst customer p99 ms", worst_p99.unwrap_or_default() as f64 / 1e3),
        ("refused within rate", report.refused_within_rate() as f64),
        ("imbalance", f64::from(imbalance.unwrap_or_default()) / 1e6),
        ("owner changes", report.owner_changes as f64),
        ("unavailable ms", unavailable as f64),
        ("longest key gap ms", longest_key_gap_ms.unwrap_or_default() as f64),
        ("unknown outcomes", overall.unknown as f64),
        ("checker findings", report.findings() as f64),
    ]
}

fn stats_row(stats: &RequestStats) -> String {
    let ms = |us: u64| us as f64 / 1e3;
    format!(
        "{:<22} {:>8} {:>9.5} {:>8} {:>8} {:>8} {:>9.2} {:>9.2} {:>9.2}\n",
        stats.name,
        stats.requests,
        success_rate(stats),
        stats.refused,
        stats.duplicates,
        stats.unknown,
        ms(stats.latency.p50_us),
        ms(stats.latency.p99_us),
        ms(stats.latency.p999_us)
    )
}

fn success_rate(stats: &RequestStats) -> f64 {
    f64::from(stats.success_ppm.get()) / 1e6
}
