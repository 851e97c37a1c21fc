//! LOST: some instances spoil a field of a few of their answers, while clients pipeline requests.
//!
//! A request counts as lost if it was passed on to an instance that spoils nothing, and the client's
//! connection ended without an answer to it.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Finding;
use crate::http::{Connection, Head};
use crate::pipeline::{self, Client, Fates};
use crate::record::Record;
use crate::site::{self, Site};

const PATH: &str = "/xapu221/ny95/2f";
const PREFIX: &str = "/xapu221/";
const ANSWER_BYTES: usize = 1_500;
const WORK: Duration = Duration::from_millis(40);
const INSTANCES: u8 = 6;
/// Half of the instances spoil answers: `garble` has a share of 0.6 at most.
const FAULTY: u8 = 3;
const SLOTS: u32 = 2;
const TIME_LIMIT: Duration = Duration::from_millis(1_200);
const CLIENTS: usize = 12;
const DEPTH: usize = 4;

const CALM: Duration = Duration::from_secs(3);
const TROUBLE: Duration = Duration::from_secs(5);

/// One answer in this many is spoiled: `garble` has 0.05 at most.
const SPOILED_EVERY: u32 = 20;
/// The idle timeout of a sound answer, in seconds, and of a spoiled one.
const SOUND_TIMEOUT: &str = "10";
const SPOILED_TIMEOUT: &str = "9223372036854775807";
/// The rule allows this many.
const LOST_MAX: usize = 3;

/// The instances that spoil answers, while they do.
#[derive(Clone, Default)]
struct Garble {
    until: Arc<Mutex<Option<Instant>>>,
    answers: Arc<AtomicU32>,
}

impl Garble {
    fn spoils_next(&self) -> bool {
        let until = *self.until.lock().expect("not poisoned");
        let number = self.answers.fetch_add(1, Ordering::Relaxed);
        until.is_some_and(|until| Instant::now() < until)
            && number % SPOILED_EVERY == scatter(number / SPOILED_EVERY) % SPOILED_EVERY
    }
}

/// Scatters numbers, so that the spoiled answers do not keep step with the clients' series.
fn scatter(number: u32) -> u32 {
    let mixed = (number ^ (number >> 16)).wrapping_mul(0x7feb_352d);
    let mixed = (mixed ^ (mixed >> 15)).wrapping_mul(0x846c_a68b);
    mixed ^ (mixed >> 16)
}

pub fn run(record: Record, trouble: bool) -> Finding {
    let (fates, garble) = (Fates::default(), Garble::default());
    let mut site = Site::start(record.clone(), &site::config(7, "idempotent", PREFIX, 1.2));
    for number in 0..INSTANCES {
        let (fates, record) = (fates.clone(), record.clone());
        let garble = Some(garble.clone()).filter(|_| number < FAULTY);
        site.start_instance(number, site::SERVICE, SLOTS, move |name, connection| {
            serve(name, connection, garble.as_ref(), &fates, &record);
        });
    }
    site.start_routers(1000);
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
            in_bursts: true,
            fates: fates.clone(),
            record: record.clone(),
            stop: Arc::clone(&stop),
        })
        .map(|client| {
            thread::spawn(move || {
                while !client.stop.load(Ordering::Relaxed) {
                    client.use_connection();
                    thread::sleep(Duration::from_millis(20));
                }
            })
        })
        .collect();
    thread::sleep(CALM);
    if trouble {
        record
            .say(&format!("{FAULTY} of {INSTANCES} instances spoil one answer in {SPOILED_EVERY}"));
        *garble.until.lock().expect("not poisoned") = Some(Instant::now() + TROUBLE);
    }
    thread::sleep(TROUBLE + CALM);
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    let has_ended = site.routers[0].has_ended();
    site.stop();
    judge(&fates, &record, has_ended)
}

fn judge(fates: &Fates, record: &Record, has_ended: bool) -> Finding {
    let fates = fates.all();
    let complete = fates.iter().filter(|(_, fate)| fate.complete).count();
    let is_sound =
        |name: &String| (FAULTY..INSTANCES).any(|number| *name == site::instance_id(number));
    let lost: Vec<_> = fates
        .iter()
        .filter(|(_, fate)| fate.cut.is_some() && !fate.complete)
        .filter(|(_, fate)| fate.instance.as_ref().is_some_and(is_sound))
        .collect();
    for (id, fate) in &lost {
        record.line(&format!(
            "request {id} lost: {:?} is sound, answered it whole: {}",
            fate.instance, fate.answered_whole
        ));
    }
    record.say(&format!(
        "{complete} requests answered whole, {} passed on to sound instances were not; router \
         process ended: {has_ended}",
        lost.len()
    ));
    match (complete > 50, lost.len() > LOST_MAX) {
        (false, _) => Finding::Unusable("too few requests were answered".to_owned()),
        (true, false) => Finding::Held,
        (true, true) => Finding::Broken,
    }
}

fn serve(
    name: &str,
    mut connection: Connection,
    garble: Option<&Garble>,
    fates: &Fates,
    record: &Record,
) {
    while let Ok(Some(head)) = connection.read_head() {
        if connection.read_body(&head).is_err() {
            return;
        }
        let id = head.field("x-attempt-id").unwrap_or_default().to_owned();
        fates.update(&id, |fate| fate.instance = Some(name.to_owned()));
        record.line(&format!("instance {name} runs {id}"));
        thread::sleep(WORK);
        let spoiled = garble.is_some_and(Garble::spoils_next);
        if spoiled {
            record.line(&format!("instance {name} spoils the answer to {id}"));
        }
        if connection.answer("200 OK", &fields(&head, spoiled), &[b'x'; ANSWER_BYTES]).is_err() {
            return;
        }
        fates.update(&id, |fate| fate.answered_whole = true);
    }
}

fn fields(head: &Head, spoiled: bool) -> String {
    let timeout = if spoiled { SPOILED_TIMEOUT } else { SOUND_TIMEOUT };
    format!("{}Keep-Alive: timeout={timeout}\r\n", site::signed(head))
}
