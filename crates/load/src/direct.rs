//! A target measured directly against the path through an entry process.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use tokio::task::JoinSet;
use tokio::time;
use wagtailmoor_core::{Outcome, PartsPerMillion, Requests, RequestsPerSecond};
use wagtailmoor_derive::value;
use wagtailmoor_history::{ClientRequest, ResponseCheck};

use crate::clock::RunClock;
use crate::connection_pool::ConnectionPool;
use crate::exchange::{Exchange, Identity};
use crate::report::Slice;

/// Most connections to each address.
const CONNECTIONS: u32 = 64;

/// Settings of a comparison.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// Address of the target.
    pub target: SocketAddr,
    /// Client port of an entry process.
    pub entry: SocketAddr,
    /// Path to get from both.
    pub path: String,
    /// Customer key for the entry process.
    pub key: String,
    /// Customer named to the target.
    pub customer: String,
    /// Requests to each of both.
    pub requests: Requests,
    /// Requests in a second to each of both.
    pub rate: RequestsPerSecond,
    /// Time for each request.
    pub timeout: Duration,
}

/// Result of a comparison.
#[value]
pub struct Direct {
    /// Requests to the target.
    pub direct: Slice,
    /// Requests through the entry process.
    pub entry: Slice,
    /// Median latency through the entry process over the direct one.
    pub p50_ratio_ppm: PartsPerMillion,
    /// Latency at p99 through the entry process over the direct one.
    pub p99_ratio_ppm: PartsPerMillion,
}

/// Sends the same requests in turn to a target and through an entry process.
pub async fn direct(settings: &DirectSettings) -> Direct {
    let clock = RunClock::start();
    let pools = [settings.target, settings.entry].map(|to| ConnectionPool::new(to, CONNECTIONS));
    let gap_us = 1_000_000 / u64::from(settings.rate.get().max(1));
    let mut exchanges = JoinSet::new();
    for number in 0..settings.requests.get() {
        for (index, pool) in pools.iter().enumerate() {
            // The two paths take turns at half the gap, so that they do not disturb each other.
            let at_us = u64::from(number) * gap_us + index as u64 * gap_us / 2;
            time::sleep_until(clock.at(at_us)).await;
            let exchange = exchange(settings, clock, at_us, index, number);
            let pool: Rc<ConnectionPool> = pool.clone();
            exchanges.spawn_local(async move { (index, exchange.run(&[pool], clock).await) });
        }
    }
    let records = exchanges.join_all().await;
    let of = |path: usize| -> Vec<&ClientRequest> {
        records.iter().filter(|(index, _)| *index == path).map(|(_, record)| record).collect()
    };
    let (direct, entry) = (Slice::new("direct", &of(0)), Slice::new("entry", &of(1)));
    Direct {
        p50_ratio_ppm: ratio(entry.latency.p50_us, direct.latency.p50_us),
        p99_ratio_ppm: ratio(entry.latency.p99_us, direct.latency.p99_us),
        direct,
        entry,
    }
}

fn exchange(
    settings: &DirectSettings,
    clock: RunClock,
    at_us: u64,
    index: usize,
    number: u32,
) -> Exchange {
    let run = clock.started_us();
    let record = ClientRequest {
        load_id: format!("{run:x}-{index}-{number}"),
        customer: Some(settings.customer.clone()),
        method: "GET".to_owned(),
        path: settings.path.clone(),
        workload: "direct".to_owned(),
        idempotency_key: None,
        key: None,
        intended_us: run + at_us,
        start_us: 0,
        end_us: 0,
        status: None,
        outcome: Outcome::Unknown,
        reason: None,
        check: ResponseCheck::None,
        value: None,
        target: None,
        bytes: 0,
    };
    Exchange {
        record,
        identity: match index {
            0 => Identity::AsEntry(settings.customer.clone()),
            _ => Identity::Key(settings.key.clone()),
        },
        timeout: settings.timeout,
        body: Bytes::new(),
        announced: None,
        read_bytes_per_s: 0,
    }
}

fn ratio(part: u64, whole: u64) -> PartsPerMillion {
    let ppm = (part * 1_000_000).checked_div(whole).unwrap_or_default();
    PartsPerMillion::new(u32::try_from(ppm).unwrap_or(u32::MAX))
}
