//! A site of nodes, a store and links on a simulated clock.

mod disturbances;
mod node;
mod schedule;
mod store;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{Instant, RowVersion};
use wagtailmoor_router::{Confirmation, FeedCall, LeaderView, NodeAddress, ReplicaTable};
use wagtailmoor_store::{FeedError, FeedPage};

use self::disturbances::{CONTACT_TIME, Disturbances, Disturbed};
use self::node::{Decision, Message, Node, Sent};
pub(crate) use self::schedule::Kind;
use self::schedule::{Failure, LinkState};
use self::store::{Store, StoreState};

const STEP: Duration = Duration::from_millis(5);

const LENGTH: Duration = Duration::from_secs(26);

const START: Instant = Instant::from_us(1_000_000_000);

/// Nodes that are known before there is a list of nodes.
const SEEDS: usize = 3;

/// A restarted node gets the list of nodes after this time.
const NODE_LIST_DELAY: Duration = Duration::from_millis(800);

/// Validity of the leader's lease, which a sound leader renews all the time.
const LEASE: Duration = Duration::from_millis(2_500);

/// The lease can be taken this long after it ended.
const TAKEOVER_DELAY: Duration = Duration::from_millis(300);

/// Interval of writes of the leader to its own row.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(200);

/// Shares of steps in which a process becomes busy, one in this number, and the longest time.
const BUSY_ONE_IN: u32 = 300;
const BUSY_MAX_MS: u64 = 120;

/// One in this number of nodes is refused by the store.
const REFUSED_ONE_IN: usize = 3;

/// The longest time that a message takes a busy process, as a part of the step of its failure.
const MESSAGE_COST_DIVISOR: u32 = 2;

/// How long the feeds are silent before an abrupt loss of history.
const SILENCE: Duration = Duration::from_secs(1);

/// Size of a site.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SiteSize {
    pub(crate) zones: usize,
    pub(crate) nodes: usize,
}

/// A request that was decided by data older than the rules allow.
#[derive(Clone, Copy, Debug)]
#[expect(dead_code, reason = "the fields are printed")]
pub(crate) struct Violation {
    pub(crate) node: usize,
    pub(crate) at: Duration,
    /// How the data passed.
    pub(crate) confirmation: Confirmation,
    /// Age of the data as the node states it.
    pub(crate) stated_age: Duration,
    /// Time for which a newer version was acknowledged.
    pub(crate) outdated_for: Duration,
}

/// What a run showed.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) violations: Vec<Violation>,
    /// Longest time for which requests waited at a node while it and the store were undisturbed.
    pub(crate) calm_wait_max: Duration,
    /// Decisions that the rules don't excuse.
    pub(crate) judged: u64,
}

/// A call that the store holds until there is a change.
#[derive(Debug)]
struct Poll {
    node: usize,
    call: u64,
    table: ReplicaTable,
    after: RowVersion,
    ends_at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Link {
    state: LinkState,
    until: Instant,
    /// Whether messages are lost. Otherwise they arrive when the link is sound again.
    loses: bool,
}

impl Link {
    const SOUND: Self = Self { state: LinkState::Sound, until: START, loses: false };

    fn at(self, now: Instant) -> Self {
        if now < self.until { self } else { Self::SOUND }
    }

    /// Returns the one of two links that harms messages more.
    fn worse(self, other: Self) -> Self {
        if self.state == LinkState::Sound { other } else { self }
    }
}

/// A simulated site.
pub(crate) struct Site {
    size: SiteSize,
    now: Instant,
    random: ChaCha8Rng,
    store: Store,
    polls: Vec<Poll>,
    nodes: Vec<Node>,
    lives: u64,
    inboxes: Vec<Vec<Message>>,
    stopped_until: Vec<Instant>,
    /// Until when each message takes a process up to some time.
    busy: Vec<(Instant, Duration)>,
    list_at: Vec<Option<Instant>>,
    store_links: Vec<Link>,
    peer_links: Vec<Link>,
    zone_links: Vec<Link>,
    in_transit: BTreeMap<(Instant, u64), (usize, Message)>,
    sequence: u64,
    leader: usize,
    lease_until: Instant,
    /// The leader that each node knows, and since when it is known.
    known_leaders: Vec<(usize, Option<(usize, Instant)>)>,
    renewal_at: Instant,
    write_at: Instant,
    target_at: Instant,
    storm_until: Instant,
    /// Row versions of the configuration and when they were acknowledged.
    versions: Vec<(RowVersion, Instant)>,
    disturbances: Disturbances,
    outcome: Outcome,
}

fn address_of(number: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], u16::try_from(number + 1).unwrap()))
}

fn number_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// Runs a seeded schedule that has a failure of `kind`, and further ones of `kinds`.
pub(crate) fn run(seed: u64, kind: Kind, kinds: &[Kind], size: SiteSize) -> Outcome {
    // Each kind has schedules of its own.
    let seed = seed * Kind::ALL.len() as u64 + kind as u64;
    let mut failures = schedule::draw(seed, kind, kinds, size.nodes);
    let mut site = Site::new(seed, size);
    let mut ends: Vec<(Instant, Failure)> = Vec::new();
    while site.now < START + LENGTH {
        site.now = site.now + STEP;
        let now = site.now;
        let due = failures.iter().take_while(|failure| START + failure.start <= now).count();
        for failure in failures.drain(..due) {
            ends.push((site.begin(failure), failure));
        }
        let ended = ends.extract_if(.., |(end, _)| *end <= now);
        for (_, failure) in ended.collect::<Vec<_>>() {
            site.end(failure);
        }
        site.step();
    }
    site.outcome
}

impl Site {
    fn new(seed: u64, size: SiteSize) -> Self {
        let mut site = Self {
            size,
            now: START,
            random: ChaCha8Rng::seed_from_u64(!seed),
            store: Store::new(START),
            polls: Vec::new(),
            nodes: Vec::new(),
            lives: 0,
            inboxes: (0..size.nodes).map(|_| Vec::new()).collect(),
            stopped_until: vec![START; size.nodes],
            busy: vec![(START, Duration::ZERO); size.nodes],
            list_at: vec![None; size.nodes],
            store_links: vec![Link::SOUND; size.nodes],
            peer_links: vec![Link::SOUND; size.nodes],
            zone_links: vec![Link::SOUND; size.zones],
            in_transit: BTreeMap::new(),
            sequence: 0,
            leader: 0,
            lease_until: START + LEASE,
            known_leaders: vec![(0, None); size.nodes],
            renewal_at: START,
            write_at: START + Duration::from_secs(2),
            target_at: START,
            storm_until: START,
            versions: Vec::new(),
            disturbances: Disturbances::default(),
            outcome: Outcome::default(),
        };
        site.write_config();
        site.store.write(ReplicaTable::Targets, "i-1", Some("ready".to_owned()));
        for number in 0..size.nodes {
            let mut node = site.new_node(number);
            node.replica.set_nodes(site.addresses());
            site.nodes.push(node);
            site.disturbances.record(Disturbed::Node(number), START, START);
        }
        site
    }

    fn address(&self, number: usize) -> NodeAddress {
        NodeAddress {
            node: format!("node-{number}").parse().unwrap(),
            zone: format!("zone-{}", number % self.size.zones).parse().unwrap(),
            address: address_of(number),
            capacity: 100,
        }
    }

    fn addresses(&self) -> Vec<NodeAddress> {
        (0..self.size.nodes).map(|number| self.address(number)).collect()
    }

    fn new_node(&mut self, number: usize) -> Node {
        self.lives += 1;
        let seeds = (0..SEEDS.min(self.size.nodes)).map(address_of).collect();
        Node::start(number, self.lives, self.address(number), seeds, self.now)
    }

    fn zone_of(&self, node: usize) -> usize {
        node % self.size.zones
    }

    /// Begins a failure; returns when it ends.
    fn begin(&mut self, failure: Failure) -> Instant {
        let (now, end) = (self.now, self.now + failure.length);
        let link = Link { state: failure.link, until: end, loses: failure.is_abrupt };
        let cut = Link { state: LinkState::Silent, ..link };
        let node = failure.node;
        match failure.kind {
            Kind::HistoryLost => {
                let end = if failure.is_abrupt { now + SILENCE } else { now };
                if failure.is_abrupt && self.store.state == StoreState::Sound {
                    self.store.state = StoreState::FeedsSilent;
                }
                self.disturbances.record(Disturbed::StoreUnstable, now, end);
                return end;
            }
            Kind::LaggingReads => {
                self.store.begin_lagging();
                self.disturbances.record(Disturbed::StoreUnstable, now, end);
            }
            Kind::StoreDown => {
                self.store.state = failure.store;
                self.disturbances.record(Disturbed::StoreDown, now, end);
            }
            Kind::ClockStep => self.store.step_clock(failure.step),
            Kind::StoreLink => {
                self.store_links[node] = link;
                self.disturbances.record(Disturbed::Node(node), now, end);
            }
            Kind::PeerLink => {
                self.peer_links[node] = link;
                self.disturbances.record(Disturbed::Node(node), now, end);
            }
            Kind::ZoneCut => {
                let zone = self.zone_of(node);
                self.zone_links[zone] = cut;
                for node in (zone..self.size.nodes).step_by(self.size.zones) {
                    self.disturbances.record(Disturbed::Node(node), now, end);
                }
            }
            Kind::Freeze => self.stop(node, end),
            Kind::LeaderChange if failure.is_abrupt => self.stop(self.leader, end),
            Kind::LeaderChange => {
                let leader = self.leader;
                self.peer_links[leader] = cut;
                self.store_links[leader] = cut;
                self.disturbances.record(Disturbed::Node(leader), now, end);
            }
            Kind::StoreRefusesShare => {
                let refusing = match failure.is_abrupt {
                    true => Link { state: LinkState::Reset, ..link },
                    false => cut,
                };
                for node in (node..self.size.nodes).step_by(REFUSED_ONE_IN) {
                    self.store_links[node] = refusing;
                    self.disturbances.record(Disturbed::Node(node), now, end);
                }
            }
            Kind::Busy => {
                let affected = if failure.is_abrupt { node..node + 1 } else { 0..self.size.nodes };
                affected
                    .for_each(|node| self.busy[node] = (end, failure.step / MESSAGE_COST_DIVISOR));
            }
            Kind::Restart => {
                self.stop(node, end);
                self.nodes[node] = self.new_node(node);
                self.inboxes[node].clear();
                self.list_at[node] = Some(end + NODE_LIST_DELAY);
            }
        }
        end
    }

    fn stop(&mut self, node: usize, end: Instant) {
        self.stopped_until[node] = self.stopped_until[node].max(end);
        self.disturbances.record(Disturbed::Node(node), self.now, end);
    }

    fn end(&mut self, failure: Failure) {
        match failure.kind {
            Kind::HistoryLost => {
                if self.store.state == StoreState::FeedsSilent {
                    self.store.state = StoreState::Sound;
                }
                self.drop_history();
            }
            Kind::LaggingReads => {
                self.store.end_lagging();
            }
            Kind::StoreDown => self.store.state = StoreState::Sound,
            _ => {}
        }
    }

    /// Drops the store's history and the calls that wait for a change.
    fn drop_history(&mut self) {
        self.store.discard_history();
        for poll in std::mem::take(&mut self.polls) {
            let cause = "connection reset".into();
            self.answer(poll.node, poll.call, Err(FeedError::Unavailable { cause }));
        }
    }

    fn step(&mut self) {
        let now = self.now;
        self.write();
        self.elect();
        self.end_polls();
        while let Some(entry) = self.in_transit.first_entry().filter(|entry| entry.key().0 <= now) {
            let (node, message) = entry.remove();
            self.inboxes[node].push(message);
        }
        for number in 0..self.size.nodes {
            if self.stopped_until[number] <= now {
                self.run_node(number);
            }
        }
    }

    fn run_node(&mut self, number: usize) {
        let now = self.now;
        if self.random.random_ratio(1, BUSY_ONE_IN) {
            let busy = Duration::from_millis(self.random.random_range(20..BUSY_MAX_MS));
            self.stopped_until[number] = now + busy;
            return;
        }
        if self.list_at[number].is_some_and(|at| at <= now) {
            self.list_at[number] = None;
            let addresses = self.addresses();
            self.nodes[number].replica.set_nodes(addresses);
        }
        let leader = self.leader_view(number);
        let messages = std::mem::take(&mut self.inboxes[number]);
        // A process that stood still handles its timers and messages in any order.
        let timers_first = self.random.random_bool(0.5);
        let node = &mut self.nodes[number];
        if timers_first {
            node.expire_calls(now, leader, &mut self.random);
        }
        let (busy_until, cost_max) = self.busy[number];
        let mut messages = messages.into_iter();
        if now < busy_until {
            if let Some(message) = messages.next() {
                node.receive(now, message, leader, address_of, &mut self.random);
                let cost = cost_max.mul_f64(self.random.random_range(0.0..1.0));
                self.stopped_until[number] = now + cost;
            }
            self.inboxes[number] = messages.collect();
        } else {
            for message in messages {
                node.receive(now, message, leader, address_of, &mut self.random);
            }
        }
        if !timers_first {
            node.expire_calls(now, leader, &mut self.random);
        }
        let sent = node.send(now, leader, number_of, &mut self.random);
        let decision = node.decide(now);
        self.judge(number, decision);
        for message in sent {
            self.transmit(number, message);
        }
    }

    fn leader_view(&self, node: usize) -> LeaderView {
        let is_self = self.leader == node && self.now < self.lease_until;
        LeaderView { is_self, address: Some(address_of(self.known_leaders[node].0)) }
    }

    fn judge(&mut self, node: usize, decision: Option<Decision>) {
        let now = self.now;
        let Some(decision) = decision else {
            if let Some(since) = self.nodes[node].pending_since {
                let waited = now.saturating_since(since);
                if self.disturbances.are_calm(node, now, waited + CONTACT_TIME) {
                    self.outcome.calm_wait_max = self.outcome.calm_wait_max.max(waited);
                }
            }
            return;
        };
        let Some(bound) = self.disturbances.bound(node, now) else { return };
        self.outcome.judged += 1;
        let newer = self.versions.iter().find(|(version, _)| *version > decision.version);
        match newer {
            Some((_, acknowledged_at)) if *acknowledged_at + bound < now => {
                self.outcome.violations.push(Violation {
                    node,
                    at: now.saturating_since(START),
                    confirmation: decision.confirmation,
                    stated_age: decision.age,
                    outdated_for: now.saturating_since(*acknowledged_at),
                });
            }
            _ => {}
        }
    }

    fn latency(&mut self) -> Duration {
        Duration::from_micros(self.random.random_range(200..4_000))
    }

    /// Sends a message over a link.
    fn deliver(&mut self, link: Link, to: usize, message: Message) {
        let mut arrives_at = self.now + self.latency();
        match link.state {
            LinkState::Sound => {}
            LinkState::Delayed(delay) => arrives_at = arrives_at + delay,
            LinkState::Silent if !link.loses => arrives_at = arrives_at.max(link.until),
            LinkState::Silent | LinkState::Reset => return,
        }
        self.sequence += 1;
        self.in_transit.insert((arrives_at, self.sequence), (to, message));
    }

    fn peer_link(&self, from: usize, to: usize) -> Link {
        let link = self.peer_links[from].at(self.now).worse(self.peer_links[to].at(self.now));
        let (from, to) = (self.zone_of(from), self.zone_of(to));
        match from == to {
            true => link,
            false => {
                let zones = self.zone_links[from].at(self.now);
                link.worse(zones.worse(self.zone_links[to].at(self.now)))
            }
        }
    }

    fn store_link(&self, node: usize) -> Link {
        let zone = self.zone_links[self.zone_of(node)].at(self.now);
        self.store_links[node].at(self.now).worse(zone)
    }

    fn transmit(&mut self, from: usize, sent: Sent) {
        match sent {
            Sent::ToStore { call, table, feed } => self.call_store(from, call, table, feed),
            Sent::PeerCall { to, call, known } => {
                let link = self.peer_link(from, to);
                if link.state == LinkState::Reset {
                    let refused = Message::PeerAnswer { from: to, call, rows: None };
                    return self.deliver(Link::SOUND, from, refused);
                }
                self.deliver(link, to, Message::PeerCall { from, call, known });
            }
            Sent::PeerAnswer { to, call, rows } => {
                let answer = Message::PeerAnswer { from, call, rows: Some(*rows) };
                self.deliver(self.peer_link(from, to), to, answer);
            }
        }
    }

    fn call_store(&mut self, node: usize, call: u64, table: ReplicaTable, feed: FeedCall) {
        let unavailable = || Err(FeedError::Unavailable { cause: "status 503".into() });
        let link = self.store_link(node);
        match (link.state, self.store.state, feed) {
            (LinkState::Reset, ..) => {
                let answer = Message::StoreAnswer { call, result: unavailable() };
                self.deliver(Link::SOUND, node, answer);
            }
            (LinkState::Silent, ..) | (_, StoreState::Silent, _) => {}
            (_, StoreState::FeedsSilent, FeedCall::Changes { .. }) => {}
            (_, StoreState::Refusing, _) => self.answer(node, call, unavailable()),
            (_, _, FeedCall::Pause(_)) => unreachable!("a pause is no call"),
            (_, _, FeedCall::Snapshot) => {
                let page = self.store.listing(self.now, table);
                self.answer(node, call, Ok(page));
            }
            (_, _, FeedCall::Changes { after, .. }) if self.store.lacks_history(after) => {
                self.answer(node, call, Err(FeedError::HistoryLost));
            }
            (_, _, FeedCall::Changes { after, wait }) => {
                let ends_at = self.now + wait;
                self.polls.push(Poll { node, call, table, after, ends_at });
                self.end_polls();
            }
        }
    }

    fn answer(&mut self, node: usize, call: u64, result: Result<FeedPage, FeedError>) {
        self.deliver(self.store_link(node), node, Message::StoreAnswer { call, result });
    }

    /// Answers the calls that wait at the store and for which there are changes, or whose wait has
    /// ended.
    fn end_polls(&mut self) {
        if self.store.state != StoreState::Sound {
            // These calls get no answer any more.
            self.polls.clear();
            return;
        }
        for poll in std::mem::take(&mut self.polls) {
            let page = self.store.changes(self.now, poll.table, poll.after);
            match page.rows.is_empty() && self.now < poll.ends_at {
                true => self.polls.push(poll),
                false => self.answer(poll.node, poll.call, Ok(page)),
            }
        }
    }

    fn write(&mut self) {
        let now = self.now;
        if now >= self.renewal_at {
            self.renewal_at = now + RENEWAL_INTERVAL;
            self.store.write_elsewhere();
        }
        let accepts = matches!(self.store.state, StoreState::Sound | StoreState::FeedsSilent);
        if now >= self.target_at {
            self.target_at = now + Duration::from_millis(self.random.random_range(300..2_000));
            if accepts {
                let content = Some(format!("cold-{}", now.as_us()));
                self.store.write(ReplicaTable::Targets, "i-1", content);
            }
        }
        if now < self.write_at {
            return;
        }
        if self.random.random_ratio(1, 10) {
            self.storm_until = now + Duration::from_millis(self.random.random_range(1_000..4_000));
        }
        let gap_ms = match now < self.storm_until {
            true => self.random.random_range(50..200),
            false => self.random.random_range(200..1_000),
        };
        self.write_at = now + Duration::from_millis(gap_ms);
        if accepts {
            self.write_config();
        }
    }

    fn write_config(&mut self) {
        let content = Some(format!("{}", self.versions.len()));
        let version = self.store.write(ReplicaTable::Operators, "config", content);
        self.versions.push((version, self.now));
    }

    /// Renews the leader's lease, or lets another node take it once it has ended.
    fn elect(&mut self) {
        let now = self.now;
        if self.can_lead(self.leader) {
            self.lease_until = self.lease_until.max(now + LEASE);
        } else if now >= self.lease_until + TAKEOVER_DELAY {
            let candidates: Vec<usize> =
                (0..self.size.nodes).filter(|node| self.can_lead(*node)).collect();
            if !candidates.is_empty() {
                self.leader = candidates[self.random.random_range(0..candidates.len())];
                self.lease_until = now + LEASE;
                for node in 0..self.size.nodes {
                    let delay = match node == self.leader {
                        true => 0,
                        false => self.random.random_range(0..1_000),
                    };
                    let known_at = now + Duration::from_millis(delay);
                    self.known_leaders[node].1 = Some((self.leader, known_at));
                }
            }
        }
        for node in 0..self.size.nodes {
            let is_reachable = self.peer_link(node, self.leader).state == LinkState::Sound;
            let (known, next) = &mut self.known_leaders[node];
            if let Some((leader, _)) = next.take_if(|(_, at)| *at <= now && is_reachable) {
                *known = leader;
            }
        }
    }

    fn can_lead(&self, node: usize) -> bool {
        let store = matches!(self.store.state, StoreState::Sound | StoreState::FeedsSilent);
        let reaches_store =
            matches!(self.store_link(node).state, LinkState::Sound | LinkState::Delayed(_));
        store && reaches_store && self.stopped_until[node] <= self.now + STEP
    }
}
