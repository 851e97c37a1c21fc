//! Queries the entry processes of a site.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use tokio::time::sleep;
use wagtailmoor_core::ConfigVersion;
use wagtailmoor_peer::{NodeState, PeerClient};
use wagtailmoor_store::{HostList, HttpPlatform};

use crate::arguments::Site;
use crate::failure::Failure;

/// Interval at which entry processes are queried while waiting.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Address and state of an entry process; the state is `None` if the process did not answer.
#[derive(Clone, Debug)]
pub(crate) struct EntryState {
    pub(crate) address: SocketAddr,
    pub(crate) state: Option<NodeState>,
}

/// Returns the control addresses from the command line or, if there are none, from the host list.
pub(crate) async fn addresses(site: &Site) -> Result<Vec<SocketAddr>, Failure> {
    match site.nodes.is_empty() {
        false => Ok(site.nodes.clone()),
        true => {
            let listing = HttpPlatform::new(site.platform).list().await?;
            Ok(listing.nodes.into_iter().map(|node| node.address).collect())
        }
    }
}

/// Queries the state of every entry process.
pub(crate) async fn query_states(
    site: &Site,
    peers: &PeerClient,
) -> Result<Vec<EntryState>, Failure> {
    let mut entries = Vec::new();
    for address in addresses(site).await? {
        entries.push(EntryState { address, state: peers.state(address).await.ok() });
    }
    Ok(entries)
}

/// Waits until a version is in force on every entry process.
pub(crate) async fn wait_in_force(
    site: &Site,
    version: ConfigVersion,
    wait_s: u64,
) -> Result<(), Failure> {
    let peers = PeerClient::new();
    let deadline = Instant::now() + Duration::from_secs(wait_s);
    loop {
        let entries = query_states(site, &peers).await?;
        let in_force = entries.iter().filter(|entry| is_in_force(entry, version)).count();
        match () {
            () if entries.is_empty() => return Err(Failure::NoEntryAnswered),
            () if in_force == entries.len() => return Ok(()),
            () if Instant::now() >= deadline => {
                return Err(Failure::NotInForce { version, in_force, total: entries.len() });
            }
            () => sleep(POLL_INTERVAL).await,
        }
    }
}

fn is_in_force(entry: &EntryState, version: ConfigVersion) -> bool {
    entry.state.as_ref().is_some_and(|state| state.config_version >= version)
}
