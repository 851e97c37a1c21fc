//! UNASKED: an instance answers an upload before it has read the long body, keeps the connection and
//! reads on.
//!
//! The body that the instance reads must be the one that the client sent whole.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Finding;
use crate::http::Connection;
use crate::record::Record;
use crate::site::{self, Site};

const PATH: &str = "/xapu221/ny95/2f";
const PREFIX: &str = "/xapu221/";
const BODY_BYTES: usize = 300_000;
/// The instance answers after this part of the body.
const READ_FIRST_BYTES: usize = 100_000;
const TIME_LIMIT: Duration = Duration::from_millis(4_000);
const UPLOADS: usize = 6;
/// A client's link carries 16 Mbit/s.
const STEP_BYTES: usize = 10_000;
const STEP: Duration = Duration::from_millis(5);
/// An instance waits this long for the rest of a body after the client has sent all of it.
const REST_WAIT: Duration = Duration::from_secs(3);

/// The bytes of each upload that instances have read, by request id.
type Bodies = Arc<Mutex<HashMap<String, Vec<u8>>>>;

pub fn run(record: Record, trouble: bool) -> Finding {
    let bodies = Bodies::default();
    let mut site = Site::start(record.clone(), &site::config(7, "upload", PREFIX, 4.0));
    for number in 0..3 {
        let (bodies, record) = (Arc::clone(&bodies), record.clone());
        site.start_instance(number, site::SERVICE, 4, move |name, connection| {
            serve(name, connection, trouble, &bodies, &record);
        });
    }
    site.start_routers(1000);
    thread::sleep(Duration::from_secs(3));
    let front = site.routers[0].front;
    let (mut confirmed, mut lost) = (0, 0);
    for number in 0..UPLOADS {
        let id = site::next_id();
        let body = content(number);
        let (status, signature, sent) = upload(front, &id, &body, &record);
        let end = Instant::now() + REST_WAIT;
        let read = loop {
            let read = bodies.lock().expect("not poisoned").get(&id).cloned();
            match read {
                Some(read) if read.len() < body.len() && Instant::now() < end => {}
                read => break read,
            }
            thread::sleep(Duration::from_millis(20));
        };
        let read_bytes = read.as_ref().map_or(0, Vec::len);
        let is_confirmed = status == 200 && signature;
        let is_same = read.is_some_and(|read| read == body);
        record.line(&format!(
            "upload {id}: status {status}, signed {signature}, client sent {sent}, instance read \
             {read_bytes} of {}",
            body.len()
        ));
        confirmed += usize::from(is_confirmed);
        lost += usize::from(is_confirmed && !is_same);
    }
    site.stop();
    record.say(&format!(
        "{confirmed} of {UPLOADS} uploads answered 200, {lost} with another body at the instance"
    ));
    match (confirmed, lost) {
        (0, _) => Finding::Unusable("no upload was answered".to_owned()),
        (_, 0) => Finding::Held,
        _ => Finding::Broken,
    }
}

fn content(number: usize) -> Vec<u8> {
    (0..BODY_BYTES).map(|at| ((at * 31 + number * 7 + at / 251) % 251) as u8).collect()
}

fn serve(name: &str, mut connection: Connection, early: bool, bodies: &Bodies, record: &Record) {
    while let Ok(Some(head)) = connection.read_head() {
        let id = head.field("x-attempt-id").unwrap_or_default().to_owned();
        if head.line[0] != "POST" {
            let _ = connection.answer("200 OK", &site::signed(&head), b"ok");
            continue;
        }
        record.line(&format!("instance {name} runs {id}"));
        bodies.lock().expect("not poisoned").insert(id.clone(), Vec::new());
        let mut answered = false;
        let length = if head.is_chunked() { usize::MAX } else { head.content_length() };
        let mut read = 0;
        while read < length {
            let part = match head.is_chunked() {
                true => connection.read_chunk(),
                false => connection.read_some(length - read).map(Some),
            };
            let part = match part {
                Ok(Some(part)) => part,
                Ok(None) => break,
                Err(error) => {
                    record.line(&format!("instance {name}: {error} after {read} bytes of {id}"));
                    return;
                }
            };
            read += part.len();
            bodies.lock().expect("not poisoned").entry(id.clone()).or_default().extend(part);
            if early && !answered && read >= READ_FIRST_BYTES {
                answered = true;
                record.line(&format!(
                    "instance {name} answers {id} after {read} bytes, and reads on"
                ));
                if connection.answer("200 OK", &site::signed(&head), b"taken").is_err() {
                    return;
                }
            }
        }
        record.line(&format!("instance {name} has read all {read} bytes of {id}"));
        if !answered && connection.answer("200 OK", &site::signed(&head), b"taken").is_err() {
            return;
        }
    }
}

/// Sends an upload at the pace of the client's link, to its end also if the answer comes before.
/// Returns the status, whether the answer is signed and whole, and the number of bytes sent.
fn upload(front: SocketAddr, id: &str, body: &[u8], record: &Record) -> (u16, bool, usize) {
    let Ok(mut connection) = Connection::open(front) else { return (0, false, 0) };
    let writing = connection.stream.try_clone().expect("a socket can be cloned");
    let head = site::request_head("POST", PATH, id, TIME_LIMIT);
    let head = format!("{head}Content-Length: {}\r\n\r\n", body.len());
    let _ = connection.write(head.as_bytes());
    let (content, record, name) = (body.to_vec(), record.clone(), id.to_owned());
    let writer = thread::spawn(move || {
        let mut writing = Connection::new(writing);
        let mut sent = 0;
        for part in content.chunks(STEP_BYTES) {
            if let Err(error) = writing.write(part) {
                record.line(&format!("client of {name}: {error} after {sent} bytes"));
                break;
            }
            sent += part.len();
            thread::sleep(STEP);
        }
        sent
    });
    let answer = connection.read_head();
    let whole = match &answer {
        Ok(Some(head)) => connection.read_body(head).is_ok(),
        _ => false,
    };
    let sent = writer.join().unwrap_or(0);
    match answer {
        Ok(Some(head)) => {
            (head.status(), whole && head.field("x-response-signature").is_some(), sent)
        }
        _ => (0, false, sent),
    }
}
