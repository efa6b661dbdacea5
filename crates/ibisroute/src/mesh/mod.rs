//! A node of the service mesh, which runs next to a target on the platform.
//!
//! [`node`] holds the state of one process, which runs on one thread. The path of a request:
//! [`http_server`] reads it, [`proxy`] finds its route, `attempts` chooses a target, [`link`] carries
//! it to the node next to the target, and [`local_target`] queues it and sends it to the target. Rows
//! that the operator writes reach the node through [`store_watch`] or from peers, and
//! [`replicated_rows`] holds them.
//!
//! These modules use neither I/O nor a clock: [`routes`], [`registry`], [`picker`], [`slot_queue`],
//! [`retry_budget`], [`target_health`], [`rollout`], [`replicated_rows`], [`byte_delta`], [`http1`],
//! [`graceful_stop`], [`byte_budget`].

mod attempts;
pub mod byte_budget;
pub mod byte_delta;
pub mod decision_log;
pub mod dissemination;
pub mod evidence;
pub mod frames;
pub mod graceful_stop;
pub mod http1;
pub mod http_server;
pub mod link;
pub mod listeners;
pub mod local_target;
pub mod mesh_settings;
pub mod node;
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
pub mod send_queue;
pub mod slot_queue;
pub mod socket;
pub mod store;
pub mod store_watch;
pub mod target_conn;
pub mod target_health;
pub mod version_fault;
