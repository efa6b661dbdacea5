//! Syntax checks of text fields, and checks that involve several items: unique names and routes,
//! consistent moves.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use super::model::Entry;
use super::model::Move;
use super::model::Service;
use super::parse::ParsedItems;
use super::reader::ErrorList;
use crate::types::ServiceName;

const ALLOWED_METHODS: [&str; 7] = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"];

pub(super) fn is_allowed_method(s: &str) -> bool {
    ALLOWED_METHODS.contains(&s)
}

pub(super) fn is_valid_owner(s: &str) -> bool {
    (1..=254).contains(&s.chars().count()) && !s.chars().any(char::is_control)
}

/// Whether `s` is an absolute path without query, fragment, empty segments or dot segments.
pub(super) fn is_valid_path(s: &str) -> bool {
    let Some(after_slash) = s.strip_prefix('/') else { return false };
    let is_allowed_byte = |b: u8| b.is_ascii_graphic() && b != b'?' && b != b'#';
    let path_segments = after_slash.strip_suffix('/').unwrap_or(after_slash);
    s.len() <= 512
        && s.bytes().all(is_allowed_byte)
        && (after_slash.is_empty()
            || path_segments.split('/').all(|segment| !matches!(segment, "" | "." | "..")))
}

pub(super) fn is_valid_report_url(s: &str) -> bool {
    s.len() <= 2048
        && s.starts_with("http://")
        && s.parse::<http::Uri>().is_ok_and(|uri| uri.host().is_some_and(|h| !h.is_empty()))
}

/// Whether `s` is an HTTP header name (a token of RFC 9110).
pub(super) fn is_valid_header_name(s: &str) -> bool {
    let is_allowed_byte = |b: u8| b.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&b);
    (1..=64).contains(&s.len()) && s.bytes().all(is_allowed_byte)
}

/// Returns `s` in quotes and with escaped control characters, for error messages.
fn quoted(s: &str) -> String {
    format!("{s:?}")
}

pub(super) fn check_services(services: &ParsedItems<Service>, errors: &mut ErrorList) {
    let mut names = BTreeSet::new();
    for (path, service) in services {
        let Some(service) = service else { continue };
        if !names.insert(&service.name) {
            let path = format!("{path}.name");
            errors.add(&path, quoted(service.name.as_str()), "a name that no other service has");
        }
    }
}

pub(super) fn check_entries(entries: &ParsedItems<Entry>, errors: &mut ErrorList) {
    let mut names = BTreeSet::new();
    let mut routes = BTreeMap::new();
    for (path, entry) in entries {
        let Some(entry) = entry else { continue };
        if !names.insert(&entry.name) {
            let path = format!("{path}.name");
            errors.add(&path, quoted(entry.name.as_str()), "a name that no other entry has");
        }
        for method in &entry.methods {
            if let Some(other_entry) = routes.insert((&entry.path, method), &entry.name) {
                let value = quoted(&format!("{method} {}", entry.path));
                let expected = format!("a path and method that entry {other_entry} does not have");
                errors.add(&format!("{path}.path"), value, expected);
            }
        }
    }
}

pub(super) fn check_moves(
    services: &ParsedItems<Service>,
    moves: &ParsedItems<Move>,
    errors: &mut ErrorList,
) {
    let services_by_name: BTreeMap<&ServiceName, &Service> =
        services.iter().filter_map(|(_, s)| s.as_ref()).map(|s| (&s.name, s)).collect();
    let mut move_ids = BTreeSet::new();
    let mut moved_services = BTreeSet::new();
    for (path, m) in moves {
        let Some(m) = m else { continue };
        if !move_ids.insert(&m.id) {
            errors.add(
                &format!("{path}.id"),
                quoted(m.id.as_str()),
                "an id that no other move has",
            );
        }
        if !moved_services.insert(&m.service) {
            let path = format!("{path}.service");
            errors.add(&path, quoted(m.service.as_str()), "at most one move for each service");
        }
        check_move_versions(path, m, services_by_name.get(&m.service).copied(), errors);
        if m.finish_by <= m.start {
            let path = format!("{path}.finish_by_unix_ms");
            errors.add(
                &path,
                m.finish_by.to_string(),
                format!("a time after start_unix_ms {}", m.start),
            );
        }
    }
}

fn check_move_versions(path: &str, m: &Move, service: Option<&Service>, errors: &mut ErrorList) {
    if m.to == m.from {
        let path = format!("{path}.to");
        errors.add(&path, quoted(m.to.as_str()), "a version other than 'from'");
    }
    let Some(service) = service else { return };
    if m.from != service.version {
        let expected = format!("the service's version {}", service.version);
        errors.add(&format!("{path}.from"), quoted(m.from.as_str()), expected);
    }
}
