//! Queries and bodies of the platform's calls, as its documentation describes them.

use std::time::Duration;

use base64::Engine;
use base64::engine::general_purpose::STANDARD as BASE64;
use bytes::Bytes;
use serde::Deserialize;
use serde_json::{Value, json};

use crate::platform_table::{MemoryRow, MemoryTransaction, RowName};

/// The parsed query string of a call.
#[derive(Debug)]
pub(crate) struct CallQuery {
    fields: Vec<(String, String)>,
}

/// A read of a range of rows.
#[derive(Debug)]
pub(crate) struct PageQuery {
    pub(crate) table: String,
    pub(crate) from: String,
    pub(crate) before: Option<String>,
    pub(crate) limit: usize,
}

/// A request for changes after a version, with the longest time to wait for them.
#[derive(Debug)]
pub(crate) struct FeedQuery {
    pub(crate) table: String,
    pub(crate) after: u64,
    pub(crate) wait: Duration,
}

impl CallQuery {
    pub(crate) fn parse(query: &str) -> Self {
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let fields = pairs.map(|(name, value)| (name.to_owned(), percent_decode(value)));
        Self {
            fields: fields.collect(),
        }
    }

    fn text(&self, name: &str) -> Option<String> {
        let field = self.fields.iter().find(|(field, _)| field == name);
        field.map(|(_, value)| value.clone())
    }

    fn number(&self, name: &str) -> Option<u64> {
        self.text(name)?.parse().ok()
    }

    pub(crate) fn page_query(&self) -> PageQuery {
        let limit = self.number("limit").and_then(|limit| limit.try_into().ok());
        PageQuery {
            table: self.text("table").unwrap_or_default(),
            from: self.text("from").unwrap_or_default(),
            before: self.text("to"),
            limit: limit.unwrap_or(usize::MAX),
        }
    }

    pub(crate) fn feed_query(&self) -> FeedQuery {
        FeedQuery {
            table: self.text("table").unwrap_or_default(),
            after: self.number("after").unwrap_or(0),
            wait: Duration::from_millis(self.number("wait_ms").unwrap_or(0)),
        }
    }
}

/// Decodes the percent-encoding of a query value; invalid escapes are kept as they are.
fn percent_decode(value: &str) -> String {
    let bytes = value.as_bytes();
    let mut decoded = Vec::new();
    let mut index = 0;
    while index < bytes.len() {
        let escaped = bytes
            .get(index + 1..index + 3)
            .filter(|_| bytes[index] == b'%')
            .and_then(|digits| std::str::from_utf8(digits).ok())
            .and_then(|digits| u8::from_str_radix(digits, 16).ok());
        decoded.push(escaped.unwrap_or(bytes[index]));
        index += if escaped.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

#[derive(Deserialize)]
struct WireEntry {
    table: String,
    key: String,
    #[serde(default)]
    row_version: u64,
    #[serde(default)]
    value: String,
}

#[derive(Deserialize)]
struct WireTransaction {
    #[serde(default)]
    expected: Vec<WireEntry>,
    #[serde(default)]
    puts: Vec<WireEntry>,
    #[serde(default)]
    remove: Vec<WireEntry>,
}

impl WireEntry {
    fn name(&self) -> RowName {
        RowName {
            table: self.table.clone(),
            key: self.key.clone(),
        }
    }
}

/// Parses a transaction; none if the body is not valid.
pub(crate) fn parse_transaction(body: &[u8]) -> Option<MemoryTransaction> {
    let wire: WireTransaction = serde_json::from_slice(body).ok()?;
    let expected = wire.expected.iter();
    let mut writes = Vec::new();
    for entry in &wire.puts {
        let value = Bytes::from(BASE64.decode(&entry.value).ok()?);
        writes.push((entry.name(), Some(value)));
    }
    writes.extend(wire.remove.iter().map(|entry| (entry.name(), None)));
    Some(MemoryTransaction {
        expected: expected
            .map(|entry| (entry.name(), entry.row_version))
            .collect(),
        writes,
    })
}

/// Builds the JSON document of rows in the platform's answers.
pub(crate) fn rows_answer(
    table: &str,
    rows: Vec<MemoryRow>,
    has_more: bool,
    version: u64,
) -> Value {
    let rows = rows.into_iter().map(|row| {
        json!({
            "table": table, "part": "", "key": row.key, "row_version": row.version,
            "value": row.value.as_ref().map(|value| BASE64.encode(value)),
            "deleted": row.value.is_none(),
        })
    });
    json!({
        "rows": rows.collect::<Vec<Value>>(), "has_more": has_more,
        "row_version": version, "now_s": 0.0,
    })
}
