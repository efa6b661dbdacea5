//! A node beside a target on the users' platform.
//!
//! [`node`] wires one process together on one thread. The path of a request: [`http_server`] reads it,
//! [`proxy`] finds its route and `attempts` chooses a target, [`link`] carries it to the node beside the target,
//! [`local_target`] queues it and sends it. What the operator writes reaches the node through
//! [`store_watch`] or from peers and is kept in [`replicated_rows`].
//!
//! Decisions without I/O and clock: [`routes`], [`registry`], [`picker`], [`slot_queue`],
//! [`retry_budget`], [`target_health`], [`rollout`], [`replicated_rows`], [`http1`].

mod attempts;
pub mod byte_delta;
pub mod decision_log;
pub mod frames;
pub mod graceful_stop;
pub mod http1;
pub mod http_server;
pub mod link;
pub mod listeners;
pub mod local_target;
pub mod mesh_settings;
pub mod node;
pub mod outbox;
pub mod peers;
pub mod picker;
pub mod proxy;
pub mod registry;
pub mod replicated_rows;
pub mod retry_budget;
pub mod rollout;
pub mod rollout_driver;
pub mod routes;
pub mod run;
pub mod slot_queue;
pub mod socket;
pub mod store;
pub mod store_watch;
pub mod target_conn;
pub mod target_health;
