//! `move declare`: edits the catalogue under the same compare-and-swap as `catalogue apply`.

use clap::ArgMatches;
use derive_more::Display;
use eyre::eyre;

use super::apply;
use super::apply::Signature;
use super::apply::Wait;
use super::apply::text;
use crate::catalogue::CatalogueErrors;
use crate::catalogue::document::Document;
use crate::catalogue::model::Catalogue;
use crate::catalogue::model::Move;
use crate::catalogue::store::Store;
use crate::ctl::context::Context;
use crate::ctl::exit::Exit;
use crate::ctl::exit::Stop;
use crate::ctl::times::parse_time;
use crate::moves::outcome::Ending;
use crate::moves::outcome::RecordedOutcome;
use crate::moves::outcome::outcome_key;
use crate::types::MoveId;
use crate::types::ServiceName;
use crate::types::UnixMillis;
use crate::types::VersionName;

/// A move to declare.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Declaration {
    /// Id.
    pub id: MoveId,
    /// Service.
    pub service: ServiceName,
    /// Version that takes over.
    pub to: VersionName,
    /// Start.
    pub start: UnixMillis,
    /// End.
    pub finish_by: UnixMillis,
}

/// Why a move cannot be declared.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum DeclareError {
    /// The catalogue has no such service.
    #[display("there is no service {_0}")]
    NoService(ServiceName),
    /// The service has a move that is still running.
    #[display("move {_0} of service {_1} has neither finished nor been taken back yet")]
    Undecided(MoveId, ServiceName),
    /// The result breaks a rule of the catalogue.
    #[display("the catalogue with this move is not valid:\n{_0}")]
    Invalid(CatalogueErrors),
}

/// Adds a move. `earlier` is how the service's move in `catalogue` ended, if it did.
pub fn edit(
    mut catalogue: Catalogue,
    earlier: Option<Ending>,
    declaration: &Declaration,
) -> Result<Catalogue, DeclareError> {
    let name = &declaration.service;
    let service = catalogue.services.iter_mut().find(|s| &s.name == name);
    let service = service.ok_or_else(|| DeclareError::NoService(name.clone()))?;
    if let Some(old) = catalogue.moves.iter().find(|m| &m.service == name) {
        match earlier {
            Some(Ending::Finished) => service.version = old.to.clone(),
            Some(Ending::TakenBack) => {}
            None => return Err(DeclareError::Undecided(old.id.clone(), name.clone())),
        }
    }
    let from = service.version.clone();
    catalogue.moves.retain(|m| &m.service != name);
    catalogue.moves.push(Move {
        id: declaration.id.clone(),
        service: name.clone(),
        from,
        to: declaration.to.clone(),
        start: declaration.start,
        finish_by: declaration.finish_by,
    });
    // The checks of the parser apply to the result, and sort it.
    Catalogue::try_from(&Document::from(&catalogue)).map_err(DeclareError::Invalid)
}

async fn read_end(store: &Store, id: &MoveId) -> Result<Option<Ending>, Stop> {
    let Some(value) = store.value(&outcome_key(id)).await? else { return Ok(None) };
    match serde_json::from_value::<RecordedOutcome>(value.clone()) {
        Ok(recorded) => Ok(Some(recorded.outcome)),
        Err(e) => Err(eyre!("the outcome row of move {id} cannot be read: {e}: {value}").into()),
    }
}

/// Runs the command.
pub async fn run(cx: &Context, args: &ArgMatches) -> Result<(), Stop> {
    let declaration = read_declaration(args)?;
    let store = cx.store()?;
    let wait = Wait::from_args(cx, args)?;
    let Some(head) = store.head().await? else {
        return Err(eyre!("there is no catalogue yet; apply one first").into());
    };
    let catalogue = store.body(head.row.digest).await?;
    let id = &declaration.id;
    let declared = catalogue.moves.iter().any(|m| &m.id == id);
    if declared || read_end(&store, id).await?.is_some() {
        return Err(eyre!("the id {id} was used before; choose another").into());
    }
    let earlier = match catalogue.moves.iter().find(|m| m.service == declaration.service) {
        Some(old) => read_end(&store, &old.id).await?,
        None => None,
    };
    let edited = edit(catalogue, earlier, &declaration).map_err(|e| match e {
        DeclareError::Invalid(_) => Stop::new(Exit::Invalid, eyre!("{e}")),
        _ => Stop::new(Exit::Failed, eyre!("{e}")),
    })?;
    let signature = Signature::from_args(args);
    let row = apply::write(cx, &store, &edited, head.row.version, &signature).await?;
    apply::wait_for(wait, &row).await
}

fn read_declaration(args: &ArgMatches) -> Result<Declaration, Stop> {
    let now = UnixMillis::now();
    let start = read_time(args, "start", now, now)?;
    let finish_by = read_time(args, "finish-by", now, start)?;
    let missing = || Stop::usage("--service, --to and --id are required".to_string());
    Ok(Declaration {
        id: args.get_one::<MoveId>("id").cloned().ok_or_else(missing)?,
        service: args.get_one::<ServiceName>("service").cloned().ok_or_else(missing)?,
        to: args.get_one::<VersionName>("to").cloned().ok_or_else(missing)?,
        start,
        finish_by,
    })
}

fn read_time(
    args: &ArgMatches,
    name: &str,
    now: UnixMillis,
    from: UnixMillis,
) -> Result<UnixMillis, Stop> {
    let s = text(args, name);
    parse_time(s, now, from).ok_or_else(|| {
        Stop::usage(format!(
            "--{name} {s:?} is no time: expected now, +20m, 2025-12-04T21:00:00Z or Unix \
             milliseconds"
        ))
    })
}
