//! Tests of scenario files and of the plans made from them.

use std::path::{Path, PathBuf};

use rstest::rstest;
use wagtailmoor_load::{PlannedRequest, Scenario, ScenarioError, plan};

const SCENARIO: &str = "\
name: small
duration_ms: 1000
max_requests: 100
customers:
  - {customer: c-1, key: k, rate: 10, burst: 10, share: 1}
workloads:
  - name: read
    path: /feeds/{key}
    rate: 50
    keys: {count: 10}
    customers: [{customer: c-1, share: 1}]
timeline:
  - {at_ms: 10, name: crash, control: targets/t-1/crash}
";

fn scenarios() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../scenarios")
}

fn parse(text: &str) -> Result<Scenario, ScenarioError> {
    Scenario::parse(text, Path::new("small.yaml"))
}

// Fails if an error does not name the file, the line and the field.
#[rstest]
#[case::unknown_field("rate: 50", "rate: 50\n    colour: red", 10, "colour")]
#[case::wrong_type("rate: 50", "rate: fast", 9, "fast")]
// A missing field is reported at the line of the last field of its mapping.
#[case::missing_field("    rate: 50\n", "", 10, "rate")]
#[case::invalid_id("customer: c-1, key", "customer: C 1, key", 5, "C 1")]
#[case::unknown_customer("[{customer: c-1", "[{customer: c-2", 11, "customers.customer")]
#[case::no_keys("count: 10", "count: 0", 10, "keys.count")]
#[case::keys_without_placeholder("/feeds/{key}", "/feeds", 8, "workloads.path")]
#[case::late_step("at_ms: 10", "at_ms: 2000", 13, "timeline.at_ms")]
#[case::step_without_action(", control: targets/t-1/crash", "", 13, "timeline.control")]
#[case::body_without_control("control: targets/t-1/crash", "announce: x, body: {}", 13, "body")]
fn errors_name_file_line_and_field(
    #[case] old: &str,
    #[case] new: &str,
    #[case] line: u32,
    #[case] field: &str,
) {
    assert!(SCENARIO.contains(old));
    let error = parse(&SCENARIO.replace(old, new)).unwrap_err().to_string();
    assert!(error.contains("small.yaml"), "{error}");
    assert!(error.contains(&format!("line {line}")), "{error}");
    assert!(error.contains(field), "{error}");
}

// Fails if a scenario file of the repository is not valid.
#[rstest]
#[case("resena-austral.yaml")]
#[case("fraser-valley.yaml")]
fn scenarios_are_valid(#[case] name: &str) {
    let scenario = Scenario::read(&scenarios().join(name)).unwrap();
    assert_eq!(scenario.customers.len(), 8);
}

// Fails if a stand-in settings file of the repository is not valid, or lacks a target that the
// timeline of the scenario with the same name controls.
#[rstest]
#[case("resena-austral.yaml")]
#[case("fraser-valley.yaml")]
fn stand_in_settings_have_all_targets_of_the_timeline(#[case] name: &str) {
    let path = scenarios().join("standin").join(name);
    let settings = wagtailmoor_standin::Settings::read(&path).unwrap();
    let targets: Vec<_> =
        settings.expanded().iter().map(|target| target.target.to_string()).collect();
    let scenario = Scenario::read(&scenarios().join(name)).unwrap();
    let controls = scenario.timeline.iter().filter_map(|step| step.control.as_deref());
    let control_paths: Vec<_> = controls.filter_map(|path| path.strip_prefix("targets/")).collect();
    assert!(!control_paths.is_empty());
    for path in control_paths {
        let target = path.split('/').next().unwrap();
        assert!(targets.iter().any(|id| id == target), "{target}");
    }
}

// Fails if two plans of a scenario differ, or if the order, bound or rate of a plan is wrong.
#[test]
fn plans_are_deterministic_and_bounded() {
    let scenario = parse(SCENARIO).unwrap();
    let first = plan(&scenario);
    assert_eq!(first, plan(&scenario));
    assert!(first.is_sorted_by_key(|request| request.at_us));
    assert!(first.iter().all(|request| request.at_us < 1_000_000));
    // Poisson arrivals with a mean of 50: five standard deviations around the mean.
    assert!((15..=85).contains(&first.len()), "{}", first.len());
    let bounded = parse(&SCENARIO.replace("max_requests: 100", "max_requests: 7"));
    assert_eq!(plan(&bounded.unwrap()).len(), 7);
}

// Fails if a repeated request differs from the first in path, customer or idempotency key.
#[test]
fn repeated_requests_have_the_same_idempotency_key() {
    let repeated = "rate: 50\n    idempotency_keys: true\n    repeated_ppm: 1000000";
    let planned = plan(&parse(&SCENARIO.replace("rate: 50", repeated)).unwrap());
    let with_number = |number: Option<usize>| -> Vec<&PlannedRequest> {
        planned.iter().filter(|request| request.idempotency_number == number).collect()
    };
    for request in &planned {
        let pair = with_number(request.idempotency_number);
        assert_eq!(pair.len(), 2, "{request:?}");
        assert_eq!((&pair[0].key, pair[0].number), (&pair[1].key, pair[1].number));
        assert_eq!(pair[0].customer, pair[1].customer);
    }
}

// Fails if keys with skew are used evenly, or if the most used key does not change.
#[test]
fn the_most_used_key_changes_over_time() {
    let keys = "keys: {count: 10, skew: 3.0, moves_every_ms: 500}";
    let text = SCENARIO.replace("keys: {count: 10}", keys).replace("rate: 50", "rate: 5000");
    let planned = plan(&parse(&text.replace("100\n", "9000\n")).unwrap());
    let most_used_key = |from_us: u64| {
        let requests =
            planned.iter().filter(|each| (from_us..from_us + 500_000).contains(&each.at_us));
        let keys: Vec<_> = requests.filter_map(|request| request.key.as_deref()).collect();
        let count = |key: &str| keys.iter().filter(|other| **other == key).count();
        let most = keys.iter().max_by_key(|key| count(key)).unwrap();
        assert!(2 * count(most) > keys.len());
        (*most).to_owned()
    };
    assert_ne!(most_used_key(0), most_used_key(500_000));
}
