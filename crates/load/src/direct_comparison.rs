//! Compares the latency of a target measured directly and through an entry process.

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
use crate::exchange::{Credentials, Exchange};
use crate::report::RequestStats;

/// Limit on the connections in use to each address.
const CONNECTIONS: u32 = 64;

/// Settings of a comparison of the two paths.
#[derive(Clone, Debug)]
pub struct DirectSettings {
    /// Address to which requests of the direct path are sent.
    pub target: SocketAddr,
    /// Client address of an entry process.
    pub entry: SocketAddr,
    /// Path to GET from both addresses.
    pub path: String,
    /// Customer key sent to the entry process.
    pub key: String,
    /// Customer identifier sent to the target.
    pub customer: String,
    /// Number of requests on each path.
    pub requests: Requests,
    /// Request rate on each path.
    pub rate: RequestsPerSecond,
    /// Timeout of each request, sent as its deadline.
    pub timeout: Duration,
}

/// Result of a comparison of the two paths.
#[value]
pub struct DirectComparison {
    /// Requests sent to the target directly.
    pub direct: RequestStats,
    /// Requests sent through the entry process.
    pub entry: RequestStats,
    /// Median latency through the entry process divided by the direct one.
    pub p50_ratio_ppm: PartsPerMillion,
    /// p99 latency through the entry process divided by the direct one.
    pub p99_ratio_ppm: PartsPerMillion,
}

/// Sends the same requests alternately to a target and through an entry process.
pub async fn compare_direct(settings: &DirectSettings) -> DirectComparison {
    let clock = RunClock::start();
    let pools =
        [settings.target, settings.entry].map(|address| ConnectionPool::new(address, CONNECTIONS));
    let interval_us = 1_000_000 / u64::from(settings.rate.get().max(1));
    let mut exchanges = JoinSet::new();
    for number in 0..settings.requests.get() {
        for (path_index, pool) in pools.iter().enumerate() {
            // The two paths alternate at half the interval, so that they do not disturb each other.
            let at_us = u64::from(number) * interval_us + path_index as u64 * interval_us / 2;
            time::sleep_until(clock.instant_at(at_us)).await;
            let exchange = exchange(settings, clock, at_us, path_index, number);
            let pool: Rc<ConnectionPool> = pool.clone();
            exchanges.spawn_local(async move { (path_index, exchange.run(&[pool], clock).await) });
        }
    }
    let records = exchanges.join_all().await;
    let requests_on_path = |path: usize| -> Vec<&ClientRequest> {
        records
            .iter()
            .filter(|(path_index, _)| *path_index == path)
            .map(|(_, record)| record)
            .collect()
    };
    let (direct, entry) = (
        RequestStats::new("direct", &requests_on_path(0)),
        RequestStats::new("entry", &requests_on_path(1)),
    );
    DirectComparison {
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
    path_index: usize,
    number: u32,
) -> Exchange {
    let started_us = clock.started_us();
    let record = ClientRequest {
        load_id: format!("{started_us:x}-{path_index}-{number}"),
        customer: Some(settings.customer.clone()),
        method: "GET".to_owned(),
        path: settings.path.clone(),
        workload: "direct".to_owned(),
        idempotency_key: None,
        key: None,
        intended_us: started_us + at_us,
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
        credentials: match path_index {
            0 => Credentials::AsEntry(settings.customer.clone()),
            _ => Credentials::Key(settings.key.clone()),
        },
        timeout: settings.timeout,
        body: Bytes::new(),
        expected_bytes: None,
        read_bytes_per_s: 0,
    }
}

fn ratio(numerator: u64, denominator: u64) -> PartsPerMillion {
    let ppm = (numerator * 1_000_000).checked_div(denominator).unwrap_or_default();
    PartsPerMillion::new(u32::try_from(ppm).unwrap_or(u32::MAX))
}
