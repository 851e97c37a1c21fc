//! Credit holders and issuers under a random workload, with a check of the rate limit.

use std::collections::VecDeque;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;
use wagtailmoor_core::{CustomerId, Incarnation, Instant, NodeId, Requests as Count};
use wagtailmoor_core::{RequestsPerSecond, ZoneId, home_zone};
use wagtailmoor_limits::{
    Admission, CreditHolder, CreditIssuer, CreditReply, CreditRequest, CreditSettings, CreditTerms,
    DEFAULT_STATIC_SHARE, IssuerTerm, Refusal, TokenBucket, WaitTicket, zone_share,
};

use super::MS;
use super::rate_check::RateCheck;
use super::world::{NodeTime, Protocol, Requests, zone_id, zone_index};

/// Bug injected into the protocol to prove that the checks detect it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InjectedBug {
    None,
    /// Credits stay valid for 2.55 s.
    NoExpiry,
    /// A new issuer does not wait for the previous issuer's credits to expire.
    NoWait,
    /// A new issuer starts with full accounts.
    FullStart,
    /// Used credits are reported as returned.
    ReturnUsed,
    /// Settlements are sent again with the next request.
    ReturnTwice,
}

/// Demand for one customer.
#[derive(Clone, Debug)]
pub struct Workload {
    pub rate: u32,
    pub burst: u32,
    /// Share of the demand at each node.
    pub shares: Vec<f64>,
    /// Demand in multiples of the rate, one entry for each phase.
    pub phases: Vec<f64>,
    pub phase_us: u64,
    /// Share of arrivals accompanied by `batch_size` more at the same instant.
    pub batch: f64,
    pub batch_size: u32,
    /// Share of waiting requests whose client disconnects before the reply.
    pub abandoned: f64,
}

impl Workload {
    /// Returns the demand at a node; the demand of nodes that are down is shared by the others.
    fn demand_per_us(&self, node: usize, true_us: u64, up: &[bool]) -> f64 {
        let reachable = self.shares.iter().zip(up).filter(|(_, up)| **up);
        let reachable: f64 = reachable.map(|(share, _)| share).sum();
        let phase = (true_us / self.phase_us) as usize;
        let factor = self.phases[phase.min(self.phases.len() - 1)];
        factor * f64::from(self.rate) * self.shares[node] / reachable.max(0.25) / 1e6
    }

    /// Returns whether the client of a waiting request disconnects. Those of a batch all do, or
    /// none.
    fn client_disconnects(&self, arrival: u64) -> bool {
        let batch = arrival / u64::from(self.batch_size);
        ((batch * 7 % 10) as f64) < self.abandoned * 10.0
    }

    fn peak_per_us(&self, node: usize) -> f64 {
        let peak = self.phases.iter().copied().fold(0.0, f64::max);
        // The demand doubles while nodes with half of it are down.
        (2.0 * peak * f64::from(self.rate) * self.shares[node] / 1e6).max(1e-9)
    }
}

/// Counts of the requests of one customer by outcome.
#[derive(Clone, Debug)]
pub struct CustomerStats {
    pub rate_check: RateCheck,
    /// Bucket of the whole rate and burst, which decides whether an arrival is within the rate.
    ideal: RateCheck,
    pub arrivals: u64,
    pub within_rate: u64,
    pub refused: u64,
    pub refused_within_rate: u64,
    pub split_refused_within_rate: u64,
    pub split_check: RateCheck,
    pub late_refusals: Vec<(u64, Refusal)>,
    pub admitted: u64,
    pub waited: u64,
    pub waited_us: u64,
}

#[derive(Debug)]
struct Waiting {
    ticket: WaitTicket,
    customer: usize,
    arrived_us: u64,
    within_rate: bool,
    number: u64,
}

pub struct Credits {
    pub workloads: Vec<Workload>,
    pub stats: Vec<CustomerStats>,
    pub violation: Option<String>,
    pub settings: CreditSettings,
    pub injected_bug: InjectedBug,
    /// One in this many admitted requests is refused before it is sent; 0 for none.
    pub refuse_every: u64,
    /// Token buckets of an even static split by node and customer, applied to the same arrivals.
    pub static_split: Vec<Vec<TokenBucket>>,
    /// Requests that arrive before this time are not counted.
    pub count_from_us: u64,
    /// Refusals after this time are recorded.
    pub record_refusals_from_us: u64,
    customers: Vec<CustomerId>,
    zones: Vec<ZoneId>,
    up: Vec<bool>,
    waiting: Vec<VecDeque<Waiting>>,
    next_arrival_us: Vec<Vec<u64>>,
    last_requests: Vec<Vec<(usize, CreditRequest)>>,
}

impl Credits {
    pub fn new(nodes: usize, zones: usize, workloads: Vec<Workload>) -> Self {
        let stats = |workload: &Workload| CustomerStats {
            rate_check: RateCheck::new(workload.rate, workload.burst),
            ideal: RateCheck::new(workload.rate, workload.burst),
            arrivals: 0,
            within_rate: 0,
            refused: 0,
            refused_within_rate: 0,
            split_refused_within_rate: 0,
            split_check: RateCheck::new(workload.rate, workload.burst),
            late_refusals: Vec::new(),
            admitted: 0,
            waited: 0,
            waited_us: 0,
        };
        let customer = |index| format!("customer-{index}").parse().expect("a valid customer id");
        Self {
            stats: workloads.iter().map(stats).collect(),
            customers: (0..workloads.len()).map(customer).collect(),
            zones: (0..zones).map(zone_id).collect(),
            waiting: (0..nodes).map(|_| VecDeque::new()).collect(),
            next_arrival_us: vec![vec![0; workloads.len()]; nodes],
            last_requests: vec![Vec::new(); nodes],
            workloads,
            violation: None,
            settings: CreditSettings::default(),
            injected_bug: InjectedBug::None,
            refuse_every: 16,
            count_from_us: 0,
            static_split: Vec::new(),
            up: vec![false; nodes],
            record_refusals_from_us: u64::MAX,
        }
    }

    pub fn home_zone(&self, customer: usize) -> &ZoneId {
        home_zone(&self.customers[customer], &self.zones).expect("there are zones")
    }

    fn terms(&self, customer: usize, zone: usize) -> CreditTerms {
        let is_home = *self.home_zone(customer) == self.zones[zone];
        CreditTerms {
            rate: RequestsPerSecond::new(self.workloads[customer].rate),
            burst: Count::new(self.workloads[customer].burst),
            share: zone_share(DEFAULT_STATIC_SHARE, self.zones.len() as u32, is_home),
        }
    }

    fn arrive(&mut self, at: NodeTime, holder: &mut CreditHolder, customer: usize) {
        let stats = &mut self.stats[customer];
        let within_rate = stats.ideal.admit(at.true_us) && at.true_us >= self.count_from_us;
        stats.arrivals += 1;
        stats.within_rate += u64::from(within_rate);
        if let Some(buckets) = self.static_split.get_mut(at.node) {
            let admitted = buckets[customer].take(Instant::from_us(at.true_us), 1.0);
            stats.split_refused_within_rate += u64::from(within_rate && !admitted);
            if admitted {
                stats.split_check.admit(at.true_us);
            }
        }
        let admission = holder.admit(at.local, &self.customers[customer]);
        self.record_admission(at, admission, customer, at.true_us, within_rate);
    }

    /// Records an admission result; returns whether the request waits.
    fn record_admission(
        &mut self,
        at: NodeTime,
        admission: Admission,
        customer: usize,
        arrived_us: u64,
        within_rate: bool,
    ) -> bool {
        let stats = &mut self.stats[customer];
        let refused_later =
            self.refuse_every > 0 && stats.arrivals.is_multiple_of(self.refuse_every);
        match admission {
            // Some requests are refused after admission, for example by a full queue.
            Admission::Admitted(credit) if refused_later => drop(credit),
            Admission::Admitted(credit) => {
                credit.spend();
                if arrived_us >= self.count_from_us {
                    stats.admitted += 1;
                    stats.waited += u64::from(at.true_us > arrived_us);
                    stats.waited_us += at.true_us - arrived_us;
                }
                if !stats.rate_check.admit(at.true_us) && self.violation.is_none() {
                    let workload = &self.workloads[customer];
                    self.violation = Some(format!(
                        "customer-{customer} exceeds {}/s with burst {} at {} us",
                        workload.rate, workload.burst, at.true_us
                    ));
                }
            }
            Admission::Wait(ticket) => {
                let number = stats.arrivals;
                let waiting = Waiting { ticket, customer, arrived_us, within_rate, number };
                self.waiting[at.node].push_back(waiting);
                return true;
            }
            Admission::Refused(refusal) => {
                stats.refused += 1;
                stats.refused_within_rate += u64::from(within_rate);
                if at.true_us > self.record_refusals_from_us {
                    stats.late_refusals.push((at.true_us, refusal));
                }
            }
        }
        false
    }

    fn retry_waiting(&mut self, at: NodeTime, holder: &mut CreditHolder) {
        for waiting in std::mem::take(&mut self.waiting[at.node]) {
            if self.workloads[waiting.customer].client_disconnects(waiting.number) {
                continue;
            }
            let admission = holder.readmit(at.local, waiting.ticket);
            self.record_admission(
                at,
                admission,
                waiting.customer,
                waiting.arrived_us,
                waiting.within_rate,
            );
        }
    }

    fn due_arrivals(
        &mut self,
        at: NodeTime,
        holder: &mut CreditHolder,
        rng: &mut ChaCha8Rng,
    ) -> u64 {
        for customer in 0..self.workloads.len() {
            let peak = self.workloads[customer].peak_per_us(at.node);
            while self.next_arrival_us[at.node][customer] <= at.true_us {
                let due = self.next_arrival_us[at.node][customer].max(1);
                let gap = -(1.0 - rng.random::<f64>()).ln() / peak;
                // A node that was down or paused does not receive the arrivals that it missed.
                let from = due.max(at.true_us.saturating_sub(MS));
                self.next_arrival_us[at.node][customer] = from + gap.min(1e12) as u64 + 1;
                let workload = &self.workloads[customer];
                let acceptance = workload.demand_per_us(at.node, at.true_us, &self.up) / peak;
                if due > 1 && rng.random_bool(acceptance.min(1.0)) {
                    let extra =
                        if rng.random_bool(workload.batch) { workload.batch_size } else { 0 };
                    (0..=extra).for_each(|_| self.arrive(at, holder, customer));
                }
            }
        }
        let next = self.next_arrival_us[at.node].iter().min();
        *next.expect("there is a customer")
    }

    fn apply_bug(&mut self, node: usize, requests: &mut [(usize, CreditRequest)]) {
        for (zone, request) in requests.iter_mut() {
            let entries = request.entries.iter_mut();
            match self.injected_bug {
                InjectedBug::ReturnUsed => {
                    entries.flat_map(|entry| &mut entry.settlements).for_each(|settled| {
                        settled.returned += settled.used;
                        settled.used = 0;
                    })
                }
                InjectedBug::ReturnTwice => {
                    let previous = std::mem::replace(
                        &mut self.last_requests[node],
                        vec![(*zone, request.clone())],
                    );
                    for (_, earlier) in previous.iter().filter(|(other, _)| other == zone) {
                        for entry in request.entries.iter_mut() {
                            let same =
                                earlier.entries.iter().find(|old| old.customer == entry.customer);
                            entry
                                .settlements
                                .extend(same.into_iter().flat_map(|old| old.settlements.clone()));
                        }
                    }
                }
                _ => {}
            }
        }
    }
}

impl Protocol for Credits {
    type Holder = CreditHolder;
    type Issuer = CreditIssuer;

    fn holder(
        &mut self,
        at: NodeTime,
        id: &NodeId,
        incarnation: Incarnation,
        zone: usize,
    ) -> CreditHolder {
        let settings = self.settings.clone();
        self.up[at.node] = true;
        let mut holder =
            CreditHolder::new(at.local, id.clone(), incarnation, zone_id(zone), settings);
        holder.set_zones(at.local, &self.zones);
        for (index, customer) in self.customers.iter().enumerate() {
            holder.set_customer(customer, self.home_zone(index));
        }
        holder
    }

    fn issuer(&mut self, at: NodeTime, term: IssuerTerm, zone: usize) -> CreditIssuer {
        let created = match self.injected_bug {
            InjectedBug::NoWait => at.local - std::time::Duration::from_millis(409),
            InjectedBug::FullStart => at.local - std::time::Duration::from_secs(60),
            _ => at.local,
        };
        let mut issuer = CreditIssuer::new(created, term);
        for (index, customer) in self.customers.iter().enumerate() {
            issuer.set_customer(created, customer, self.terms(index, zone));
        }
        issuer
    }

    fn tick(&mut self, now: Instant, holder: &mut CreditHolder) -> Requests<Self> {
        let requests = holder.tick(now);
        let mut requests: Vec<_> =
            requests.into_iter().map(|(zone, request)| (zone_index(&zone), request)).collect();
        if let Some((_, first)) = requests.first() {
            let node = first.node.as_str()[5..].parse().expect("an id created by World");
            self.apply_bug(node, &mut requests);
        }
        requests
    }

    fn next_tick(&self, now: Instant, holder: &CreditHolder) -> Instant {
        holder.next_tick(now)
    }

    fn on_reply(
        &mut self,
        at: NodeTime,
        holder: &mut CreditHolder,
        zone: usize,
        reply: CreditReply,
    ) {
        let mut reply = reply;
        if self.injected_bug == InjectedBug::NoExpiry {
            reply.grants.iter_mut().for_each(|grant| grant.validity_10ms = u8::MAX);
        }
        holder.on_reply(at.local, &self.zones[zone], &reply);
        self.retry_waiting(at, holder);
    }

    fn release_all(&mut self, at: NodeTime, holder: &mut CreditHolder) -> Requests<Self> {
        let requests = holder.release_all(at.local);
        requests.into_iter().map(|(zone, request)| (zone_index(&zone), request)).collect()
    }

    fn run_due_work(
        &mut self,
        at: NodeTime,
        holder: &mut CreditHolder,
        rng: &mut ChaCha8Rng,
    ) -> u64 {
        self.retry_waiting(at, holder);
        let next = self.due_arrivals(at, holder, rng);
        match self.waiting[at.node].is_empty() {
            true => next,
            false => next.min(at.true_us + 10 * MS),
        }
    }

    fn on_stop(&mut self, at: NodeTime) {
        self.up[at.node] = false;
        self.waiting[at.node].clear();
        self.last_requests[at.node].clear();
    }
}
