//! A machine leaves while the store is slow and loses an answer, so that the leader changes twice; an
//! instance loses the store for a while; the leader is stopped. The operator changes the config.

#[path = "common.rs"]
mod common;

use std::io::{BufReader, Write};
use std::net::TcpListener;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const INSTANCES: usize = 5;
const KEYS: usize = 65_536;
/// Length of the disturbance of the store, and the largest share of the writes whose answers it
/// loses. An answer usually takes 4 ms; it takes 90 times as long.
const LOST_PERIOD: Duration = Duration::from_millis(4_500);
const SLOW_ANSWER: Duration = Duration::from_millis(4 * 90);
const LOST_SHARE_MAX: f64 = 0.35;
const CUT: Duration = Duration::from_secs(9);
/// Two instances may hold the same keys for at most this long.
const OVERLAP_MAX: Duration = Duration::from_millis(500);

const CONFIG: &str = r#"{"version":VERSION,"routes":[{"name":"r-uxsr7i4","host":"jepu9.example","prefix":"/lepu270/","type":"idempotent","timeoutS":1.2,"targetLatencyS":0.5,"priority":2,"service":"huvo11a","maxAttempts":2,"allowAnonymous":false}],"services":[{"name":"huvo11a","healthCheckPath":"/health","maxConnections":130,"protocol":"h1","tls":false,"coldStartS":3.0,"coldPerS":3.5,"sharded":true,"warmupS":2.0,"grants":"call"}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutS":3,"idleTimeoutS":15},"tenants":[{"name":"yefi830","apiKeys":["xd9dnn2ctnfzs989anu6"],"priority":0,"ratePerS":56,"burst":56}],"baseVersion":5}"#;

#[derive(Clone, Copy)]
struct Hold {
    fence: u64,
    until: Instant,
}

/// The keys that an instance holds, and the highest generation number that it saw for each.
struct Instance {
    id: String,
    holds: Vec<Option<Hold>>,
    seen: Vec<u64>,
}

impl Instance {
    fn new(id: String) -> Self {
        Self { id, holds: vec![None; KEYS], seen: vec![0; KEYS] }
    }

    fn range(call: &Json) -> (usize, usize, u64) {
        let number = |name: &str| call.get(name).text().parse::<u64>().unwrap_or(0);
        (number("from") as usize, number("to") as usize, number("fence"))
    }

    fn grant(&mut self, call: &Json) -> bool {
        let (from, to, fence) = Self::range(call);
        if self.seen[from..=to].iter().any(|seen| *seen > fence) {
            return false;
        }
        let hold_s: f64 = call.get("holdS").text().parse().unwrap_or(0.0);
        let hold = Hold { fence, until: Instant::now() + Duration::from_secs_f64(hold_s) };
        self.holds[from..=to].fill(Some(hold));
        self.seen[from..=to].fill(fence);
        true
    }

    fn release(&mut self, call: &Json) {
        let (from, to, fence) = Self::range(call);
        for key in from..=to {
            if self.holds[key].is_some_and(|hold| hold.fence <= fence) {
                self.holds[key] = None;
            }
            self.seen[key] = self.seen[key].max(fence);
        }
    }

    fn held(&self, key: usize, now: Instant) -> Option<Hold> {
        self.holds[key].filter(|hold| hold.until > now)
    }
}

fn serve_instance(instance: Shared<Instance>, listener: TcpListener, record: Arc<Record>) {
    serve(listener, move |stream| {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut writer = stream;
        while let Some(request) = read_message(&mut reader) {
            let id = instance.lock().unwrap().id.clone();
            let call = Json::parse(&request.body);
            let what = format!(
                "{}-{} fence {}",
                call.get("from").text(),
                call.get("to").text(),
                call.get("fence").text()
            );
            let status = match request.path() {
                _ if request.field("x-target-instance").is_some_and(|other| other != id) => 421,
                "/wagtailmoor/grant" => {
                    let granted = instance.lock().unwrap().grant(&call);
                    record.add(format!("instance {id} is granted {what}: {granted}"));
                    if granted { 200 } else { 409 }
                }
                "/wagtailmoor/release" => {
                    instance.lock().unwrap().release(&call);
                    record.add(format!("instance {id} releases {what}"));
                    200
                }
                _ => 200,
            };
            let handover = if request.path().ends_with("release") { "X-Handover: 5c0e7a21\r\n" } else { "" };
            writer.write_all(
                format!("HTTP/1.1 {status} X\r\nX-Served-By: {id}\r\n{handover}Content-Length: 0\r\n\r\n").as_bytes(),
            )?;
        }
        Ok(())
    });
}

/// Writes of the router processes, as the store sees them.
#[derive(Default)]
struct Writes {
    leader: Option<String>,
    /// Answered with 200, by table.
    owners_done: usize,
    /// While the store is disturbed: since when, the writes and the lost ones, the node concerned.
    disturbed: Option<Instant>,
    count: usize,
    lost: Vec<String>,
    claimant: Option<String>,
}

/// Loses the answer of the first claim of the lease while the store is disturbed.
fn on_write(writes: &Shared<Writes>, record: &Record, transaction: &Json, status: u16, lossy: bool) -> bool {
    let mut writes = writes.lock().unwrap();
    let entry = transaction.get("writes").list().first().cloned().unwrap_or(Json::Null);
    let (table, key) = (entry.get("table").text().to_owned(), entry.get("key").text().to_owned());
    let value = base64_decode(entry.get("value").text());
    let row = if table == "leader" { Json::parse(&value) } else { Json::Null };
    let node = row.get("value").get("node").text().to_owned();
    let renewals = row.get("value").get("renewals").text().to_owned();
    let resigned = matches!(row.get("value").get("resigned"), Json::Bool(true));
    let mut lost = false;
    if status == 200 && table == "leader" {
        writes.leader = (!resigned).then(|| node.clone());
    }
    if status == 200 && table == "ranges" {
        writes.owners_done += 1;
    }
    let is_claim = table == "leader" && status == 200 && !resigned && renewals == "0";
    if lossy && writes.disturbed.is_some_and(|since| since.elapsed() < LOST_PERIOD) {
        writes.count += 1;
        if is_claim && writes.claimant.is_none() {
            writes.claimant = Some(node.clone());
            writes.lost.push(format!("{table}/{key}"));
            lost = true;
        }
    }
    record.add(format!(
        "store: write of {table}/{key} {node}{}{} -> {status}{}",
        if is_claim { " (claim)" } else { "" },
        if resigned { " (resigns)" } else { "" },
        if lost { ", done, the answer is lost" } else { "" }
    ));
    lost
}

/// Looks for keys that two instances hold at the same time, until the case ends.
struct Overlaps {
    /// Longest time for which two instances held the same keys, with a description.
    longest: Mutex<(Duration, String)>,
}

fn watch(instances: Vec<Shared<Instance>>, overlaps: Arc<Overlaps>, record: Arc<Record>) {
    thread::spawn(move || {
        let mut since: Vec<Option<Instant>> = vec![None; KEYS];
        let mut reported = false;
        loop {
            let locked: Vec<_> = instances.iter().map(|instance| instance.lock().unwrap()).collect();
            let now = Instant::now();
            for key in 0..KEYS {
                let holders: Vec<(&str, u64)> = locked
                    .iter()
                    .filter_map(|instance| Some((instance.id.as_str(), instance.held(key, now)?.fence)))
                    .collect();
                if holders.len() < 2 {
                    since[key] = None;
                    continue;
                }
                let began = *since[key].get_or_insert(now);
                let lasted = now.duration_since(began);
                let mut longest = overlaps.longest.lock().unwrap();
                if lasted > longest.0 {
                    *longest = (lasted, format!("key {key} held by {holders:?}"));
                }
                if lasted > OVERLAP_MAX && !reported {
                    reported = true;
                    record.add(format!("two instances hold key {key} for over half a second: {holders:?}"));
                }
            }
            drop(locked);
            thread::sleep(Duration::from_millis(20));
        }
    });
}

fn wait_for(what: &str, limit: Duration, condition: impl Fn() -> bool) -> bool {
    let until = Instant::now() + limit;
    while Instant::now() < until {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    println!("not seen in time: {what}");
    false
}

fn main() {
    let (record, folder) = (Record::new(), Folder::new());
    let trouble = with_trouble();
    let prefix = own_ip().trim_end_matches('1').to_owned();
    let store = Arc::new(Store::default());
    let (listener, store_address) = listen(&own_ip());
    store.serve(listener);
    let writes: Shared<Writes> = Arc::default();
    let (hooked, hook_record) = (Arc::clone(&writes), Arc::clone(&record));
    *store.on_write.lock().unwrap() = Some(Box::new(move |transaction, status| {
        on_write(&hooked, &hook_record, transaction, status, trouble)
    }));
    let config = |version: u32| {
        CONFIG.replace("VERSION", &version.to_string())
    };
    store.put("op", "config", Some(&config(7)));
    let (mut instances, mut rows) = (Vec::new(), Vec::new());
    for index in 0..INSTANCES {
        let id = format!("i-{index}");
        let (listener, address) = listen(&own_ip());
        let row = server_row("huvo11a", address, "cba-a", 2, unix_ms() - 60_000);
        store.put("servers", &id, Some(&row));
        rows.push((id.clone(), row));
        let instance = Arc::new(Mutex::new(Instance::new(id)));
        serve_instance(Arc::clone(&instance), listener, Arc::clone(&record));
        instances.push(instance);
    }
    let overlaps = Arc::new(Overlaps { longest: Mutex::default() });
    watch(instances, Arc::clone(&overlaps), Arc::clone(&record));
    let zones = ["cba-a", "cba-b", "ros-a"];
    let peers: Vec<_> = (1..=3).map(|host| free_address(&format!("{prefix}{host}"))).collect();
    let start = |index: usize| {
        let (zone, own) = (zones[index], peers[index]);
        let name = format!("edge-{zone}-1");
        let router =
            Router::start_among(&folder, &name, zone, own, &peers, store_address, true);
        (name, router)
    };
    let mut routers: Vec<(String, Router)> = (0..3).map(start).collect();
    routers.iter_mut().for_each(|(_, router)| router.wait_ready());
    let leader = || writes.lock().unwrap().leader.clone();
    let could_run = wait_for("first owners", Duration::from_secs(15), || {
        leader().is_some() && writes.lock().unwrap().owners_done > 0
    });
    thread::sleep(Duration::from_secs(5));

    // The leader's machine leaves as planned; while its duty passes on, the store is disturbed.
    let first = leader().unwrap_or_default();
    record.add(format!("SIGTERM of {first}, whose machine leaves for good"));
    writes.lock().unwrap().disturbed = Some(Instant::now());
    if trouble {
        *store.slow.lock().unwrap() = Some((Instant::now() + LOST_PERIOD, SLOW_ANSWER));
    }
    routers.iter().filter(|(name, _)| *name == first).for_each(|(_, router)| router.signal("TERM"));
    thread::sleep(Duration::from_millis(400));
    record.add("the operator writes config 8");
    store.put("op", "config", Some(&config(8)));
    thread::sleep(Duration::from_secs(12));
    let second = leader().unwrap_or_default();
    record.add(format!("{second} leads"));

    // An instance is partitioned from the store, which drops its entry; it is back after the cut.
    let (cut, row) = &rows[0];
    if trouble {
        record.add(format!("{cut} is partitioned from the store, its entry is removed"));
        store.put("servers", cut, None);
    }
    thread::sleep(CUT);
    if trouble {
        record.add(format!("{cut} reaches the store again"));
        store.put("servers", cut, Some(row));
    }
    thread::sleep(Duration::from_secs(3));

    // The next planned stop of the leader.
    let third = leader().unwrap_or_default();
    record.add(format!("SIGTERM of {third}"));
    routers.iter().filter(|(name, _)| *name == third).for_each(|(_, router)| router.signal("TERM"));
    thread::sleep(Duration::from_secs(9));

    let (lasted, what) = overlaps.longest.lock().unwrap().clone();
    let (count, lost) = {
        let writes = writes.lock().unwrap();
        (writes.count, writes.lost.clone())
    };
    let result = format!(
        "leaders {first}, {second}, {third}, {}; answers lost: {} of {count} writes in 4.5 s ({}); longest double hold {:.3} s{}{what}",
        leader().unwrap_or_default(),
        lost.len(),
        lost.join(", "),
        lasted.as_secs_f64(),
        if what.is_empty() { "" } else { ": " }
    );
    record.add(&result);
    for (name, router) in &routers {
        for event in ["event=leader", "event=granter-started", "event=owners-stored"] {
            for line in router.log(&folder, name, event) {
                record.add(format!("log of {name}: {line}"));
            }
        }
    }
    record.write();
    routers.iter_mut().for_each(|(_, router)| router.end());
    drop(folder);
    let share = lost.len() as f64 / count.max(1) as f64;
    if !could_run || share > LOST_SHARE_MAX {
        quit(2, &result);
    }
    quit(i32::from(lasted > OVERLAP_MAX), &result)
}
