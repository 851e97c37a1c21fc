//! Credits under a random workload, with the check of rates.

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
use super::world::{Moment, Protocol, Requests, zone_id, zone_index};

/// Fault put into the protocol by hand.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Defect {
    None,
    /// Credits stay valid for 2.55 s.
    NoExpiry,
    /// A new issuer does not wait for older credits to expire.
    NoWait,
    /// A new issuer starts with full accounts.
    FullStart,
    /// Used credits are returned.
    ReturnUsed,
    /// Credits are returned once more with the next request.
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
    /// Share of arrivals that come with `batch_size` more at the same instant.
    pub batch: f64,
    pub batch_size: u32,
    /// Share of waiting requests whose client leaves before the reply.
    pub abandoned: f64,
}

impl Workload {
    /// Returns the demand at a host; that of hosts that are down goes to the others.
    fn demand_per_us(&self, node: usize, true_us: u64, up: &[bool]) -> f64 {
        let reached = self.shares.iter().zip(up).filter(|(_, up)| **up);
        let reached: f64 = reached.map(|(share, _)| share).sum();
        let phase = (true_us / self.phase_us) as usize;
        let factor = self.phases[phase.min(self.phases.len() - 1)];
        factor * f64::from(self.rate) * self.shares[node] / reached.max(0.25) / 1e6
    }

    /// Returns whether the client of a waiting request leaves; a batch leaves as a whole.
    fn leaves(&self, arrival: u64) -> bool {
        let batch = arrival / u64::from(self.batch_size);
        ((batch * 7 % 10) as f64) < self.abandoned * 10.0
    }

    fn peak_per_us(&self, node: usize) -> f64 {
        let peak = self.phases.iter().copied().fold(0.0, f64::max);
        // Twice as much arrives while hosts with half of the demand are down.
        (2.0 * peak * f64::from(self.rate) * self.shares[node] / 1e6).max(1e-9)
    }
}

/// What became of the requests of one customer.
#[derive(Clone, Debug)]
pub struct Tally {
    pub check: RateCheck,
    /// Bucket of the whole rate that decides which arrivals are within the rate.
    ideal: RateCheck,
    pub arrivals: u64,
    pub within: u64,
    pub refused: u64,
    pub refused_within: u64,
    pub split_refused_within: u64,
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
    within: bool,
    number: u64,
}

pub struct Credits {
    pub workloads: Vec<Workload>,
    pub tallies: Vec<Tally>,
    pub violation: Option<String>,
    pub settings: CreditSettings,
    pub defect: Defect,
    /// Of so many admitted requests one is refused before it is sent; 0 for none.
    pub drop_every: u64,
    /// Buckets of an even static split, by node and customer, fed with the same arrivals.
    pub split: Vec<Vec<TokenBucket>>,
    /// Requests that arrive before this instant are not counted.
    pub count_from_us: u64,
    /// Refusals after this instant are recorded.
    pub expect_us: u64,
    customers: Vec<CustomerId>,
    zones: Vec<ZoneId>,
    up: Vec<bool>,
    waiting: Vec<VecDeque<Waiting>>,
    next_arrival_us: Vec<Vec<u64>>,
    resend: Vec<Vec<(usize, CreditRequest)>>,
}

impl Credits {
    pub fn new(nodes: usize, zones: usize, workloads: Vec<Workload>) -> Self {
        let tally = |work: &Workload| Tally {
            check: RateCheck::new(work.rate, work.burst),
            ideal: RateCheck::new(work.rate, work.burst),
            arrivals: 0,
            within: 0,
            refused: 0,
            refused_within: 0,
            split_refused_within: 0,
            split_check: RateCheck::new(work.rate, work.burst),
            late_refusals: Vec::new(),
            admitted: 0,
            waited: 0,
            waited_us: 0,
        };
        let customer = |index| format!("customer-{index}").parse().expect("a valid customer id");
        Self {
            tallies: workloads.iter().map(tally).collect(),
            customers: (0..workloads.len()).map(customer).collect(),
            zones: (0..zones).map(zone_id).collect(),
            waiting: (0..nodes).map(|_| VecDeque::new()).collect(),
            next_arrival_us: vec![vec![0; workloads.len()]; nodes],
            resend: vec![Vec::new(); nodes],
            workloads,
            violation: None,
            settings: CreditSettings::default(),
            defect: Defect::None,
            drop_every: 16,
            count_from_us: 0,
            split: Vec::new(),
            up: vec![false; nodes],
            expect_us: u64::MAX,
        }
    }

    pub fn home(&self, customer: usize) -> &ZoneId {
        home_zone(&self.customers[customer], &self.zones).expect("there are zones")
    }

    fn terms(&self, customer: usize, zone: usize) -> CreditTerms {
        let home = *self.home(customer) == self.zones[zone];
        CreditTerms {
            rate: RequestsPerSecond::new(self.workloads[customer].rate),
            burst: Count::new(self.workloads[customer].burst),
            share: zone_share(DEFAULT_STATIC_SHARE, self.zones.len() as u32, home),
        }
    }

    fn arrive(&mut self, at: Moment, holder: &mut CreditHolder, customer: usize) {
        let tally = &mut self.tallies[customer];
        let within = tally.ideal.admit(at.true_us) && at.true_us >= self.count_from_us;
        tally.arrivals += 1;
        tally.within += u64::from(within);
        if let Some(buckets) = self.split.get_mut(at.node) {
            let admitted = buckets[customer].take(Instant::from_us(at.true_us), 1.0);
            tally.split_refused_within += u64::from(within && !admitted);
            if admitted {
                tally.split_check.admit(at.true_us);
            }
        }
        let admission = holder.admit(at.local, &self.customers[customer]);
        self.settle(at, admission, customer, at.true_us, within);
    }

    /// Records an admission; returns whether the request waits.
    fn settle(
        &mut self,
        at: Moment,
        admission: Admission,
        customer: usize,
        arrived_us: u64,
        within: bool,
    ) -> bool {
        let tally = &mut self.tallies[customer];
        let drops = self.drop_every > 0 && tally.arrivals.is_multiple_of(self.drop_every);
        match admission {
            // Some requests are refused later on, for example by a full queue.
            Admission::Admitted(credit) if drops => drop(credit),
            Admission::Admitted(credit) => {
                credit.spend();
                if arrived_us >= self.count_from_us {
                    tally.admitted += 1;
                    tally.waited += u64::from(at.true_us > arrived_us);
                    tally.waited_us += at.true_us - arrived_us;
                }
                if !tally.check.admit(at.true_us) && self.violation.is_none() {
                    let work = &self.workloads[customer];
                    self.violation = Some(format!(
                        "customer-{customer} exceeds {}/s with burst {} at {} us",
                        work.rate, work.burst, at.true_us
                    ));
                }
            }
            Admission::Wait(ticket) => {
                let number = tally.arrivals;
                let waiting = Waiting { ticket, customer, arrived_us, within, number };
                self.waiting[at.node].push_back(waiting);
                return true;
            }
            Admission::Refused(refusal) => {
                tally.refused += 1;
                tally.refused_within += u64::from(within);
                if at.true_us > self.expect_us {
                    tally.late_refusals.push((at.true_us, refusal));
                }
            }
        }
        false
    }

    fn retry_waiting(&mut self, at: Moment, holder: &mut CreditHolder) {
        for waiting in std::mem::take(&mut self.waiting[at.node]) {
            if self.workloads[waiting.customer].leaves(waiting.number) {
                continue;
            }
            let admission = holder.readmit(at.local, waiting.ticket);
            self.settle(at, admission, waiting.customer, waiting.arrived_us, waiting.within);
        }
    }

    fn due_arrivals(&mut self, at: Moment, holder: &mut CreditHolder, rng: &mut ChaCha8Rng) -> u64 {
        for customer in 0..self.workloads.len() {
            let peak = self.workloads[customer].peak_per_us(at.node);
            while self.next_arrival_us[at.node][customer] <= at.true_us {
                let due = self.next_arrival_us[at.node][customer].max(1);
                let gap = -(1.0 - rng.random::<f64>()).ln() / peak;
                // A host that was away does not get the arrivals that it missed.
                let from = due.max(at.true_us.saturating_sub(MS));
                self.next_arrival_us[at.node][customer] = from + gap.min(1e12) as u64 + 1;
                let work = &self.workloads[customer];
                let kept = work.demand_per_us(at.node, at.true_us, &self.up) / peak;
                if due > 1 && rng.random_bool(kept.min(1.0)) {
                    let more = if rng.random_bool(work.batch) { work.batch_size } else { 0 };
                    (0..=more).for_each(|_| self.arrive(at, holder, customer));
                }
            }
        }
        let next = self.next_arrival_us[at.node].iter().min();
        *next.expect("there is a customer")
    }

    fn inject(&mut self, node: usize, requests: &mut [(usize, CreditRequest)]) {
        for (zone, request) in requests.iter_mut() {
            let asks = request.entries.iter_mut();
            match self.defect {
                Defect::ReturnUsed => {
                    asks.flat_map(|ask| &mut ask.settlements).for_each(|settled| {
                        settled.returned += settled.used;
                        settled.used = 0;
                    })
                }
                Defect::ReturnTwice => {
                    let again =
                        std::mem::replace(&mut self.resend[node], vec![(*zone, request.clone())]);
                    for (_, earlier) in again.iter().filter(|(other, _)| other == zone) {
                        for ask in request.entries.iter_mut() {
                            let same =
                                earlier.entries.iter().find(|old| old.customer == ask.customer);
                            ask.settlements
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

    fn holder(&mut self, at: Moment, id: &NodeId, run: Incarnation, zone: usize) -> CreditHolder {
        let settings = self.settings.clone();
        self.up[at.node] = true;
        let mut holder = CreditHolder::new(at.local, id.clone(), run, zone_id(zone), settings);
        holder.set_zones(at.local, &self.zones);
        for (index, customer) in self.customers.iter().enumerate() {
            holder.set_customer(customer, self.home(index));
        }
        holder
    }

    fn issuer(&mut self, at: Moment, term: IssuerTerm, zone: usize) -> CreditIssuer {
        let created = match self.defect {
            Defect::NoWait => at.local - std::time::Duration::from_millis(409),
            Defect::FullStart => at.local - std::time::Duration::from_secs(60),
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
            let node = first.node.as_str()[5..].parse().expect("an id made by the world");
            self.inject(node, &mut requests);
        }
        requests
    }

    fn next_tick(&self, now: Instant, holder: &CreditHolder) -> Instant {
        holder.next_tick(now)
    }

    fn on_reply(&mut self, at: Moment, holder: &mut CreditHolder, zone: usize, reply: CreditReply) {
        let mut reply = reply;
        if self.defect == Defect::NoExpiry {
            reply.grants.iter_mut().for_each(|grant| grant.validity_10ms = u8::MAX);
        }
        holder.on_reply(at.local, &self.zones[zone], &reply);
        self.retry_waiting(at, holder);
    }

    fn release(&mut self, at: Moment, holder: &mut CreditHolder) -> Requests<Self> {
        let requests = holder.release_all(at.local);
        requests.into_iter().map(|(zone, request)| (zone_index(&zone), request)).collect()
    }

    fn work(&mut self, at: Moment, holder: &mut CreditHolder, rng: &mut ChaCha8Rng) -> u64 {
        self.retry_waiting(at, holder);
        let next = self.due_arrivals(at, holder, rng);
        match self.waiting[at.node].is_empty() {
            true => next,
            false => next.min(at.true_us + 10 * MS),
        }
    }

    fn on_lost(&mut self, at: Moment) {
        self.up[at.node] = false;
        self.waiting[at.node].clear();
        self.resend[at.node].clear();
    }
}
