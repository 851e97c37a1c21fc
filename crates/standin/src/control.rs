//! HTTP interface that controls the stand-ins while they run.
//!
//! | request | effect |
//! | --- | --- |
//! | `GET /control/status` | platform and targets with addresses, load and settings |
//! | `GET /control/executions?from=N&limit=N` | `{"executions": [...], "count": N}` |
//! | `POST /control/executions/file` `{"path": FILE}` | writes all executions as JSON lines |
//! | `GET /control/violations` | `{"violations": [...]}` |
//! | `POST /control/platform` `{FIELD: VALUE, ...}` | replaces settings of the platform |
//! | `POST /control/platform/lose-next` `{"count": N}` | loses the responses to the next writes |
//! | `POST /control/SCOPE/ID` `{FIELD: VALUE, ...}` | replaces settings of targets |
//! | `POST /control/SCOPE/ID/ACTION` `{"for_ms": N}` | acts on targets |
//!
//! `SCOPE` is `targets`, `zones` or `back-ends`. `ACTION` is `crash`, `return`, `freeze`, `thaw`,
//! `cold`, `warm`, `drain`, `undrain`, `leave` or `join`. `for_ms` is optional: the duration of a
//! crash or freeze, or the time from `leave` to the stop of the target.

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use http::{Method, Request, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde_json::{Map, Value, json};
use tokio::net::TcpListener;

use crate::connections::{Connections, Handler};
use crate::reply::{self, CloseConnection, Reply};
use crate::{Context, Platform, Target, query};

/// Maximum number of executions in one response.
const MAX_EXECUTIONS: usize = 100_000;

/// The running control interface.
#[derive(Clone)]
pub struct Control {
    state: Rc<State>,
}

struct State {
    address: SocketAddr,
    context: Context,
    platform: Option<Platform>,
    targets: RefCell<Vec<Target>>,
    connections: Connections,
}

impl Control {
    /// Binds the listener and serves it on the current `LocalSet`.
    pub async fn bind(
        listen: SocketAddr,
        context: &Context,
        platform: Option<Platform>,
        targets: Vec<Target>,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let state = Rc::new(State {
            address: listener.local_addr()?,
            context: context.clone(),
            platform,
            targets: RefCell::new(targets),
            connections: Connections::default(),
        });
        tokio::task::spawn_local(accept(listener, state.clone()));
        Ok(Self { state })
    }

    /// Returns the address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.state.address
    }
}

async fn accept(listener: TcpListener, state: Rc<State>) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => state.connections.serve(stream, state.clone(), Duration::ZERO),
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

impl Handler for State {
    async fn handle(self: Rc<Self>, request: Request<Incoming>) -> Result<Reply, CloseConnection> {
        let (head, body) = request.into_parts();
        let body = body.collect().await.map_err(|_| CloseConnection)?.to_bytes();
        let path: Vec<&str> = head.uri.path().split('/').skip(1).collect();
        Ok(match (&head.method, path.as_slice()) {
            (&Method::GET, ["control", read]) => self.handle_get(read, head.uri.query()),
            (&Method::POST, ["control", rest @ ..]) => match parse(&body) {
                Ok(body) => self.handle_post(rest, &body),
                Err(error) => reply::error(StatusCode::BAD_REQUEST, error),
            },
            _ => reply::empty(StatusCode::NOT_FOUND),
        })
    }
}

impl State {
    fn handle_get(&self, name: &str, query: Option<&str>) -> Reply {
        match name {
            "status" => reply::json(StatusCode::OK, &self.status()),
            "executions" => {
                let from = query::number(query, "from").unwrap_or_default();
                let limit = query::number(query, "limit").map_or(MAX_EXECUTIONS, |limit| {
                    usize::try_from(limit).unwrap_or(usize::MAX).min(MAX_EXECUTIONS)
                });
                let log = self.context.log();
                let executions = log.executions(from, limit);
                let body = json!({ "executions": executions, "count": log.len() });
                reply::json(StatusCode::OK, &body)
            }
            "violations" => {
                let violations = self.context.log().violations();
                reply::json(StatusCode::OK, &json!({ "violations": violations }))
            }
            _ => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn status(&self) -> Value {
        let targets = self.targets.borrow();
        let named = |target: &Target| (target.settings().target.to_string(), target.status());
        let targets: Map<String, Value> = targets.iter().map(named).collect();
        let platform = self.platform.as_ref().map(Platform::status);
        json!({ "platform": platform, "targets": targets, "executions": self.context.log().len() })
    }

    fn handle_post(&self, path: &[&str], body: &Value) -> Reply {
        match (path, &self.platform) {
            (["executions", "file"], _) => self.write_executions(body),
            (["platform"], Some(platform)) => to_reply(platform.patch(body)),
            (["platform", "lose-next"], Some(platform)) => {
                let count = body["count"].as_u64().unwrap_or(1);
                platform.lose_next_responses(u32::try_from(count).unwrap_or(u32::MAX));
                reply::empty(StatusCode::NO_CONTENT)
            }
            ([scope, id], _) => self.update_targets(scope, id, |target| target.patch(body)),
            ([scope, id, action], _) => {
                let time = body["for_ms"].as_u64().map(Duration::from_millis);
                self.update_targets(scope, id, |target| match apply_action(target, action, time) {
                    true => Ok(()),
                    false => Err(serde::de::Error::custom(format!("no action {action:?}"))),
                })
            }
            _ => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn update_targets(
        &self,
        scope: &str,
        id: &str,
        change: impl Fn(&Target) -> Result<(), serde_json::Error>,
    ) -> Reply {
        let is_selected = |target: &&Target| {
            let settings = target.settings();
            match scope {
                "targets" => settings.target.as_str() == id,
                "zones" => settings.zone.as_str() == id,
                "back-ends" => settings.back_end.as_str() == id,
                _ => false,
            }
        };
        let targets = self.targets.borrow();
        let selected: Vec<&Target> = targets.iter().filter(is_selected).collect();
        match selected.is_empty() {
            true => reply::error(StatusCode::NOT_FOUND, format!("no target in {scope}/{id}")),
            false => to_reply(selected.into_iter().try_for_each(change)),
        }
    }

    fn write_executions(&self, body: &Value) -> Reply {
        let Some(path) = body["path"].as_str() else {
            return reply::error(StatusCode::BAD_REQUEST, "path is missing");
        };
        match self.context.log().write_file(Path::new(path)) {
            Ok(count) => reply::json(StatusCode::OK, &json!({ "count": count })),
            Err(error) => reply::error(StatusCode::INTERNAL_SERVER_ERROR, error),
        }
    }
}

fn apply_action(target: &Target, action: &str, time: Option<Duration>) -> bool {
    match action {
        "crash" => target.crash(time),
        "return" => target.restart(),
        "freeze" => target.freeze(time),
        "thaw" => target.thaw(),
        "cold" => target.revert_to_cold(),
        "warm" => target.warm_up(),
        "drain" => target.drain(true),
        "undrain" => target.drain(false),
        "leave" => target.leave(time.unwrap_or_default()),
        "join" => target.join(),
        _ => return false,
    }
    true
}

fn parse(body: &[u8]) -> Result<Value, serde_json::Error> {
    match body.is_empty() {
        true => Ok(json!({})),
        false => serde_json::from_slice(body),
    }
}

fn to_reply(result: Result<(), serde_json::Error>) -> Reply {
    match result {
        Ok(()) => reply::empty(StatusCode::NO_CONTENT),
        Err(error) => reply::error(StatusCode::BAD_REQUEST, error),
    }
}
