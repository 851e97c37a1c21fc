//! The platform's store: tables of rows with feeds, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Connection;
use crate::json::{Json, quote};

struct Row {
    /// Content in base64; `None` once the row was removed.
    value: Option<String>,
    version: u64,
}

#[derive(Default)]
struct Tables {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The store; clones share their rows.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    tables: Arc<(Mutex<Tables>, Condvar)>,
    started: Instant,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("a bound listener has an address");
        let store = Self { address, tables: Arc::default(), started: Instant::now() };
        let serving = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(Connection::new(stream)));
            }
        });
        store
    }

    /// Writes a row of the operator or of an instance.
    pub fn put(&self, table: &str, key: &str, content: &str) {
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
            let (status, answer) = match path {
                "/wagtailmoor/rows-get" => ("200 OK", self.get(&query)),
                "/wagtailmoor/rows-feed" => ("200 OK", self.feed(&query)),
                "/wagtailmoor/rows-tx" => self.transact(&String::from_utf8_lossy(&body)),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            let fields = "Content-Type: application/json\r\n";
            if connection.answer(status, fields, answer.as_bytes()).is_err() {
                return;
            }
        }
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

    fn feed(&self, query: &BTreeMap<String, String>) -> String {
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let after: u64 = text("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(text("waitMs").parse().unwrap_or(0).min(30_000));
        let table = text("table");
        let (lock, changed) = &*self.tables;
        let is_new = |of: &str, row: &Row| of == table && row.version > after;
        let tables = lock.lock().expect("not poisoned");
        let (tables, _) = changed
            .wait_timeout_while(tables, wait, |tables| {
                !tables.rows.iter().any(|((of, _), row)| is_new(of, row))
            })
            .expect("not poisoned");
        let mut new: Vec<_> = tables.rows.iter().filter(|((of, _), row)| is_new(of, row)).collect();
        new.sort_by_key(|(_, row)| row.version);
        let rows = new.into_iter().map(|((table, key), row)| encode(table, key, row)).collect();
        self.page(rows, false, tables.version)
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
