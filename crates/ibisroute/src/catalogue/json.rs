//! JSON tree that keeps duplicate keys, so that the parser can reject them.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_json::Number;

/// Longest excerpt of a value in an error message, in characters.
const MAX_EXCERPT_CHARS: usize = 80;

/// JSON value whose objects keep duplicate keys.
#[derive(Clone, Debug)]
pub(super) enum JsonValue {
    Null,
    Bool(bool),
    Number(Number),
    Text(String),
    List(Vec<JsonValue>),
    Object(Vec<(String, JsonValue)>),
}

impl JsonValue {
    /// Returns the value as JSON, shortened for error messages. A list is described by its length
    /// only, an object as `an object`.
    pub(super) fn excerpt(&self) -> String {
        let full_text = match self {
            Self::Null => "null".to_string(),
            Self::Bool(b) => b.to_string(),
            Self::Number(n) => n.to_string(),
            Self::Text(s) => {
                let prefix: String = s.chars().take(MAX_EXCERPT_CHARS + 1).collect();
                serde_json::Value::String(prefix).to_string()
            }
            Self::List(items) => format!("a list of {}", items.len()),
            Self::Object(_) => "an object".to_string(),
        };
        if full_text.chars().count() <= MAX_EXCERPT_CHARS {
            return full_text;
        }
        full_text.chars().take(MAX_EXCERPT_CHARS).chain("...".chars()).collect()
    }
}

impl<'de> Deserialize<'de> for JsonValue {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(JsonVisitor)
    }
}

struct JsonVisitor;

impl<'de> Visitor<'de> for JsonVisitor {
    type Value = JsonValue;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<JsonValue, E> {
        Ok(JsonValue::Null)
    }

    fn visit_bool<E>(self, b: bool) -> Result<JsonValue, E> {
        Ok(JsonValue::Bool(b))
    }

    fn visit_u64<E>(self, n: u64) -> Result<JsonValue, E> {
        Ok(JsonValue::Number(n.into()))
    }

    fn visit_i64<E>(self, n: i64) -> Result<JsonValue, E> {
        Ok(JsonValue::Number(n.into()))
    }

    fn visit_f64<E>(self, n: f64) -> Result<JsonValue, E> {
        Ok(Number::from_f64(n).map_or(JsonValue::Null, JsonValue::Number))
    }

    fn visit_str<E>(self, s: &str) -> Result<JsonValue, E> {
        Ok(JsonValue::Text(s.to_string()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<JsonValue, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(JsonValue::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<JsonValue, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = access.next_entry()? {
            fields.push(field);
        }
        Ok(JsonValue::Object(fields))
    }
}
