//! Clients that send further idempotent requests before the first one is answered.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::record::Record;
use crate::site;

/// Bytes that a client's link carries in `STEP`: 16 Mbit/s.
const STEP_BYTES: usize = 10_000;
const STEP: Duration = Duration::from_millis(5);

/// What became of a request at an instance and at its client.
#[derive(Clone, Default)]
pub struct Fate {
    /// The instance that ran it.
    pub instance: Option<String>,
    /// Whether that instance wrote its whole answer.
    pub answered_whole: bool,
    pub sent_at: Option<Instant>,
    /// Whether the client got a whole answer.
    pub complete: bool,
    /// When the client's connection ended without one, and the bytes of its body until then.
    pub cut: Option<(Instant, usize)>,
}

/// The fates of all requests by id; clones share them.
#[derive(Clone, Default)]
pub struct Fates(Arc<Mutex<HashMap<String, Fate>>>);

impl Fates {
    pub fn update(&self, id: &str, change: impl FnOnce(&mut Fate)) {
        change(self.0.lock().expect("not poisoned").entry(id.to_owned()).or_default());
    }

    /// Returns the fates, sorted by id.
    pub fn all(&self) -> Vec<(String, Fate)> {
        let mut all: Vec<_> = self.0.lock().expect("not poisoned").clone().into_iter().collect();
        all.sort_by(|(left, _), (right, _)| left.cmp(right));
        all
    }
}

/// A client with one connection.
pub struct Client {
    pub number: usize,
    pub front: SocketAddr,
    pub path: &'static str,
    pub time_limit: Duration,
    /// Requests that are sent before the first one is answered.
    pub depth: usize,
    /// Whether further requests are sent only when all of these are answered.
    pub in_bursts: bool,
    pub fates: Fates,
    pub record: Record,
    pub stop: Arc<AtomicBool>,
}

impl Client {
    /// Keeps `depth` requests under way until the connection ends, and reads the answers at the pace
    /// of its link. Sends nothing behind an answer that closes the connection.
    pub fn use_connection(&self) {
        let Ok(mut connection) = Connection::open(self.front) else { return };
        connection.read_max = STEP_BYTES;
        let mut waiting: Vec<String> = Vec::new();
        loop {
            let may_send = waiting.is_empty() || !self.in_bursts;
            while may_send && waiting.len() < self.depth && !self.stop.load(Ordering::Relaxed) {
                waiting.push(self.send(&mut connection));
            }
            if waiting.is_empty() {
                return;
            }
            let mut received = 0;
            match read_answer(&mut connection, &mut received) {
                Ok((status, closes)) => {
                    let id = waiting.remove(0);
                    self.fates.update(&id, |fate| fate.complete = true);
                    self.line(&format!("has the whole answer {status} to {id}"));
                    if closes {
                        self.line(&format!("the connection closes, behind it {waiting:?}"));
                        return;
                    }
                }
                Err(error) => return self.on_cut(&waiting, received, &error),
            }
        }
    }

    fn line(&self, text: &str) {
        self.record.line(&format!("client {}: {text}", self.number));
    }

    fn send(&self, connection: &mut Connection) -> String {
        let id = site::next_id();
        let head = site::request_head("GET", self.path, &id, self.time_limit);
        self.fates.update(&id, |fate| fate.sent_at = Some(Instant::now()));
        self.line(&format!("sends {id}"));
        // A write that fails is no answer yet: what has arrived is still read.
        let _ = connection.write(format!("{head}\r\n").as_bytes());
        id
    }

    fn on_cut(&self, waiting: &[String], received: usize, error: &io::Error) {
        let (first, behind) = (&waiting[0], &waiting[1..]);
        self.line(&format!("{error} after {received} bytes for {first}, behind it {behind:?}"));
        let now = Instant::now();
        self.fates.update(first, |fate| fate.cut = Some((now, received)));
        for id in behind {
            self.fates.update(id, |fate| fate.cut = Some((now, 0)));
        }
    }
}

/// Reads an answer at the pace of the link; returns its status and whether it is the last one.
fn read_answer(connection: &mut Connection, received: &mut usize) -> io::Result<(u16, bool)> {
    let head = connection.read_head()?;
    let head = head.ok_or(io::Error::other("closed without an answer"))?;
    let length = head.content_length();
    while *received < length {
        let bytes = connection.read_some((length - *received).min(STEP_BYTES))?;
        *received += bytes.len();
        thread::sleep(STEP * bytes.len() as u32 / STEP_BYTES as u32);
    }
    let closes = head.field("connection").is_some_and(|value| value.contains("close"));
    Ok((head.status(), closes))
}

/// Waits until a request is served, for 5 s at most.
pub fn is_served(front: SocketAddr, path: &str, time_limit: Duration) -> bool {
    (0..50).any(|_| {
        thread::sleep(Duration::from_millis(100));
        let id = site::next_id();
        let served = Connection::open(front).and_then(|mut connection| {
            let head = site::request_head("GET", path, &id, time_limit);
            connection.write(format!("{head}\r\n").as_bytes())?;
            connection.read_head()
        });
        matches!(served, Ok(Some(head)) if head.status() == 200)
    })
}
