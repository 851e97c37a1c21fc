//! REFUSED: a client pauses within its upload for longer than the router waits for a body.
//!
//! A status that promises that the request has not run must not follow once an instance runs it.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Finding;
use crate::http::Connection;
use crate::record::Record;
use crate::site::{self, Site};

const PATH: &str = "/xapu221/ny95/2f";
const PREFIX: &str = "/xapu221/";
const BODY_BYTES: usize = 300_000;
const SENT_FIRST_BYTES: usize = 100_000;
/// Below `idleTimeoutS`, 15, and four fifths of it.
const PAUSE: Duration = Duration::from_secs(6);
const TIME_LIMIT: Duration = Duration::from_secs(10);
const UPLOADS: usize = 5;

type Ids = Arc<Mutex<HashSet<String>>>;

pub fn run(record: Record, trouble: bool) -> Finding {
    let runs = Ids::default();
    let mut site =
        Site::start(record.clone(), &site::config(7, "upload", PREFIX, TIME_LIMIT.as_secs_f64()));
    for number in 0..3 {
        let (runs, record) = (Arc::clone(&runs), record.clone());
        site.start_instance(number, site::SERVICE, 4, move |name, connection| {
            serve(name, connection, &runs, &record);
        });
    }
    site.start_routers(1000);
    thread::sleep(Duration::from_secs(3));
    let front = site.routers[0].front;
    let clients: Vec<_> = (0..UPLOADS)
        .map(|_| {
            let record = record.clone();
            thread::spawn(move || {
                let id = site::next_id();
                let status = upload(front, &id, trouble, &record);
                (id, status)
            })
        })
        .collect();
    let answers: Vec<(String, u16)> =
        clients.into_iter().map(|client| client.join().expect("no panic")).collect();
    site.stop();
    let runs = runs.lock().expect("not poisoned").clone();
    let promised = |status: u16| matches!(status, 408 | 421 | 429 | 503);
    let mut false_promises = 0;
    for (id, status) in &answers {
        let ran = runs.contains(id);
        record.line(&format!("upload {id}: status {status} (0: closed), ran {ran}"));
        false_promises += usize::from(ran && promised(*status));
    }
    record.say(&format!(
        "{} of {UPLOADS} uploads ran, {false_promises} of these were answered as not run",
        answers.iter().filter(|(id, _)| runs.contains(id)).count()
    ));
    match (runs.is_empty(), false_promises) {
        (true, _) => Finding::Unusable("no upload reached an instance".to_owned()),
        (_, 0) => Finding::Held,
        _ => Finding::Broken,
    }
}

/// Begins to work on an upload with its first bytes, and stores the rest as it arrives.
fn serve(name: &str, mut connection: Connection, runs: &Ids, record: &Record) {
    while let Ok(Some(head)) = connection.read_head() {
        let id = head.field("x-attempt-id").unwrap_or_default().to_owned();
        if head.line[0] != "POST" {
            let _ = connection.answer("200 OK", &site::signed(&head), b"ok");
            continue;
        }
        let length = head.content_length();
        let mut read = 0;
        while read < length {
            match connection.read_some(length - read) {
                Ok(part) => read += part.len(),
                Err(error) => {
                    record.line(&format!("instance {name}: {error} after {read} bytes of {id}"));
                    return;
                }
            }
            if runs.lock().expect("not poisoned").insert(id.clone()) {
                record.line(&format!("instance {name} runs {id}, {read} bytes are in"));
            }
        }
        record.line(&format!("instance {name} has stored all {read} bytes of {id}"));
        if connection.answer("200 OK", &site::signed(&head), b"stored").is_err() {
            return;
        }
    }
}

/// Sends an upload with a pause; returns the status of the answer, or 0 if there is none.
fn upload(front: SocketAddr, id: &str, trouble: bool, record: &Record) -> u16 {
    let Ok(mut connection) = Connection::open(front) else { return 0 };
    let head = site::request_head("POST", PATH, id, TIME_LIMIT);
    let head = format!("{head}Content-Length: {BODY_BYTES}\r\n\r\n");
    let body = vec![b'u'; BODY_BYTES];
    let _ = connection.write(head.as_bytes());
    let _ = connection.write(&body[..SENT_FIRST_BYTES]);
    record.line(&format!("client of {id} has sent {SENT_FIRST_BYTES} bytes"));
    if trouble {
        thread::sleep(PAUSE);
    }
    // A write to a connection that was closed meanwhile fails; the answer may still be there.
    let rest = connection.write(&body[SENT_FIRST_BYTES..]);
    record.line(&format!("client of {id} goes on: {rest:?}"));
    match connection.read_head() {
        Ok(Some(head)) => head.status(),
        _ => 0,
    }
}
