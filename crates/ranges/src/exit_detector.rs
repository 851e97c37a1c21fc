//! Detects target processes that have exited.

use std::time::Duration;

use wagtailmoor_core::{Instant, ZoneId};

use crate::TargetProcess;

/// Suspicion of a target expires this long after its last refused connection. Covers two retries.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Maximum time between the two responses from the zone that confirm an exit. A partition that
/// begins and heals within this time looks like an exit.
const CONFIRMATION_SPAN_MAX: Duration = Duration::from_millis(800);

/// A target process that may have exited.
#[derive(Debug)]
struct Suspect {
    process: TargetProcess,
    zone: ZoneId,
    refused_first: Instant,
    refused_last: Instant,
    /// When another target of the zone last responded to a call that was sent after the first
    /// refusal.
    zone_responded: Option<Instant>,
    /// When the target refused a connection that was attempted after that response.
    refused_again: Option<Instant>,
}

impl Suspect {
    /// Records a response from another target of the zone. Returns whether the suspect has exited.
    fn on_zone_response(&mut self, now: Instant, sent_at: Instant) -> bool {
        match (self.zone_responded, self.refused_again) {
            (Some(previous), Some(refused_again)) if sent_at > refused_again => {
                self.zone_responded = Some(now);
                self.refused_again = None;
                now.saturating_since(previous) <= CONFIRMATION_SPAN_MAX
            }
            (_, None) if sent_at > self.refused_first => {
                self.zone_responded = Some(now);
                false
            }
            _ => false,
        }
    }
}

/// Distinguishes target processes that have exited from those that are unreachable.
///
/// During a partition, the network may refuse connections on behalf of the targets behind it, but
/// then it does so for all targets of a zone. A target has therefore exited when it refuses a
/// connection, and refuses another one between two responses from other targets of its zone that
/// arrive within `CONFIRMATION_SPAN_MAX`.
#[derive(Debug, Default)]
pub struct ExitDetector {
    suspects: Vec<Suspect>,
    exited: Vec<TargetProcess>,
}

impl ExitDetector {
    /// Records that a target refused a connection that was attempted at `tried_at`.
    pub fn on_refused(
        &mut self,
        now: Instant,
        process: &TargetProcess,
        zone: &ZoneId,
        tried_at: Instant,
    ) {
        self.suspects
            .retain(|suspect| now.saturating_since(suspect.refused_last) < SUSPICION_TIMEOUT);
        let suspect = self.suspects.iter_mut().find(|suspect| suspect.process == *process);
        let Some(suspect) = suspect else {
            return self.suspects.push(Suspect {
                process: process.clone(),
                zone: zone.clone(),
                refused_first: now,
                refused_last: now,
                zone_responded: None,
                refused_again: None,
            });
        };
        suspect.refused_last = now;
        if suspect.zone_responded.is_some_and(|responded| responded <= tried_at) {
            suspect.refused_again.get_or_insert(now);
        }
    }

    /// Records the response of a target to a call that was sent at `sent_at`.
    pub fn on_response(
        &mut self,
        now: Instant,
        process: &TargetProcess,
        zone: &ZoneId,
        sent_at: Instant,
    ) {
        self.suspects.retain(|suspect| suspect.process != *process);
        // The next process of a target may respond just after the exit of its predecessor was
        // found.
        self.exited.retain(|exited| exited != process);
        let (exited, suspects) = std::mem::take(&mut self.suspects)
            .into_iter()
            .map(|mut suspect| {
                (suspect.zone == *zone && suspect.on_zone_response(now, sent_at), suspect)
            })
            .partition::<Vec<_>, _>(|(exited, _)| *exited);
        self.exited.extend(exited.into_iter().map(|(_, suspect)| suspect.process));
        self.suspects = suspects.into_iter().map(|(_, suspect)| suspect).collect();
    }

    /// Returns and removes the processes found to have exited.
    pub fn take_exited(&mut self) -> Vec<TargetProcess> {
        std::mem::take(&mut self.exited)
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;
    use wagtailmoor_core::Incarnation;

    use super::*;

    fn process(name: &str) -> TargetProcess {
        TargetProcess { target: name.parse().unwrap(), incarnation: Incarnation::new(1) }
    }

    fn at(ms: u64) -> Instant {
        Instant::from_us(ms * 1_000)
    }

    // Guards against keys that are assigned to another target while their owner still serves behind
    // a partition that refuses connections on its behalf. Seen in fault run e821-15 (two owners for
    // 3.4 s) and in schedule 16489541227400521153, in which the partition healed.
    #[rstest]
    #[case::response_from_the_same_zone("zone-a", 150, 250, 310, true)]
    #[case::call_sent_before_the_refusal("zone-a", 50, 250, 310, false)]
    #[case::response_from_another_zone("zone-b", 150, 250, 310, false)]
    #[case::retry_before_the_response("zone-a", 150, 190, 310, false)]
    #[case::no_call_after_the_second_refusal("zone-a", 150, 250, 290, false)]
    fn a_refusal_counts_only_while_the_zone_is_reachable(
        #[case] zone: &str,
        #[case] sent_at_ms: u64,
        #[case] retried_ms: u64,
        #[case] sent_again_ms: u64,
        #[case] exited: bool,
    ) {
        let own_zone = "zone-a".parse().unwrap();
        let mut detector = ExitDetector::default();
        detector.on_refused(at(100), &process("crashed"), &own_zone, at(90));
        detector.on_response(at(200), &process("other"), &zone.parse().unwrap(), at(sent_at_ms));
        detector.on_refused(at(300), &process("crashed"), &own_zone, at(retried_ms));
        detector.on_response(at(360), &process("other"), &zone.parse().unwrap(), at(sent_again_ms));
        let expected = if exited { vec![process("crashed")] } else { Vec::new() };
        assert_eq!(detector.take_exited(), expected);
    }

    // Guards against a refusal during a partition that has healed being counted as evidence later.
    #[test]
    fn a_response_clears_earlier_refusals() {
        let zone = "zone-a".parse().unwrap();
        let mut detector = ExitDetector::default();
        detector.on_refused(at(100), &process("healed"), &zone, at(90));
        detector.on_response(at(200), &process("healed"), &zone, at(150));
        detector.on_response(at(210), &process("other"), &zone, at(160));
        detector.on_refused(at(300), &process("healed"), &zone, at(250));
        detector.on_response(at(400), &process("other"), &zone, at(350));
        assert_eq!(detector.take_exited(), Vec::new());
    }

    // Guards against two partitions in a row being taken for an exit: the zone responds between
    // them and after the second one.
    #[test]
    fn a_second_partition_is_not_an_exit() {
        let zone = "zone-a".parse().unwrap();
        let mut detector = ExitDetector::default();
        detector.on_refused(at(100), &process("partitioned"), &zone, at(90));
        detector.on_response(at(200), &process("other"), &zone, at(150));
        detector.on_refused(at(700), &process("partitioned"), &zone, at(650));
        detector.on_response(at(1_100), &process("other"), &zone, at(1_050));
        assert_eq!(detector.take_exited(), Vec::new());
    }
}
