//! OWNER: the store comes back from an older copy, a write of the former era is performed late, and all
//! router processes are killed and start again.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Finding;
use crate::http::Connection;
use crate::json::Json;
use crate::record::Record;
use crate::site::{self, InstanceState, Site};
use crate::store::{OwnersWrites, Store};

const PREFIX: &str = "/xapu221/";
const INSTANCES: u8 = 5;
const SLOTS: u32 = 2;
const KEYS: usize = 65_536;

/// The copy from which the store comes back is a few seconds old.
const COPY_AGE: Duration = Duration::from_millis(2_500);
const AWAY: Duration = Duration::from_millis(600);
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// A grant that an instance accepted.
#[derive(Clone, Debug)]
struct Grant {
    instance: String,
    from: usize,
    to: usize,
    fence: u64,
}

/// What the instances have accepted, and the highest fence that each has seen by key.
#[derive(Default)]
struct Grants {
    seen: HashMap<String, Vec<u64>>,
    /// The instance that had each key last under its highest fence, with this fence.
    highest: Vec<Option<(u64, String)>>,
    accepted: usize,
    broken: Vec<(Grant, u64, String)>,
}

impl Grants {
    /// Handles a grant; returns whether the instance accepts it.
    fn accept(&mut self, grant: &Grant) -> bool {
        let seen = self.seen.entry(grant.instance.clone()).or_insert_with(|| vec![0; KEYS]);
        if seen[grant.from..=grant.to].iter().any(|seen| *seen > grant.fence) {
            return false;
        }
        seen[grant.from..=grant.to].fill(grant.fence);
        self.accepted += 1;
        self.highest.resize(KEYS, None);
        let mut other = None;
        for highest in &mut self.highest[grant.from..=grant.to] {
            match highest {
                Some((fence, instance)) if *instance != grant.instance && *fence >= grant.fence => {
                    other = Some((*fence, instance.clone()));
                }
                Some((fence, _)) if *fence > grant.fence => {}
                highest => *highest = Some((grant.fence, grant.instance.clone())),
            }
        }
        if let Some((fence, instance)) = other {
            self.broken.push((grant.clone(), fence, instance));
        }
        true
    }

    fn release(&mut self, grant: &Grant) {
        let seen = self.seen.entry(grant.instance.clone()).or_insert_with(|| vec![0; KEYS]);
        for seen in &mut seen[grant.from..=grant.to] {
            *seen = grant.fence.max(*seen);
        }
    }
}

pub fn run(record: Record, trouble: bool) -> Finding {
    let grants = Arc::new(Mutex::new(Grants::default()));
    let config = site::config_of(7, "idempotent", PREFIX, 1.2, true);
    let mut site = Site::start(record.clone(), &config);
    site.store.state_era(1);
    for number in 0..INSTANCES {
        let (grants, record) = (Arc::clone(&grants), record.clone());
        site.start_instance(number, site::SERVICE, SLOTS, move |name, connection| {
            serve(name, connection, &grants, &record);
        });
    }
    site.start_routers(1000);
    let store = site.store.clone();
    if !wait(15, || store.owners_version(site::SERVICE) > 0) {
        return Finding::Unusable("no owners were stored".to_owned());
    }
    thread::sleep(Duration::from_secs(4));
    let played = match trouble {
        true => restore(&site, &store, &record),
        false => plan_only(&site, &store),
    };
    if let Err(cause) = played {
        return Finding::Unusable(cause);
    }
    thread::sleep(Duration::from_millis(600));
    record.say("SIGKILL to all router processes");
    site.routers.iter_mut().for_each(|router| router.kill());
    if trouble {
        let performed = store.perform_late();
        record.say(&format!("the late write of the former era is performed: {performed}"));
    }
    store.on_owners_writes(OwnersWrites::Applied);
    thread::sleep(RESTART_DELAY);
    site.routers.iter_mut().for_each(|router| router.restart());
    record.line("all router processes start again");
    site.set_state(&site::instance_id(2), InstanceState::Draining);
    thread::sleep(Duration::from_secs(4));
    site.set_state(&site::instance_id(2), InstanceState::Gone);
    thread::sleep(Duration::from_secs(12));
    for router in &site.routers {
        for event in [
            "store-restored",
            "leader-gained",
            "leader-continued",
            "granter-started",
            "granter-continued",
        ] {
            router
                .logged(event)
                .iter()
                .for_each(|line| record.line(&format!("{} {line}", router.name)));
        }
    }
    site.stop();
    judge(&grants.lock().expect("not poisoned"), &record)
}

/// The planned work alone.
fn plan_only(site: &Site, store: &Store) -> Result<(), String> {
    for number in [4, 3] {
        let before = store.owners_version(site::SERVICE);
        site.set_state(&site::instance_id(number), InstanceState::Draining);
        if !wait(6, || store.owners_version(site::SERVICE) > before) {
            return Err(format!("the owners did not change as instance {number} left"));
        }
        thread::sleep(Duration::from_secs(2));
        site.set_state(&site::instance_id(number), InstanceState::Gone);
    }
    Ok(())
}

/// Two instances leave one after the other; the store is away for a moment and comes back from a copy
/// of before. The write that gives the second one's keys to others is late.
fn restore(site: &Site, store: &Store, record: &Record) -> Result<(), String> {
    let before = store.owners_version(site::SERVICE);
    let copied = store.take_copy();
    record.line(&format!("copy at version {copied}, owners at {before}"));
    thread::sleep(COPY_AGE - Duration::from_millis(1_500));
    site.set_state(&site::instance_id(4), InstanceState::Draining);
    if !wait(6, || store.owners_version(site::SERVICE) > before) {
        return Err("the owners did not change as instance 4 left".to_owned());
    }
    let changed = store.owners_version(site::SERVICE);
    thread::sleep(Duration::from_millis(700));
    if store.owners_version(site::SERVICE) != changed {
        return Err("the owners changed once more".to_owned());
    }
    store.on_owners_writes(OwnersWrites::NextIsLate);
    site.set_state(&site::instance_id(3), InstanceState::Draining);
    if !wait(6, || store.late_expects().is_some()) {
        return Err("the owners did not change as instance 3 left".to_owned());
    }
    record.line(&format!("a write of the owners on {:?} gets no answer", store.late_expects()));
    store.set_away(true);
    store.on_owners_writes(OwnersWrites::AppliedAs(changed));
    thread::sleep(AWAY);
    store.restore();
    record.say(&format!("the store is back from its copy at version {copied}, era 2"));
    if !wait(8, || store.owners_version(site::SERVICE) == changed) {
        return Err(format!(
            "the owners of era 2 have version {} and not {changed}",
            store.owners_version(site::SERVICE)
        ));
    }
    record.line(&format!("the owners are stored in era 2 at version {changed}"));
    Ok(())
}

fn wait(seconds: u64, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < end {
        if done() {
            return true;
        }
        thread::sleep(Duration::from_millis(2));
    }
    false
}

fn judge(grants: &Grants, record: &Record) -> Finding {
    for (grant, fence, instance) in &grants.broken {
        record
            .line(&format!("{grant:?} is not above {fence}, with which {instance} had keys of it"));
    }
    record.say(&format!(
        "{} grants accepted, {} with a number not above that of another instance",
        grants.accepted,
        grants.broken.len()
    ));
    match (grants.accepted > 0, grants.broken.is_empty()) {
        (false, _) => Finding::Unusable("no grant was accepted".to_owned()),
        (true, true) => Finding::Held,
        (true, false) => Finding::Broken,
    }
}

fn serve(name: &str, mut connection: Connection, grants: &Mutex<Grants>, record: &Record) {
    while let Ok(Some(head)) = connection.read_head() {
        let Ok(body) = connection.read_body(&head) else { return };
        let call = Json::parse(&String::from_utf8_lossy(&body)).unwrap_or(Json::Null);
        let grant = Grant {
            instance: name.to_owned(),
            from: call.number("from") as usize,
            to: call.number("to") as usize,
            fence: call.number("fence") as u64,
        };
        let mut grants = grants.lock().expect("not poisoned");
        let answered = match head.line[1].as_str() {
            "/wagtailmoor/grant" => {
                let accepted = grants.accept(&grant);
                record.line(&format!("{grant:?} accepted {accepted}"));
                let status = if accepted { "200 OK" } else { "409 Conflict" };
                connection.answer(status, "", b"")
            }
            "/wagtailmoor/release" => {
                grants.release(&grant);
                record.line(&format!("{grant:?} released"));
                connection.answer("200 OK", "X-Handover: 5c0e7a21d94b36f8\r\n", b"")
            }
            _ => connection.answer("200 OK", &site::signed(&head), b"ok"),
        };
        if answered.is_err() {
            return;
        }
    }
}
