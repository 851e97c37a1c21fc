//! Time per operation, message sizes, and memory per customer and target.

use std::hint::black_box;
use std::time::{Duration, Instant as Stopwatch};

use wagtailmoor_core::{
    CustomerId, Incarnation, Instant, NodeId, PartsPerMillion, Requests, RequestsPerSecond,
    TargetId, ZoneId,
};
use wagtailmoor_limits::{
    Admission, CreditHolder, CreditIssuer, CreditSettings, CreditTerms, Issuer, IssuerTerm,
    PermitHolder, PermitIssuer, PermitLimit, PermitSettings, ResourceId,
};

use super::traffic::encoded_size;

const CUSTOMERS: [usize; 3] = [8, 100, 1_000];
const ROUNDS: usize = 2_000;
const ITEMS: usize = 20_000;

pub(crate) fn print() {
    println!("Cost of credits, one node, all customers active");
    println!(
        "{:>9} | {:>10} {:>10} | {:>10} {:>10} {:>10} | {:>9} {:>9}",
        "customers", "admit", "tick", "issuer", "reply", "refuse", "request", "reply"
    );
    CUSTOMERS.into_iter().for_each(print_credits);
    println!("Cost of permits, one node, all targets in use");
    println!(
        "{:>9} | {:>10} {:>10} {:>10} {:>10} | {:>9} {:>9}",
        "targets", "acquire", "tick", "issuer", "reply", "request", "reply"
    );
    [16, 35, 200].into_iter().for_each(print_permits);
    print_memory();
    println!();
}

struct Site {
    zone: ZoneId,
    customers: Vec<CustomerId>,
    issuer: CreditIssuer,
    holder: CreditHolder,
}

fn site(count: usize) -> Site {
    let start = Instant::default();
    let zone: ZoneId = "z1".parse().expect("a valid id");
    let id = |index| format!("customer-{index}").parse().expect("a valid id");
    let customers: Vec<CustomerId> = (0..count).map(id).collect();
    let mut issuer = CreditIssuer::new(start, IssuerTerm::new(1));
    let node: NodeId = "node-1".parse().expect("a valid id");
    let incarnation = Incarnation::new(1_760_000_000_000);
    let settings = CreditSettings::default();
    let mut holder = CreditHolder::new(start, node, incarnation, zone.clone(), settings);
    holder.set_zones(start, std::slice::from_ref(&zone));
    let terms = CreditTerms {
        rate: RequestsPerSecond::new(1_000_000),
        burst: Requests::new(1_000_000),
        share: PartsPerMillion::ONE,
    };
    for customer in &customers {
        issuer.set_customer(start, customer, terms);
        holder.set_customer(customer, &zone);
    }
    Site { zone, customers, issuer, holder }
}

/// Accumulates the time spent in one kind of operation.
#[derive(Default)]
struct OperationTimer {
    elapsed: Duration,
    operations: u32,
}

impl OperationTimer {
    fn time<T>(&mut self, operations: usize, run: impl FnOnce() -> T) -> T {
        let stopwatch = Stopwatch::now();
        let result = black_box(run());
        self.elapsed += stopwatch.elapsed();
        self.operations += operations as u32;
        result
    }

    fn mean_us(&self) -> f64 {
        self.elapsed.as_secs_f64() * 1e6 / f64::from(self.operations.max(1))
    }
}

fn print_credits(count: usize) {
    let mut site = site(count);
    let [mut admit, mut tick, mut issue, mut reply, mut refuse] =
        [const { OperationTimer { elapsed: Duration::ZERO, operations: 0 } }; 5];
    let (mut request_bytes, mut reply_bytes, mut messages) = (0, 0, 0);
    for round in 0..ROUNDS * 8 / count.max(8) + 20 {
        let now = Instant::from_us(5_000_000 + round as u64 * 100_000);
        let admissions = admit.time(count * 4, || {
            let four = (0..4).flat_map(|_| &site.customers);
            four.map(|customer| site.holder.admit(now, customer)).collect::<Vec<_>>()
        });
        for admission in admissions {
            if let Admission::Admitted(credit) = admission {
                credit.spend();
            }
        }
        for (_, request) in tick.time(1, || site.holder.tick(now)) {
            let answer = issue.time(1, || site.issuer.on_request(now, &request));
            request_bytes += encoded_size(&request);
            reply_bytes += encoded_size(&answer);
            messages += 1;
            reply.time(1, || site.holder.on_reply(now, &site.zone, &answer));
        }
    }
    // After several requests without a reply, every admission is refused at once.
    let mut now = Instant::from_us(1_000_000_000);
    for _ in 0..3 {
        now = now + Duration::from_millis(100);
        site.customers.iter().for_each(|customer| drop(site.holder.admit(now, customer)));
        drop(site.holder.tick(now));
    }
    let customers = &site.customers;
    let refused = refuse.time(count, || {
        let admissions = customers.iter().map(|customer| site.holder.admit(now, customer));
        admissions.filter(|admission| matches!(admission, Admission::Refused(_))).count()
    });
    assert_eq!(refused, count, "an issuer that does not answer leads to refusals");
    println!(
        "{count:>9} | {:>7.3} us {:>7.1} us | {:>7.1} us {:>7.1} us {:>7.3} us | {:>7} B {:>7} B",
        admit.mean_us(),
        tick.mean_us(),
        issue.mean_us(),
        reply.mean_us(),
        refuse.mean_us(),
        request_bytes / messages,
        reply_bytes / messages,
    );
}

fn print_permits(count: usize) {
    let start = Instant::default();
    let target =
        |index: usize| -> TargetId { format!("target-{index}").parse().expect("a valid id") };
    let resources: Vec<_> = (0..count).map(|index| ResourceId::slots(target(index))).collect();
    let mut issuer = PermitIssuer::new(start, IssuerTerm::new(1));
    let node: NodeId = "node-1".parse().expect("a valid id");
    let incarnation = Incarnation::new(1_760_000_000_000);
    let mut holder = PermitHolder::new(start, node, incarnation, PermitSettings::default());
    let limit = PermitLimit { full: 4, slow_start: None, request_max: Duration::from_millis(500) };
    for resource in &resources {
        issuer.set_limit(resource, limit.clone());
        holder.add_resource(resource);
    }
    let [mut acquire, mut tick, mut issue, mut reply] =
        [const { OperationTimer { elapsed: Duration::ZERO, operations: 0 } }; 4];
    let (mut request_bytes, mut reply_bytes, mut messages) = (0, 0, 0);
    for round in 0..ROUNDS {
        let now = Instant::from_us(5_000_000 + round as u64 * 100_000);
        let permits = acquire.time(count * 2, || {
            let two = (0..2).flat_map(|_| &resources);
            two.map(|resource| holder.acquire(now, resource)).collect::<Vec<_>>()
        });
        drop(permits);
        if let Some(request) = tick.time(1, || holder.tick(now)) {
            let answer = issue.time(1, || issuer.on_request(now, &request));
            request_bytes += encoded_size(&request);
            reply_bytes += encoded_size(&answer);
            messages += 1;
            reply.time(1, || holder.on_reply(now, &answer));
        }
    }
    println!(
        "{count:>9} | {:>7.3} us {:>7.1} us {:>7.1} us {:>7.1} us | {:>7} B {:>7} B",
        acquire.mean_us(),
        tick.mean_us(),
        issue.mean_us(),
        reply.mean_us(),
        request_bytes / messages,
        reply_bytes / messages,
    );
}

/// Prints the resident memory per customer and target, measured over many of them.
fn print_memory() {
    let before = resident_bytes();
    let mut site = site(ITEMS);
    for round in 0..20 {
        let now = Instant::from_us(5_000_000 + round * 100_000);
        for customer in &site.customers {
            if let Admission::Admitted(credit) = site.holder.admit(now, customer) {
                credit.spend();
            }
        }
        for (_, request) in site.holder.tick(now) {
            let answer = site.issuer.on_request(now, &request);
            site.holder.on_reply(now, &site.zone, &answer);
        }
    }
    let after = resident_bytes();
    println!(
        "Memory of an active customer, issuer and holder together: {} B",
        after.saturating_sub(before) / ITEMS as u64
    );
    black_box(&site);
    print_permit_memory();
}

fn print_permit_memory() {
    const NODES: usize = 12;
    let start = Instant::default();
    let target = |index: usize| format!("target-{index}").parse().expect("a valid id");
    let resources: Vec<_> = (0..ITEMS / 4).map(|index| ResourceId::slots(target(index))).collect();
    let before = resident_bytes();
    let mut issuer = PermitIssuer::new(start, IssuerTerm::new(1));
    let limit =
        PermitLimit { full: 130, slow_start: None, request_max: Duration::from_millis(500) };
    resources.iter().for_each(|resource| issuer.set_limit(resource, limit.clone()));
    let mut holders = Vec::new();
    for node in 0..NODES {
        let id: NodeId = format!("node-{node}").parse().expect("a valid id");
        let mut holder =
            PermitHolder::new(start, id, Incarnation::new(1), PermitSettings::default());
        resources.iter().for_each(|resource| holder.add_resource(resource));
        for _ in 0..2 {
            let now = Instant::from_us(5_000_000);
            resources.iter().for_each(|resource| drop(holder.acquire(now, resource)));
            let request = holder.tick(now).expect("there is demand");
            holder.on_reply(now, &issuer.on_request(now, &request));
        }
        holders.push(holder);
    }
    let after = resident_bytes();
    println!(
        "Memory of a target in use by {NODES} nodes, issuer and all holders together: {} B",
        after.saturating_sub(before) / resources.len() as u64
    );
    black_box((&issuer, &holders));
}

fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = status.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0_u64) * 4_096
}
