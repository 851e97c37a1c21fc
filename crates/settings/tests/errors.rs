//! Tests that errors in YAML files name the file, the line and the field.

use std::path::Path;

use rstest::rstest;
use wagtailmoor_settings::{ChangeFile, EntrySettings, parse};

const ENTRY: &str = "node: a-1
host: host-a1
zone: a
region: south
rack: r1
listen: 127.0.0.1:8080
control: 127.0.0.1:9080
platform: 127.0.0.1:7000
front:
  queue_max: 16
  queue_customer_max: 8
";

fn entry(text: &str) -> Result<EntrySettings, String> {
    let path = Path::new("entry.yaml");
    let settings: EntrySettings = parse(path, text).map_err(|error| error.to_string())?;
    settings.check(path).map_err(|error| error.to_string())?;
    Ok(settings)
}

#[test]
fn accepts_a_full_file() {
    assert_eq!(entry(ENTRY).unwrap().front.queue_max, 16);
}

// Guards against error messages from which an operator cannot find the invalid line.
#[rstest]
#[case::wrong_type("queue_max: 16", "queue_max: many", "entry.yaml:10:", "front.queue_max")]
#[case::unknown("rack: r1", "rack: r1\nspeed: 3", "entry.yaml:6:", "speed")]
#[case::bad_id("zone: a", "zone: Zone A", "entry.yaml:3:", "zone")]
#[case::bad_address("listen: 127.0.0.1:8080", "listen: here", "entry.yaml:6:", "listen")]
#[case::contradiction(
    "queue_customer_max: 8",
    "queue_customer_max: 80",
    "entry.yaml:",
    "front.queue_customer_max"
)]
#[case::same_port("control: 127.0.0.1:9080", "control: 127.0.0.1:8080", "entry.yaml:", "control")]
fn errors_name_file_line_and_field(
    #[case] valid: &str,
    #[case] invalid: &str,
    #[case] location: &str,
    #[case] field: &str,
) {
    let error = entry(&ENTRY.replace(valid, invalid)).unwrap_err();
    assert!(error.starts_with(location), "{error}");
    assert!(error.contains(field), "{error}");
}

#[test]
fn errors_name_a_missing_field() {
    let error = entry(&ENTRY.replace("zone: a\n", "")).unwrap_err();
    assert!(error.contains("zone"), "{error}");
}

#[test]
fn refuses_an_unknown_field_of_a_route() {
    let text = "templates:
  - template: t
    back_ends: []
    routes:
      - {route: r, path: /x, methods: [GET], back_end: b, idempotent: true, opened: true}
";
    let error = parse::<ChangeFile>(Path::new("site.yaml"), text).unwrap_err().to_string();
    assert!(error.starts_with("site.yaml:5:"), "{error}");
    assert!(error.contains("opened"), "{error}");
}
