//! Which targets have surely ended.

use std::time::Duration;

use wagtailmoor_core::{Instant, ZoneId};

use crate::Holder;

/// A target that refused no connection for this long is no longer suspected. It covers two retries.
const REFUSAL_AGE_MAX: Duration = Duration::from_millis(1_200);

/// Longest time between the two answers around a refusal that confirms an end. A partition that
/// begins and heals within it is not told from an end.
const BRACKET_MAX: Duration = Duration::from_millis(800);

/// A target that may have ended.
#[derive(Debug)]
struct Suspect {
    holder: Holder,
    zone: ZoneId,
    refused_first: Instant,
    refused_last: Instant,
    /// When another target of the zone last answered a call that was sent after the first refusal.
    zone_answered: Option<Instant>,
    /// When the target refused a connection that was tried after that answer.
    refused_again: Option<Instant>,
}

impl Suspect {
    /// Takes the answer of another target of the zone; returns whether the suspect has ended.
    fn zone_answered(&mut self, now: Instant, sent_at: Instant) -> bool {
        match (self.zone_answered, self.refused_again) {
            (Some(before), Some(again)) if sent_at > again => {
                self.zone_answered = Some(now);
                self.refused_again = None;
                now.saturating_since(before) <= BRACKET_MAX
            }
            (_, None) if sent_at > self.refused_first => {
                self.zone_answered = Some(now);
                false
            }
            _ => false,
        }
    }
}

/// Tells targets that have ended from targets that cannot be reached.
///
/// A partition may refuse connections in place of the targets behind it, but then it refuses those
/// to all targets of a zone. So a target has ended when it refused, and refused again between two
/// answers of others in its zone that came shortly after each other.
#[derive(Debug, Default)]
pub struct EndedTargets {
    suspects: Vec<Suspect>,
    ended: Vec<Holder>,
}

impl EndedTargets {
    /// Takes a refused connection that was tried at an instant.
    pub fn refused(&mut self, now: Instant, holder: &Holder, zone: &ZoneId, tried_at: Instant) {
        self.suspects.retain(|known| now.saturating_since(known.refused_last) < REFUSAL_AGE_MAX);
        let known = self.suspects.iter_mut().find(|known| known.holder == *holder);
        let Some(known) = known else {
            return self.suspects.push(Suspect {
                holder: holder.clone(),
                zone: zone.clone(),
                refused_first: now,
                refused_last: now,
                zone_answered: None,
                refused_again: None,
            });
        };
        known.refused_last = now;
        if known.zone_answered.is_some_and(|answered| answered <= tried_at) {
            known.refused_again.get_or_insert(now);
        }
    }

    /// Takes the answer of a target to a call that was sent at an instant.
    pub fn answered(&mut self, now: Instant, holder: &Holder, zone: &ZoneId, sent_at: Instant) {
        self.suspects.retain(|known| known.holder != *holder);
        // The next process of a target may answer just after the end of the one before was found.
        self.ended.retain(|known| known != holder);
        let (ended, suspects) = std::mem::take(&mut self.suspects)
            .into_iter()
            .map(|mut known| (known.zone == *zone && known.zone_answered(now, sent_at), known))
            .partition::<Vec<_>, _>(|(ended, _)| *ended);
        self.ended.extend(ended.into_iter().map(|(_, known)| known.holder));
        self.suspects = suspects.into_iter().map(|(_, known)| known).collect();
    }

    /// Returns and forgets the holders that have ended.
    pub fn take_ended(&mut self) -> Vec<Holder> {
        std::mem::take(&mut self.ended)
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;
    use wagtailmoor_core::Incarnation;

    use super::*;

    fn holder(name: &str) -> Holder {
        Holder { target: name.parse().unwrap(), incarnation: Incarnation::new(1) }
    }

    fn at(ms: u64) -> Instant {
        Instant::from_us(ms * 1_000)
    }

    // Guards against keys that go to another target while their owner serves behind a partition
    // that refuses connections in its place (hunt e821-15 of ra-gateway: two owners for 3.4 s; the
    // case of the older try: schedule 16489541227400521153, a partition that healed).
    #[rstest]
    #[case::another_target_of_the_zone("zone-a", 150, 250, 310, true)]
    #[case::only_an_older_call("zone-a", 50, 250, 310, false)]
    #[case::another_zone("zone-b", 150, 250, 310, false)]
    #[case::tried_before_the_answer("zone-a", 150, 190, 310, false)]
    #[case::no_answer_after_the_refusal("zone-a", 150, 250, 290, false)]
    fn refusal_needs_a_reachable_zone(
        #[case] zone: &str,
        #[case] sent_at_ms: u64,
        #[case] tried_again_ms: u64,
        #[case] sent_again_ms: u64,
        #[case] ended: bool,
    ) {
        let own_zone = "zone-a".parse().unwrap();
        let mut targets = EndedTargets::default();
        targets.refused(at(100), &holder("crashed"), &own_zone, at(90));
        targets.answered(at(200), &holder("other"), &zone.parse().unwrap(), at(sent_at_ms));
        targets.refused(at(300), &holder("crashed"), &own_zone, at(tried_again_ms));
        targets.answered(at(360), &holder("other"), &zone.parse().unwrap(), at(sent_again_ms));
        let expected = if ended { vec![holder("crashed")] } else { Vec::new() };
        assert_eq!(targets.take_ended(), expected);
    }

    // Guards against the refusal of a cut that healed counting later.
    #[test]
    fn own_answer_voids_the_refusal() {
        let zone = "zone-a".parse().unwrap();
        let mut targets = EndedTargets::default();
        targets.refused(at(100), &holder("back"), &zone, at(90));
        targets.answered(at(200), &holder("back"), &zone, at(150));
        targets.answered(at(210), &holder("other"), &zone, at(160));
        targets.refused(at(300), &holder("back"), &zone, at(250));
        targets.answered(at(400), &holder("other"), &zone, at(350));
        assert_eq!(targets.take_ended(), Vec::new());
    }
    // Guards against two partitions in a row that look like one ended target: the zone answers
    // between them and after the second one.
    #[test]
    fn a_second_partition_is_no_end() {
        let zone = "zone-a".parse().unwrap();
        let mut targets = EndedTargets::default();
        targets.refused(at(100), &holder("cut"), &zone, at(90));
        targets.answered(at(200), &holder("other"), &zone, at(150));
        targets.refused(at(700), &holder("cut"), &zone, at(650));
        targets.answered(at(1_100), &holder("other"), &zone, at(1_050));
        assert_eq!(targets.take_ended(), Vec::new());
    }
}
