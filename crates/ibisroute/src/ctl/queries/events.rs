//! Command `events`: prints the logged events of one node.

use std::time::Duration;

use clap::ArgMatches;

use crate::ctl::admin_model::EventsReport;
use crate::ctl::context::Context;
use crate::ctl::exit::CommandError;
use crate::ctl::times::format_time;
use crate::events::LoggedEvent;

const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Prints the events that the node still keeps. With `--follow` it also prints new events, until a
/// request fails. With `--output json` each event is one line.
pub async fn run(cx: &Context, args: &ArgMatches) -> Result<(), CommandError> {
    let (client, node) = cx.node()?;
    let mut after = args.get_one::<u64>("after").copied().unwrap_or(0);
    loop {
        let report: EventsReport = client.get(node, &format!("/events?after={after}")).await?;
        for event in &report.events {
            cx.output.print(event, format_event)?;
            after = after.max(event.sequence);
        }
        if !args.get_flag("follow") {
            return Ok(());
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

fn format_event(event: &LoggedEvent) -> String {
    let LoggedEvent { sequence, unix_ms, number, name, level, detail } = event;
    format!("{sequence} {} {level} [{number}] {name}: {detail}", format_time(*unix_ms))
}
