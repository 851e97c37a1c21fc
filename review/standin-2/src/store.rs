//! The platform's store: tables of rows with feeds, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::json::{Json, quote};

#[derive(Clone)]
struct Row {
    /// Content in base64; `None` once the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Clone, Default)]
struct Tables {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// What the store does with a transaction that writes the table of owners.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum OwnersWrites {
    #[default]
    Applied,
    /// The next one gets no answer and is kept, to be performed later if its condition still holds.
    NextIsLate,
    /// They are performed when the store's version is the one before this, which then is theirs.
    AppliedAs(u64),
    /// They get no answer and are not performed.
    Lost,
}

/// Disruptions of the store.
#[derive(Default)]
struct Disruption {
    is_away: bool,
    owners_writes: OwnersWrites,
    /// The transaction that may still be performed.
    late: Option<String>,
    copy: Option<Tables>,
    /// Value of `Store-Era`; the field is left out at zero.
    era: u64,
    /// Whether instances and the operator have yet to write again what a restore lost.
    waits_for_writers: bool,
}

/// Name of the table of owners.
const OWNERS: &str = "ranges";

/// The store; clones share their rows.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    tables: Arc<(Mutex<Tables>, Condvar)>,
    disruption: Arc<Mutex<Disruption>>,
    started: Instant,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("a bound listener has an address");
        let (tables, disruption) = (Arc::default(), Arc::default());
        let store = Self { address, tables, disruption, started: Instant::now() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    fn disruption(&self) -> MutexGuard<'_, Disruption> {
        self.disruption.lock().expect("not poisoned")
    }

    /// Takes the copy from which the store will come back.
    pub fn take_copy(&self) -> u64 {
        let tables = self.tables.0.lock().expect("not poisoned").clone();
        let version = tables.version;
        self.disruption().copy = Some(tables);
        version
    }

    /// Starts to state an era in all answers.
    pub fn state_era(&self, era: u64) {
        self.disruption().era = era;
    }

    pub fn set_away(&self, is_away: bool) {
        self.disruption().is_away = is_away;
        self.tables.1.notify_all();
    }

    /// Comes back from the copy. Instances write again what they wrote when the owners are written.
    pub fn restore(&self) {
        let mut disruption = self.disruption();
        let copy = disruption.copy.clone().expect("a copy was taken");
        disruption.era += 1;
        disruption.is_away = false;
        disruption.waits_for_writers = true;
        *self.tables.0.lock().expect("not poisoned") = copy;
        self.tables.1.notify_all();
    }

    pub fn on_owners_writes(&self, what: OwnersWrites) {
        self.disruption().owners_writes = what;
    }

    /// Returns the version that the late transaction expects of the owners' row, if there is one.
    pub fn late_expects(&self) -> Option<u64> {
        let call = Json::parse(self.disruption().late.as_ref()?)?;
        Some(call.list("expected").first()?.number("ver") as u64)
    }

    /// Performs the late transaction; returns whether its condition held.
    pub fn perform_late(&self) -> bool {
        let late = self.disruption().late.take();
        late.is_some_and(|body| self.transact(&body).0 == "200 OK")
    }

    /// Returns the version of the row of a service's owners.
    pub fn owners_version(&self, service: &str) -> u64 {
        let tables = self.tables.0.lock().expect("not poisoned");
        let row = tables.rows.get(&(OWNERS.to_owned(), service.to_owned()));
        row.map_or(0, |row| row.version)
    }

    /// Removes the entry of an instance that has left.
    pub fn remove(&self, table: &str, key: &str) {
        let (lock, changed) = &*self.tables;
        let mut tables = lock.lock().expect("not poisoned");
        tables.version += 1;
        let row = Row { value: None, version: tables.version };
        tables.rows.insert((table.to_owned(), key.to_owned()), row);
        changed.notify_all();
    }

    /// Writes a row of the operator or of an instance.
    pub fn put(&self, table: &str, key: &str, content: &str) {
        while self.disruption().is_away || self.disruption().waits_for_writers {
            thread::sleep(Duration::from_millis(5));
        }
        let (lock, changed) = &*self.tables;
        let mut tables = lock.lock().expect("not poisoned");
        tables.version += 1;
        let row = Row { value: Some(base64(content.as_bytes())), version: tables.version };
        tables.rows.insert((table.to_owned(), key.to_owned()), row);
        changed.notify_all();
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(head)) = connection.read_head() {
            let Ok(body) = connection.read_body(&head) else { return };
            let (path, query) = head.line[1].split_once('?').unwrap_or((&head.line[1], ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), decode_percent(value)))
                .collect();
            if self.disruption().is_away {
                if connection.answer("503 Service Unavailable", "", b"").is_err() {
                    return;
                }
                continue;
            }
            let body = String::from_utf8_lossy(&body);
            let writes_owners = path == "/wagtailmoor/rows-tx" && writes_owners(&body);
            if writes_owners && !self.lets_owners_pass(&body) {
                // No answer, and nothing further on this connection.
                thread::sleep(Duration::from_secs(2));
                return;
            }
            let (status, answer) = match path {
                "/wagtailmoor/rows-get" => ("200 OK", self.get(&query)),
                "/wagtailmoor/rows-feed" => self.feed(&query),
                "/wagtailmoor/rows-tx" => self.transact(&body),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            if writes_owners {
                self.disruption().waits_for_writers = false;
            }
            let era = match self.disruption().era {
                0 => String::new(),
                era => format!("Store-Era: {era}\r\n"),
            };
            let fields = format!("Content-Type: application/json\r\n{era}");
            if connection.answer(status, &fields, answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Handles a transaction on the owners as `OwnersWrites` says; returns whether it is performed now.
    fn lets_owners_pass(&self, body: &str) -> bool {
        let mut disruption = self.disruption();
        let wanted = match disruption.owners_writes {
            OwnersWrites::Applied => return true,
            OwnersWrites::Lost => return false,
            OwnersWrites::NextIsLate => {
                disruption.late = Some(body.to_owned());
                disruption.owners_writes = OwnersWrites::Lost;
                return false;
            }
            OwnersWrites::AppliedAs(version) => version,
        };
        disruption.owners_writes = OwnersWrites::Lost;
        drop(disruption);
        self.write_again(wanted)
    }

    /// Instances write their entries again, until the next transaction gets a version. Returns whether
    /// that version has not passed.
    fn write_again(&self, next: u64) -> bool {
        let (lock, changed) = &*self.tables;
        let mut tables = lock.lock().expect("not poisoned");
        let names: Vec<_> =
            tables.rows.keys().filter(|(table, _)| table == "servers").cloned().collect();
        for name in names.iter().cycle() {
            if tables.version + 1 >= next {
                break;
            }
            tables.version += 1;
            let version = tables.version;
            if let Some(row) = tables.rows.get_mut(name) {
                row.version = version;
            }
        }
        changed.notify_all();
        tables.version + 1 == next
    }

    fn page(&self, rows: Vec<String>, has_more: bool, version: u64) -> String {
        let now_s = self.started.elapsed().as_secs_f64();
        let rows = rows.join(",");
        format!("{{\"rows\":[{rows}],\"hasMore\":{has_more},\"ver\":{version},\"nowS\":{now_s}}}")
    }

    fn get(&self, query: &BTreeMap<String, String>) -> String {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let limit = text("limit").parse().unwrap_or(500).min(500);
        let (table, from, to) = (text("table"), text("from"), query.get("to"));
        let tables = self.tables.0.lock().expect("not poisoned");
        let listed: Vec<String> = tables
            .rows
            .iter()
            .filter(|((of, key), row)| {
                *of == table && *key >= from && to.is_none_or(|to| key < to) && row.value.is_some()
            })
            .map(|((table, key), row)| encode(table, key, row))
            .take(limit + 1)
            .collect();
        let has_more = listed.len() > limit;
        let rows = listed.into_iter().take(limit).collect();
        self.page(rows, has_more, tables.version)
    }

    fn feed(&self, query: &BTreeMap<String, String>) -> (&'static str, String) {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let after: u64 = text("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0).min(30_000));
        let table = text("table");
        let (lock, changed) = &*self.tables;
        let is_new = |of: &str, row: &Row| of == table && row.version > after;
        let tables = lock.lock().expect("not poisoned");
        let (tables, _) = changed
            .wait_timeout_while(tables, wait, |tables| {
                after <= tables.version && !tables.rows.iter().any(|((of, _), row)| is_new(of, row))
            })
            .expect("not poisoned");
        if after > tables.version {
            return ("410 Gone", "{}".to_owned());
        }
        let mut new: Vec<_> = tables.rows.iter().filter(|((of, _), row)| is_new(of, row)).collect();
        new.sort_by_key(|(_, row)| row.version);
        let rows = new.into_iter().map(|((table, key), row)| encode(table, key, row)).collect();
        ("200 OK", self.page(rows, false, tables.version))
    }

    fn transact(&self, body: &str) -> (&'static str, String) {
        let Some(call) = Json::parse(body) else { return ("400 Bad Request", "{}".to_owned()) };
        let name = |entry: &Json| (entry.text("table"), entry.text("key"));
        let (lock, changed) = &*self.tables;
        let mut tables = lock.lock().expect("not poisoned");
        let held = |entry: &Json| {
            let row = tables.rows.get(&name(entry)).filter(|row| row.value.is_some());
            row.map_or(0, |row| row.version) == entry.number("ver") as u64
        };
        if !call.list("expected").iter().all(held) {
            let rows = call.list("expected").iter().filter_map(|entry| {
                let (table, key) = name(entry);
                let row = tables.rows.get(&(table.clone(), key.clone()))?;
                Some(encode(&table, &key, row))
            });
            let rows = rows.collect();
            return ("412 Precondition Failed", self.page(rows, false, tables.version));
        }
        tables.version += 1;
        let version = tables.version;
        for entry in call.list("writes") {
            let row = Row { value: Some(entry.text("value")), version };
            tables.rows.insert(name(entry), row);
        }
        for entry in call.list("remove") {
            tables.rows.insert(name(entry), Row { value: None, version });
        }
        changed.notify_all();
        let now_s = self.started.elapsed().as_secs_f64();
        ("200 OK", format!("{{\"ver\":{version},\"nowS\":{now_s}}}"))
    }
}

fn writes_owners(body: &str) -> bool {
    let call = Json::parse(body);
    call.is_some_and(|call| call.list("writes").iter().any(|entry| entry.text("table") == OWNERS))
}

fn encode(table: &str, key: &str, row: &Row) -> String {
    let (table, key, version) = (quote(table), quote(key), row.version);
    match &row.value {
        Some(value) => {
            let value = quote(value);
            format!(
                "{{\"table\":{table},\"part\":\"\",\"key\":{key},\"value\":{value},\"ver\":{version}}}"
            )
        }
        None => format!(
            "{{\"table\":{table},\"part\":\"\",\"key\":{key},\"ver\":{version},\"deleted\":true}}"
        ),
    }
}

fn decode_percent(text: &str) -> String {
    let mut out = Vec::new();
    let bytes = text.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = bytes
            .get(at + 1..at + 3)
            .filter(|_| bytes[at] == b'%')
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        out.push(code.unwrap_or(bytes[at]));
        at += if code.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&out).into_owned()
}

fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for group in bytes.chunks(3) {
        let padded = [group[0], *group.get(1).unwrap_or(&0), *group.get(2).unwrap_or(&0)];
        let bits = u32::from_be_bytes([0, padded[0], padded[1], padded[2]]);
        for index in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * index)) as usize & 63];
            out.push(if index <= group.len() { char::from(letter) } else { '=' });
        }
    }
    out
}
