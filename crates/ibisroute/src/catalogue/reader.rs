//! Reads fields of a JSON tree and collects every fault with its path.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use super::CatalogueError;
use super::json::Node;

/// Collected faults.
#[derive(Default)]
pub(super) struct Faults(pub(super) Vec<CatalogueError>);

impl Faults {
    pub(super) fn add(&mut self, path: &str, value: String, expected: impl Into<String>) {
        let error = CatalogueError { path: path.to_string(), value, expected: expected.into() };
        self.0.push(error);
    }
}

/// A field: its path, and its value unless it is absent or null.
#[derive(Clone)]
pub(super) struct Field<'a> {
    pub(super) path: String,
    pub(super) node: Option<&'a Node>,
}

impl<'a> Field<'a> {
    /// Reports the value found, or its absence; returns `None` for the caller to pass on.
    pub(super) fn fault<T>(&self, faults: &mut Faults, expected: impl Into<String>) -> Option<T> {
        let value = self.node.map_or_else(|| "nothing".to_string(), Node::excerpt);
        faults.add(&self.path, value, expected);
        None
    }

    pub(super) fn text(&self, faults: &mut Faults, expected: &str) -> Option<&'a str> {
        match self.node {
            Some(Node::Text(s)) => Some(s),
            _ => self.fault(faults, expected),
        }
    }

    /// A text that `check` accepts.
    pub(super) fn checked_text(
        &self,
        faults: &mut Faults,
        expected: &str,
        check: impl Fn(&str) -> bool,
    ) -> Option<&'a str> {
        let s = self.text(faults, expected)?;
        if check(s) {
            return Some(s);
        }
        self.fault(faults, expected)
    }

    /// A text that parses as `T`.
    pub(super) fn parsed<T: FromStr>(&self, faults: &mut Faults, expected: &str) -> Option<T> {
        let s = self.text(faults, expected)?;
        s.parse().ok().or_else(|| self.fault(faults, expected))
    }

    pub(super) fn whole<T>(&self, faults: &mut Faults, range: RangeInclusive<T>) -> Option<T>
    where
        T: TryFrom<u64> + PartialOrd + Display + Copy,
    {
        let found = match self.node {
            Some(Node::Number(n)) => n.as_u64().and_then(|n| T::try_from(n).ok()),
            _ => None,
        };
        found.filter(|n| range.contains(n)).or_else(|| {
            let expected = format!("a whole number from {} to {}", range.start(), range.end());
            self.fault(faults, expected)
        })
    }

    /// A number with at most 3 decimals. `serde_json` may read a longer fraction one unit in the
    /// last place off, and the canonical bytes would then differ after each round.
    pub(super) fn decimal(&self, faults: &mut Faults, range: RangeInclusive<f64>) -> Option<f64> {
        let found = match self.node {
            Some(Node::Number(n)) => n.as_f64(),
            _ => None,
        };
        found
            .filter(|n| range.contains(n) && (n * 1000.0 - (n * 1000.0).round()).abs() < 1e-6)
            .map(|n| (n * 1000.0).round() / 1000.0)
            .or_else(|| {
                let (low, high) = (range.start(), range.end());
                let expected = format!("a number from {low} to {high} with at most 3 decimals");
                self.fault(faults, expected)
            })
    }

    pub(super) fn list(&self, faults: &mut Faults, max: usize) -> Option<Vec<Field<'a>>> {
        match self.node {
            Some(Node::List(items)) if items.len() <= max => {
                let field = |(i, node): (usize, &'a Node)| Field {
                    path: format!("{}[{i}]", self.path),
                    node: Some(node).filter(|n| !matches!(n, Node::Null)),
                };
                Some(items.iter().enumerate().map(field).collect())
            }
            _ => self.fault(faults, format!("a list of at most {max}")),
        }
    }

    /// The fields of an object in the order of `keys`; other and repeated keys are faults.
    pub(super) fn object<const N: usize>(
        &self,
        faults: &mut Faults,
        keys: [&str; N],
    ) -> Option<[Field<'a>; N]> {
        let Some(Node::Object(found)) = self.node else {
            return self.fault(faults, format!("an object with {}", keys.join(", ")));
        };
        for (i, (key, node)) in found.iter().enumerate() {
            let path = self.path_of(key);
            if !keys.contains(&key.as_str()) {
                faults.add(&path, node.excerpt(), format!("no field but {}", keys.join(", ")));
            } else if found[..i].iter().any(|(k, _)| k == key) {
                faults.add(&path, node.excerpt(), "each field once");
            }
        }
        Some(keys.map(|key| {
            Field {
                path: self.path_of(key),
                node: found
                    .iter()
                    .find(|(k, _)| k == key)
                    .map(|(_, node)| node)
                    .filter(|n| !matches!(n, Node::Null)),
            }
        }))
    }

    /// The text in field `key`, without any check.
    pub(super) fn peek(&self, key: &str) -> Option<&'a str> {
        let Some(Node::Object(fields)) = self.node else { return None };
        match fields.iter().find(|(k, _)| k == key) {
            Some((_, Node::Text(s))) => Some(s),
            _ => None,
        }
    }

    fn path_of(&self, key: &str) -> String {
        let key: String = key.chars().take(80).collect();
        if self.path == "$" { key } else { format!("{}.{key}", self.path) }
    }
}
