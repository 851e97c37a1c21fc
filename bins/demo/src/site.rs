//! The site of the demo: stand-ins, entry processes and configuration.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use rand::RngExt;
use rand::distr::Alphanumeric;
use snafu::{ResultExt, Snafu};
use tokio::time::{sleep, timeout};
use wagtailmoor_configuration::{Change, ChangeRecord, Configuration};
use wagtailmoor_core::{BackEndId, ConfigVersion, KeyDigest, KeyHash, WriteId};
use wagtailmoor_entry::{EntryHandle, StartError};
use wagtailmoor_peer::PeerClient;
use wagtailmoor_settings::{ChangeFile, EntrySettings, SettingsError, parse};
use wagtailmoor_standin::{Settings, StandIn};
use wagtailmoor_store::{AppendOutcome, HttpPlatform, append_change};

const SITE: &str = include_str!("site.yaml");
const STANDIN: &str = include_str!("standin.yaml");

/// Choosing a controller takes about a second and the first grant a little longer.
const OWNERS_TIMEOUT: Duration = Duration::from_secs(15);

const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// A secret of 32 alphanumeric characters cannot be guessed.
const SECRET_LEN: usize = 32;

/// Error that stops the demo.
#[derive(Debug, Snafu)]
pub(crate) enum DemoError {
    #[snafu(display("{source}"), context(false))]
    Settings { source: SettingsError },
    #[snafu(display("cannot start the stand-ins: {source}"))]
    StandIn { source: io::Error },
    #[snafu(display("{source}"), context(false))]
    Entry { source: StartError },
    #[snafu(display("the configuration could not be stored"))]
    Configure,
    #[snafu(display("no owner of the key was found within {} s", OWNERS_TIMEOUT.as_secs()))]
    NoOwner,
}

/// Handles of the running stand-ins and entry processes.
pub(crate) struct Site {
    stand_in: StandIn,
    platform: HttpPlatform,
    entries: Vec<EntryHandle>,
    secret: String,
    version: Cell<ConfigVersion>,
}

impl Site {
    pub(crate) async fn start(listen: SocketAddr) -> Result<Self, DemoError> {
        let settings: Settings = parse(Path::new("standin.yaml"), STANDIN)?;
        let stand_in = StandIn::start(&settings).await.context(StandInSnafu)?;
        let platform = stand_in.platform.as_ref().expect("the settings name a platform").address();
        let mut entries = Vec::new();
        for (number, zone) in (0..).zip(["zone-a", "zone-b"]) {
            let listen = SocketAddr::new(listen.ip(), listen.port() + number);
            let peers = entries.iter().map(EntryHandle::control).collect();
            entries.push(wagtailmoor_entry::start(entry(zone, listen, platform, peers)?).await?);
        }
        let random = rand::rng().sample_iter(Alphanumeric).take(SECRET_LEN);
        let secret = random.map(char::from).collect();
        let version = Cell::default();
        Ok(Self { stand_in, platform: HttpPlatform::new(platform), entries, secret, version })
    }

    pub(crate) fn targets(&self) -> usize {
        self.stand_in.targets.len()
    }

    pub(crate) fn version(&self) -> ConfigVersion {
        self.version.get()
    }

    /// Stores zones, a template, a customer and its key through the interface that operators use.
    pub(crate) async fn configure(&self) -> Result<(), DemoError> {
        let file: ChangeFile = parse(Path::new("site.yaml"), SITE)?;
        let mut changes = file.changes(&Configuration::default());
        changes.push(Change::GrantKey {
            key: "demo".parse().expect("a valid id"),
            digest: KeyDigest::of(self.secret.as_bytes()),
            customer: "hotel-sur".parse().expect("a valid id"),
        });
        for change in changes {
            let version = self.version.get().next();
            let record = ChangeRecord { version, author: "demo".into(), made_unix_ms: 0, change };
            match append_change(&self.platform, WriteId::new(rand::random()), &record).await {
                AppendOutcome::Done => self.version.set(version),
                AppendOutcome::Conflict | AppendOutcome::Unknown => {
                    return Err(DemoError::Configure);
                }
            }
        }
        Ok(())
    }

    /// Waits until each entry process knows the owner of the example key.
    pub(crate) async fn wait_for_owners(&self) -> Result<(), DemoError> {
        let wait = async {
            for entry in &self.entries {
                while !self.has_owner(entry.control()).await {
                    sleep(POLL_INTERVAL).await;
                }
            }
        };
        timeout(OWNERS_TIMEOUT, wait).await.map_err(|_| DemoError::NoOwner)
    }

    async fn has_owner(&self, control: SocketAddr) -> bool {
        let back_end: BackEndId = "feeds".parse().expect("a valid id");
        let report = PeerClient::new().owner(control, back_end, KeyHash::of(b"thread-1")).await;
        report.is_ok_and(|report| report.owner.is_some())
    }

    /// Returns shell commands that show the main request paths.
    pub(crate) fn examples(&self) -> Vec<String> {
        let key = format!("-H 'authorization: Bearer {}'", self.secret);
        let (first, second) = (self.entries[0].listen(), self.entries[1].listen());
        let nodes = self.entries.iter().map(|entry| format!("--node {}", entry.control()));
        let nodes = nodes.collect::<Vec<_>>().join(" ");
        let platform =
            self.stand_in.platform.as_ref().expect("the settings name a platform").address();
        vec![
            format!("curl -i {key} http://{first}/feed/thread-1/page"),
            format!("curl -i {key} http://{second}/export/may"),
            format!(
                "curl -i {key} -H 'idempotency-key: r1' -X POST -d hello http://{second}/feed/thread-1/reply"
            ),
            format!("curl -i http://{first}/feed/thread-1/page   # refused: no key"),
            format!("curl -i http://{first}/status   # open route"),
            format!("target/debug/wagtailmoor --platform {platform} {nodes} status"),
            format!("target/debug/wagtailmoor --platform {platform} withdraw demo"),
        ]
    }

    pub(crate) async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
    }
}

fn entry(
    zone: &str,
    listen: SocketAddr,
    platform: SocketAddr,
    peers: Vec<SocketAddr>,
) -> Result<EntrySettings, DemoError> {
    let text = format!(
        "{{node: entry-{zone}, host: host-{zone}, zone: {zone}, region: south, rack: rack-{zone}, \
         listen: '{listen}', control: '127.0.0.1:0', platform: '{platform}'}}"
    );
    let mut settings: EntrySettings = parse(Path::new("entry.yaml"), &text)?;
    settings.peers = peers;
    Ok(settings)
}
