//! Relays that inject network faults between nodes, and between a node and the platform or its
//! targets.
//!
//! They are implemented on `tokio` sockets because the `noxious` core library lacks three features:
//!
//! - Its toxics apply to all connections of a proxy, so it cannot silence the existing ones while
//!   new ones work.
//! - Its upstream address is fixed when the proxy is created. A relay has to exist before its node
//!   is started, because the node's settings contain the relay's address.
//! - It has no rules by source IP and no UDP, which a partition between data centres needs.

mod tcp;
mod udp;

pub use tcp::TcpRelay;
pub use tcp::TcpRules;
pub use udp::UdpCounters;
pub use udp::UdpRelay;
pub use udp::UdpRules;
