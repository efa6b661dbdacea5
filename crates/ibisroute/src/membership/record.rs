//! Records of nodes and targets, and the view of them that other modules get.

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

/// Reachability of a node, in merge order.
pub type Status = StatusWire;

/// Life-cycle state of a target as its record tells it.
pub type TargetState = TargetStateWire;

/// Addresses of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Addresses {
    /// Control datagrams (UDP).
    pub control: SocketAddr,
    /// Calls and control requests of peers (TCP, `h2`).
    pub peer: SocketAddr,
    /// Callers (TCP, HTTP).
    pub caller: SocketAddr,
    /// Operators (TCP, HTTP).
    pub admin: SocketAddr,
}

/// Record of a node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Node id.
    pub node: NodeId,
    /// Start of the process in Unix milliseconds, raised to refute a suspicion.
    pub incarnation: u64,
    /// Rises with each change of the record by its owner.
    pub revision: u64,
    /// Reachability.
    pub status: Status,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Region.
    pub region: Region,
    /// Addresses.
    pub addresses: Addresses,
    /// Targets beside the node, sorted by instance.
    pub targets: Vec<TargetRecord>,
}

/// Record of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetRecord {
    /// Service.
    pub service: ServiceName,
    /// Version.
    pub version: VersionName,
    /// Run of the target.
    pub instance: InstanceId,
    /// Calls that it runs at a time.
    pub slots: u32,
    /// Life-cycle state.
    pub state: TargetState,
}

impl MemberRecord {
    /// Whether the node counts as reachable: alive, or suspected without proof.
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

/// All records that a node knows at one time, its own included.
#[derive(Clone, Debug, PartialEq)]
pub struct MemberView {
    /// This node.
    pub local: NodeId,
    /// Records sorted by node id; dead and left ones are kept for ten minutes.
    pub members: Vec<MemberRecord>,
}

impl MemberView {
    /// Reachable nodes, this one included.
    pub fn live(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.iter().filter(|m| m.is_live())
    }

    /// The record of a node.
    pub fn get(&self, node: &NodeId) -> Option<&MemberRecord> {
        self.members.binary_search_by(|m| m.node.cmp(node)).ok().map(|i| &self.members[i])
    }

    /// The `count` live nodes that own `key` by rendezvous hashing, best first. Nodes with the same
    /// view agree; a lost node moves only its own keys.
    pub fn owners(&self, key: &str, count: usize) -> Vec<&MemberRecord> {
        let mut ranked: Vec<(u64, &MemberRecord)> =
            self.live().map(|m| (rendezvous_weight(key, m.node.as_str()), m)).collect();
        ranked.sort_by(|a, b| b.0.cmp(&a.0).then_with(|| a.1.node.cmp(&b.1.node)));
        ranked.into_iter().take(count).map(|(_, m)| m).collect()
    }
}

/// Weight of `node` for `key`; equal on every host and release.
fn rendezvous_weight(key: &str, node: &str) -> u64 {
    let mut hasher = StableHasher::default();
    hasher.write(key.as_bytes());
    hasher.write(&[0]);
    hasher.write(node.as_bytes());
    hasher.finish()
}

/// FNV-1a with a final mix: stable over releases of the standard library, unlike its own hasher.
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
        let mut x = self.0;
        x = (x ^ (x >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
        x = (x ^ (x >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
        x ^ (x >> 33)
    }
}
