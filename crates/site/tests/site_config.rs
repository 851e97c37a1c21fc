//! Tests of what a configuration derives from all of its routes, and of elements that are given
//! more than once.

use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use wagtailmoor_core::{ConfigVersion, KeyDigest, Requests, RequestsPerSecond, Weight};
use wagtailmoor_site::{
    BackEndRule, ClientLimits, CustomerRule, RouteRule, SiteConfig, SplitPart, UnusableElements,
};

fn route(prefix: &str, back_ends: &[&str], objective_ms: u64, timeout_ms: u64) -> RouteRule {
    let part = |name: &&str| SplitPart { back_end: name.parse().unwrap(), weight: Weight::new(1) };
    RouteRule {
        name: prefix.into(),
        host: "a.example".into(),
        prefix: prefix.into(),
        split: back_ends.iter().map(part).collect(),
        idempotent: true,
        bulk: false,
        streamed: false,
        timeout: Duration::from_millis(timeout_ms),
        objective: Duration::from_millis(objective_ms),
        attempts_max: 1,
        priority: 0,
        open: true,
    }
}

fn back_end(name: &str, connections_max: u32) -> BackEndRule {
    BackEndRule {
        back_end: name.parse().unwrap(),
        health_path: "/".into(),
        connections_max,
        cold_per_1000_s: 0,
        keyed: false,
        warm_up: Duration::ZERO,
    }
}

fn customer(name: &str, rate_per_s: u32) -> CustomerRule {
    CustomerRule {
        customer: name.parse().unwrap(),
        priority: None,
        rate: RequestsPerSecond::new(rate_per_s),
        burst: Requests::new(0),
    }
}

fn key(number: u32) -> KeyDigest {
    KeyDigest::of(&number.to_be_bytes())
}

fn config(
    routes: Vec<RouteRule>,
    back_ends: Vec<BackEndRule>,
    customers: Vec<(CustomerRule, Vec<KeyDigest>)>,
) -> SiteConfig {
    let version = ConfigVersion::new(1);
    let routes = routes.into_iter().map(Arc::new).collect();
    SiteConfig::new(version, routes, back_ends, customers, ClientLimits::default())
}

// Guards against times of a back end that miss one of its routes, such as its share of a split
// route, or that include a route to another back end.
#[rstest]
#[case::only_route("one", Some(30), 900)]
#[case::split_route("two", Some(20), 800)]
#[case::several_routes("three", Some(10), 800)]
#[case::no_route("four", None, 0)]
fn times_of_a_back_end_are_those_of_its_routes(
    #[case] name: &str,
    #[case] objective_ms: Option<u64>,
    #[case] timeout_ms: u64,
) {
    let routes = vec![
        route("/x/", &["three"], 10, 700),
        route("/y/", &["one"], 30, 900),
        route("/z/", &["two", "three"], 20, 800),
    ];
    let config = config(routes, Vec::new(), Vec::new());
    let config = config.with_unusable(UnusableElements::default());
    let name = name.parse().unwrap();
    assert_eq!(config.objective(&name), objective_ms.map(Duration::from_millis));
    assert_eq!(config.longest_timeout(&name), Duration::from_millis(timeout_ms));
}

// Guards against a site with uploads on which targets are not limited, since a target with too many
// uploads crashes.
#[rstest]
#[case::none([false, false], false)]
#[case::first([true, false], true)]
#[case::last([false, true], true)]
fn one_streamed_route_is_enough(#[case] streamed: [bool; 2], #[case] expected: bool) {
    let routes = streamed
        .iter()
        .enumerate()
        .map(|(n, &streamed)| RouteRule { streamed, ..route(&format!("/{n}/"), &["one"], 1, 1) });
    assert_eq!(config(routes.collect(), Vec::new(), Vec::new()).streams_requests(), expected);
}

// Guards against a key that belongs to another customer, and against the former of two descriptions
// being in force, after the elements are sorted.
#[test]
fn last_of_equal_elements_is_in_force() {
    let customers =
        (0..100).rev().map(|n| (customer(&format!("c{n}"), n), vec![key(n), key(1_000)]));
    let customers = customers.chain([(customer("c7", 500), vec![key(7)])]).collect();
    let back_ends = vec![back_end("b", 1), back_end("a", 2), back_end("b", 3)];
    let config = config(Vec::new(), back_ends, customers);
    for n in (0..100).filter(|n| *n != 7) {
        assert_eq!(config.customer_of(&key(n)).unwrap().rate.get(), n);
    }
    assert_eq!(config.customer_of(&key(7)).unwrap().rate.get(), 500);
    assert_eq!(config.customer_of(&key(1_000)).unwrap().customer.as_str(), "c0");
    assert_eq!(config.back_end(&"b".parse().unwrap()).unwrap().connections_max, 3);
    assert_eq!(config.customers().count(), 100);
}
