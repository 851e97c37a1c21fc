//! The platform: table, object store and host list.

use std::cell::{Cell, Ref, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time;
use wagtailmoor_core::{Clock, RequestsPerSecond};

use crate::connections::{Connections, Handler};
use crate::patch::patched;
use crate::rate_cap::RateCap;
use crate::reply::{self, CloseConnection, Reply};
use crate::table_messages::{NamedRow, Rows, Versions};
use crate::{Context, HostList, NodeEntry, Outage, PlatformSettings, Table, Transaction, query};

/// Handle of a running platform.
#[derive(Clone)]
pub struct Platform {
    state: Rc<State>,
}

struct State {
    address: SocketAddr,
    context: Context,
    settings: watch::Sender<PlatformSettings>,
    table: RefCell<Table>,
    objects: RefCell<HashMap<String, Bytes>>,
    hosts: RefCell<HostList>,
    writes: RefCell<RateCap>,
    reads: RefCell<RateCap>,
    lose_next: Cell<u32>,
    counts: RefCell<Counts>,
    connections: Connections,
}

#[derive(Clone, Copy, Default)]
struct Counts {
    writes: u64,
    reads: u64,
    over_cap: u64,
    lost_answers: u64,
}

impl Platform {
    /// Binds the listener and serves it on the current `LocalSet`.
    pub async fn bind(settings: PlatformSettings, context: &Context) -> io::Result<Self> {
        let listener = TcpListener::bind(settings.listen).await?;
        let state = Rc::new(State {
            address: listener.local_addr()?,
            context: context.clone(),
            settings: watch::Sender::new(settings),
            table: RefCell::default(),
            objects: RefCell::default(),
            hosts: RefCell::default(),
            writes: RefCell::default(),
            reads: RefCell::default(),
            lose_next: Cell::new(0),
            counts: RefCell::default(),
            connections: Connections::default(),
        });
        tokio::task::spawn_local(accept(listener, state.clone()));
        Ok(Self { state })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }

    /// Returns the current settings.
    pub fn settings(&self) -> PlatformSettings {
        self.state.settings.borrow().clone()
    }

    /// Replaces all settings.
    pub fn set(&self, settings: PlatformSettings) {
        self.state.settings.send_replace(settings);
    }

    /// Replaces the given fields of the settings.
    pub fn patch(&self, changes: &Value) -> Result<(), serde_json::Error> {
        let settings = patched(&*self.state.settings.borrow(), changes)?;
        self.set(settings);
        Ok(())
    }

    /// Loses the responses to the next `count` writes; the writes take effect.
    pub fn lose_next_responses(&self, count: u32) {
        self.state.lose_next.set(count);
    }

    /// Borrows the table; must not be held across an `await`.
    pub fn table(&self) -> Ref<'_, Table> {
        self.state.table.borrow()
    }

    /// Changes the host list; the change appears after `hosts_lag_ms`.
    pub fn change_hosts(&self, change: impl FnOnce(&mut HostList, wagtailmoor_core::Instant)) {
        change(&mut self.state.hosts.borrow_mut(), self.state.context.clock().now());
    }

    pub(crate) fn status(&self) -> Value {
        let counts = *self.state.counts.borrow();
        json!({
            "address": self.address().to_string(),
            "writes": counts.writes,
            "reads": counts.reads,
            "over_cap": counts.over_cap,
            "lost_answers": counts.lost_answers,
            "connections": self.state.connections.count(),
            "settings": self.settings(),
        })
    }
}

async fn accept(listener: TcpListener, state: Rc<State>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => state.connections.serve(stream, state.clone(), Duration::ZERO),
            Err(error) => {
                log::warn!("event=accept-failed listener=platform error={error}");
                time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

impl Handler for State {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Result<Reply, CloseConnection> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| CloseConnection)?.to_bytes();
        let path = head.uri.path();
        match path.split('/').nth(1) {
            Some("hosts") => self.handle_hosts(&head.method, path, &body).await,
            Some("table") | Some("objects") => {
                let reply = self.handle_store(&head.method, path, head.uri.query(), body);
                reply.await
            }
            _ => Ok(reply::empty(StatusCode::NOT_FOUND)),
        }
    }
}

impl State {
    async fn handle_store(
        &self,
        method: &Method,
        path: &str,
        query: Option<&str>,
        body: Bytes,
    ) -> Result<Reply, CloseConnection> {
        if !self.is_available(|settings| settings.outage).await {
            return Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let is_write = *method != Method::GET;
        if !self.admit_operation(is_write) {
            return Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let latency = self.settings.borrow().latency.sample(self.context.random_unit());
        time::sleep(latency / 2).await;
        let reply = match (method.as_str(), path.strip_prefix("/objects/")) {
            ("GET", Some(name)) => self.get_object(&query::decode(name)),
            ("PUT", Some(name)) => self.put_object(query::decode(name), body),
            ("GET", None) => self.read_table(path, query),
            ("POST", None) if path == "/table" => self.write_table(&body),
            _ => reply::empty(StatusCode::METHOD_NOT_ALLOWED),
        };
        time::sleep(latency / 2).await;
        match is_write && reply.status().is_success() && self.should_lose_response() {
            true => self.lose_response(),
            false => Ok(reply),
        }
    }

    /// Waits while the service hangs, then returns whether it works.
    async fn is_available(&self, outage: fn(&PlatformSettings) -> Outage) -> bool {
        let mut settings = self.settings.subscribe();
        let state = settings.wait_for(|settings| outage(settings) != Outage::Hang).await;
        state.is_ok_and(|settings| outage(&settings) == Outage::None)
    }

    fn admit_operation(&self, is_write: bool) -> bool {
        let now = self.context.clock().now();
        let settings = self.settings.borrow();
        let mut counts = self.counts.borrow_mut();
        let (window, cap): (_, RequestsPerSecond) = match is_write {
            true => (&self.writes, settings.writes_per_s),
            false => (&self.reads, settings.reads_per_s),
        };
        let admitted = window.borrow_mut().admit(now, cap);
        match (admitted, is_write) {
            (false, _) => counts.over_cap += 1,
            (true, true) => counts.writes += 1,
            (true, false) => counts.reads += 1,
        }
        admitted
    }

    fn should_lose_response(&self) -> bool {
        let remaining = self.lose_next.get();
        self.lose_next.set(remaining.saturating_sub(1));
        remaining > 0 || self.context.chance(self.settings.borrow().lost_answers_ppm)
    }

    fn lose_response(&self) -> Result<Reply, CloseConnection> {
        self.counts.borrow_mut().lost_answers += 1;
        match self.context.chance(self.settings.borrow().lost_by_close_ppm) {
            true => Err(CloseConnection),
            false => Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE)),
        }
    }

    fn get_object(&self, name: &str) -> Reply {
        match self.objects.borrow().get(name) {
            Some(content) => reply::bytes(StatusCode::OK, content.clone()),
            None => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn put_object(&self, name: String, content: Bytes) -> Reply {
        self.objects.borrow_mut().insert(name, content);
        reply::empty(StatusCode::NO_CONTENT)
    }

    fn read_table(&self, path: &str, query: Option<&str>) -> Reply {
        let table = self.table.borrow();
        match path.strip_prefix("/table/").map(query::decode) {
            Some(row) => match table.get(&row) {
                Some(content) => reply::json(StatusCode::OK, content),
                None => reply::empty(StatusCode::NOT_FOUND),
            },
            None => reply::json(StatusCode::OK, &scan(&table, query)),
        }
    }

    fn write_table(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice::<Transaction>(body) {
            Ok(transaction) if Table::is_valid(&transaction) => {
                match self.table.borrow_mut().apply(&transaction) {
                    Ok(versions) => reply::json(StatusCode::OK, &Versions { versions }),
                    Err(conflict) => reply::json(StatusCode::CONFLICT, &conflict),
                }
            }
            Ok(_) => reply::error(StatusCode::BAD_REQUEST, "1 to 64 writes of different rows"),
            Err(error) => reply::error(StatusCode::BAD_REQUEST, error),
        }
    }

    async fn handle_hosts(
        &self,
        method: &Method,
        path: &str,
        body: &[u8],
    ) -> Result<Reply, CloseConnection> {
        if !self.is_available(|settings| settings.hosts_outage).await {
            return Ok(reply::empty(StatusCode::SERVICE_UNAVAILABLE));
        }
        let now = self.context.clock().now();
        let mut hosts = self.hosts.borrow_mut();
        Ok(match (method.as_str(), path.strip_prefix("/hosts/nodes/")) {
            ("GET", None) => {
                let lag = Duration::from_millis(self.settings.borrow().hosts_lag_ms);
                reply::json(StatusCode::OK, &hosts.delayed(now, lag))
            }
            ("PUT", Some(node)) => match serde_json::from_slice::<NodeEntry>(body) {
                Ok(entry) if entry.node.as_str() == node => {
                    hosts.put_node(now, entry);
                    reply::empty(StatusCode::NO_CONTENT)
                }
                Ok(_) => reply::error(StatusCode::BAD_REQUEST, "node differs from the path"),
                Err(error) => reply::error(StatusCode::BAD_REQUEST, error),
            },
            ("DELETE", Some(node)) => match hosts.remove_node(now, node) {
                true => reply::empty(StatusCode::NO_CONTENT),
                false => reply::empty(StatusCode::NOT_FOUND),
            },
            _ => reply::empty(StatusCode::METHOD_NOT_ALLOWED),
        })
    }
}

fn scan(table: &Table, query: Option<&str>) -> Rows {
    let text = |name| query::parameter(query, name).unwrap_or_default();
    let limit = query::number(query, "limit").and_then(|limit| usize::try_from(limit).ok());
    let rows = table.scan(&text("prefix"), &text("after"), limit.unwrap_or(usize::MAX));
    let named = |(row, content): (&str, &crate::Row)| NamedRow {
        row: row.to_owned(),
        content: content.clone(),
    };
    Rows { rows: rows.into_iter().map(named).collect() }
}
