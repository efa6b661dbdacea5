//! Actor that tracks the burn rates of one node and emits an event when an alert begins or ends.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use actix::Actor;
use actix::AsyncContext;
use actix::Context;
use actix::Handler;
use actix::Message;
use actix::MessageResult;

use crate::clock::Clock;
use crate::events;
use crate::events::report as codes;
use crate::node::messages::ConfigurationApplied;
use crate::node::messages::CountsCollected;
use crate::report::burn::BurnMeter;
use crate::report::burn::BurnReport;
use crate::report::burn::TIME_SLOT_DURATION;
use crate::report::report_settings::ReportSettings;
use crate::snapshot::CompiledCatalogue;
use crate::types::EntryName;

/// Requests the burn report of this node.
#[derive(Clone, Copy, Debug, Message)]
#[rtype(result = "BurnReport")]
pub struct QueryBurn;

/// Tracks the burn rates of the calls that this node counted; runs on the control thread.
pub struct BurnActor {
    clock: Clock,
    burn_meter: BurnMeter,
    config: Option<Arc<CompiledCatalogue>>,
    /// Entries with an active alert at the last check.
    alerted_entries: BTreeSet<EntryName>,
}

impl BurnActor {
    /// Creates an actor without counts.
    pub fn new(settings: ReportSettings) -> Self {
        Self {
            clock: Clock::start(),
            burn_meter: BurnMeter::new(settings),
            config: None,
            alerted_entries: BTreeSet::new(),
        }
    }

    fn report(&mut self) -> BurnReport {
        let Some(config) = &self.config else { return BurnReport::default() };
        self.burn_meter.report(self.clock.now(), config)
    }

    fn check_alerts(&mut self) {
        let alerted_burns = self.report().entries.into_iter().filter(|burn| burn.alert.is_some());
        let alerted_entries: BTreeSet<EntryName> = alerted_burns.map(|burn| burn.entry).collect();
        for entry in alerted_entries.difference(&self.alerted_entries) {
            events::emit(&codes::BURN_ALERT, format_args!("entry {entry}"));
        }
        for entry in self.alerted_entries.difference(&alerted_entries) {
            events::emit(&codes::BURN_ENDED, format_args!("entry {entry}"));
        }
        self.alerted_entries = alerted_entries;
    }
}

impl Actor for BurnActor {
    type Context = Context<Self>;

    fn started(&mut self, ctx: &mut Context<Self>) {
        let check_interval: Duration = TIME_SLOT_DURATION.to_duration();
        ctx.run_interval(check_interval, |actor, _| actor.check_alerts());
    }
}

impl Handler<ConfigurationApplied> for BurnActor {
    type Result = ();

    fn handle(&mut self, msg: ConfigurationApplied, _: &mut Context<Self>) {
        self.burn_meter.retain_declared_entries(&msg.0);
        self.config = Some(msg.0);
    }
}

impl Handler<CountsCollected> for BurnActor {
    type Result = ();

    fn handle(&mut self, msg: CountsCollected, _: &mut Context<Self>) {
        let Some(config) = &self.config else { return };
        self.burn_meter.add(self.clock.now(), &msg.0, config);
    }
}

impl Handler<QueryBurn> for BurnActor {
    type Result = MessageResult<QueryBurn>;

    fn handle(&mut self, _: QueryBurn, _: &mut Context<Self>) -> Self::Result {
        MessageResult(self.report())
    }
}
