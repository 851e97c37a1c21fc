//! Tests reports of constructed metrics.

use rstest::rstest;
use wagtailmoor_burn::{
    Indicator, MetricAggregator, Objectives, Report, Severity, UnixMillis, Window, report_page,
    report_table,
};

const AT: UnixMillis = UnixMillis::new(1_800_000_000_000);

/// Requests of one customer: customer, number of requests, outcome, reason, latency in ms.
type Group = (&'static str, u64, &'static str, &'static str, u64);

fn report(groups: &[Group]) -> Report {
    let customers = ["small", "absent"].map(|customer| customer.parse().unwrap());
    let mut aggregator = MetricAggregator::new(Objectives::default(), customers.into());
    for (customer, requests, outcome, reason, latency_ms) in groups {
        let tags = format!("#customer:{customer},template:t,outcome:{outcome},reason:{reason}");
        aggregator.add_datagram(AT, &format!("wagtailmoor.requests:{requests}|c|{tags}"));
        let latency = format!("wagtailmoor.latency:{latency_ms}|ms|{tags}");
        (0..*requests).for_each(|_| aggregator.add_datagram(AT, &latency));
    }
    aggregator.report(AT)
}

fn customers(report: &Report) -> Vec<&str> {
    let mut customers: Vec<&str> =
        report.rows.iter().filter_map(|row| Some(row.subject.as_ref()?.customer_text())).collect();
    customers.dedup();
    customers
}

/// Guards against refusals above a customer's rate limit that use its budget or fire an alert.
#[test]
fn refusals_above_rate_use_no_budget() {
    let report = report(&[
        ("loud", 100, "answered", "-", 10),
        ("loud", 50_000, "not-run", "rate-exceeded", 0),
    ]);
    assert_eq!(report.severity(), None);
    for row in report.rows.iter().chain(&report.total) {
        assert_eq!((row.used.get(), row.budget.judged), (0.0, 100));
        assert_eq!((row.counts.excluded, row.achieved), (50_000, Some(1.0)));
    }
}

/// Guards against a total dominated by a large customer that hides the failures of a small one.
#[test]
fn a_starved_small_customer_is_first() {
    let report = report(&[
        ("large", 20_000, "answered", "-", 10),
        ("large", 3, "not-run", "queue-full", 0),
        ("middle", 900, "answered", "-", 10),
        ("middle", 4, "answered", "-", 900),
        ("small", 8, "not-run", "credit-unavailable", 0),
    ]);
    assert_eq!(customers(&report), ["small", "middle", "large"]);
    assert_eq!(report.rows[0].achieved, Some(0.0));
    assert_eq!(report.rows[0].severity(), Some(Severity::Page));
    assert!(report.rows[1..].iter().all(|row| row.severity().is_none()));
    assert!(report.total.iter().all(|row| row.severity().is_none() && row.used.get() < 1.0));
    assert_eq!(report.severity(), Some(Severity::Page));
    assert_eq!(report.silent, ["absent".parse().unwrap()]);
}

/// Guards against a changed boundary of the latency objective, and against slow answers that use
/// the availability budget.
#[rstest]
#[case(250, 0, 0.0)]
#[case(251, 50, 50.0)]
fn slow_answers_use_the_latency_budget(
    #[case] latency_ms: u64,
    #[case] slow: u64,
    #[case] burn: f64,
) {
    let report = report(&[("a", 50, "answered", "-", 10), ("a", 50, "answered", "-", latency_ms)]);
    let row = |indicator: Indicator| {
        report.rows.iter().find(|row| row.indicator == indicator).expect("has both rows")
    };
    let latency = row(Indicator::Latency);
    assert_eq!(latency.counts.slow, slow);
    assert!((latency.burn(Window::Minutes5).get() - burn).abs() < 1e-9);
    assert_eq!(row(Indicator::Availability).used.get(), 0.0);
}

/// Guards against alerts and notes missing from the text or the page, and against input that the
/// page does not escape.
#[test]
fn text_and_page_contain_alerts_and_notes() {
    let mut aggregator = MetricAggregator::new(Objectives::default(), Vec::new());
    let tags = "#customer:a,template:t,outcome:not-run,reason:queue-full";
    aggregator.add_datagram(AT, &format!("wagtailmoor.requests:9|c|{tags}\n<script>&"));
    let tags = "#customer:a,template:t,outcome:answered,reason:-";
    aggregator.add_datagram(AT, &format!("wagtailmoor.requests:3|c|{tags}"));
    let report = aggregator.report(AT);
    let table = report_table(&report);
    assert!(table.contains("page 1h/5m, page 6h/30m, ticket 3d/6h"), "{table}");
    assert!(table.contains("1 malformed lines"), "{table}");
    assert!(table.contains("3 answered requests were counted, 0 have a latency"), "{table}");
    let page = report_page(&report).unwrap();
    assert_eq!(page.matches("<svg").count(), report.total.len() + report.rows.len());
    assert!(page.contains("&lt;script&gt;&amp;") && !page.contains("<script"));
}
