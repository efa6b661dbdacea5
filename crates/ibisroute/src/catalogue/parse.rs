//! Strict parser of the catalogue document: checks its structure and each field. [`checks`]
//! contains the rules that involve several items.

use std::collections::BTreeSet;

use smol_str::SmolStr;

use super::CatalogueErrors;
use super::checks;
use super::checks::is_allowed_method;
use super::checks::is_valid_header_name;
use super::checks::is_valid_owner;
use super::checks::is_valid_path;
use super::checks::is_valid_report_url;
use super::document::FORMAT;
use super::json::JsonValue;
use super::model::Catalogue;
use super::model::Class;
use super::model::Entry;
use super::model::Limits;
use super::model::Move;
use super::model::Objective;
use super::model::Service;
use super::model::WithdrawalSensitivity;
use super::reader::ErrorList;
use super::reader::Field;
use crate::types::ByteSize;
use crate::types::Millis;
use crate::types::Percent;
use crate::types::RatePerSecond;
use crate::types::ServiceName;
use crate::types::UnixMillis;

/// Largest document, in bytes. Half of [`MAX_CONTROL_BYTES`](crate::wire::MAX_CONTROL_BYTES), so
/// that a control reply between nodes can carry a whole catalogue.
pub const MAX_DOCUMENT_BYTES: usize = 8 * 1024 * 1024;

const MAX_SERVICES: usize = 2_000;
const MAX_ENTRIES: usize = 20_000;
const MAX_METHODS: usize = 7;
/// Last millisecond of the year 9999.
const MAX_UNIX_MS: u64 = 253_402_300_799_999;
/// Highest deadline and latency objective of an entry, in milliseconds.
const MAX_CALL_DURATION_MS: u64 = 600_000;
/// Highest limit for the size of a request body, in bytes.
const MAX_BODY_BYTES: u64 = 16 << 30;

const DEFAULT_RETRY_PERCENT: f64 = 10.0;
const DEFAULT_MAX_BODY_BYTES: u64 = 64 * 1024;
const DEFAULT_IDEMPOTENCY_HEADER: &str = "Idempotency-Key";

const NAME_RULE: &str = "1 to 63 of a-z, 0-9 and '-', starting with a letter";
const OWNER_RULE: &str = "1 to 254 printable characters";
const CLASS_RULE: &str = "booking, counter_query, internal_query or upload";

/// Parses and validates a document. Reports all errors that can be found in one pass.
pub fn parse(bytes: &[u8]) -> Result<Catalogue, CatalogueErrors> {
    if bytes.len() > MAX_DOCUMENT_BYTES {
        let expected = format!("at most {MAX_DOCUMENT_BYTES} bytes");
        return Err(CatalogueErrors::from_single_error(
            "$",
            format!("{} bytes", bytes.len()),
            expected,
        ));
    }
    let root: JsonValue = serde_json::from_slice(bytes)
        .map_err(|e| CatalogueErrors::from_single_error("$", e.to_string(), "a JSON document"))?;
    let mut errors = ErrorList::default();
    let root = Field { path: "$".to_string(), value: Some(&root) };
    let catalogue = read_document(&root, &mut errors);
    match catalogue {
        Some(catalogue) if errors.0.is_empty() => Ok(catalogue),
        _ => Err(CatalogueErrors(errors.0)),
    }
}

fn read_document(root: &Field<'_>, errors: &mut ErrorList) -> Option<Catalogue> {
    let keys = ["format", "name", "services", "entries", "moves"];
    let [format, name, services, entries, moves] = root.object(errors, keys)?;
    format.integer(errors, FORMAT..=FORMAT);
    let name = name.parsed::<ServiceName>(errors, NAME_RULE);
    let declared_services = service_names(&services);
    let services = read_list(&services, MAX_SERVICES, errors, read_service);
    let read_item =
        |field: &Field<'_>, errors: &mut ErrorList| read_entry(field, &declared_services, errors);
    let entries = read_list(&entries, MAX_ENTRIES, errors, read_item);
    let moves = match moves.value {
        None => Vec::new(),
        Some(_) => {
            let read_item = |field: &Field<'_>, errors: &mut ErrorList| {
                read_move(field, &declared_services, errors)
            };
            // Each service has at most one move.
            read_list(&moves, MAX_SERVICES, errors, read_item)
        }
    };
    checks::check_services(&services, errors);
    checks::check_entries(&entries, errors);
    checks::check_moves(&services, &moves, errors);

    let mut services: Vec<Service> = services.into_iter().filter_map(|(_, s)| s).collect();
    let mut entries: Vec<Entry> = entries.into_iter().filter_map(|(_, e)| e).collect();
    let mut moves: Vec<Move> = moves.into_iter().filter_map(|(_, m)| m).collect();
    services.sort_by(|a, b| a.name.cmp(&b.name));
    entries.sort_by(|a, b| a.name.cmp(&b.name));
    moves.sort_by(|a, b| a.id.cmp(&b.id));
    Some(Catalogue { name: name?.into(), services, entries, moves })
}

/// Names of all services, including invalid ones, so that references can be checked in the same
/// pass. `None` when a service has no name, since any reference could then refer to that service.
type ServiceNames<'a> = Option<BTreeSet<&'a str>>;

fn service_names<'a>(field: &Field<'a>) -> ServiceNames<'a> {
    let items = field.list(&mut ErrorList::default(), MAX_SERVICES)?;
    items.iter().map(|item| item.optional_text("name")).collect()
}

fn read_service_reference(
    field: &Field<'_>,
    declared_services: &ServiceNames<'_>,
    errors: &mut ErrorList,
) -> Option<ServiceName> {
    let service: ServiceName = field.parsed(errors, NAME_RULE)?;
    if declared_services.as_ref().is_some_and(|names| !names.contains(service.as_str())) {
        return field.reject(errors, "a service of this document");
    }
    Some(service)
}

/// Parsed list items with their JSON paths; an item with an invalid field is `None`.
pub(super) type ParsedItems<T> = Vec<(String, Option<T>)>;

fn read_list<T>(
    field: &Field<'_>,
    max_items: usize,
    errors: &mut ErrorList,
    read_item: impl Fn(&Field<'_>, &mut ErrorList) -> Option<T>,
) -> ParsedItems<T> {
    let items = field.list(errors, max_items).unwrap_or_default();
    items.into_iter().map(|item| (item.path.clone(), read_item(&item, errors))).collect()
}

fn read_service(field: &Field<'_>, errors: &mut ErrorList) -> Option<Service> {
    let keys = ["name", "owner", "version", "report_url", "withdrawal"];
    let [name, owner, version, report_url, withdrawal] = field.object(errors, keys)?;
    let name = name.parsed(errors, NAME_RULE);
    let owner = owner.checked_text(errors, OWNER_RULE, is_valid_owner);
    let version = version.parsed(errors, NAME_RULE);
    let report_url = match report_url.value {
        None => Some(None),
        Some(_) => {
            let expected = "null or an http:// address of at most 2048 characters";
            report_url.checked_text(errors, expected, is_valid_report_url).map(Some)
        }
    };
    let withdrawal = match withdrawal.value {
        None => Some(WithdrawalSensitivity::default()),
        Some(_) => withdrawal.parsed(errors, "cautious, balanced or tolerant"),
    };
    Some(Service {
        name: name?,
        owner: SmolStr::new(owner?),
        version: version?,
        report_url: report_url?.map(SmolStr::new),
        withdrawal: withdrawal?,
    })
}

fn read_entry(
    field: &Field<'_>,
    declared_services: &ServiceNames<'_>,
    errors: &mut ErrorList,
) -> Option<Entry> {
    let keys = [
        "name",
        "owner",
        "class",
        "service",
        "path",
        "methods",
        "idempotency_header",
        "limits",
        "objective",
    ];
    let [name, owner, class, service, path, methods, idempotency_header, limits, objective] =
        field.object(errors, keys)?;
    let name = name.parsed(errors, NAME_RULE);
    let owner = owner.checked_text(errors, OWNER_RULE, is_valid_owner);
    let class: Option<Class> = class.parsed(errors, CLASS_RULE);
    let service = read_service_reference(&service, declared_services, errors);
    let expected = "a path of at most 512 printable ASCII characters that starts with '/', without \
                    spaces, '?', '#', empty segments or '.' and '..' segments";
    let path = path.checked_text(errors, expected, is_valid_path);
    let methods = read_methods(&methods, errors);
    let idempotency_header =
        class.and_then(|class| read_idempotency_header(&idempotency_header, class, errors));
    let limits = read_limits(&limits, errors);
    let objective = read_objective(&objective, errors);
    Some(Entry {
        name: name?,
        owner: SmolStr::new(owner?),
        class: class?,
        service: service?,
        path: SmolStr::new(path?),
        methods: methods?,
        idempotency_header: idempotency_header?,
        limits: limits?,
        objective: objective?,
    })
}

fn read_methods(field: &Field<'_>, errors: &mut ErrorList) -> Option<Vec<SmolStr>> {
    let items = field.list(errors, MAX_METHODS)?;
    if items.is_empty() {
        return field.reject(errors, "at least one method");
    }
    let mut methods: Vec<SmolStr> = Vec::new();
    let mut all_valid = true;
    for item in &items {
        let expected = "GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS, each once";
        let is_new_method = |s: &str| is_allowed_method(s) && !methods.iter().any(|m| m == s);
        match item.checked_text(errors, expected, is_new_method) {
            Some(method) => methods.push(SmolStr::new(method)),
            None => all_valid = false,
        }
    }
    methods.sort();
    all_valid.then_some(methods)
}

fn read_idempotency_header(
    field: &Field<'_>,
    class: Class,
    errors: &mut ErrorList,
) -> Option<Option<SmolStr>> {
    if class != Class::Booking {
        return match field.value {
            None => Some(None),
            Some(_) => {
                field.reject(errors, "no value, because only bookings have an idempotency key")
            }
        };
    }
    match field.value {
        None => Some(Some(SmolStr::new_static(DEFAULT_IDEMPOTENCY_HEADER))),
        Some(_) => {
            let expected = "a header name of at most 64 characters";
            field
                .checked_text(errors, expected, is_valid_header_name)
                .map(|s| Some(SmolStr::new(s)))
        }
    }
}

fn read_limits(field: &Field<'_>, errors: &mut ErrorList) -> Option<Limits> {
    let keys = ["rate_per_s", "concurrency", "deadline_ms", "retry_percent", "max_body_bytes"];
    let [rate_per_s, concurrency, deadline_ms, retry_percent, max_body_bytes] =
        field.object(errors, keys)?;
    let rate_per_s = rate_per_s.decimal(errors, 0.1..=1_000_000.0);
    let concurrency = concurrency.integer(errors, 1..=1_000_000_u32);
    let deadline_ms = deadline_ms.integer(errors, 10..=MAX_CALL_DURATION_MS);
    let retry_percent = match retry_percent.value {
        None => Some(DEFAULT_RETRY_PERCENT),
        Some(_) => retry_percent.decimal(errors, 0.0..=100.0),
    };
    let max_body_bytes = match max_body_bytes.value {
        None => Some(DEFAULT_MAX_BODY_BYTES),
        Some(_) => max_body_bytes.integer(errors, 0..=MAX_BODY_BYTES),
    };
    Some(Limits {
        rate: RatePerSecond(rate_per_s?),
        concurrency: concurrency?,
        deadline: Millis(deadline_ms?),
        retry: Percent(retry_percent?),
        max_body: ByteSize(max_body_bytes?),
    })
}

fn read_objective(field: &Field<'_>, errors: &mut ErrorList) -> Option<Objective> {
    let [min_success, latency_ms] = field.object(errors, ["success_percent", "latency_ms"])?;
    let min_success = min_success.decimal(errors, 50.0..=99.999);
    let latency_ms = latency_ms.integer(errors, 1..=MAX_CALL_DURATION_MS);
    Some(Objective { min_success: Percent(min_success?), latency: Millis(latency_ms?) })
}

fn read_move(
    field: &Field<'_>,
    declared_services: &ServiceNames<'_>,
    errors: &mut ErrorList,
) -> Option<Move> {
    let keys = ["id", "service", "from", "to", "start_unix_ms", "finish_by_unix_ms"];
    let [id, service, from, to, start_unix_ms, finish_by_unix_ms] = field.object(errors, keys)?;
    let id = id.parsed(errors, NAME_RULE);
    let service = read_service_reference(&service, declared_services, errors);
    let from = from.parsed(errors, NAME_RULE);
    let to = to.parsed(errors, NAME_RULE);
    let start_unix_ms = start_unix_ms.integer(errors, 0..=MAX_UNIX_MS);
    let finish_by_unix_ms = finish_by_unix_ms.integer(errors, 0..=MAX_UNIX_MS);
    Some(Move {
        id: id?,
        service: service?,
        from: from?,
        to: to?,
        start: UnixMillis(start_unix_ms?),
        finish_by: UnixMillis(finish_by_unix_ms?),
    })
}
