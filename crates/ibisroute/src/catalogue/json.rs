//! A JSON tree that keeps repeated keys, so that the parser can reject them.

use std::fmt;

use serde::Deserialize;
use serde::Deserializer;
use serde::de::MapAccess;
use serde::de::SeqAccess;
use serde::de::Visitor;
use serde_json::Number;

/// Longest excerpt of a value in an error, in characters.
const MAX_EXCERPT_CHARS: usize = 80;

/// A JSON value.
#[derive(Clone, Debug)]
pub(super) enum Node {
    Null,
    Bool(bool),
    Number(Number),
    Text(String),
    List(Vec<Node>),
    Object(Vec<(String, Node)>),
}

impl Node {
    /// Short JSON of the value, for errors.
    pub(super) fn excerpt(&self) -> String {
        let text = match self {
            Self::Null => "null".to_string(),
            Self::Bool(b) => b.to_string(),
            Self::Number(n) => n.to_string(),
            Self::Text(s) => {
                let head: String = s.chars().take(MAX_EXCERPT_CHARS + 1).collect();
                serde_json::Value::String(head).to_string()
            }
            Self::List(items) => format!("a list of {}", items.len()),
            Self::Object(_) => "an object".to_string(),
        };
        if text.chars().count() <= MAX_EXCERPT_CHARS {
            return text;
        }
        text.chars().take(MAX_EXCERPT_CHARS).chain("...".chars()).collect()
    }
}

impl<'de> Deserialize<'de> for Node {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(NodeVisitor)
    }
}

struct NodeVisitor;

impl<'de> Visitor<'de> for NodeVisitor {
    type Value = Node;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E>(self) -> Result<Node, E> {
        Ok(Node::Null)
    }

    fn visit_bool<E>(self, b: bool) -> Result<Node, E> {
        Ok(Node::Bool(b))
    }

    fn visit_u64<E>(self, n: u64) -> Result<Node, E> {
        Ok(Node::Number(n.into()))
    }

    fn visit_i64<E>(self, n: i64) -> Result<Node, E> {
        Ok(Node::Number(n.into()))
    }

    fn visit_f64<E>(self, n: f64) -> Result<Node, E> {
        Ok(Number::from_f64(n).map_or(Node::Null, Node::Number))
    }

    fn visit_str<E>(self, s: &str) -> Result<Node, E> {
        Ok(Node::Text(s.to_string()))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut items = Vec::new();
        while let Some(item) = access.next_element()? {
            items.push(item);
        }
        Ok(Node::List(items))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut access: A) -> Result<Node, A::Error> {
        let mut fields = Vec::new();
        while let Some(field) = access.next_entry()? {
            fields.push(field);
        }
        Ok(Node::Object(fields))
    }
}
