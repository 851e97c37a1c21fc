//! LOST: a planned stop of one router process while clients pipeline downloads on their connections.
//!
//! A request counts as cut if an instance wrote its whole answer, and the client's connection ended
//! without the complete answer, within the client's time limit.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Finding;
use crate::http::Connection;
use crate::pipeline::{self, Client, Fate, Fates};
use crate::record::Record;
use crate::site::{self, Site};

const PATH: &str = "/xapu221/ny95/2f";
const PREFIX: &str = "/xapu221/";
const ANSWER_BYTES: usize = 120_000;
const WORK: Duration = Duration::from_millis(40);
const INSTANCES: u8 = 6;
const SLOTS: u32 = 8;
const TIME_LIMIT: Duration = Duration::from_millis(3_000);

/// Clients on the process that is stopped. Their links stay below the 100 Mbit/s of its own.
const CLIENTS: usize = 6;
const DEPTH: usize = 4;

const CALM: Duration = Duration::from_secs(4);
const GRACE: Duration = Duration::from_secs(6);

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
    if !pipeline::is_served(front, PATH, TIME_LIMIT) {
        return Finding::Unusable("no request is served".to_owned());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| Client {
            number,
            front,
            path: PATH,
            time_limit: TIME_LIMIT,
            depth: DEPTH,
            in_bursts: false,
            fates: fates.clone(),
            record: record.clone(),
            stop: Arc::clone(&stop),
        })
        .map(|client| thread::spawn(move || client.use_connection()))
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
    let fates = fates.all();
    let complete = fates.iter().filter(|(_, fate)| fate.complete).count();
    let cut_in_time = |fate: &Fate| {
        let (sent, (cut, bytes)) = fate.sent_at.zip(fate.cut)?;
        let in_grace = cut >= stopped_at && cut < stopped_at + GRACE;
        (in_grace && cut < sent + TIME_LIMIT).then_some(bytes)
    };
    let answered = fates.iter().filter(|(_, fate)| fate.answered_whole && !fate.complete);
    let cut: Vec<_> = answered.filter_map(|(id, fate)| Some((id, cut_in_time(fate)?))).collect();
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
        fates.update(&id, |fate| fate.instance = Some(name.to_owned()));
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
