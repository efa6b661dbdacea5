//! Immutable view of the state of the node, which traffic threads read through one atomic pointer.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::catalogue::model::Catalogue;
use crate::catalogue::model::Entry;
use crate::catalogue::model::Move;
use crate::catalogue::model::Service;
use crate::types::DataCentre;
use crate::types::Head;
use crate::types::InstanceId;
use crate::types::MoveId;
use crate::types::NodeId;
use crate::types::ServiceName;
use crate::types::VersionName;

/// All state that a traffic thread needs to route a call.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Configuration in effect; `None` until the node knows its version floor, which is the lowest
    /// version that it may put into effect. Until then calls are refused as "not run".
    pub config: Option<Arc<CompiledCatalogue>>,
    /// Targets of each service.
    pub endpoints: Arc<EndpointView>,
    /// State of each move.
    pub moves: Arc<BTreeMap<MoveId, MoveView>>,
    /// Whether the node is shutting down and accepts no new calls.
    pub draining: bool,
}

/// Validated catalogue with an index for matching calls to entries. The service of each entry is
/// declared in the same catalogue.
#[derive(Clone, Debug)]
pub struct CompiledCatalogue {
    pub head: Head,
    /// The validated catalogue.
    pub catalogue: Catalogue,
    /// Canonical bytes of the catalogue; `head` has their digest.
    pub bytes: Arc<[u8]>,
    /// Indexes into `catalogue.entries`, entries with the longest path first.
    entry_indexes_by_path: Vec<usize>,
}

impl CompiledCatalogue {
    /// Builds the path index of a validated catalogue, whose canonical form is `bytes`.
    pub fn new(head: Head, catalogue: Catalogue, bytes: Arc<[u8]>) -> Self {
        let mut entry_indexes_by_path: Vec<usize> = (0..catalogue.entries.len()).collect();
        entry_indexes_by_path.sort_by_key(|i| std::cmp::Reverse(catalogue.entries[*i].path.len()));
        Self { head, catalogue, bytes, entry_indexes_by_path }
    }

    /// Returns the entry with the longest path that is a prefix of `path`, ends at a segment
    /// boundary, and allows `method`.
    pub fn match_entry(&self, method: &str, path: &str) -> Option<&Entry> {
        self.entry_indexes_by_path
            .iter()
            .map(|i| &self.catalogue.entries[*i])
            .find(|e| matches_path_prefix(&e.path, path) && e.methods.iter().any(|m| m == method))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let services = &self.catalogue.services;
        services.binary_search_by(|s| s.name.cmp(name)).ok().map(|i| &services[i])
    }

    /// Returns the entry with this name.
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        let entries = &self.catalogue.entries;
        entries.binary_search_by(|e| e.name.as_str().cmp(name)).ok().map(|i| &entries[i])
    }

    /// Returns the move declared for a service.
    pub fn move_for_service(&self, service: &ServiceName) -> Option<&Move> {
        self.catalogue.moves.iter().find(|m| &m.service == service)
    }
}

/// Whether `prefix` is a prefix of `path` that ends at a segment boundary.
fn matches_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

/// Targets known to the node.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointView {
    pub services: BTreeMap<ServiceName, ServiceEndpoints>,
}

/// Targets of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceEndpoints {
    /// Targets that may receive new calls, sorted by instance.
    pub ready: Vec<Endpoint>,
    /// Number of targets seen within `membership.dead_keep_ms` (ten minutes by default), including
    /// those lost since; at least the number of ready ones. Fleet-wide limits are divided by this
    /// number.
    pub recent_target_count: u32,
}

/// A target and the node on its host.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// Incarnation of the target process.
    pub instance: InstanceId,
    /// Version that the target runs.
    pub version: VersionName,
    /// Node on the host of the target.
    pub node: NodeId,
    /// Address at which that node accepts calls from peers (TCP, HTTP/2).
    pub peer_addr: SocketAddr,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Number of calls that the target processes concurrently.
    pub slots: u32,
    /// Whether the target is on the host of the node that owns this snapshot.
    pub local: bool,
}

/// The part of the state of a move that routing needs.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MoveView {
    /// Share of the calls of the service that go to the new version, from 0.0 to 1.0.
    pub share: f64,
    /// Largest number of calls per second that this node sends to the new version; `None` when only
    /// the share limits them.
    pub max_calls_per_s: Option<f64>,
    /// Whether the new version is withdrawn; overrides `share`.
    pub withdrawn: bool,
}
