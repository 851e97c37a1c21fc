//! Tests of validation, access decisions and propagation.

use std::time::Duration;

use rstest::rstest;
use wagtailmoor_configuration::{
    BackEndKind, BackEndTemplate, Change, ChangeError, ChangeRecord, ColdStart, Configuration,
    Customer, GrantCheck, IdempotencyKeyUse, MergeOutcome, Objective, PathPattern, Propagation,
    RefusalTrust, RouteTemplate, ServiceState, Snapshot, Template,
};
use wagtailmoor_core::{
    ConfigVersion, Instant, KeyDigest, PartsPerMillion, Reason, Requests, RequestsPerSecond, Weight,
};

const SECRET: &[u8] = b"secret-of-anna";

fn back_end(name: &str, kind: BackEndKind) -> BackEndTemplate {
    BackEndTemplate {
        back_end: name.parse().unwrap(),
        kind,
        grants: GrantCheck::Checked,
        slots: 2,
        in_flight_max: None,
        connections_max: 130,
        request_max_ms: 400,
        cold: ColdStart::default(),
        refusals: RefusalTrust::Trusted,
        hedge: false,
        server_capacity_per_s: None,
        body_pause_max_ms: None,
    }
}

fn route(name: &str, path: &str, method: &str, back_end: &str) -> RouteTemplate {
    RouteTemplate {
        route: name.into(),
        path: path.parse().unwrap(),
        methods: vec![method.into()],
        back_end: back_end.parse().unwrap(),
        open: false,
        idempotent: true,
        idempotency_key: IdempotencyKeyUse::Required,
    }
}

fn template() -> Template {
    Template {
        template: "reviews".parse().unwrap(),
        back_ends: vec![
            back_end("feed", BackEndKind::Keyed),
            back_end("publish", BackEndKind::Pooled),
        ],
        routes: vec![
            route("feed", "/feed/{key}/**", "GET", "feed"),
            RouteTemplate {
                idempotent: false,
                ..route("reply", "/reply/{key}", "POST", "publish")
            },
            route("badge", "/badge/{customer}", "GET", "publish"),
            RouteTemplate { open: true, ..route("status", "/status", "GET", "publish") },
        ],
        objective: Objective::default(),
        key_staleness_max_ms: 300_000,
        static_share_ppm: PartsPerMillion::new(100_000),
    }
}

fn customer(name: &str) -> Customer {
    Customer {
        customer: name.parse().unwrap(),
        template: "reviews".parse().unwrap(),
        rate_per_s: RequestsPerSecond::new(100),
        burst: Requests::new(50),
        weight: Weight::new(1),
        open_routes: vec!["badge".into()],
        non_idempotent_routes: Vec::new(),
    }
}

fn grant(secret: &[u8], key: &str, customer: &str) -> Change {
    Change::GrantKey {
        key: key.parse().unwrap(),
        digest: KeyDigest::of(secret),
        customer: customer.parse().unwrap(),
    }
}

fn records(changes: Vec<Change>) -> Vec<ChangeRecord> {
    changes
        .into_iter()
        .zip(1..)
        .map(|(change, version)| ChangeRecord {
            version: ConfigVersion::new(version),
            author: "test".into(),
            made_unix_ms: 0,
            change,
        })
        .collect()
}

fn sample_records() -> Vec<ChangeRecord> {
    records(vec![
        Change::ApplyTemplate(template()),
        Change::SetCustomer(customer("anna")),
        Change::SetCustomer(customer("bert")),
        grant(SECRET, "anna-1", "anna"),
    ])
}

fn configuration() -> Configuration {
    let mut configuration = Configuration::default();
    sample_records().iter().for_each(|record| configuration.apply(record).unwrap());
    configuration
}

// Guards against a request that runs for a customer other than that of its key, or without a key on
// a route that is not open.
#[rstest]
#[case::keyed(Some(SECRET), "GET", "/feed/t1/page", Ok("feed"))]
#[case::wrong_key(Some(b"other".as_slice()), "GET", "/feed/t1/page", Err(Reason::KeyRefused))]
#[case::no_key(None, "GET", "/feed/t1/page", Err(Reason::KeyMissing))]
#[case::open(None, "GET", "/status", Ok("status"))]
#[case::open_for_customer(None, "GET", "/badge/anna", Ok("badge"))]
#[case::open_for_nobody(None, "GET", "/badge/nobody", Err(Reason::KeyMissing))]
#[case::other_customer(Some(SECRET), "GET", "/badge/bert", Err(Reason::RouteForbidden))]
#[case::wrong_method(Some(SECRET), "DELETE", "/feed/t1/page", Err(Reason::RouteUnknown))]
#[case::empty_key(Some(SECRET), "GET", "/feed//page", Err(Reason::RouteUnknown))]
fn admits_only_what_the_customer_may_run(
    #[case] secret: Option<&[u8]>,
    #[case] method: &str,
    #[case] path: &str,
    #[case] expected: Result<&str, Reason>,
) {
    let configuration = configuration();
    let digest = secret.map(KeyDigest::of);
    let admitted = configuration.admit(digest.as_ref(), method, path);
    assert_eq!(admitted.map(|found| found.route.route.to_string()), expected.map(String::from));
}

// Guards against a withdrawn key that is accepted by a node that has the change.
#[test]
fn refuses_a_withdrawn_key() {
    let mut changes = sample_records();
    changes.extend(
        records(vec![Change::WithdrawKey("anna-1".parse().unwrap())])
            .into_iter()
            .map(|record| ChangeRecord { version: ConfigVersion::new(5), ..record }),
    );
    let mut configuration = Configuration::default();
    changes.iter().for_each(|record| configuration.apply(record).unwrap());
    let digest = KeyDigest::of(SECRET);
    let refused = configuration.admit(Some(&digest), "GET", "/feed/t1/page");
    assert_eq!(refused.map(|_| ()), Err(Reason::KeyRefused));
}

// Guards against an invalid customer that is accepted or partly applied, and against an error that
// does not name the field.
#[rstest]
#[case::rate(|c: &mut Customer| c.rate_per_s = RequestsPerSecond::new(0), "rate_per_s")]
#[case::burst(|c: &mut Customer| c.burst = Requests::new(0), "burst")]
#[case::route(|c: &mut Customer| c.open_routes = vec!["none".into()], "open_routes[none]")]
#[case::not_scoped(|c: &mut Customer| c.open_routes = vec!["feed".into()], "open_routes[feed]")]
fn refuses_an_invalid_customer(#[case] edit: fn(&mut Customer), #[case] field: &str) {
    let mut configuration = configuration();
    let before = configuration.clone();
    let mut invalid = customer("anna");
    edit(&mut invalid);
    let record = ChangeRecord {
        version: ConfigVersion::new(5),
        author: "test".into(),
        made_unix_ms: 0,
        change: Change::SetCustomer(invalid),
    };
    let error = configuration.apply(&record).unwrap_err();
    assert!(error.to_string().contains(field), "{error}");
    assert_eq!(configuration, before);
}

#[rstest]
#[case::unknown_back_end(|t: &mut Template| t.routes[0].back_end = "x".parse().unwrap())]
#[case::keyed_without_key(|t: &mut Template| t.routes[0].path = "/feed/**".parse().unwrap())]
#[case::twice(|t: &mut Template| t.routes[1].route = "feed".into())]
#[case::slow_keyed(|t: &mut Template| t.back_ends[0].request_max_ms = 501)]
#[case::lower_case(|t: &mut Template| t.routes[0].methods = vec!["get".into()])]
fn refuses_an_invalid_template(#[case] edit: fn(&mut Template)) {
    let mut invalid = template();
    edit(&mut invalid);
    assert!(matches!(invalid.check(), Err(ChangeError::InvalidField { .. })));
}

#[rstest]
#[case("feed/{key}")]
#[case("/a/{key}/{key}")]
#[case("/a/{other}")]
#[case("/a**")]
fn refuses_an_invalid_path_pattern(#[case] text: &str) {
    assert!(text.parse::<PathPattern>().is_err());
}

// Guards against a node that applies changes out of order or returns to an older version.
#[test]
fn never_goes_back_and_never_skips() {
    let records = sample_records();
    let mut node = Propagation::default();
    assert_eq!(node.merge_changes(&records[1..]), MergeOutcome::Gap);
    assert_eq!(node.version(), ConfigVersion::new(0));
    assert_eq!(node.merge_changes(&records), MergeOutcome::Advanced(ConfigVersion::new(4)));
    assert_eq!(node.merge_changes(&records[..2]), MergeOutcome::Unchanged);
    let mut older = Configuration::default();
    older.apply(&records[0]).unwrap();
    assert_eq!(node.merge_snapshot(Snapshot::of(&older)), MergeOutcome::Unchanged);
    assert_eq!(node.version(), ConfigVersion::new(4));
}

// Guards against a new node that treats its empty configuration as the one in force.
#[test]
fn is_unknown_until_the_store_or_a_peer_confirms_its_version() {
    let now = Instant::from_us(10_000_000);
    let mut node = Propagation::default();
    node.on_peer(now, ConfigVersion::new(4), Some(Duration::ZERO));
    assert!(!node.is_known());
    node.merge_changes(&sample_records());
    assert!(node.is_known());
    node.on_peer(now, ConfigVersion::new(4), Some(Duration::from_secs(2)));
    assert_eq!(node.age(now), Some(Duration::from_secs(2)));
}

// Guards against an old configuration that counts as fresh because a peer with a newer version
// reported a low age.
#[test]
fn takes_freshness_only_from_peers_without_a_newer_version() {
    let now = Instant::from_us(10_000_000);
    let mut node = Propagation::default();
    node.merge_changes(&sample_records());
    node.on_peer(now, ConfigVersion::new(5), Some(Duration::ZERO));
    assert_eq!(node.age(now), None);
    node.on_peer(now, ConfigVersion::new(3), Some(Duration::from_secs(1)));
    assert_eq!(node.age(now), Some(Duration::from_secs(1)));
}

// Guards against two versions that differ only by a zone out of service and yield different issuers
// for a customer.
#[test]
fn home_zone_does_not_depend_on_the_state_of_zones() {
    let zone = |name: &str, state| Change::SetZone {
        zone: name.parse().unwrap(),
        region: "r1".parse().unwrap(),
        state,
    };
    let mut changes: Vec<Change> =
        sample_records().into_iter().map(|record| record.change).collect();
    changes.extend(["a", "b", "c"].map(|name| zone(name, ServiceState::In)));
    let before = apply_all(changes.clone());
    changes.push(zone("a", ServiceState::Out));
    let after = apply_all(changes);
    for name in ["anna", "bert"] {
        let customer = name.parse().unwrap();
        assert_eq!(before.home_zone(&customer), after.home_zone(&customer));
    }
    assert!(!after.is_zone_in_service(&"a".parse().unwrap()));
}

fn apply_all(changes: Vec<Change>) -> Configuration {
    let mut configuration = Configuration::default();
    records(changes).iter().for_each(|record| configuration.apply(record).unwrap());
    configuration
}
