//! The immutable view that traffic threads read through one atomic pointer.

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

/// Everything a traffic thread needs to decide on a call.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// The configuration in force; `None` until the node knows its version floor. Calls are refused
    /// as "not run" until then.
    pub config: Option<Arc<CompiledCatalogue>>,
    /// Known targets of each service.
    pub endpoints: Arc<EndpointView>,
    /// State of each declared move.
    pub moves: Arc<BTreeMap<MoveId, MoveView>>,
    /// Whether the node is stopping and takes no new calls.
    pub draining: bool,
}

/// A catalogue compiled for matching. References are closed: each entry's service exists.
#[derive(Clone, Debug)]
pub struct CompiledCatalogue {
    /// Version and digest.
    pub head: Head,
    /// The checked catalogue.
    pub catalogue: Catalogue,
    /// Canonical bytes, whose digest is in `head`.
    pub bytes: Arc<[u8]>,
    /// Indexes into `catalogue.entries`, longest path first.
    by_path: Vec<usize>,
}

impl CompiledCatalogue {
    /// Compiles a checked catalogue.
    pub fn new(head: Head, catalogue: Catalogue, bytes: Arc<[u8]>) -> Self {
        let mut by_path: Vec<usize> = (0..catalogue.entries.len()).collect();
        by_path.sort_by_key(|i| std::cmp::Reverse(catalogue.entries[*i].path.len()));
        Self { head, catalogue, bytes, by_path }
    }

    /// The entry with the longest path that matches `path` at a segment border and allows `method`.
    pub fn match_entry(&self, method: &str, path: &str) -> Option<&Entry> {
        self.by_path
            .iter()
            .map(|i| &self.catalogue.entries[*i])
            .find(|e| matches_path(&e.path, path) && e.methods.iter().any(|m| m == method))
    }

    /// The service of that name.
    pub fn service(&self, name: &ServiceName) -> Option<&Service> {
        let services = &self.catalogue.services;
        services.binary_search_by(|s| s.name.cmp(name)).ok().map(|i| &services[i])
    }

    /// The entry of that name.
    pub fn entry(&self, name: &str) -> Option<&Entry> {
        let entries = &self.catalogue.entries;
        entries.binary_search_by(|e| e.name.as_str().cmp(name)).ok().map(|i| &entries[i])
    }

    /// The move that is declared for a service.
    pub fn move_of(&self, service: &ServiceName) -> Option<&Move> {
        self.catalogue.moves.iter().find(|m| &m.service == service)
    }
}

fn matches_path(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || prefix.ends_with('/') || rest.starts_with('/')
}

/// The targets that the node knows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointView {
    /// Endpoints by service.
    pub services: BTreeMap<ServiceName, ServiceEndpoints>,
}

/// The targets of one service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ServiceEndpoints {
    /// Targets that may get new calls, sorted by instance.
    pub ready: Vec<Endpoint>,
    /// Targets seen in the last ten minutes, lost ones included; at least the number of ready ones.
    /// Fleet-wide limits are divided by it.
    pub known: u32,
}

/// One target and the node beside it.
#[derive(Clone, Debug, PartialEq)]
pub struct Endpoint {
    /// The run of the target.
    pub instance: InstanceId,
    /// The version it runs.
    pub version: VersionName,
    /// The node beside it.
    pub node: NodeId,
    /// Address of that node for calls (`h2`).
    pub peer_addr: SocketAddr,
    /// Data centre of that node.
    pub data_centre: DataCentre,
    /// Calls that the target runs at a time.
    pub slots: u32,
    /// Whether the target is beside this node.
    pub local: bool,
}

/// What the traffic threads need to know of a move.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MoveView {
    /// Share of the service's calls for the new version, as a fraction from 0.0 to 1.0.
    pub share: f64,
    /// Upper limit of this node's calls a second to the new version; `None` when only the share
    /// counts.
    pub max_rate: Option<f64>,
    /// Whether the new version is withdrawn; overrides the share.
    pub withdrawn: bool,
}
