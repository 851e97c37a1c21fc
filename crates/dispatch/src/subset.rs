//! Subsetting of the targets of large back ends.

use std::cmp::Reverse;

use wagtailmoor_core::{NodeId, ZoneId, rendezvous_score};

use crate::Member;

/// One in this many members of a subset is from another zone, so that requests can spill over.
const REMOTE_SHARE: usize = 4;

/// Returns at most `size` members for a node to use, selected by rendezvous hashing.
///
/// Members in the node's zone are preferred, but a quarter of the subset is from other zones.
pub fn subset(node: &NodeId, zone: &ZoneId, members: Vec<Member>, size: usize) -> Vec<Member> {
    let node_hash = rendezvous_score(0, node.as_str());
    let (mut local, mut remote): (Vec<_>, Vec<_>) =
        members.into_iter().partition(|member| member.zone == *zone);
    for group in [&mut local, &mut remote] {
        group.sort_by_key(|member| Reverse(rendezvous_score(node_hash, member.target.as_str())));
    }
    let remaining = size.saturating_sub(local.len());
    let remote_count = remote.len().min(remaining.max(size / REMOTE_SHARE));
    local.truncate(size.saturating_sub(remote_count));
    local.extend(remote.into_iter().take(remote_count));
    local
}
