//! Request handlers for heartbeats of the target, readiness checks and metrics.

use std::rc::Rc;

use metrics_exporter_prometheus::PrometheusHandle;

use super::decision_log::LineClass;
use super::http_server::Handler;
use super::http_server::Request;
use super::http_server::Response;
use super::http1::RequestHead;
use super::node::Node;
use super::registry::HeartbeatOutcome;
use super::routes::ClientLimits;
use crate::events::mesh as codes;
use crate::platform::headers;
use crate::platform::heartbeat;
use crate::types::ByteSize;
use crate::types::InstanceId;
use crate::types::UnixMillis;

/// Maximum size of the body of a heartbeat, a leave announcement, a readiness check or a scrape.
const MAX_CONTROL_BODY: ByteSize = ByteSize(64 * 1024);

fn control_limits() -> ClientLimits {
    ClientLimits { body_bytes: MAX_CONTROL_BODY, ..ClientLimits::default() }
}

/// Handles the heartbeats and leave announcements of the target next to the node.
pub struct Heartbeats {
    pub node: Rc<Node>,
}

impl Heartbeats {
    fn apply_heartbeat(&self, id: InstanceId, body: &[u8]) -> Response {
        let node = &self.node;
        let now = node.clock.now();
        let heartbeat = match heartbeat::decode(body) {
            Ok(heartbeat) => heartbeat,
            Err(e) => {
                let fields = [("target", id.as_str().into()), ("error", e.to_string().into())];
                node.log.line(now, LineClass::Other, &codes::HEARTBEAT_REFUSED, &fields);
                return Response::status(400);
            }
        };
        let fields = [
            ("target", id.as_str().into()),
            ("service", heartbeat.service.as_str().into()),
            ("version", heartbeat.version.as_str().into()),
            ("slots", heartbeat.slots.into()),
            ("born", heartbeat.born.0.into()),
            ("sequence", heartbeat.sequence.into()),
        ];
        let code = match node.target.apply_heartbeat(id, heartbeat) {
            HeartbeatOutcome::Refreshed => None,
            HeartbeatOutcome::Stale => Some(&codes::HEARTBEAT_STALE),
            HeartbeatOutcome::Started => Some(&codes::TARGET_STARTED),
            HeartbeatOutcome::Updated => Some(&codes::TARGET_UPDATED),
            HeartbeatOutcome::Leaving => Some(&codes::TARGET_LEAVING),
        };
        if let Some(code) = code {
            node.log.line(now, LineClass::Other, code, &fields);
            node.update_evidence_collection();
            node.status_changed.notify_one();
        }
        acknowledgement()
    }

    fn apply_leave(&self, id: &InstanceId, body: &[u8]) -> Response {
        let node = &self.node;
        if node.target.apply_leave(id, heartbeat::decode_leave(body), UnixMillis::now()) {
            let fields = [("target", id.as_str().into()), ("left", true.into())];
            node.log.line(node.clock.now(), LineClass::Other, &codes::TARGET_LEAVING, &fields);
            node.status_changed.notify_one();
        }
        acknowledgement()
    }
}

fn acknowledgement() -> Response {
    let mut response = Response::status(200).with_header("Content-Type", "application/json");
    response.body = "{}".into();
    response
}

impl Handler for Heartbeats {
    fn limits(&self) -> ClientLimits {
        control_limits()
    }

    fn refuse_early(&self, _head: &RequestHead) -> Option<Response> {
        None
    }

    async fn handle(self: Rc<Self>, req: Request) -> Response {
        let path = req.head.target.split('?').next().unwrap_or_default();
        let Some(id) = heartbeat::instance_of_path(path) else { return Response::status(404) };
        match req.head.method.as_str() {
            "PUT" => self.apply_heartbeat(id, &req.body),
            "DELETE" => self.apply_leave(&id, &req.body),
            _ => Response::status(405),
        }
    }

    fn is_closing(&self) -> bool {
        false
    }
}

/// Responds to the platform's readiness checks.
pub struct Readiness {
    pub node: Rc<Node>,
}

impl Handler for Readiness {
    fn limits(&self) -> ClientLimits {
        control_limits()
    }

    fn refuse_early(&self, _head: &RequestHead) -> Option<Response> {
        None
    }

    async fn handle(self: Rc<Self>, req: Request) -> Response {
        match (req.head.target.as_str(), self.node.is_ready()) {
            (headers::READY_PATH, true) => Response::status(200),
            (headers::READY_PATH, false) => Response::status(503),
            _ => Response::status(404),
        }
    }

    fn is_closing(&self) -> bool {
        false
    }
}

/// Serves the metrics in the text format of Prometheus.
pub struct Metrics {
    pub recorder: PrometheusHandle,
    pub node: Rc<Node>,
}

impl Handler for Metrics {
    fn limits(&self) -> ClientLimits {
        control_limits()
    }

    fn refuse_early(&self, _head: &RequestHead) -> Option<Response> {
        None
    }

    async fn handle(self: Rc<Self>, _req: Request) -> Response {
        let load = self.node.target.load();
        metrics::gauge!("ibis_target_running").set(f64::from(load.running));
        metrics::gauge!("ibis_target_waiting").set(f64::from(load.waiting));
        metrics::gauge!("ibis_peers_reached").set(self.node.peers.reachable_count() as f64 - 1.0);
        let mut response =
            Response::status(200).with_header("Content-Type", "text/plain; version=0.0.4");
        response.body = self.recorder.render().into();
        response
    }

    fn is_closing(&self) -> bool {
        false
    }
}
