//! A complete site on ephemeral loopback ports, on the thread of the test.

#![allow(dead_code, reason = "each test file uses a part")]

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};
use wagtailmoor_configuration::{Change, ChangeRecord, Configuration};
use wagtailmoor_core::{ConfigVersion, KeyDigest, WriteId};
use wagtailmoor_entry::EntryHandle;
use wagtailmoor_settings::{ChangeFile, EntrySettings, parse};
use wagtailmoor_standin::{Settings, StandIn, Target};
use wagtailmoor_store::{AppendOutcome, HttpPlatform, append_change, read_configuration};

/// A test that runs for longer fails as hung; no other result depends on it.
const HANG_TIMEOUT: Duration = Duration::from_secs(60);

/// The secret of customer `anna`.
pub(crate) const SECRET: &str = "secret-of-anna-0123456789";

const SITE: &str = include_str!("site.yaml");
const STANDIN: &str = include_str!("standin.yaml");

/// A response with its whole body.
#[derive(Debug)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

impl Response {
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", |value| value.to_str().unwrap())
    }

    pub(crate) fn field(&self, name: &str) -> String {
        let body: serde_json::Value = serde_json::from_slice(&self.body).unwrap();
        body[name].as_str().unwrap_or_default().into()
    }
}

/// A running site: stand-ins for the platform and the targets, and entry processes.
pub(crate) struct Site {
    pub(crate) standin: StandIn,
    pub(crate) store: HttpPlatform,
    pub(crate) entries: Vec<EntryHandle>,
}

/// Runs a test on one thread and fails it when it hangs.
pub(crate) fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        timeout(HANG_TIMEOUT, test).await.expect("the test hangs");
    });
}

/// Polls a condition until it holds; `run` fails the test if it never does.
pub(crate) async fn wait_until(mut check: impl AsyncFnMut() -> bool) {
    while !check().await {
        sleep(Duration::from_millis(20)).await;
    }
}

impl Site {
    /// Starts a site with one entry process per given zone and waits until all of them serve.
    pub(crate) async fn start(zones: &[&str]) -> Self {
        Self::start_with_tenure(zones, 60_000).await
    }

    /// Starts a site whose zones may be taken over after the given tenure.
    pub(crate) async fn start_with_tenure(zones: &[&str], tenure_ms: u64) -> Self {
        let settings: Settings = parse(Path::new("standin.yaml"), STANDIN).unwrap();
        let standin = StandIn::start(&settings).await.unwrap();
        let address = standin.platform.as_ref().unwrap().address();
        let mut site = Self { standin, store: HttpPlatform::new(address), entries: Vec::new() };
        for (index, zone) in zones.iter().enumerate() {
            site.add_entry(index, zone, tenure_ms).await;
        }
        let file: ChangeFile = parse(Path::new("site.yaml"), SITE).unwrap();
        for change in file.changes(&Configuration::default()) {
            site.change(change).await;
        }
        site.grant("anna-1", SECRET).await;
        for entry in &site.entries {
            wait_until(async || site.is_served(entry).await).await;
        }
        site
    }

    async fn add_entry(&mut self, index: usize, zone: &str, tenure_ms: u64) {
        let platform = self.standin.platform.as_ref().unwrap().address();
        let text = format!(
            "{{node: entry-{index}, host: host-{index}, zone: {zone}, region: south, \
             rack: rack-{index}, listen: '127.0.0.1:0', control: '127.0.0.1:0', \
             platform: '{platform}', tenure_ms: {tenure_ms}}}"
        );
        let mut settings: EntrySettings = parse(Path::new("entry.yaml"), &text).unwrap();
        settings.peers = self.entries.iter().map(EntryHandle::control).collect();
        self.entries.push(wagtailmoor_entry::start(settings).await.unwrap());
    }

    /// Stores a configuration change as the operators' command line does.
    pub(crate) async fn change(&self, change: Change) -> ConfigVersion {
        let version = read_configuration(&self.store).await.unwrap().version().next();
        let record = ChangeRecord { version, author: "test".into(), made_unix_ms: 0, change };
        let write = WriteId::new(u128::from(version.get()));
        let stored = append_change(&self.store, write, &record).await;
        assert_eq!(stored, AppendOutcome::Done);
        version
    }

    pub(crate) async fn grant(&self, key: &str, secret: &str) {
        self.change(Change::GrantKey {
            key: key.parse().unwrap(),
            digest: KeyDigest::of(secret.as_bytes()),
            customer: "anna".parse().unwrap(),
        })
        .await;
    }

    async fn is_served(&self, entry: &EntryHandle) -> bool {
        let keyed = get(entry.listen(), "/feed/t1").await.status == StatusCode::OK;
        keyed && get(entry.listen(), "/export/x").await.status == StatusCode::OK
    }

    pub(crate) fn target(&self, id: &str) -> &Target {
        let mut targets = self.standin.targets.iter();
        targets.find(|target| target.settings().target.as_str() == id).unwrap()
    }

    pub(crate) fn patch_platform(&self, changes: serde_json::Value) {
        self.standin.platform.as_ref().unwrap().patch(&changes).unwrap();
    }

    /// Returns all executions that targets logged.
    pub(crate) fn executions(&self) -> Vec<wagtailmoor_history::Execution> {
        self.standin.context.log().executions(0, usize::MAX)
    }
}

/// Sends a GET request with the key of customer `anna`.
pub(crate) async fn get(address: SocketAddr, path: &str) -> Response {
    let request = Request::get(path).header("authorization", format!("Bearer {SECRET}"));
    send(address, request.body(Full::default()).unwrap()).await.unwrap()
}

/// Sends a POST request with the key of customer `anna`.
pub(crate) async fn post(address: SocketAddr, path: &str, idempotency_key: &str) -> Response {
    let request = Request::post(path)
        .header("authorization", format!("Bearer {SECRET}"))
        .header("idempotency-key", idempotency_key);
    send(address, request.body(Full::from("reply")).unwrap()).await.unwrap()
}

/// Sends a request on a new connection and reads the whole response.
pub(crate) async fn send(
    address: SocketAddr,
    mut request: Request<Full<Bytes>>,
) -> Result<Response, hyper::Error> {
    let host = address.to_string().parse().unwrap();
    request.headers_mut().insert("host", host);
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let connection = spawn_local(connection);
    let response = sender.send_request(request).await?;
    let (parts, body) = response.into_parts();
    let body = body.collect().await?.to_bytes();
    connection.abort();
    Ok(Response { status: parts.status, headers: parts.headers, body })
}
