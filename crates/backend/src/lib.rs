//! Client for the control interface of targets: grants, revocations and load reports.

mod client;
mod wire;

pub use client::{GrantResult, HeldGrants, RevokeResult, TargetClient};
pub use wire::{
    ClockReading, GrantMessage, HeldHotKey, HeldSlot, LoadReport, RevocationMessage, TargetState,
};
