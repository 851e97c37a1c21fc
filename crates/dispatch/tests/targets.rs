//! Load balancing: slow start, stragglers, zones and members.

use std::time::Duration;

use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;
use rstest::rstest;
use wagtailmoor_core::{Instant, ReportedDuration, Requests, TargetId, ZoneId};
use wagtailmoor_dispatch::{
    BalancingPolicy, Candidate, ChoiceRequest, ColdCause, InFlight, LeastConnections, LoadReport,
    Member, MemberState, Observation, PowerOfTwo, ReportedState, RoundRobin, TargetSettings,
    TargetTable, subset,
};

struct Fixture {
    table: TargetTable,
    random: ChaCha8Rng,
    denied: Vec<TargetId>,
}

fn at_ms(ms: u64) -> Instant {
    Instant::from_us(1_000_000 + ms * 1000)
}

fn id(number: usize) -> TargetId {
    format!("t{number}").parse().expect("valid id")
}

fn zone(number: usize) -> ZoneId {
    format!("z{number}").parse().expect("valid id")
}

fn member(number: usize, zone_number: usize) -> Member {
    let state = MemberState::Live;
    Member { target: id(number), zone: zone(zone_number), slots: Requests::new(4), state }
}

impl Fixture {
    /// Creates a table with one target in each of these zones, as observation from zone 0.
    fn new(zones: &[usize]) -> Self {
        let mut table = TargetTable::new(zone(0), TargetSettings::default());
        let members = zones.iter().enumerate().map(|(number, zone)| member(number, *zone));
        table.set_members(at_ms(0), members.collect());
        Self { table, random: ChaCha8Rng::seed_from_u64(1), denied: Vec::new() }
    }

    fn choose(&mut self, ms: u64, idempotent: bool) -> Option<(TargetId, InFlight<()>)> {
        let choice_request = ChoiceRequest { idempotent, avoid: &[] };
        let denied = &self.denied;
        let mut permits = |_: Instant, target: &TargetId| (!denied.contains(target)).then_some(());
        let random = &mut self.random;
        let chosen =
            self.table.choose(at_ms(ms), choice_request, &mut PowerOfTwo, &mut permits, random)?;
        Some((chosen.target, chosen.in_flight))
    }

    /// Returns how many of 100 requests go to a target when each request ends at once.
    fn count_choices(&mut self, ms: u64, target: usize) -> usize {
        let chosen = (0..100).filter_map(|_| self.choose(ms, true));
        chosen.filter(|(chosen, _)| *chosen == id(target)).count()
    }

    fn answer(&mut self, ms: u64, target: usize, elapsed_ms: u64) {
        let observation =
            Observation::Answered { elapsed: Duration::from_millis(elapsed_ms), cold: false };
        self.table.observe(at_ms(ms), &id(target), &observation);
    }

    fn limit(&self, target: usize) -> Option<u32> {
        self.table.cold_limit(&id(target)).map(Requests::get)
    }

    fn lose_connection(&mut self, ms: u64, target: usize, assigned_ms: u64, request_blamed: bool) {
        let observation =
            Observation::ConnectionLost { assigned_at: at_ms(assigned_ms), request_blamed };
        self.table.observe(at_ms(ms), &id(target), &observation);
    }

    fn report(&mut self, ms: u64, state: ReportedState, age_ms: u64) {
        let (running, queued) = (Requests::new(0), Requests::new(0));
        let age = Duration::from_millis(age_ms);
        self.table.on_load_report(at_ms(ms), &id(0), LoadReport { state, running, queued, age });
    }
}

/// Guards against a new target that gets full load at once, or whose limit is never lifted.
#[test]
fn raises_the_limit_of_a_new_target_step_by_step() {
    let mut fixture = Fixture::new(&[0]);
    assert_eq!(fixture.limit(0), None, "a new node does not treat all targets as cold");
    fixture.table.set_members(at_ms(0), vec![member(0, 0), member(1, 0)]);
    assert_eq!(fixture.table.cold_cause(&id(1)), Some(ColdCause::New));
    let mut limits = Vec::new();
    for ms in [100, 499, 500, 999, 1000, 1500] {
        fixture.answer(ms, 1, 5);
        limits.push(fixture.limit(1));
    }
    assert_eq!(limits, [Some(1), Some(1), Some(2), Some(2), Some(4), None]);
}

/// Guards against an outdated report that limits a target which has become warm, and against a
/// last report that keeps a target out of use after reports have stopped.
#[test]
fn ignores_outdated_reports() {
    let mut fixture = Fixture::new(&[0]);
    fixture.report(0, ReportedState::Cold, 0);
    [500, 1000, 1500].into_iter().for_each(|ms| fixture.answer(ms, 0, 5));
    fixture.report(1600, ReportedState::Cold, 200);
    assert_eq!(fixture.limit(0), None, "measured before the target became warm");
    fixture.report(1800, ReportedState::Draining, 0);
    assert!(fixture.choose(11_799, true).is_none());
    assert!(fixture.choose(11_800, true).is_some());
    fixture.report(12_000, ReportedState::Cold, 0);
    assert_eq!(fixture.limit(0), Some(1));
}

/// Guards against exceeding the cold limit, also while older requests are in flight.
#[test]
fn counts_older_requests_towards_the_cold_limit() {
    let mut fixture = Fixture::new(&[0]);
    let guards: Vec<_> = (0..3).filter_map(|_| fixture.choose(0, true)).collect();
    fixture.report(1, ReportedState::Cold, 0);
    assert!(fixture.choose(2, true).is_none());
    drop(guards);
    let first = fixture.choose(3, true);
    assert!(first.is_some() && fixture.choose(3, true).is_none());
}

/// Guards against counting one restart once per lost connection, and against avoiding a target
/// because of a request that crashes every target.
#[rstest]
#[case(false, false)]
#[case(true, true)]
fn treats_a_connection_loss_as_a_restart(#[case] request_blamed: bool, #[case] open: bool) {
    let mut fixture = Fixture::new(&[0]);
    fixture.lose_connection(10, 0, 5, request_blamed);
    assert_eq!(fixture.table.cold_cause(&id(0)), Some(ColdCause::Reset));
    assert_eq!(fixture.choose(11, true).is_some(), open);
    fixture.answer(600, 0, 5);
    fixture.lose_connection(601, 0, 6, false);
    assert_eq!(fixture.limit(0), Some(2), "assigned before the known restart");
    fixture.lose_connection(602, 0, 601, false);
    assert_eq!(fixture.limit(0), Some(1), "assigned after it, so this is another restart");
}

/// Guards against missing a restart that no lost connection shows.
#[test]
fn detects_a_restart_by_cold_latency() {
    let mut fixture = Fixture::new(&[0]);
    fixture.report(0, ReportedState::Cold, 0);
    (0..20).for_each(|round| fixture.answer(round * 10, 0, 50));
    (0..200).for_each(|round| fixture.answer(500 + round * 10, 0, 5));
    assert_eq!(fixture.limit(0), None);
    fixture.answer(3000, 0, 50);
    assert_eq!(fixture.limit(0), None, "one slow answer is no restart");
    (0..20).for_each(|round| fixture.answer(3010 + round, 0, 50));
    assert_eq!(fixture.table.cold_cause(&id(0)), Some(ColdCause::Latency));
}

/// Guards against normal load on a straggler, and against one that is never probed again.
#[test]
fn sends_only_probes_to_a_straggler() {
    let mut fixture = Fixture::new(&[0, 0, 0, 0, 0]);
    for round in 0..20 {
        (0..5).for_each(|target| fixture.answer(round, target, if target == 0 { 50 } else { 5 }));
    }
    assert!(fixture.table.is_straggler(at_ms(100), &id(0)));
    assert_eq!(fixture.count_choices(1000, 0), 1);
    assert_eq!(fixture.count_choices(1500, 0), 0);
    assert_eq!(fixture.count_choices(2000, 0), 1);
    assert!(fixture.choose(3500, false).is_some_and(|(target, _)| target != id(0)));
    (0..20).for_each(|round| fixture.answer(3500 + round, 0, 5));
    assert!(!fixture.table.is_straggler(at_ms(3600), &id(0)));
    let guards: Vec<_> = (0..200).filter_map(|_| fixture.choose(9000, true)).collect();
    assert!(guards.iter().any(|(target, _)| *target == id(0)));
    (0..20).for_each(|round| fixture.answer(9500 + round, 0, 50));
    fixture.lose_connection(9600, 0, 9500, true);
    drop(guards);
    assert!(!fixture.table.is_straggler(at_ms(9700), &id(0)), "a restart resets the latency");
}

/// Guards against a load-balancing policy that does not choose the target by its rule.
#[test]
fn policies_follow_their_rule() {
    let candidate = |index, in_flight, latency_us, reported_load| Candidate {
        index,
        in_flight,
        latency_us,
        reported_load,
    };
    let random = &mut ChaCha8Rng::seed_from_u64(1);
    for _ in 0..20 {
        let unequal_cost = [candidate(0, 3, 10, 0), candidate(1, 0, 39, 9)];
        assert_eq!(PowerOfTwo.choose(&unequal_cost, random), 1);
        let unequal_report = [candidate(0, 1, 10, 5), candidate(1, 1, 10, 4)];
        assert_eq!(PowerOfTwo.choose(&unequal_report, random), 1);
        assert_eq!(LeastConnections.choose(&unequal_cost, random), 1);
    }
    let mut round_robin = RoundRobin::default();
    let candidates = [candidate(1, 0, 1, 0), candidate(2, 0, 1, 0), candidate(4, 0, 1, 0)];
    let chosen: Vec<usize> = (0..4).map(|_| round_robin.choose(&candidates, random)).collect();
    assert_eq!(chosen, [0, 1, 2, 0]);
}

/// Guards against requests that queue up at a paused target. It sends no responses, so its latency
/// alone never marks it as slow.
#[test]
fn treats_a_silent_target_as_a_straggler() {
    let mut fixture = Fixture::new(&[0, 0, 0]);
    (0..3).for_each(|target| (0..9).for_each(|round| fixture.answer(round, target, 5)));
    fixture.denied = vec![id(1), id(2)];
    let guards = fixture.choose(100, true);
    assert!(!fixture.table.is_straggler(at_ms(110), &id(0)));
    assert!(fixture.table.is_straggler(at_ms(130), &id(0)));
    drop(guards);
    assert!(!fixture.table.is_straggler(at_ms(130), &id(0)));
}

/// Guards against unnecessary traffic between zones, and against a zone that is overloaded while
/// others have capacity.
#[test]
fn prefers_its_own_zone_and_spills_over() {
    let mut fixture = Fixture::new(&[0, 1, 1]);
    assert_eq!(fixture.count_choices(0, 0), 100);
    let guards: Vec<_> = (0..12).filter_map(|_| fixture.choose(1, true)).collect();
    let local = guards.iter().filter(|(target, _)| *target == id(0)).count();
    assert_eq!((guards.len(), local), (12, 4));
    drop(guards);
    fixture.denied = vec![id(0)];
    assert_eq!(fixture.count_choices(2, 0), 0);
}

/// Guards against new requests to a target that is leaving, out of service, draining, or in the
/// back-off that it requested.
#[rstest]
#[case(MemberState::Leaving)]
#[case(MemberState::Out)]
fn does_not_choose_unavailable_members(#[case] state: MemberState) {
    let mut fixture = Fixture::new(&[0]);
    fixture.table.set_members(at_ms(0), vec![Member { state, ..member(0, 0) }]);
    assert!(fixture.choose(1, true).is_none());
    fixture.table.set_members(at_ms(2), vec![member(0, 0)]);
    fixture.report(10, ReportedState::Draining, 0);
    assert!(fixture.choose(10, true).is_none());
    fixture.report(20, ReportedState::Warm, 500);
    assert!(fixture.choose(20, true).is_none(), "an older report does not replace a newer one");
    fixture.report(30, ReportedState::Warm, 0);
    let retry_after = Some(ReportedDuration::from_millis(100));
    fixture.table.observe(at_ms(30), &id(0), &Observation::Refused { retry_after });
    assert!(fixture.choose(129, true).is_none());
    assert!(fixture.choose(130, true).is_some());
}

/// Guards against a subset without targets of other zones, or targets that no node uses.
#[test]
fn spreads_subsets_over_all_targets() {
    let members: Vec<Member> = (0..60).map(|number| member(number, number % 3)).collect();
    let mut used = vec![0; 60];
    for node in 0..120 {
        let node_id = format!("n{node}").parse().expect("valid id");
        let kept = subset(&node_id, &zone(node % 3), members.clone(), 8);
        let local = kept.iter().filter(|member| member.zone == zone(node % 3)).count();
        assert_eq!((kept.len(), local), (8, 6));
        for member in kept {
            used[member.target.as_str()[1..].parse::<usize>().unwrap()] += 1;
        }
    }
    assert!(used.iter().all(|count| (4..=32).contains(count)), "{used:?}");
    let node_id = "n0".parse().unwrap();
    assert_eq!(subset(&node_id, &zone(0), members[..3].to_vec(), 8).len(), 3);
}
