//! `move declare`: adds a move to the head and writes the result with the same compare-and-swap as
//! `catalogue apply`.

use clap::ArgMatches;
use derive_more::Display;
use eyre::eyre;

use super::apply;
use super::apply::Authorship;
use super::apply::WaitOptions;
use super::apply::text_option;
use crate::catalogue::CatalogueErrors;
use crate::catalogue::document::Document;
use crate::catalogue::model::Catalogue;
use crate::catalogue::model::Move;
use crate::catalogue::store::CatalogueStore;
use crate::ctl::context::Context;
use crate::ctl::exit::CommandError;
use crate::ctl::exit::Exit;
use crate::ctl::times::parse_time;
use crate::moves::outcome::Ending;
use crate::moves::outcome::RecordedOutcome;
use crate::moves::outcome::outcome_key;
use crate::types::MoveId;
use crate::types::ServiceName;
use crate::types::UnixMillis;
use crate::types::VersionName;

/// Move to add to the catalogue, read from the command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveDeclaration {
    pub id: MoveId,
    pub service: ServiceName,
    /// Version that takes over the traffic.
    pub to: VersionName,
    /// Earliest time of a call to the new version.
    pub start: UnixMillis,
    /// Time by which the move has finished or is withdrawn.
    pub finish_by: UnixMillis,
}

/// Why a move cannot be declared.
#[derive(Clone, Debug, PartialEq, Eq, Display)]
pub enum DeclareError {
    /// The catalogue has no such service.
    #[display("there is no service {_0}")]
    NoService(ServiceName),
    /// The service already has a move, whose outcome is not recorded yet.
    #[display("move {_0} of service {_1} has neither finished nor been withdrawn yet")]
    Undecided(MoveId, ServiceName),
    /// The edited catalogue fails validation.
    #[display("the catalogue with this move is not valid:\n{_0}")]
    Invalid(CatalogueErrors),
}

/// Adds a move to `catalogue` and removes the previous move of the service. `previous_ending` is
/// the recorded ending of the previous move, `None` without a record; after `Finished` the new
/// version of the previous move becomes the version of the service.
pub fn add_move(
    mut catalogue: Catalogue,
    previous_ending: Option<Ending>,
    declaration: &MoveDeclaration,
) -> Result<Catalogue, DeclareError> {
    let name = &declaration.service;
    let service = catalogue.services.iter_mut().find(|s| &s.name == name);
    let service = service.ok_or_else(|| DeclareError::NoService(name.clone()))?;
    if let Some(previous_move) = catalogue.moves.iter().find(|m| &m.service == name) {
        match previous_ending {
            Some(Ending::Finished) => service.version = previous_move.to.clone(),
            Some(Ending::TakenBack) => {}
            None => return Err(DeclareError::Undecided(previous_move.id.clone(), name.clone())),
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
    // The conversion from a document validates the result and sorts its lists.
    Catalogue::try_from(&Document::from(&catalogue)).map_err(DeclareError::Invalid)
}

/// Reads the recorded ending of a move; `None` when none is recorded yet.
async fn read_ending(store: &CatalogueStore, id: &MoveId) -> Result<Option<Ending>, CommandError> {
    let Some(value) = store.row_value(&outcome_key(id)).await? else { return Ok(None) };
    match serde_json::from_value::<RecordedOutcome>(value.clone()) {
        Ok(recorded) => Ok(Some(recorded.outcome)),
        Err(e) => Err(eyre!("the outcome row of move {id} cannot be read: {e}: {value}").into()),
    }
}

/// Writes a version that declares the given move. Rejects an id that was used before, because
/// the outcome row of a move is written only once.
pub async fn run(cx: &Context, args: &ArgMatches) -> Result<(), CommandError> {
    let declaration = read_move_declaration(args)?;
    let store = cx.store()?;
    let wait_options = WaitOptions::from_args(cx, args)?;
    let Some(head) = store.head().await? else {
        return Err(eyre!("there is no catalogue yet; apply one first").into());
    };
    let catalogue = store.catalogue(head.row.digest).await?;
    let id = &declaration.id;
    let is_declared = catalogue.moves.iter().any(|m| &m.id == id);
    if is_declared || read_ending(&store, id).await?.is_some() {
        return Err(eyre!("the id {id} was used before; choose another").into());
    }
    let previous_ending = match catalogue.moves.iter().find(|m| m.service == declaration.service) {
        Some(previous_move) => read_ending(&store, &previous_move.id).await?,
        None => None,
    };
    let edited_catalogue =
        add_move(catalogue, previous_ending, &declaration).map_err(|e| match e {
            DeclareError::Invalid(_) => CommandError::new(Exit::Invalid, eyre!("{e}")),
            _ => CommandError::new(Exit::Failed, eyre!("{e}")),
        })?;
    let authorship = Authorship::from_args(args);
    let row =
        apply::write_version(cx, &store, &edited_catalogue, head.row.version, &authorship).await?;
    apply::wait_if_requested(wait_options, &row).await
}

fn read_move_declaration(args: &ArgMatches) -> Result<MoveDeclaration, CommandError> {
    let now = UnixMillis::now();
    let start = read_time(args, "start", now, now)?;
    let finish_by = read_time(args, "finish-by", now, start)?;
    let missing_option =
        || CommandError::usage("--service, --to and --id are required".to_string());
    Ok(MoveDeclaration {
        id: args.get_one::<MoveId>("id").cloned().ok_or_else(missing_option)?,
        service: args.get_one::<ServiceName>("service").cloned().ok_or_else(missing_option)?,
        to: args.get_one::<VersionName>("to").cloned().ok_or_else(missing_option)?,
        start,
        finish_by,
    })
}

/// Parses the option `name` as a time; offsets such as `+20m` count from `offset_base`.
fn read_time(
    args: &ArgMatches,
    name: &str,
    now: UnixMillis,
    offset_base: UnixMillis,
) -> Result<UnixMillis, CommandError> {
    let s = text_option(args, name);
    parse_time(s, now, offset_base).ok_or_else(|| {
        CommandError::usage(format!(
            "--{name} {s:?} is not a valid time: expected now, +20m, 2025-12-04T21:00:00Z or Unix \
             milliseconds"
        ))
    })
}
