//! One holder and one issuer, one exchange at a time.

use std::time::Duration;

use wagtailmoor_core::{CustomerId, Incarnation, Instant, Requests, RequestsPerSecond, ZoneId};
use wagtailmoor_core::{NodeId, PartsPerMillion};
use wagtailmoor_limits::{
    AcquireResult, Admission, CreditHolder, CreditIssuer, CreditRequest, CreditRequestEntry,
    CreditSettings, CreditTerms, Issuer, IssuerTerm, PermitHolder, PermitIssuer, PermitLimit,
    PermitSettings, Refusal, ResourceId, Tag,
};

fn at(ms: u64) -> Instant {
    Instant::from_us(ms * 1_000)
}

struct Credits {
    zone: ZoneId,
    customer: CustomerId,
    issuer: CreditIssuer,
    holder: CreditHolder,
}

impl Credits {
    fn new(rate: u32, burst: u32) -> Self {
        let zone: ZoneId = "z1".parse().expect("a valid id");
        let customer: CustomerId = "c1".parse().expect("a valid id");
        let mut issuer = CreditIssuer::new(at(0), IssuerTerm::new(7));
        let terms = CreditTerms {
            rate: RequestsPerSecond::new(rate),
            burst: Requests::new(burst),
            share: PartsPerMillion::ONE,
        };
        issuer.set_customer(at(0), &customer, terms);
        let node: NodeId = "n1".parse().expect("a valid id");
        let settings = CreditSettings::default();
        let mut holder =
            CreditHolder::new(at(0), node, Incarnation::new(1), zone.clone(), settings);
        holder.set_zones(at(0), std::slice::from_ref(&zone));
        holder.set_customer(&customer, &zone);
        Self { zone, customer, issuer, holder }
    }

    fn exchange(&mut self, ms: u64) {
        for (zone, request) in self.holder.tick(at(ms)) {
            let reply = self.issuer.on_request(at(ms), &request);
            self.holder.on_reply(at(ms), &zone, &reply);
        }
    }
}

/// Guards against refusing the first request of an idle customer.
#[test]
fn first_request_waits_for_one_exchange() {
    let mut credits = Credits::new(100, 100);
    credits.exchange(5_000);
    let Admission::Wait(ticket) = credits.holder.admit(at(5_050), &credits.customer) else {
        panic!("no credit was requested yet");
    };
    credits.exchange(5_050);
    assert!(matches!(credits.holder.readmit(at(5_051), ticket), Admission::Admitted(_)));
}

/// Guards against losing the credit of a request that is refused after it was admitted.
#[test]
fn dropped_credit_admits_the_next_request() {
    let mut credits = Credits::new(1, 1);
    let wait = credits.holder.admit(at(5_000), &credits.customer);
    credits.exchange(5_000);
    let Admission::Wait(ticket) = wait else { panic!("no credit was requested yet") };
    let Admission::Admitted(credit) = credits.holder.readmit(at(5_001), ticket) else {
        panic!("the bucket holds one credit");
    };
    drop(credit);
    let Admission::Admitted(credit) = credits.holder.admit(at(5_002), &credits.customer) else {
        panic!("the credit was returned");
    };
    credit.spend();
    let refused = credits.holder.admit(at(5_003), &credits.customer);
    assert!(matches!(refused, Admission::Refused(Refusal::RateExceeded { .. })));
}

/// Guards against reporting an exceeded rate while no issuer replies.
#[test]
fn unresponsive_issuer_is_not_an_exceeded_rate() {
    let mut credits = Credits::new(100, 100);
    let Admission::Wait(ticket) = credits.holder.admit(at(5_000), &credits.customer) else {
        panic!("no credit was requested yet");
    };
    let _lost = credits.holder.tick(at(5_000));
    let _lost = credits.holder.tick(at(5_030));
    let refused = credits.holder.readmit(at(5_050), ticket);
    assert!(matches!(refused, Admission::Refused(Refusal::CreditUnavailable)));
    assert_eq!(credits.zone.as_str(), "z1");
}

/// Guards against issuing the home zone's share twice when a customer's home moves to this issuer,
/// and against an issuer that never issues it.
#[test]
fn increased_share_waits_for_previous_credits() {
    let mut credits = Credits::new(100, 100);
    let terms = |share_ppm| CreditTerms {
        rate: RequestsPerSecond::new(100),
        burst: Requests::new(100),
        share: PartsPerMillion::new(share_ppm),
    };
    let customer = credits.customer.clone();
    credits.issuer.set_customer(at(10), &customer, terms(100_000));
    let mut issued = |ms: u64, sequence: u32| {
        let entry = CreditRequestEntry {
            customer: Tag::of(customer.as_str()),
            urgent: 1_000,
            prefetch: 0,
            settlements: Vec::new(),
        };
        let request = CreditRequest {
            node: "n2".parse().expect("a valid id"),
            incarnation: Incarnation::new(1),
            sequence,
            term: IssuerTerm::new(7),
            entries: vec![entry],
        };
        if sequence == 2 {
            credits.issuer.set_customer(at(ms), &customer, terms(1_000_000));
        }
        credits.issuer.on_request(at(ms), &request).grants[0].credits
    };
    assert_eq!(issued(5_000, 1), 10, "the static share of the burst");
    assert_eq!(issued(5_001, 2), 0, "the share was increased just now");
    assert!(issued(5_408, 3) <= 4, "credits of the previous home zone are still valid");
    assert!(issued(6_409, 4) >= 90, "one second at the whole rate");
}

struct Permits {
    resource: ResourceId,
    issuer: PermitIssuer,
    holder: PermitHolder,
}

impl Permits {
    fn new() -> Self {
        let resource: ResourceId = "t1/slots".parse().expect("a valid id");
        let mut issuer = PermitIssuer::new(at(0), IssuerTerm::new(7));
        issuer.set_limit(&resource, Self::limit());
        let node = "n1".parse().expect("a valid id");
        let mut holder =
            PermitHolder::new(at(0), node, Incarnation::new(1), PermitSettings::default());
        holder.add_resource(&resource);
        Self { resource, issuer, holder }
    }

    fn limit() -> PermitLimit {
        PermitLimit { full: 2, slow_start: None, request_max: Duration::from_millis(500) }
    }

    fn exchange(&mut self, ms: u64) {
        if let Some(request) = self.holder.tick(at(ms)) {
            let reply = self.issuer.on_request(at(ms), &request);
            self.holder.on_reply(at(ms), &reply);
        }
    }
}

/// Guards against a pool that was removed and added again and ignores the permits that nodes hold.
#[test]
fn new_pool_counts_held_permits() {
    let mut permits = Permits::new();
    let resource = permits.resource.clone();
    let _ = permits.holder.acquire(at(5_000), &resource);
    permits.exchange(5_000);
    permits.exchange(5_000);
    let _permit = permits.holder.acquire(at(5_001), &resource).granted().expect("a permit");
    permits.exchange(5_101);
    permits.issuer.remove_target(at(5_150), &resource.target);
    permits.issuer.set_limit(&resource, Permits::limit());
    permits.exchange(5_201);
    permits.exchange(5_202);
    assert_eq!(permits.issuer.reserved(&resource), Some(1));
}

/// Guards against a target that is added later and stays unusable until the longest request time
/// has passed.
#[test]
fn added_target_is_usable_at_once() {
    let mut permits = Permits::new();
    permits.exchange(5_000);
    let resource: ResourceId = "t2/slots".parse().expect("a valid id");
    permits.issuer.set_limit(&resource, Permits::limit());
    permits.holder.add_resource(&resource);
    let _ = permits.holder.acquire(at(5_100), &resource);
    permits.exchange(5_100);
    permits.exchange(5_101);
    assert!(permits.holder.acquire(at(5_101), &resource).granted().is_some());
}

/// Guards against starting requests on a grant sent before the issuer knew that the target is cold.
#[test]
fn cold_target_invalidates_earlier_grants() {
    let mut permits = Permits::new();
    let resource = permits.resource.clone();
    let _ = permits.holder.acquire(at(5_000), &resource);
    permits.exchange(5_000);
    let request = permits.holder.tick(at(5_000)).expect("the issuer is known now");
    let reply = permits.issuer.on_request(at(5_000), &request);
    permits.holder.report_cold(&resource);
    permits.holder.on_reply(at(5_001), &reply);
    assert!(matches!(permits.holder.acquire(at(5_002), &resource), AcquireResult::Busy));
    permits.exchange(5_002);
    assert_eq!(permits.holder.free(at(5_002), &resource), 1);
}

/// Guards against a permit that is not available again after its request has ended.
#[test]
fn permit_returns_on_drop() {
    let Permits { resource, mut issuer, mut holder } = Permits::new();
    assert!(matches!(holder.acquire(at(5_000), &resource), AcquireResult::Busy));
    for _ in 0..2 {
        let request = holder.tick(at(5_000)).expect("a request waits");
        holder.on_reply(at(5_000), &issuer.on_request(at(5_000), &request));
    }
    let permit = holder.acquire(at(5_001), &resource).granted().expect("the target is idle");
    assert!(matches!(holder.acquire(at(5_002), &resource), AcquireResult::Busy));
    drop(permit);
    assert!(holder.acquire(at(5_003), &resource).granted().is_some());
}
