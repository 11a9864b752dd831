//! Compares a routing document with the one in force, object by object, for operators to read.

use std::fmt;

use indexmap::IndexMap;
use serde::Serialize;

use crate::plan_diff::DiffKind;
use crate::routing::{CustomerRule, RouteRule, RoutingDocument, RoutingVersion, ServiceRule};

/// The change of one object between two documents.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingChange {
    /// The kind of the change.
    pub kind: DiffKind,
    /// The object: its kind and name.
    pub object: String,
    /// The fields that differ, each with the values before and after; empty unless the object is changed.
    pub fields: Vec<FieldChange>,
}

/// The change of one field.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct FieldChange {
    /// The field.
    pub field: &'static str,
    /// The value before.
    pub before: String,
    /// The value after.
    pub after: String,
}

impl fmt::Display for RoutingChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind, self.object)?;
        for FieldChange {
            field,
            before,
            after,
        } in &self.fields
        {
            write!(f, "\n  {field}: {before} -> {after}")?;
        }
        Ok(())
    }
}

/// The differences between a document and the one in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub struct RoutingDiff {
    /// The version in force.
    pub in_force: u64,
    /// Whether the document's version is later, without which nodes ignore it.
    pub is_newer: bool,
    /// The changed objects.
    pub changes: Vec<RoutingChange>,
}

/// The fields of an object as texts.
type FieldTexts = Vec<(&'static str, String)>;
/// The objects of a document by kind and name.
type ObjectTexts = IndexMap<String, FieldTexts>;

/// Returns what a document changes. Keys are shown by their number and digests only.
pub fn diff_routing(in_force: &RoutingDocument, document: &RoutingDocument) -> RoutingDiff {
    let (before, after) = (objects(in_force), objects(document));
    let mut changes = Vec::new();
    for (object, fields) in &after {
        let change = match before.get(object) {
            None => Some((DiffKind::Added, Vec::new())),
            Some(earlier) => {
                let changed = changed_fields(earlier, fields);
                (!changed.is_empty()).then_some((DiffKind::Changed, changed))
            }
        };
        changes.extend(change.map(|(kind, fields)| RoutingChange {
            kind,
            object: object.clone(),
            fields,
        }));
    }
    let removed = before.keys().filter(|object| !after.contains_key(*object));
    changes.extend(removed.map(|object| RoutingChange {
        kind: DiffKind::Removed,
        object: object.clone(),
        fields: Vec::new(),
    }));
    let RoutingVersion(version) = in_force.version;
    RoutingDiff {
        in_force: version,
        is_newer: document.version > in_force.version,
        changes,
    }
}

fn changed_fields(before: &FieldTexts, after: &FieldTexts) -> Vec<FieldChange> {
    let pairs = before.iter().zip(after);
    pairs
        .filter(|(before, after)| before != after)
        .map(|((field, before), (_, after))| FieldChange {
            field,
            before: before.clone(),
            after: after.clone(),
        })
        .collect()
}

fn objects(document: &RoutingDocument) -> ObjectTexts {
    let routes = document.routes.iter();
    let routes = routes.map(|route| (format!("route {}", route.id), route_fields(route)));
    let services = document.services.iter();
    let services = services.map(|(id, service)| (format!("service {id}"), service_fields(service)));
    let customers = document.customers.iter().flatten();
    let customers = customers.map(|customer| {
        (
            format!("customer {}", customer.id),
            customer_fields(customer),
        )
    });
    let limits = &document.limits;
    let limits = [(
        "limits".to_owned(),
        vec![
            ("max_head_bytes", limits.max_head_bytes.to_string()),
            ("max_body_bytes", limits.max_body_bytes.to_string()),
            ("head_timeout", format!("{:?}", limits.head_timeout)),
            ("idle_timeout", format!("{:?}", limits.idle_timeout)),
        ],
    )];
    let keys = if document.customers.is_some() {
        "needed"
    } else {
        "not needed"
    };
    let keys = [("keys".to_owned(), vec![("for callers", keys.to_owned())])];
    limits
        .into_iter()
        .chain(keys)
        .chain(services)
        .chain(routes)
        .chain(customers)
        .collect()
}

fn route_fields(route: &RouteRule) -> FieldTexts {
    let parts = route.destinations.iter();
    let parts = parts.map(|part| format!("{} {}", part.service, part.weight));
    vec![
        ("host", route.host.clone()),
        ("path_prefix", route.path_prefix.clone()),
        ("idempotence", format!("{:?}", route.idempotence)),
        ("timeout", format!("{:?}", route.timeout)),
        (
            "latency_objective",
            format!("{:?}", route.latency_objective),
        ),
        ("priority", route.priority.0.to_string()),
        ("destinations", parts.collect::<Vec<_>>().join(", ")),
        ("max_attempts", route.max_attempts.to_string()),
        ("access", format!("{:?}", route.access)),
    ]
}

fn service_fields(service: &ServiceRule) -> FieldTexts {
    let warmup = service
        .warmup
        .map(|warmup| format!("{} requests/s for {:?}", warmup.rate_per_s, warmup.period));
    vec![
        ("warmup", warmup.unwrap_or_else(|| "-".to_owned())),
        ("health_path", service.health_path.clone()),
        ("connections", service.connections.to_string()),
    ]
}

fn customer_fields(customer: &CustomerRule) -> FieldTexts {
    let mut digests: Vec<String> = customer.keys.iter().map(ToString::to_string).collect();
    digests.sort();
    let priority = customer.priority.map(|rank| rank.0.to_string());
    vec![
        ("keys", format!("{}: {}", digests.len(), digests.join(" "))),
        ("priority", priority.unwrap_or_else(|| "-".to_owned())),
        ("rate_per_s", customer.rate_per_s.to_string()),
        ("burst", customer.burst.to_string()),
    ]
}
