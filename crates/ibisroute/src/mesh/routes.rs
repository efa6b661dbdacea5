//! Routes by host and prefix, and the choice among the services of a split.

use std::collections::BTreeMap;
use std::collections::HashMap;

use smol_str::SmolStr;

use crate::types::ByteSize;
use crate::types::ConfigVersion;
use crate::types::Millis;
use crate::types::ServiceName;

/// What a request allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// May run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// Runs at most once and carries a large body.
    Upload,
}

impl Kind {
    /// Whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        self == Self::Safe
    }
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The service.
    pub service: ServiceName,
    /// Share relative to the other parts.
    pub weight: f64,
}

/// A route.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name, unique in a configuration.
    pub name: SmolStr,
    /// Host in lower case, without a port.
    pub host: SmolStr,
    /// Path prefix; begins and ends with a slash.
    pub prefix: SmolStr,
    /// What its requests allow.
    pub kind: Kind,
    /// Longest time from the arrival of a request to its final answer.
    pub timeout: Millis,
    /// Time within which an answer is of full use.
    pub aim: Millis,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services that share the requests; at least one has a positive weight.
    pub parts: Vec<Part>,
    /// Most targets that one request may be sent to.
    pub max_attempts: u32,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientLimits {
    /// Longest head of a request.
    pub header_bytes: ByteSize,
    /// Longest body of a request.
    pub body_bytes: ByteSize,
    /// Longest time from the first byte of a head to its last.
    pub header_timeout: Millis,
    /// Time after which an idle connection is closed.
    pub idle_timeout: Millis,
}

impl Default for ClientLimits {
    /// In force until a configuration arrives.
    fn default() -> Self {
        Self {
            header_bytes: ByteSize(16 * 1024),
            body_bytes: ByteSize(64 * 1024 * 1024),
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// A whole configuration, ready for look-ups.
#[derive(Clone, Debug)]
pub struct RouteTable {
    /// Version of the operator.
    pub version: ConfigVersion,
    /// Limits on callers.
    pub limits: ClientLimits,
    /// Services, with the connections that each of their targets accepts.
    pub services: BTreeMap<ServiceName, Option<u32>>,
    routes: Vec<Route>,
    by_prefix: HashMap<SmolStr, HashMap<SmolStr, usize>>,
}

impl RouteTable {
    /// Indexes the routes of a checked configuration.
    pub fn new(
        version: ConfigVersion,
        routes: Vec<Route>,
        services: BTreeMap<ServiceName, Option<u32>>,
        limits: ClientLimits,
    ) -> Self {
        let mut by_prefix: HashMap<SmolStr, HashMap<SmolStr, usize>> = HashMap::new();
        for (i, route) in routes.iter().enumerate() {
            by_prefix.entry(route.host.clone()).or_default().insert(route.prefix.clone(), i);
        }
        Self { version, limits, services, routes, by_prefix }
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// The route with the longest prefix of `path` among those of `host`. A port in `host` is
    /// ignored; `path` may carry a query.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let prefixes = match self.by_prefix.get(host) {
            Some(prefixes) => prefixes,
            None => self.by_prefix.get(host.to_ascii_lowercase().as_str())?,
        };
        let path = path.split(['?', '#']).next().unwrap_or(path);
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(route) = prefixes.get(&path[..=slash]) {
                return self.routes.get(*route);
            }
            end = slash;
        }
        None
    }
}

/// Spreads the requests of split routes over their parts by smooth weighted round robin: after any
/// few requests the shares are within one request of the weights.
#[derive(Debug, Default)]
pub struct SplitChooser {
    credits: HashMap<SmolStr, Vec<f64>>,
}

impl SplitChooser {
    /// Chooses the service of the next request. `start`, 0.0 to 1.0, places the first choice of a
    /// route, so that nodes that start together do not choose in step.
    pub fn choose<'a>(&mut self, route: &'a Route, start: f64) -> Option<&'a ServiceName> {
        if let [part] = route.parts.as_slice() {
            return Some(&part.service);
        }
        let total: f64 = route.parts.iter().map(|p| p.weight).sum();
        let credits = self.credits.entry(route.name.clone()).or_default();
        if credits.len() != route.parts.len() {
            *credits = route.parts.iter().map(|p| p.weight * start).collect();
        }
        for (credit, part) in credits.iter_mut().zip(&route.parts) {
            *credit += part.weight;
        }
        let best = (0..route.parts.len())
            .filter(|i| route.parts[*i].weight > 0.0)
            .max_by(|a, b| credits[*a].total_cmp(&credits[*b]))?;
        credits[best] -= total;
        Some(&route.parts[best].service)
    }

    /// Forgets routes that a configuration no longer has.
    pub fn retain(&mut self, table: &RouteTable) {
        let names: std::collections::HashSet<&SmolStr> =
            table.routes.iter().map(|r| &r.name).collect();
        self.credits.retain(|name, _| names.contains(name));
    }
}
