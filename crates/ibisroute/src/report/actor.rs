//! Keeps the burn report of this node.

use std::sync::Arc;
use std::time::Instant;

use actix::Actor;
use actix::Context;
use actix::Handler;
use actix::Message;

use super::burn::BurnMeter;
use super::burn::BurnReport;
use super::report_settings::ReportSettings;
use crate::node::messages::ConfigurationApplied;
use crate::node::messages::CountsCollected;
use crate::snapshot::CompiledCatalogue;
use crate::types::Millis;

/// Asks for the report of this node.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "BurnReport")]
pub struct QueryBurn;

/// The actor; lives on the control thread.
pub struct BurnActor {
    meter: BurnMeter,
    config: Option<Arc<CompiledCatalogue>>,
    started: Instant,
}

impl BurnActor {
    /// An actor that has counted nothing.
    pub fn new(cfg: ReportSettings) -> Self {
        Self { meter: BurnMeter::new(cfg), config: None, started: Instant::now() }
    }

    fn now(&self) -> Millis {
        Millis::from(self.started.elapsed())
    }
}

impl Actor for BurnActor {
    type Context = Context<Self>;
}

impl Handler<ConfigurationApplied> for BurnActor {
    type Result = ();

    fn handle(&mut self, message: ConfigurationApplied, _cx: &mut Self::Context) {
        self.meter.retain(&message.0);
        self.config = Some(message.0);
    }
}

impl Handler<CountsCollected> for BurnActor {
    type Result = ();

    fn handle(&mut self, message: CountsCollected, _cx: &mut Self::Context) {
        let now = self.now();
        if let Some(config) = &self.config {
            self.meter.add(now, &message.0, config);
        }
    }
}

impl Handler<QueryBurn> for BurnActor {
    type Result = actix::MessageResult<QueryBurn>;

    fn handle(&mut self, _message: QueryBurn, _cx: &mut Self::Context) -> Self::Result {
        let now = self.now();
        let report = self.config.as_ref().map(|config| self.meter.report(now, config));
        actix::MessageResult(report.unwrap_or_default())
    }
}
