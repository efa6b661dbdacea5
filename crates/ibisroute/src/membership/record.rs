//! Records of nodes and targets, and the view of all records that other modules receive.

use std::hash::Hasher;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::types::DataCentre;
use crate::types::InstanceId;
use crate::types::NodeId;
use crate::types::ParseError;
use crate::types::Region;
use crate::types::ServiceName;
use crate::types::VersionName;
use crate::wire::MemberRecordWire;
use crate::wire::StatusWire;
use crate::wire::TargetRecordWire;
use crate::wire::TargetStateWire;

/// Reachability of a node. Of two records with the same incarnation and revision the one with the
/// later variant wins.
pub type Status = StatusWire;

/// Life-cycle state of a target in its record.
pub type TargetState = TargetStateWire;

/// Addresses at which a node is reachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Receives control datagrams (UDP).
    pub control: SocketAddr,
    /// Serves calls and control requests of peers (TCP, `h2`).
    pub peer: SocketAddr,
    /// Serves callers (TCP, HTTP).
    pub caller: SocketAddr,
    /// Serves operators (TCP, HTTP).
    pub admin: SocketAddr,
}

/// Membership record of a node and its targets, disseminated by gossip.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    pub node: NodeId,
    /// Start time of the process in Unix milliseconds, or a higher number if the node has refuted a
    /// record that superseded its own.
    pub incarnation: u64,
    /// Increases with each change that the node itself makes to its record, but not with a change
    /// of its status by a peer.
    pub revision: u64,
    pub status: Status,
    pub data_centre: DataCentre,
    pub region: Region,
    pub addresses: Addresses,
    /// Targets on the same host, sorted by instance.
    pub targets: Vec<TargetRecord>,
}

/// Record of a target, part of the record of its node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    pub service: ServiceName,
    pub version: VersionName,
    /// Identifies one incarnation of the target process.
    pub instance: InstanceId,
    /// Number of calls that the target runs concurrently.
    pub slots: u32,
    pub state: TargetState,
}

impl MemberRecord {
    /// Returns whether the node counts as reachable, that is, alive or suspected but not yet
    /// declared dead.
    pub fn is_live(&self) -> bool {
        matches!(self.status, Status::Alive | Status::Suspect)
    }
}

impl From<&MemberRecord> for MemberRecordWire {
    fn from(record: &MemberRecord) -> Self {
        Self {
            node: record.node.clone().into(),
            incarnation: record.incarnation,
            revision: record.revision,
            status: record.status,
            data_centre: record.data_centre.clone().into(),
            region: record.region.clone().into(),
            control_addr: record.addresses.control,
            peer_addr: record.addresses.peer,
            caller_addr: record.addresses.caller,
            admin_addr: record.addresses.admin,
            targets: record.targets.iter().map(TargetRecordWire::from).collect(),
        }
    }
}

impl From<&TargetRecord> for TargetRecordWire {
    fn from(target: &TargetRecord) -> Self {
        Self {
            service: target.service.clone().into(),
            version: target.version.clone().into(),
            instance: target.instance.clone().into(),
            slots: target.slots,
            state: target.state,
        }
    }
}

impl TryFrom<MemberRecordWire> for MemberRecord {
    type Error = ParseError;

    fn try_from(wire: MemberRecordWire) -> Result<Self, ParseError> {
        let targets: Result<Vec<_>, _> =
            wire.targets.into_iter().map(TargetRecord::try_from).collect();
        let mut targets = targets?;
        targets.sort_by(|a, b| a.instance.cmp(&b.instance));
        Ok(Self {
            node: wire.node.try_into()?,
            incarnation: wire.incarnation,
            revision: wire.revision,
            status: wire.status,
            data_centre: wire.data_centre.try_into()?,
            region: wire.region.try_into()?,
            addresses: Addresses {
                control: wire.control_addr,
                peer: wire.peer_addr,
                caller: wire.caller_addr,
                admin: wire.admin_addr,
            },
            targets,
        })
    }
}

impl TryFrom<TargetRecordWire> for TargetRecord {
    type Error = ParseError;

    fn try_from(wire: TargetRecordWire) -> Result<Self, ParseError> {
        Ok(Self {
            service: wire.service.try_into()?,
            version: wire.version.try_into()?,
            instance: wire.instance.try_into()?,
            slots: wire.slots,
            state: wire.state,
        })
    }
}

/// All records that a node knows at one time, including its own.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// The node that holds this view.
    pub local: NodeId,
    /// Sorted by node id. Records of dead and left nodes are kept for `dead_keep_ms`, ten minutes
    /// by default.
    pub members: Vec<MemberRecord>,
}

impl MemberView {
    /// Returns the records of all reachable nodes, including this one.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().filter(|m| m.is_live())
    }

    /// Returns the record of a node, or `None` when it is unknown.
    pub fn get(&self, node: &NodeId) -> Option<&MemberRecord> {
        self.members.binary_search_by(|m| m.node.cmp(node)).ok().map(|i| &self.members[i])
    }

    /// Returns the `count` live nodes that own `key` by rendezvous hashing, highest weight first.
    /// Nodes with the same view agree on the owners, and the loss of a node moves only its own
    /// keys.
    pub fn owners(&self, key: &str, count: usize) -> Vec<&MemberRecord> {
        let mut ranked: Vec<(u64, &MemberRecord)> =
            self.live().map(|m| (rendezvous_weight(key, m.node.as_str()), m)).collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.node.cmp(&b.1.node)));
        ranked.into_iter().take(count).map(|(_, m)| m).collect()
    }
}

/// Returns the weight of `node` for `key`, which is the same on every host and in every release.
fn rendezvous_weight(key: &str, node: &str) -> u64 {
    let mut hasher = StableHasher::default();
    hasher.write(key.as_bytes());
    hasher.write(&[0]);
    hasher.write(node.as_bytes());
    hasher.finish()
}

/// FNV-1a hash with a finalizer. Unlike the hasher of the standard library it is stable across
/// releases.
#[derive(Clone, Copy)]
pub struct StableHasher(u64);

impl Default for StableHasher {
    fn default() -> Self {
        Self(0xcbf2_9ce4_8422_2325)
    }
}

impl Hasher for StableHasher {
    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = (self.0 ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }

    fn finish(&self) -> u64 {
        let mut hash = self.0;
        hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        hash ^ (hash >> 33)
    }
}
