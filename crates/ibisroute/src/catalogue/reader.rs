//! Typed access to the fields of a JSON tree; collects all errors with their paths.

use std::fmt::Display;
use std::ops::RangeInclusive;
use std::str::FromStr;

use super::CatalogueError;
use super::json::JsonValue;

/// Validation errors in the order found.
#[derive(Default)]
pub(super) struct ErrorList(pub(super) Vec<CatalogueError>);

impl ErrorList {
    pub(super) fn add(&mut self, path: &str, value: String, expected: impl Into<String>) {
        let error = CatalogueError { path: path.to_string(), value, expected: expected.into() };
        self.0.push(error);
    }
}

/// A field of the JSON tree: its path, and its value, which is `None` when absent or null.
#[derive(Clone)]
pub(super) struct Field<'a> {
    pub(super) path: String,
    pub(super) value: Option<&'a JsonValue>,
}

impl<'a> Field<'a> {
    /// Adds an error that states the value found, if any. Always returns `None`, so that the caller
    /// can return the result of this call.
    pub(super) fn reject<T>(
        &self,
        errors: &mut ErrorList,
        expected: impl Into<String>,
    ) -> Option<T> {
        let value = self.value.map_or_else(|| "nothing".to_string(), JsonValue::excerpt);
        errors.add(&self.path, value, expected);
        None
    }

    pub(super) fn text(&self, errors: &mut ErrorList, expected: &str) -> Option<&'a str> {
        match self.value {
            Some(JsonValue::Text(s)) => Some(s),
            _ => self.reject(errors, expected),
        }
    }

    /// Returns the text if `check` accepts it; otherwise adds an error.
    pub(super) fn checked_text(
        &self,
        errors: &mut ErrorList,
        expected: &str,
        check: impl Fn(&str) -> bool,
    ) -> Option<&'a str> {
        let s = self.text(errors, expected)?;
        if check(s) {
            return Some(s);
        }
        self.reject(errors, expected)
    }

    /// Returns the text parsed as `T`; adds an error when it cannot be parsed.
    pub(super) fn parsed<T: FromStr>(&self, errors: &mut ErrorList, expected: &str) -> Option<T> {
        let s = self.text(errors, expected)?;
        s.parse().ok().or_else(|| self.reject(errors, expected))
    }

    pub(super) fn integer<T>(&self, errors: &mut ErrorList, range: RangeInclusive<T>) -> Option<T>
    where
        T: TryFrom<u64> + PartialOrd + Display + Copy,
    {
        let found = match self.value {
            Some(JsonValue::Number(n)) => n.as_u64().and_then(|n| T::try_from(n).ok()),
            _ => None,
        };
        found.filter(|n| range.contains(n)).or_else(|| {
            let expected = format!("a whole number from {} to {}", range.start(), range.end());
            self.reject(errors, expected)
        })
    }

    /// Returns a number with at most 3 decimals; adds an error for others. `serde_json` may read a
    /// longer fraction with an error of one unit in the last place, and the canonical bytes would
    /// then change each time that they are parsed and written again.
    pub(super) fn decimal(
        &self,
        errors: &mut ErrorList,
        range: RangeInclusive<f64>,
    ) -> Option<f64> {
        let found = match self.value {
            Some(JsonValue::Number(n)) => n.as_f64(),
            _ => None,
        };
        found
            .filter(|n| range.contains(n) && (n * 1000.0 - (n * 1000.0).round()).abs() < 1e-6)
            .map(|n| (n * 1000.0).round() / 1000.0)
            .or_else(|| {
                let (low, high) = (range.start(), range.end());
                let expected = format!("a number from {low} to {high} with at most 3 decimals");
                self.reject(errors, expected)
            })
    }

    pub(super) fn list(&self, errors: &mut ErrorList, max_items: usize) -> Option<Vec<Field<'a>>> {
        match self.value {
            Some(JsonValue::List(items)) if items.len() <= max_items => {
                let field = |(i, value): (usize, &'a JsonValue)| Field {
                    path: format!("{}[{i}]", self.path),
                    value: Some(value).filter(|v| !matches!(v, JsonValue::Null)),
                };
                Some(items.iter().enumerate().map(field).collect())
            }
            _ => self.reject(errors, format!("a list of at most {max_items} items")),
        }
    }

    /// Returns the fields of an object in the order of `keys`. Adds errors for unknown and
    /// duplicate keys.
    pub(super) fn object<const N: usize>(
        &self,
        errors: &mut ErrorList,
        keys: [&str; N],
    ) -> Option<[Field<'a>; N]> {
        let Some(JsonValue::Object(fields)) = self.value else {
            return self.reject(errors, format!("an object with {}", keys.join(", ")));
        };
        for (i, (key, value)) in fields.iter().enumerate() {
            let path = self.child_path(key);
            if !keys.contains(&key.as_str()) {
                errors.add(&path, value.excerpt(), format!("only the fields {}", keys.join(", ")));
            } else if fields[..i].iter().any(|(k, _)| k == key) {
                errors.add(&path, value.excerpt(), "each field only once");
            }
        }
        Some(keys.map(|key| {
            Field {
                path: self.child_path(key),
                value: fields
                    .iter()
                    .find(|(k, _)| k == key)
                    .map(|(_, value)| value)
                    .filter(|v| !matches!(v, JsonValue::Null)),
            }
        }))
    }

    /// Returns the text in field `key`, or `None` when the field is absent or not a text. Adds no
    /// errors.
    pub(super) fn optional_text(&self, key: &str) -> Option<&'a str> {
        let Some(JsonValue::Object(fields)) = self.value else { return None };
        match fields.iter().find(|(k, _)| k == key) {
            Some((_, JsonValue::Text(s))) => Some(s),
            _ => None,
        }
    }

    /// Returns the path of field `key`, which is shortened so that error messages stay readable.
    fn child_path(&self, key: &str) -> String {
        let key: String = key.chars().take(80).collect();
        if self.path == "$" { key } else { format!("{}.{key}", self.path) }
    }
}
