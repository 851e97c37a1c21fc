//! The order of the fencing tokens that leaders send.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use proptest::prelude::*;
use proptest::sample::Index;
use proptest::test_runner::{RngSeed, TestRunner};
use wagtailmoor_core::{Epoch, Incarnation, Instant, ShardKey, StoreEra};
use wagtailmoor_ranges::{
    AssignerSettings, AssignmentTable, Authority, Command, EpochBlock, GrantOutcome, KeyRange,
    Member, RangeAssigner, ReleaseOutcome, StoreOutcome, TargetProcess,
};

const STEP: Duration = Duration::from_millis(250);

const TARGETS: u64 = 3;

/// What happens to a leader or to its targets before a step.
#[derive(Clone, Copy, Debug)]
enum Event {
    Nothing,
    LeavingToggled(u64),
    ListingToggled(u64),
    Restart(u64),
    Exit(u64),
    HotKey(u16),
    AnotherBlock,
    NewEra,
}

/// Outcomes of the commands of a step.
#[derive(Clone, Copy, Debug)]
struct Outcomes {
    grant: GrantOutcome,
    release: u8,
    /// Whether the store performs a write, and whether the leader learns of it.
    store: (bool, bool),
}

/// A term of a leader. `reads` selects one of the tables that were ever stored, if the store may
/// have gone back; otherwise the leader reads the last one.
#[derive(Clone, Debug)]
struct Term {
    reads: Option<Index>,
    steps: Vec<(Event, Outcomes)>,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => Just(Event::Nothing),
        3 => (0..TARGETS).prop_map(Event::LeavingToggled),
        1 => (0..TARGETS).prop_map(Event::ListingToggled),
        1 => (0..TARGETS).prop_map(Event::Restart),
        1 => (0..TARGETS).prop_map(Event::Exit),
        2 => any::<u16>().prop_map(Event::HotKey),
        1 => Just(Event::AnotherBlock),
        1 => Just(Event::NewEra),
    ]
}

fn outcomes() -> impl Strategy<Value = Outcomes> {
    let grant = prop_oneof![
        8 => Just(GrantOutcome::Held),
        1 => Just(GrantOutcome::Fenced),
        1 => Just(GrantOutcome::NotDelivered),
        1 => Just(GrantOutcome::Replaced),
        1 => Just(GrantOutcome::Unknown),
    ];
    let store =
        prop_oneof![4 => Just((true, true)), 1 => any::<bool>().prop_map(|done| (done, false))];
    (grant, 0..6u8, store).prop_map(|(grant, release, store)| Outcomes { grant, release, store })
}

fn term() -> impl Strategy<Value = Term> {
    (any::<Option<Index>>(), prop::collection::vec((event(), outcomes()), 1..80))
        .prop_map(|(reads, steps)| Term { reads, steps })
}

fn release_outcome(choice: u8) -> ReleaseOutcome {
    match choice {
        0 => ReleaseOutcome::Unknown,
        1 => ReleaseOutcome::Refused,
        2 => ReleaseOutcome::Replaced,
        _ => ReleaseOutcome::Released { handover: None },
    }
}

/// A target as the registry describes it.
#[derive(Clone, Debug)]
struct Target {
    process: TargetProcess,
    listed: bool,
    leaving: bool,
}

/// The command that a token was issued for.
#[derive(Clone, Debug, PartialEq)]
enum Use {
    Grant(TargetProcess),
    Release(TargetProcess),
}

/// The tokens that targets may have seen, whether or not a command was answered.
#[derive(Debug, Default)]
struct SeenTokens {
    sent: Vec<(KeyRange, Epoch)>,
    /// Tokens that were sent, or that the leader found in the stored table. Each may be repeated
    /// only for the same use.
    known: BTreeMap<Epoch, Use>,
    /// Highest token that was sent in former terms and eras.
    highest_former: Epoch,
}

impl SeenTokens {
    /// Starts a term or an era, in which only the tokens of `stored` may be repeated.
    fn begin(&mut self, stored: Option<&AssignmentTable>) {
        self.highest_former = self.sent.iter().map(|(_, token)| *token).max().unwrap_or_default();
        let stored = stored.into_iter().flat_map(AssignmentTable::iter);
        self.known = stored
            .map(|assignment| (assignment.epoch, Use::Grant(assignment.owner.clone())))
            .collect();
    }

    /// Checks a token that is sent, and returns whether it is new.
    fn check(&mut self, range: KeyRange, token: Epoch, sent: Use) -> Result<bool, TestCaseError> {
        let known = self.known.insert(token, sent.clone());
        let is_new = known.is_none();
        if let Some(known) = known {
            prop_assert_eq!(known, sent, "{} is sent for another use", token);
        } else {
            let former = self.highest_former;
            prop_assert!(token > former, "{token} is not above {former} of a former term");
            let overlapping =
                self.sent.iter().filter(|(other, _)| other.intersection(range).is_some());
            let seen = overlapping.map(|(_, seen)| *seen).max().unwrap_or_default();
            prop_assert!(token > seen, "{token} for {range} is not above {seen}");
        }
        self.sent.push((range, token));
        Ok(is_new)
    }
}

/// A store, its targets and the leaders that follow one another.
#[derive(Debug)]
struct Site {
    now: Instant,
    /// Era of the store, `None` if it never goes back.
    era: Option<StoreEra>,
    /// End of the last block of the era.
    reserved: Option<Epoch>,
    /// All tables that were ever stored, each with its era.
    stored: Vec<(Option<StoreEra>, AssignmentTable)>,
    targets: Vec<Target>,
    seen: SeenTokens,
    new_tokens: u64,
}

impl Site {
    fn new(has_eras: bool) -> Self {
        let target = |number| Target {
            process: TargetProcess {
                target: format!("t{number}").parse().unwrap(),
                incarnation: Incarnation::new(1),
            },
            listed: true,
            leaving: false,
        };
        Self {
            now: Instant::from_us(10_000_000),
            era: has_eras.then(|| StoreEra::new(1)),
            reserved: None,
            stored: Vec::new(),
            targets: (0..TARGETS).map(target).collect(),
            seen: SeenTokens::default(),
            new_tokens: 0,
        }
    }

    fn reserve(&mut self) -> Option<EpochBlock> {
        let block = EpochBlock::next(self.era?, self.reserved, Epoch::default()).unwrap();
        self.reserved = Some(block.end());
        Some(block)
    }

    fn members(&self) -> Vec<Member> {
        let listed = self.targets.iter().filter(|target| target.listed);
        listed
            .map(|target| Member {
                process: target.process.clone(),
                capacity_per_s: 10.0,
                eligible: !target.leaving,
                leaving: target.leaving,
            })
            .collect()
    }

    /// Starts a leader. It continues from the last stored table, unless the store went back since.
    fn start_leader(&mut self, reads: Option<Index>) -> RangeAssigner {
        let authority = Authority { sole_from: self.now, until: Instant::from_us(u64::MAX) };
        let settings = AssignerSettings::default();
        let (last, era) = (self.stored.last().cloned(), self.era);
        let went_back = match (&last, reads) {
            (None, _) => None,
            (Some(_), Some(index)) if era.is_some() => Some(index.get(&self.stored).1.clone()),
            (Some((stored_era, table)), _) => (*stored_era != era).then(|| table.clone()),
        };
        let (mut assigner, table) = match (went_back, last) {
            (Some(known), _) => {
                let known = Some(&known);
                (RangeAssigner::after_restore(self.now, settings, authority, known), None)
            }
            (None, last) => {
                let mut table = last.map(|(_, table)| table);
                // The router starts an assigner only after this write has succeeded.
                if let (None, Some(table)) = (era, &mut table) {
                    RangeAssigner::claim(table);
                    self.stored.push((None, table.clone()));
                }
                let assigner =
                    RangeAssigner::first_under(self.now, settings, authority, table.as_ref());
                (assigner, table)
            }
        };
        self.seen.begin(table.as_ref());
        if let Some(block) = self.reserve() {
            assigner.use_epochs(&block);
        }
        assigner
    }

    fn apply(&mut self, event: Event, assigner: &mut RangeAssigner) {
        match event {
            Event::Nothing => {}
            Event::LeavingToggled(number) => self.targets[number as usize].leaving ^= true,
            Event::ListingToggled(number) => self.targets[number as usize].listed ^= true,
            Event::Restart(number) => {
                let process = &mut self.targets[number as usize].process;
                process.incarnation = Incarnation::new(process.incarnation.get() + 1);
            }
            Event::Exit(number) => {
                assigner.on_exited(self.now, &self.targets[number as usize].process);
            }
            Event::HotKey(key) => assigner.add_load(ShardKey::new(key), 40),
            Event::AnotherBlock => {
                if let Some(block) = self.reserve() {
                    assigner.use_epochs(&block);
                }
            }
            Event::NewEra => {
                if let Some(era) = self.era {
                    self.era = Some(era.next());
                    self.reserved = None;
                    let block = self.reserve().unwrap();
                    assigner.enter_era(self.now, &block);
                    self.seen.begin(None);
                }
            }
        }
    }

    fn run(&mut self, term: Term) -> Result<(), TestCaseError> {
        let mut assigner = self.start_leader(term.reads);
        for (event, outcomes) in term.steps {
            self.now = self.now + STEP;
            self.apply(event, &mut assigner);
            assigner.set_members(self.now, self.members());
            for command in assigner.tick(self.now) {
                self.execute(command, outcomes, &mut assigner)?;
            }
        }
        Ok(())
    }

    fn execute(
        &mut self,
        command: Command,
        outcomes: Outcomes,
        assigner: &mut RangeAssigner,
    ) -> Result<(), TestCaseError> {
        let now = self.now;
        match command {
            Command::Grant { process, range, epoch, .. } => {
                self.new_tokens +=
                    u64::from(self.seen.check(range, epoch, Use::Grant(process.clone()))?);
                assigner.on_grant_outcome(now, &process, range, epoch, now, outcomes.grant);
            }
            Command::Release { process, range, epoch } => {
                self.new_tokens +=
                    u64::from(self.seen.check(range, epoch, Use::Release(process.clone()))?);
                let outcome = release_outcome(outcomes.release);
                assigner.on_release_outcome(now, &process, range, epoch, &outcome);
            }
            Command::Store { table } => {
                let (is_done, is_known) = outcomes.store;
                if is_done {
                    self.stored.push((self.era, table));
                }
                let outcome = match is_done && is_known {
                    true => StoreOutcome::Stored,
                    false => StoreOutcome::Failed,
                };
                assigner.on_store_outcome(now, outcome);
            }
        }
        Ok(())
    }
}

/// Runs sites with random terms and checks each token.
fn check_tokens(has_eras: bool) {
    let config = ProptestConfig {
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(1),
        ..ProptestConfig::default()
    };
    let cases = u64::from(config.cases);
    let new_tokens = Cell::new(0);
    let terms = prop::collection::vec(term(), 1..5);
    let result = TestRunner::new(config).run(&terms, |terms| {
        let mut site = Site::new(has_eras);
        for term in terms {
            site.run(term)?;
        }
        new_tokens.set(new_tokens.get() + site.new_tokens);
        Ok(())
    });
    assert!(result.is_ok(), "{result:?}");
    assert!(new_tokens.get() > 20 * cases, "the leaders use {new_tokens:?} new tokens");
}

// Guards against a grant or release under a new token that is not above all that a target may have
// seen: those that were sent for its keys in the same term, and all of former terms and eras,
// whatever the outcomes of the commands were and whichever table the next leader reads.
#[test]
fn a_new_token_is_above_all_seen_ones_in_a_store_with_eras() {
    check_tokens(true);
}

// Guards against the same in a store that never goes back, where nothing is reserved and a leader
// learns the tokens of former terms from the last stored table only.
#[test]
fn a_new_token_is_above_all_seen_ones_in_a_store_without_eras() {
    check_tokens(false);
}
