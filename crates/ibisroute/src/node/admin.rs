//! HTTP servers for operators (`listen.admin`) and for the targets on this host (`listen.targets`).

use std::net::TcpListener;

use actix::Addr;
use actix_web::App;
use actix_web::HttpResponse;
use actix_web::HttpServer;
use actix_web::dev::ServerHandle;
use actix_web::error::InternalError;
use actix_web::error::JsonPayloadError;
use actix_web::http::StatusCode;
use actix_web::web;
use eyre::WrapErr;
use metrics_exporter_prometheus::PrometheusBuilder;
use metrics_exporter_prometheus::PrometheusHandle;
use serde::Deserialize;
use serde::Serialize;
use tokio::sync::oneshot;

use super::control::ControlActors;
use super::control_handle::ControlWork;
use super::control_handle::LeaveReply;
use super::control_handle::TargetAnnouncement;
use super::run::NodeContext;
use super::status::node_state;
use super::status::status_report;
use super::targets::QueryTargets;
use crate::ctl::admin_model::EventsReport;
use crate::ctl::admin_model::MembersReport;
use crate::ctl::admin_model::NodeState;
use crate::ctl::admin_model::StatusReport;
use crate::distribution::actor::QueryDistribution;
use crate::events;
use crate::membership::actor::QueryMembers;
use crate::moves::actor::QueryMoves;
use crate::report::actor::BurnActor;
use crate::report::actor::QueryBurn;
use crate::traffic::DispatchHandle;
use crate::types::InstanceId;
use crate::types::Millis;

/// Number of threads of each server; both servers receive few requests.
const WORKERS_PER_SERVER: usize = 1;

/// Interval at which the metrics recorder drops old samples.
const METRICS_UPKEEP_PERIOD: Millis = Millis(5000);

/// State shared by the request handlers of both servers.
#[derive(Clone)]
pub struct AdminState {
    pub cx: NodeContext,
    pub actors: ControlActors,
    pub burn: Addr<BurnActor>,
    pub dispatch: DispatchHandle,
}

/// The running operator and target servers.
pub struct HttpServers {
    server_handles: Vec<ServerHandle>,
}

impl HttpServers {
    /// Stops both servers without waiting for requests in progress.
    pub async fn stop(self) {
        for handle in self.server_handles {
            handle.stop(false).await;
        }
    }
}

/// Body of an error response: `{"error": "..."}`.
#[derive(Debug, Serialize)]
struct ErrorBody {
    error: String,
}

fn error_response(status: StatusCode, error: impl ToString) -> HttpResponse {
    HttpResponse::build(status).json(ErrorBody { error: error.to_string() })
}

/// Returns the response to a request that arrives after the control thread has ended, shortly
/// before the process ends.
fn node_stopping_response(_: impl std::error::Error) -> HttpResponse {
    error_response(StatusCode::SERVICE_UNAVAILABLE, "the node is stopping")
}

/// Starts both servers. Must be called within an actix system.
pub fn start(
    admin: AdminState,
    operator_listener: TcpListener,
    target_listener: TcpListener,
) -> eyre::Result<HttpServers> {
    let metrics = PrometheusBuilder::new().install_recorder().wrap_err("metrics recorder")?;
    actix::spawn(run_metrics_upkeep(metrics.clone()));
    let operator_data = web::Data::new(admin.clone());
    let metrics_data = web::Data::new(metrics);
    let operator_server = HttpServer::new(move || {
        App::new()
            .app_data(operator_data.clone())
            .app_data(metrics_data.clone())
            .route("/status", web::get().to(status))
            .route("/members", web::get().to(members))
            .route("/moves", web::get().to(moves))
            .route("/metrics", web::get().to(render_metrics))
            .route("/report/burn", web::get().to(burn_report))
            .route("/events", web::get().to(recent_events))
            .route("/ready", web::get().to(ready))
            .route("/drain", web::post().to(drain))
    })
    .workers(WORKERS_PER_SERVER)
    .disable_signals()
    .listen(operator_listener)
    .wrap_err("admin listener")?
    .run();
    let target_data = web::Data::new(admin);
    let target_server = HttpServer::new(move || {
        App::new()
            .app_data(target_data.clone())
            .app_data(web::JsonConfig::default().error_handler(|e, _| invalid_json_error(e)))
            .route("/targets/announce", web::post().to(announce_target))
            .route("/targets/leave", web::post().to(leave_target))
    })
    .workers(WORKERS_PER_SERVER)
    .disable_signals()
    .listen(target_listener)
    .wrap_err("targets listener")?
    .run();
    let server_handles = vec![operator_server.handle(), target_server.handle()];
    actix::spawn(operator_server);
    actix::spawn(target_server);
    Ok(HttpServers { server_handles })
}

fn invalid_json_error(e: JsonPayloadError) -> actix_web::Error {
    let res = error_response(StatusCode::BAD_REQUEST, &e);
    InternalError::from_response(e, res).into()
}

async fn run_metrics_upkeep(metrics: PrometheusHandle) {
    let mut upkeep_interval = tokio::time::interval(METRICS_UPKEEP_PERIOD.to_duration());
    loop {
        upkeep_interval.tick().await;
        metrics.run_upkeep();
    }
}

async fn render_metrics(metrics: web::Data<PrometheusHandle>) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(metrics.render())
}

impl AdminState {
    async fn status(&self) -> Result<StatusReport, actix::MailboxError> {
        let distribution = self.actors.distribution.send(QueryDistribution).await?;
        let members = self.actors.membership.send(QueryMembers).await?;
        let targets = self.actors.targets.send(QueryTargets).await?;
        let target_loads = self.dispatch.loads().await;
        Ok(status_report(&self.cx, &distribution, &members, &targets, &target_loads))
    }
}

async fn status(admin: web::Data<AdminState>) -> HttpResponse {
    match admin.status().await {
        Ok(report) => HttpResponse::Ok().json(report),
        Err(e) => node_stopping_response(e),
    }
}

async fn members(admin: web::Data<AdminState>) -> HttpResponse {
    match admin.actors.membership.send(QueryMembers).await {
        Ok(view) => {
            HttpResponse::Ok().json(MembersReport { local: view.local, members: view.members })
        }
        Err(e) => node_stopping_response(e),
    }
}

async fn moves(admin: web::Data<AdminState>) -> HttpResponse {
    match admin.actors.moves.send(QueryMoves).await {
        Ok(moves) => HttpResponse::Ok().json(serde_json::json!({ "moves": moves })),
        Err(e) => node_stopping_response(e),
    }
}

async fn burn_report(admin: web::Data<AdminState>) -> HttpResponse {
    match admin.burn.send(QueryBurn).await {
        Ok(report) => HttpResponse::Ok().json(report),
        Err(e) => node_stopping_response(e),
    }
}

/// Query parameters of `GET /events`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct EventsQuery {
    /// Only events with a higher sequence number are returned.
    #[serde(default)]
    after: u64,
}

async fn recent_events(query: web::Query<EventsQuery>) -> HttpResponse {
    HttpResponse::Ok().json(EventsReport { events: events::recent_events_after(query.after) })
}

async fn ready(admin: web::Data<AdminState>) -> HttpResponse {
    match node_state(&admin.cx) {
        NodeState::Serving => HttpResponse::Ok().body("serving\n"),
        state => HttpResponse::ServiceUnavailable().body(format!("{state}\n")),
    }
}

async fn drain(admin: web::Data<AdminState>) -> HttpResponse {
    admin.cx.drain.notify_one();
    HttpResponse::Accepted().finish()
}

async fn announce_target(
    admin: web::Data<AdminState>,
    target: web::Json<TargetAnnouncement>,
) -> HttpResponse {
    let target = target.into_inner();
    if target.slots == 0 || target.connections == 0 {
        return error_response(StatusCode::BAD_REQUEST, "slots and connections must be at least 1");
    }
    let (reply, rx) = oneshot::channel();
    if let Err(e) = admin.cx.control.send(ControlWork::Announce { target, reply }) {
        return node_stopping_response(e);
    }
    match rx.await {
        Ok(announced) => HttpResponse::Ok().json(announced),
        Err(e) => node_stopping_response(e),
    }
}

/// Body of `POST /targets/leave`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct LeaveRequest {
    instance: InstanceId,
}

/// Responds 202 while the target has calls in flight, and 200 when they have ended. The target
/// repeats the request until it receives 200.
async fn leave_target(admin: web::Data<AdminState>, req: web::Json<LeaveRequest>) -> HttpResponse {
    let instance = req.into_inner().instance;
    let (reply, rx) = oneshot::channel();
    if let Err(e) = admin.cx.control.send(ControlWork::Leave { instance, reply }) {
        return node_stopping_response(e);
    }
    match rx.await {
        Ok(LeaveReply::Draining) => HttpResponse::Accepted().finish(),
        Ok(LeaveReply::Removed) => HttpResponse::Ok().finish(),
        Ok(LeaveReply::Unknown) => error_response(StatusCode::NOT_FOUND, "no such instance"),
        Err(e) => node_stopping_response(e),
    }
}
