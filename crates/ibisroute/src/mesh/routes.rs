//! Route lookup by host and path prefix, and the choice of a service on split routes.

use std::collections::BTreeMap;
use std::collections::HashMap;

use smol_str::SmolStr;

use crate::types::ByteSize;
use crate::types::ConfigVersion;
use crate::types::Millis;
use crate::types::ServiceName;

/// Whether the requests on a route may run more than once, and whether they have large bodies.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteKind {
    /// Requests that may run more than once, so that they can be retried at any time.
    Safe,
    /// Requests that must run at most once.
    Unsafe,
    /// Requests that must run at most once and have a large body.
    Upload,
}

impl RouteKind {
    /// Returns whether a request that may have run can be retried.
    pub fn is_retryable(self) -> bool {
        self == Self::Safe
    }
}

/// A service that receives a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct SplitPart {
    pub service: ServiceName,
    /// Share relative to the weights of the other parts; not negative.
    pub weight: f64,
}

/// Matching rule and request handling of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in a configuration.
    pub name: SmolStr,
    /// Host in lower case, without a port.
    pub host: SmolStr,
    /// Path prefix; starts and ends with a slash.
    pub prefix: SmolStr,
    pub kind: RouteKind,
    /// Maximum time from the arrival of a request to its final response.
    pub timeout: Millis,
    /// Latency objective: time within which a response should reach its caller.
    pub objective: Millis,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests; at least one has a positive weight.
    pub parts: Vec<SplitPart>,
    /// Maximum number of targets that a request is sent to.
    pub max_attempts: u32,
}

/// Limits on the requests and connections of callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Maximum size of a request head.
    pub header_bytes: ByteSize,
    /// Maximum size of a request body.
    pub body_bytes: ByteSize,
    /// Maximum time from the first byte of a request head to its last.
    pub header_timeout: Millis,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Millis,
}

impl Default for ClientLimits {
    /// Limits in effect until the node has received a configuration.
    fn default() -> Self {
        Self {
            header_bytes: ByteSize(16 * 1024),
            body_bytes: ByteSize(64 * 1024 * 1024),
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// A complete configuration, indexed for lookups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Version that the operator gave to the configuration.
    pub version: ConfigVersion,
    pub limits: ClientLimits,
    /// Services, each with the maximum number of connections to one of its targets if it is
    /// limited.
    pub services: BTreeMap<ServiceName, Option<u32>>,
    routes: Vec<Route>,
    /// Positions in `routes`, by host and path prefix.
    by_host: HashMap<SmolStr, HashMap<SmolStr, usize>>,
}

impl RouteTable {
    /// Indexes the routes of a validated configuration.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: BTreeMap<ServiceName, Option<u32>>,
        limits: ClientLimits,
    ) -> Self {
        let mut by_host: HashMap<SmolStr, HashMap<SmolStr, usize>> = HashMap::new();
        for (i, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().insert(route.prefix.clone(), i);
        }
        Self { version, limits, services, routes, by_host }
    }

    /// Returns the routes in the order of the configuration.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Returns the route of `host` with the longest prefix that matches `path`. A port in `host` is
    /// ignored; `path` may contain a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.by_host.get(host) {
            Some(prefixes) => prefixes,
            None => self.by_host.get(host.to_ascii_lowercase().as_str())?,
        };
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let mut segment_end = path.len();
        while let Some(slash) = path[..segment_end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return self.routes.get(*route);
            }
            segment_end = slash;
        }
        None
    }
}

/// Distributes the requests of split routes over their parts by smooth weighted round robin: after
/// any number of requests, the count of each part differs by at most one from its exact share.
#[derive(Debug, Default)]
pub struct SplitChooser {
    /// Round-robin credits of the parts of each split route, by route name.
    credits: HashMap<SmolStr, Vec<f64>>,
}

impl SplitChooser {
    /// Selects the service of the next request. `initial_position`, 0.0 to 1.0, is the point in the
    /// sequence of a route at which this node begins, so that nodes that start together do not all
    /// choose the same service for their n-th request.
    pub fn choose<'a>(
        &mut self,
        route: &'a Route,
        initial_position: f64,
    ) -> Option<&'a ServiceName> {
        if let [part] = route.parts.as_slice() {
            return Some(&part.service);
        }
        let total_weight: f64 = route.parts.iter().map(|p| p.weight).sum();
        let credits = self.credits.entry(route.name.clone()).or_default();
        if credits.len() != route.parts.len() {
            *credits = route.parts.iter().map(|p| p.weight * initial_position).collect();
        }
        for (credit, part) in credits.iter_mut().zip(&route.parts) {
            *credit += part.weight;
        }
        let best = (0..route.parts.len())
            .filter(|i| route.parts[*i].weight > 0.0)
            .max_by(|a, b| credits[*a].total_cmp(&credits[*b]))?;
        credits[best] -= total_weight;
        Some(&route.parts[best].service)
    }

    /// Removes the state of routes that are not in `table`.
    pub fn retain(&mut self, table: &RouteTable) {
        let route_names: std::collections::HashSet<&SmolStr> =
            table.routes.iter().map(|r| &r.name).collect();
        self.credits.retain(|name, _| route_names.contains(name));
    }
}
