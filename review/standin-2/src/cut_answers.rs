//! LOST: a planned stop of one router process while clients pipeline downloads on their connections.
//!
//! A request counts as cut if an instance wrote its whole answer, and the client's connection ended
//! without the complete answer, within the client's time limit.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Finding;
use crate::http::Connection;
use crate::record::Record;
use crate::site::{self, Site};

const PATH: &str = "/xapu221/ny95/2f";
const PREFIX: &str = "/xapu221/";
const ANSWER_BYTES: usize = 120_000;
const WORK: Duration = Duration::from_millis(40);
const INSTANCES: u8 = 6;
const SLOTS: u32 = 8;
const TIME_LIMIT: Duration = Duration::from_millis(3_000);

/// Clients on the process that is stopped, each with one connection.
const CLIENTS: usize = 6;
/// Requests that a client sends before the first one is answered.
const DEPTH: usize = 4;
/// Bytes that a client's link carries in one step of the pace: 16 Mbit/s, so that six clients stay
/// below the 100 Mbit/s of the router's link.
const STEP_BYTES: usize = 10_000;
const STEP: Duration = Duration::from_millis(5);

const CALM: Duration = Duration::from_secs(4);
const GRACE: Duration = Duration::from_secs(6);

/// What became of a request at an instance and at its client.
#[derive(Clone, Default)]
struct Fate {
    passed_on: bool,
    answered_whole: bool,
    sent_at: Option<Instant>,
    complete: bool,
    /// When the client's connection ended without the complete answer, and the bytes that it got.
    cut: Option<(Instant, usize)>,
}

#[derive(Clone, Default)]
struct Fates(Arc<Mutex<HashMap<String, Fate>>>);

impl Fates {
    fn update(&self, id: &str, change: impl FnOnce(&mut Fate)) {
        change(self.0.lock().expect("not poisoned").entry(id.to_owned()).or_default());
    }
}

pub fn run(record: Record, trouble: bool) -> Finding {
    let fates = Fates::default();
    let mut site = Site::start(record.clone(), &site::config(7, "download", PREFIX, 3.0));
    for number in 0..INSTANCES {
        let (fates, record) = (fates.clone(), record.clone());
        site.start_instance(number, site::SERVICE, SLOTS, move |name, connection| {
            serve(name, connection, &fates, &record);
        });
    }
    site.start_routers(100);
    let front = site.routers[0].front;
    if !is_served(front) {
        return Finding::Unusable("no request is served".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (fates, record, stop) = (fates.clone(), record.clone(), Arc::clone(&stop));
            thread::spawn(move || client(number, front, &fates, &record, &stop))
        })
        .collect();
    thread::sleep(CALM);
    let stopped_at = Instant::now();
    if trouble {
        record.say(&format!("SIGTERM to {}", site.routers[0].name));
        site.routers[0].signal("TERM");
    }
    thread::sleep(GRACE);
    stop.store(true, Ordering::Relaxed);
    record.line(&format!("stopped router has ended: {}", site.routers[0].has_ended()));
    site.routers[0].kill();
    for client in clients {
        let _ = client.join();
    }
    site.stop();
    judge(&fates, &record, stopped_at)
}

fn judge(fates: &Fates, record: &Record, stopped_at: Instant) -> Finding {
    let fates = fates.0.lock().expect("not poisoned").clone();
    let complete = fates.values().filter(|fate| fate.complete).count();
    let in_time = |fate: &Fate| {
        let sent = fate.sent_at?;
        let (cut, bytes) = fate.cut?;
        let in_grace = cut >= stopped_at && cut < stopped_at + GRACE;
        (in_grace && cut < sent + TIME_LIMIT).then_some(bytes)
    };
    let mut cut: Vec<_> = fates
        .iter()
        .filter(|(_, fate)| fate.passed_on && fate.answered_whole && !fate.complete)
        .filter_map(|(id, fate)| Some((id, in_time(fate)?)))
        .collect();
    cut.sort();
    for (id, bytes) in &cut {
        record.line(&format!(
            "request {id} lost: its instance answered, its client got {bytes} bytes"
        ));
    }
    record.say(&format!(
        "{complete} requests answered whole, {} cut off in the grace period",
        cut.len()
    ));
    match (complete > 50, cut.is_empty()) {
        (false, _) => Finding::Unusable("too few requests were answered".to_owned()),
        (true, true) => Finding::Held,
        (true, false) => Finding::Broken,
    }
}

fn serve(name: &str, mut connection: Connection, fates: &Fates, record: &Record) {
    while let Ok(Some(head)) = connection.read_head() {
        if connection.read_body(&head).is_err() {
            return;
        }
        let id = head.field("x-attempt-id").unwrap_or_default().to_owned();
        fates.update(&id, |fate| fate.passed_on = true);
        record.line(&format!("instance {name} runs {id}"));
        thread::sleep(WORK);
        let body = vec![b'x'; ANSWER_BYTES];
        if connection.answer("200 OK", &site::signed(&head), &body).is_err() {
            record.line(&format!("instance {name} could not answer {id}"));
            return;
        }
        fates.update(&id, |fate| fate.answered_whole = true);
        record.line(&format!("instance {name} answered {id}"));
    }
}

fn is_served(front: SocketAddr) -> bool {
    (0..50).any(|_| {
        thread::sleep(Duration::from_millis(100));
        let id = site::next_id();
        let served = Connection::open(front).and_then(|mut connection| {
            let head = site::request_head("GET", PATH, &id, TIME_LIMIT);
            connection.write(format!("{head}\r\n").as_bytes())?;
            connection.read_head()
        });
        matches!(served, Ok(Some(head)) if head.status() == 200)
    })
}

/// Keeps `DEPTH` requests under way on one connection, and reads the answers at the pace of its link.
/// It sends no further request behind an answer that closes the connection.
fn client(number: usize, front: SocketAddr, fates: &Fates, record: &Record, stop: &AtomicBool) {
    let Ok(mut connection) = Connection::open(front) else { return };
    connection.read_max = STEP_BYTES;
    let mut waiting: Vec<String> = Vec::new();
    let mut closes = false;
    loop {
        while waiting.len() < DEPTH && !closes && !stop.load(Ordering::Relaxed) {
            let id = site::next_id();
            let head = site::request_head("GET", PATH, &id, TIME_LIMIT);
            fates.update(&id, |fate| fate.sent_at = Some(Instant::now()));
            record.line(&format!("client {number} sends {id}"));
            // A failed write is no answer yet: what has arrived is still read.
            let _ = connection.write(format!("{head}\r\n").as_bytes());
            waiting.push(id);
        }
        if waiting.is_empty() {
            return;
        }
        let mut received = 0;
        match read_answer(&mut connection, &mut received) {
            Ok((status, closing)) => {
                let id = waiting.remove(0);
                fates.update(&id, |fate| fate.complete = true);
                record.line(&format!("client {number} has the whole answer {status} to {id}"));
                closes |= closing;
                if closing {
                    record.line(&format!(
                        "client {number}: the connection closes, {} behind",
                        waiting.len()
                    ));
                    return;
                }
            }
            Err(error) => {
                let now = Instant::now();
                record.line(&format!(
                    "client {number}: {error} after {received} bytes of the answer to {}, behind it {:?}",
                    waiting[0],
                    &waiting[1..]
                ));
                for (index, id) in waiting.iter().enumerate() {
                    let bytes = if index == 0 { received } else { 0 };
                    fates.update(id, |fate| fate.cut = Some((now, bytes)));
                }
                return;
            }
        }
    }
}

/// Reads an answer at the pace of the link; returns its status and whether it is the last one.
fn read_answer(connection: &mut Connection, received: &mut usize) -> std::io::Result<(u16, bool)> {
    let head = connection.read_head()?;
    let head = head.ok_or(std::io::Error::other("closed without an answer"))?;
    let length = head.content_length();
    while *received < length {
        let bytes = connection.read_some((length - *received).min(STEP_BYTES))?;
        *received += bytes.len();
        thread::sleep(STEP * bytes.len() as u32 / STEP_BYTES as u32);
    }
    let closes = head.field("connection").is_some_and(|value| value.contains("close"));
    Ok((head.status(), closes))
}
