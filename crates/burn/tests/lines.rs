//! Tests the parsing of metrics. A misread metric makes every value of the report wrong.

use std::net::UdpSocket;
use std::time::Duration;

use rstest::rstest;
use wagtailmoor_burn::{LineError, MetricAggregator, Objectives, StatsdLine, UnixMillis};
use wagtailmoor_core::{Outcome, Reason};
use wagtailmoor_telemetry::{Metrics, RequestSample};

const TAGS: &str = "#customer:a,template:t,outcome:answered,reason:-,status:200";

/// Guards against a malformed line that is accepted, panics or is reported with the wrong error.
#[rstest]
#[case("", LineError::Format)]
#[case("wagtailmoor.requests", LineError::Format)]
#[case("wagtailmoor.requests:1", LineError::Format)]
#[case("wagtailmoor.requests:|c", LineError::Format)]
#[case(":1|c", LineError::Format)]
#[case("wagtailmoor.requests:x|c|TAGS", LineError::Value)]
#[case("wagtailmoor.requests:-1|c|TAGS", LineError::Value)]
#[case("wagtailmoor.requests:18446744073709551615|c|TAGS", LineError::Value)]
#[case("wagtailmoor.requests:1|g|TAGS", LineError::Value)]
#[case("wagtailmoor.latency:1.5|ms|TAGS", LineError::Value)]
#[case("wagtailmoor.latency:1|c|TAGS", LineError::Value)]
#[case("wagtailmoor.latency:1|ms|@0.1|TAGS", LineError::Extension)]
#[case("wagtailmoor.latency:1|ms|TAGS|@0.1", LineError::Extension)]
#[case("wagtailmoor.requests:1|c", LineError::Tag { tag: "customer" })]
#[case("wagtailmoor.requests:1|c|#customer:a,templ", LineError::Tag { tag: "template" })]
#[case("wagtailmoor.requests:1|c|#customer:A B,template:t", LineError::Tag { tag: "customer" })]
#[case("wagtailmoor.requests:1|c|#customer:a,template:t", LineError::Tag { tag: "outcome" })]
#[case(
    "wagtailmoor.requests:1|c|#customer:a,template:t,outcome:not-run,reason:later",
    LineError::Tag { tag: "reason" }
)]
fn malformed_line_is_rejected(#[case] line: &str, #[case] error: LineError) {
    assert_eq!(line.replace("TAGS", TAGS).parse::<StatsdLine>(), Err(error));
}

/// Guards against a malformed line that is not reported or that causes adjacent valid lines to be
/// lost.
#[test]
fn malformed_line_affects_no_other_line() {
    let mut aggregator = MetricAggregator::new(Objectives::default(), Vec::new());
    let valid_line = format!("wagtailmoor.latency:3|ms|{TAGS}");
    aggregator.add_recorded_line(&format!("1000000 {valid_line}"));
    aggregator.add_recorded_line(&valid_line);
    aggregator.add_recorded_line("1000001 wagtailmoor.latency:3|ms|#cust");
    aggregator.add_datagram(
        UnixMillis::new(1_000_002),
        &format!("junk\n{valid_line}\n\nother.gauge:1|g\n"),
    );
    let report = aggregator.report(UnixMillis::new(1_000_002));
    let input = &report.input;
    assert_eq!((input.lines, input.malformed, input.other, input.timed), (6, 3, 1, 2));
    let faults: Vec<&str> = input.examples.iter().map(|example| &*example.fault).collect();
    let expected = [
        "no time stamp in milliseconds",
        "missing or wrong tag customer",
        "not of the form name:value|type",
    ];
    assert_eq!(faults, expected);
    assert_eq!(report.total[0].counts.good, 2);
}

/// Guards against a format of emitted metrics that the report cannot parse.
#[test]
fn emitted_metrics_are_parsed() {
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    socket.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    let metrics = Metrics::to(socket.local_addr().unwrap()).unwrap();
    let (customer, template) = ("hotel-sur".parse().unwrap(), "reviews".parse().unwrap());
    let answered = RequestSample {
        customer: Some(&customer),
        template: Some(&template),
        outcome: Outcome::Answered,
        reason: None,
        status: 200,
        latency: Duration::from_millis(20),
    };
    let duplicate =
        RequestSample { reason: Some(Reason::Duplicate), status: 409, ..answered.clone() };
    let refused = RequestSample {
        customer: None,
        template: None,
        outcome: Outcome::NotRun,
        reason: Some(Reason::NotReady),
        ..answered.clone()
    };
    [&answered, &duplicate, &refused].iter().for_each(|sample| metrics.request(sample));
    metrics.gauge("requests_running", 1);
    metrics.flush();
    let mut aggregator = MetricAggregator::new(Objectives::default(), Vec::new());
    let (at, mut datagram) = (UnixMillis::new(1_000_000), [0; 2_048]);
    while aggregator.report(at).input.lines < 7 {
        let length = socket.recv(&mut datagram).unwrap();
        aggregator.add_datagram(at, std::str::from_utf8(&datagram[..length]).unwrap());
    }
    let report = aggregator.report(at);
    assert_eq!((report.input.malformed, report.input.other), (0, 1));
    let counts = report.total[0].counts;
    assert_eq!((counts.good, counts.errors, counts.excluded), (1, 1, 1));
}
