//! Tests windows and alert rules on constructed series.

use std::time::Duration;

use rstest::rstest;
use wagtailmoor_burn::{AlertRule, Counts, Indicator, Series, UnixMillis, Window};
use wagtailmoor_configuration::Objective;

/// End of the series as a Unix time; 3 days before it is still after the epoch.
const END_MS: u64 = 1_800_000_000_000;
const MINUTE_MS: u64 = 60_000;
const MINUTES_OF_3_DAYS: u64 = 4_320;

/// Returns a series of 3 days with `requests` per minute, of which `bad` fail from `from` to `to`
/// minutes before the end.
fn series(requests: u64, bad: u64, from: u64, to: u64) -> Series {
    let mut series = Series::default();
    for ago in (0..MINUTES_OF_3_DAYS).rev() {
        let errors = if (to..from).contains(&ago) { bad } else { 0 };
        let counts = Counts { good: requests - errors, errors, ..Counts::default() };
        series.add(UnixMillis::new(END_MS - ago * MINUTE_MS), counts);
    }
    series
}

fn alerts(series: &Series) -> Vec<String> {
    let end = UnixMillis::new(END_MS);
    let budget = |window: Window| {
        let counts = series.within(end, window.length());
        Indicator::Availability.budget(&Objective::default(), &counts)
    };
    AlertRule::ALL.iter().filter_map(|rule| rule.evaluate(budget)).map(|a| a.to_string()).collect()
}

/// Guards against alerts that miss sustained burn, or that fire for burn that is brief, has ended
/// or is within the budget. The objective is 99.9%, so 1 in 1,000 requests may fail.
#[rstest]
#[case::nothing_fails(1_000, 0, 4_320, 0, &[])]
#[case::within_the_budget(2_000, 1, 4_320, 0, &[])]
#[case::burn_20_for_an_hour(1_000, 20, 60, 0, &["page 1h/5m"])]
#[case::burn_14_for_an_hour(1_000, 14, 60, 0, &[])]
#[case::burn_200_for_five_minutes(1_000, 200, 5, 0, &["page 1h/5m"])]
#[case::burn_20_until_ten_minutes_ago(1_000, 20, 70, 10, &[])]
#[case::burn_7_for_six_hours(1_000, 7, 360, 0, &["page 6h/30m"])]
#[case::burn_7_until_an_hour_ago(1_000, 7, 420, 60, &[])]
#[case::burn_2_for_three_days(1_000, 2, 4_320, 0, &["ticket 3d/6h"])]
#[case::all_fail(1_000, 1_000, 4_320, 0, &["page 1h/5m", "page 6h/30m", "ticket 3d/6h"])]
#[case::all_of_four_requests_fail(1, 1, 4, 0, &[])]
// 5 failures in 4,320 requests are a burn rate of 1.16 over 3 days.
#[case::all_of_five_requests_fail(1, 1, 5, 0, &["page 1h/5m", "page 6h/30m", "ticket 3d/6h"])]
fn alerts_follow_their_rules(
    #[case] requests: u64,
    #[case] bad: u64,
    #[case] from: u64,
    #[case] to: u64,
    #[case] expected: &[&str],
) {
    assert_eq!(alerts(&series(requests, bad, from, to)), expected);
}

/// Guards against windows that count more or less than their length.
#[rstest]
fn windows_count_exactly_their_length(
    #[values(Window::Minutes5, Window::Minutes30, Window::Hours1, Window::Hours6, Window::Days3)]
    window: Window,
) {
    let counts = series(7, 0, 0, 0).within(UnixMillis::new(END_MS), window.length());
    assert_eq!(counts.good, 7 * window.length().as_secs() / 60);
}

/// Guards against losing counts that arrive out of order, keeping expired counts in memory, and
/// dropping counts that have not expired.
#[test]
fn counts_out_of_order_are_kept_until_expired() {
    let mut series = Series::default();
    let one = Counts { good: 1, ..Counts::default() };
    let end = UnixMillis::new(END_MS);
    let day = Duration::from_secs(86_400);
    for days in [3, 29, 0, 31, 30, 1] {
        series.add(end.before(day * days), one);
    }
    assert_eq!(series.within(end, day * 40).good, 6);
    assert_eq!(series.within(end, day * 2).good, 2);
    assert_eq!(series.within(end.before(day), day * 3).good, 2);
    series.drop_expired(end);
    assert_eq!(series.within(end, day * 40).good, 4);
}
