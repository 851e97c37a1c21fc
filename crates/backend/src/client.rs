//! The HTTP client for the control interface of targets.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::Serialize;
use wagtailmoor_core::{Epoch, Generation, KeyHash, SlotId};
use wagtailmoor_store::{JsonClient, JsonResponse};

use crate::wire::{GenerationReply, GrantRejection, GrantReply, HeldGrantsReply};
use crate::{ClockReading, GrantMessage, HeldHotKey, HeldSlot, LoadReport, RevocationMessage};

/// Below the renewal interval of grants, so that an unresponsive target does not delay the grants
/// of other targets.
const GRANT_TIMEOUT: Duration = Duration::from_millis(180);

/// Longer than the grant timeout, because a target answers a revocation only after the last
/// request on the revoked slots has ended.
const REVOKE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Result of sending a grant to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GrantResult {
    /// The target accepted the grant except for the slots and hot keys listed here, each with the
    /// highest epoch that the target has seen for it.
    Accepted {
        /// Slots that the target refused.
        refused: Vec<(SlotId, Epoch)>,
        /// Hot keys that the target refused.
        refused_hot_keys: Vec<(KeyHash, Epoch)>,
        /// Clock of the target when it handled the grant.
        clock: Option<ClockReading>,
    },
    /// The target refused the whole grant: the lease had expired on its clock or was meant for
    /// another incarnation, or the target does not know the grant to be renewed.
    Rejected {
        /// Whether the target does not know the grant to be renewed.
        unknown: bool,
        /// Clock of the target when it handled the grant.
        clock: Option<ClockReading>,
    },
    /// The message was sent under an old generation; the target follows this higher one.
    StaleGeneration(Generation),
    /// There was no usable reply; the target may have accepted the grant.
    Unknown,
}

/// Result of sending a revocation to a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RevokeResult {
    /// The target runs no request on the revoked slots and admits none.
    Acknowledged,
    /// The message was sent under an old generation; the target follows this higher one.
    StaleGeneration(Generation),
    /// There was no usable reply; the target may have stopped serving the slots.
    Unknown,
}

/// Grants that a target holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldGrants {
    /// Highest controller generation that the target has seen.
    pub generation: Generation,
    /// Slots with epoch and remaining lease.
    pub slots: Vec<HeldSlot>,
    /// Hot keys with epoch and remaining lease.
    pub hot_keys: Vec<HeldHotKey>,
    /// Keys that the held slots do not cover, in ascending order.
    pub split_keys: Vec<KeyHash>,
    /// Clock of the target when it replied.
    pub clock: Option<ClockReading>,
}

/// Sends control requests to targets.
#[derive(Clone, Debug)]
pub struct TargetClient {
    grants: JsonClient,
    revocations: JsonClient,
}

impl Default for TargetClient {
    fn default() -> Self {
        Self::new()
    }
}

impl TargetClient {
    /// Creates a client without connections; they are opened when first used.
    pub fn new() -> Self {
        Self {
            grants: JsonClient::new(GRANT_TIMEOUT),
            revocations: JsonClient::new(REVOKE_TIMEOUT),
        }
    }

    /// Grants slots and hot keys to a target, or renews an earlier grant.
    pub async fn grant(&self, target: SocketAddr, message: &GrantMessage) -> GrantResult {
        match post(&self.grants, target, "/wagtailmoor/grants", message).await {
            Some(response) if response.status == StatusCode::OK => {
                let body: GrantReply = response.decode().unwrap_or_default();
                GrantResult::Accepted {
                    refused: body.refused,
                    refused_hot_keys: body.refused_hot_keys,
                    clock: body.clock,
                }
            }
            Some(response) if response.status == StatusCode::GONE => {
                let body: GrantRejection = response.decode().unwrap_or_default();
                GrantResult::Rejected { unknown: body.unknown, clock: body.clock }
            }
            Some(response) => higher_generation(&response)
                .map_or(GrantResult::Unknown, GrantResult::StaleGeneration),
            None => GrantResult::Unknown,
        }
    }

    /// Revokes slots and hot keys and waits until their requests have ended.
    pub async fn revoke(&self, target: SocketAddr, message: &RevocationMessage) -> RevokeResult {
        match post(&self.revocations, target, "/wagtailmoor/revocations", message).await {
            Some(response) if response.status == StatusCode::OK => RevokeResult::Acknowledged,
            Some(response) => higher_generation(&response)
                .map_or(RevokeResult::Unknown, RevokeResult::StaleGeneration),
            None => RevokeResult::Unknown,
        }
    }

    /// Returns the grants that a target holds, or `None` if there is no usable reply.
    pub async fn held_grants(&self, target: SocketAddr) -> Option<HeldGrants> {
        let body: HeldGrantsReply = self.get(target, "/wagtailmoor/grants").await?;
        let HeldGrantsReply { generation, slots, hot_keys, split_keys, clock } = body;
        Some(HeldGrants { generation, slots, hot_keys, split_keys, clock })
    }

    /// Returns the load that a target reports, or `None` if there is no usable reply.
    pub async fn load(&self, target: SocketAddr) -> Option<LoadReport> {
        self.get(target, "/wagtailmoor/load").await
    }

    async fn get<T: serde::de::DeserializeOwned>(
        &self,
        target: SocketAddr,
        path: &str,
    ) -> Option<T> {
        match self.grants.get(target, path).await {
            Ok(response) if response.status == StatusCode::OK => response.decode().ok(),
            _ => None,
        }
    }
}

async fn post<T: Serialize>(
    client: &JsonClient,
    target: SocketAddr,
    path: &str,
    message: &T,
) -> Option<JsonResponse> {
    client.send_json(Method::POST, target, path, message).await.ok()
}

fn higher_generation(response: &JsonResponse) -> Option<Generation> {
    match response.status {
        StatusCode::CONFLICT => response.decode().ok().map(|body: GenerationReply| body.generation),
        _ => None,
    }
}
