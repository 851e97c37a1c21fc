//! Client for the control interface of targets: grants, revocations and load reports.

mod client;
mod wire;

pub use client::{BackEndClient, GrantResult, HeldGrants, RevokeResult};
pub use wire::{
    ClockReading, GrantMessage, HeldHotKey, HeldSlot, LoadReport, RevocationMessage, TargetState,
};
