//! A node finds another by a seed address, and suspects it once it has been unreachable for longer
//! than the suspicion timeout.

use std::net::SocketAddr;
use std::time::Duration;

use wagtailmoor_core::{Incarnation, Instant};
use wagtailmoor_membership::{Liveness, MemberRecord, Membership, RecordState, SeedAddress};

fn node(number: u16) -> Membership {
    let address = SocketAddr::from(([127, 0, 0, 1], number));
    let own = MemberRecord {
        node: format!("n{number}").parse().expect("id"),
        address,
        zone: "z0".parse().expect("id"),
        rack: "r0".parse().expect("id"),
        incarnation: Incarnation::new(1),
        state: RecordState::Reachable,
        age_ms: 0,
    };
    let seeds = vec![SeedAddress { address: SocketAddr::from(([127, 0, 0, 1], 1)) }];
    Membership::new(own, seeds, u64::from(number), Instant::default())
}

#[test]
fn finds_a_seed_and_suspects_it_when_it_is_unreachable() {
    let (mut one, mut two) = (node(1), node(2));
    let name = "n1".parse().expect("id");
    let at = |ms| Instant::default() + Duration::from_millis(ms);
    for now in (0..2_000).step_by(50).map(at) {
        if let Some(exchange) = two.tick(now) {
            let reply = one.on_exchange(now, &exchange.digest);
            two.on_reply(now, &reply);
        }
    }
    assert_eq!(two.liveness(at(2_000), &name), Some(Liveness::Live));
    assert_eq!(one.liveness(at(2_000), &two.own().node), Some(Liveness::Live));
    for now in (2_000..9_000).step_by(50).map(at) {
        if let Some(exchange) = two.tick(now) {
            two.on_failure(now, exchange.node.as_ref().expect("node is known"));
        }
    }
    assert_eq!(two.liveness(at(7_000), &name), Some(Liveness::Live));
    assert_eq!(two.liveness(at(9_000), &name), Some(Liveness::Suspect));
}
