//! The configuration file of the memcached frontend and of the cache servers that use the memcached binary protocol;
//! `docs/memcached.md` describes its fields.
//!
//! [`parse`] reports all errors of the file at once, each with its line and its field, and guarantees that a
//! [`MemcachedConfig`] is consistent with the node's settings: each route's class and tenant exist, the ledger fits into
//! its share of the node's memory, and it remembers a write for at least as long as cache servers deduplicate it.

use std::net::SocketAddr;

use sloewick_decision::api::{Class, Idempotency, Micros};
use sloewick_decision::settings::Names;
use sloewick_toml_config::{read, Problem, Reader, Section};

use crate::idempotency_ledger::LedgerLimits;
use crate::routing::{KeySource, Operation, Pattern, Route, RoutingTable};

/// Upper bound of `value_most`, in bytes: the limit of the RESP2 codec.
const MAX_VALUE_BYTES: u32 = 4 << 20;
/// Default of `value_most`, in bytes.
const DEFAULT_MAX_VALUE_BYTES: u32 = 1 << 20;
/// Upper bound of the memory that an entry of the ledger takes, in bytes: three copies of its key (64 bytes) and the
/// collections that hold them.
pub const LEDGER_ENTRY_BYTES: usize = 512;
/// The ledger may use at most the node's memory divided by this number.
pub const LEDGER_MEMORY_DIVISOR: usize = 16;
/// Upper bound of the ledger's `entries`.
const MAX_LEDGER_ENTRIES: u32 = 1_000_000;
/// Default of the ledger's `entries`, reduced if the node's memory does not allow as many.
const DEFAULT_LEDGER_ENTRIES: usize = 4096;
/// Upper bound of the ledger's `remember_ms`, in milliseconds: one day.
const MAX_RETENTION_MS: u32 = 86_400_000;
/// Upper bound of the `deadline_ms` of a route whose class is unknown, in milliseconds: one hour.
const MAX_DEADLINE_MS: Micros = 3_600_000;

const TOP_LEVEL_FIELDS: [&str; 5] = ["listen", "value_most", "ledger", "route", "box"];
const LEDGER_FIELDS: [&str; 4] = ["entries", "remember_ms", "margin_ms", "clock_skew_ms"];
const ROUTE_FIELDS: [&str; 6] = [
    "operation",
    "keys",
    "class",
    "tenant",
    "deadline_ms",
    "key_from",
];

/// The contents of the configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct MemcachedConfig {
    /// Listen address for memcached clients; `None` if only cache servers use the protocol.
    pub listen: Option<SocketAddr>,
    /// Longest value that a client may set, in bytes.
    pub max_value_bytes: usize,
    /// The routing table of client requests.
    pub routes: RoutingTable,
    /// The limits of the idempotency ledger.
    pub ledger: LedgerLimits,
    /// Maximum clock skew of a client, in microseconds; used for idempotency keys that carry a timestamp.
    pub max_clock_skew: Micros,
    /// Models of the cache servers that use the binary protocol, as named in the endpoint list.
    pub cache_server_models: Vec<String>,
}

/// The `[ledger]` section.
struct LedgerSettings {
    limits: LedgerLimits,
    max_clock_skew: Micros,
}

/// A route whose class requires idempotency keys.
struct KeyedRoute<'a> {
    route: &'a Route,
    deduplication_window: Micros,
    section: Section<'a>,
}

/// Parses the configuration file. `names` and `classes` come from the node's settings; `memory` is the node's memory in
/// bytes.
///
/// # Errors
/// All errors of the file, in the order of their lines.
pub fn parse(
    text: &str,
    names: &Names,
    classes: &[Class],
    memory: usize,
) -> Result<MemcachedConfig, Vec<Problem>> {
    read(text, |reader, top| {
        reader.reject_unknown_fields(top, &TOP_LEVEL_FIELDS);
        let listen = read_listen_address(reader, top);
        let max_value_bytes = reader.integer(
            top,
            "value_most",
            1..=MAX_VALUE_BYTES,
            Some(DEFAULT_MAX_VALUE_BYTES),
        );
        let ledger_section = reader.section(top, "ledger");
        let mut ledger = read_ledger(reader, top, ledger_section, memory);
        let route_sections = reader.list(top, "route");
        if top.has_field("listen") && route_sections.is_empty() {
            reader.report(
                top,
                "route",
                "is missing: without a route every request is rejected; allowed: [[route]]",
            );
        }
        let routes: Vec<Option<Route>> = route_sections
            .iter()
            .map(|section| read_route(reader, *section, names, classes))
            .collect();
        let keyed_routes = keyed_routes(&routes, &route_sections, classes);
        // The ledger applies one window to all keys: the shortest of all routes.
        ledger.limits.deduplication_window = keyed_routes
            .iter()
            .map(|keyed| keyed.deduplication_window)
            .min()
            .unwrap_or(0);
        check_retention(reader, ledger_section.unwrap_or(top), &ledger.limits);
        check_timestamp_routes(reader, &keyed_routes, &ledger);
        let margin = ledger.limits.margin;
        let routes = make_table(reader, routes, &route_sections, classes, margin);
        let models = read_models(reader, top);
        Some(MemcachedConfig {
            listen,
            max_value_bytes: max_value_bytes? as usize,
            routes: routes?,
            ledger: ledger.limits,
            max_clock_skew: ledger.max_clock_skew,
            cache_server_models: models,
        })
    })
}

fn read_listen_address(reader: &mut Reader<'_>, top: Section<'_>) -> Option<SocketAddr> {
    if !top.has_field("listen") {
        return None;
    }
    reader.parsed_text(
        top,
        "listen",
        "an address with a port, like \"127.0.0.1:11211\"",
        None,
        |text| text.parse::<SocketAddr>().ok(),
    )
}

/// Reads the `[ledger]` section, or its defaults if there is none. The deduplication window is left at 0, since it
/// depends on the routes.
fn read_ledger(
    reader: &mut Reader<'_>,
    top: Section<'_>,
    ledger_section: Option<Section<'_>>,
    memory: usize,
) -> LedgerSettings {
    let max_entries = memory / LEDGER_MEMORY_DIVISOR / LEDGER_ENTRY_BYTES;
    let default_entries = DEFAULT_LEDGER_ENTRIES.min(max_entries) as u32;
    if let Some(section) = ledger_section {
        reader.reject_unknown_fields(section, &LEDGER_FIELDS);
    }
    // Without a section the defaults apply, since the top level has no fields of these names.
    let section = ledger_section.unwrap_or(top);
    let entries = reader
        .integer(
            section,
            "entries",
            1..=MAX_LEDGER_ENTRIES,
            Some(default_entries),
        )
        .unwrap_or(default_entries) as usize;
    let retention = reader.integer(section, "remember_ms", 1..=MAX_RETENTION_MS, Some(600_000));
    let margin = reader.integer(section, "margin_ms", 0..=60_000, Some(1_000));
    let max_clock_skew = reader.integer(section, "clock_skew_ms", 0..=60_000, Some(500));
    if entries > max_entries {
        let why = format!(
            "is {entries}; at {LEDGER_ENTRY_BYTES} bytes each, the entries exceed 1/{LEDGER_MEMORY_DIVISOR} of memory_mb; \
             allowed: up to {max_entries}"
        );
        reader.report(section, "entries", why);
    }
    let micros = |millis: Option<u32>| Micros::from(millis.unwrap_or_default()) * 1000;
    LedgerSettings {
        limits: LedgerLimits {
            max_entries: entries,
            max_receipt_bytes: 0,
            deduplication_window: 0,
            margin: micros(margin),
            retention: micros(retention),
        },
        max_clock_skew: micros(max_clock_skew),
    }
}

/// Reads a `[[route]]` section; `None` if it has errors.
fn read_route(
    reader: &mut Reader<'_>,
    section: Section<'_>,
    names: &Names,
    classes: &[Class],
) -> Option<Route> {
    reader.reject_unknown_fields(section, &ROUTE_FIELDS);
    let operation = read_operation(reader, section);
    let keys = read_pattern(reader, section);
    let class_name = reader.text(section, "class", "a class of the node's settings");
    let class = class_name.and_then(|name| find_class(reader, section, names, name));
    let tenant_name = if section.has_field("tenant") {
        reader.text(section, "tenant", "a tenant (realm) of the node's settings")
    } else {
        None
    };
    let tenant = tenant_name.and_then(|name| find_tenant(reader, section, names, name));
    let max_deadline_ms = class
        .and_then(|index| classes.get(index))
        .map_or(MAX_DEADLINE_MS, |class| class.deadline / 1000);
    let max_deadline_ms = u32::try_from(max_deadline_ms).unwrap_or(u32::MAX).max(1);
    let deadline_ms = reader.integer(
        section,
        "deadline_ms",
        1..=max_deadline_ms,
        Some(max_deadline_ms),
    );
    let key_source = read_key_source(reader, section);
    let mut fields = format!("c={}", class_name?);
    if let Some(name) = tenant_name {
        fields.push_str(",t=");
        fields.push_str(name);
    }
    Some(Route {
        operation: operation?,
        keys: keys?,
        class: class?,
        tenant,
        deadline: Micros::from(deadline_ms?) * 1000,
        key_source: key_source?,
        resp2_fields: fields,
    })
}

fn read_operation(reader: &mut Reader<'_>, section: Section<'_>) -> Option<Operation> {
    let parse = |word: &str| match word {
        "get" => Some(Operation::Get),
        "set" => Some(Operation::Set),
        _ => None,
    };
    reader.parsed_text(section, "operation", "\"get\" or \"set\"", None, parse)
}

fn read_pattern(reader: &mut Reader<'_>, section: Section<'_>) -> Option<Pattern> {
    let text = reader.text(section, "keys", "a key, or a prefix of keys followed by *")?;
    match Pattern::parse(text) {
        Ok(pattern) => Some(pattern),
        Err(error) => {
            reader.report(section, "keys", format!("{text:?} {error}"));
            None
        }
    }
}

fn find_class(
    reader: &mut Reader<'_>,
    section: Section<'_>,
    names: &Names,
    name: &str,
) -> Option<usize> {
    let class = names.class(name);
    if class.is_none() {
        let why = format!("{name:?} is not a class of the node's settings");
        reader.report(section, "class", why);
    }
    class
}

fn find_tenant(
    reader: &mut Reader<'_>,
    section: Section<'_>,
    names: &Names,
    name: &str,
) -> Option<usize> {
    let tenant = names.tenant(name);
    if tenant.is_none() {
        let why = format!("{name:?} is not a tenant (realm) of the node's settings");
        reader.report(section, "tenant", why);
    }
    tenant
}

fn read_key_source(reader: &mut Reader<'_>, section: Section<'_>) -> Option<KeySource> {
    let parse = |word: &str| match word {
        "none" => Some(KeySource::None),
        "digest" => Some(KeySource::Digest),
        "prefix" => Some(KeySource::Prefix),
        "stamp" => Some(KeySource::Timestamp),
        _ => None,
    };
    let allowed = "\"none\", \"digest\", \"prefix\" or \"stamp\"";
    reader.parsed_text(section, "key_from", allowed, Some(KeySource::None), parse)
}

/// The routes without errors whose class requires idempotency keys, with their sections.
fn keyed_routes<'a>(
    routes: &'a [Option<Route>],
    sections: &[Section<'a>],
    classes: &[Class],
) -> Vec<KeyedRoute<'a>> {
    let keyed = |(route, section): (&'a Option<Route>, &Section<'a>)| {
        let route = route.as_ref()?;
        let class = classes.get(route.class)?;
        (class.idempotency == Idempotency::Keyed).then_some(KeyedRoute {
            route,
            deduplication_window: class.deduplication_window,
            section: *section,
        })
    };
    routes.iter().zip(sections).filter_map(keyed).collect()
}

/// Reports a retention that is shorter than the deduplication window, because the ledger must still recognize a retry
/// that arrives after the window.
fn check_retention(reader: &mut Reader<'_>, section: Section<'_>, limits: &LedgerLimits) {
    if limits.retention >= limits.deduplication_window {
        return;
    }
    let why = format!(
        "is {}; cache servers deduplicate for {} ms, and a later retry must still be recognized; allowed: at least that long",
        limits.retention / 1000,
        limits.deduplication_window / 1000
    );
    reader.report(section, "remember_ms", why);
}

/// Reports routes with timestamp keys if margin and clock skew together are as long as the deduplication window or longer:
/// every such key would count as expired.
fn check_timestamp_routes(
    reader: &mut Reader<'_>,
    keyed_routes: &[KeyedRoute<'_>],
    ledger: &LedgerSettings,
) {
    let window = ledger.limits.deduplication_window;
    let margin_and_skew = ledger.limits.margin + ledger.max_clock_skew;
    if window > margin_and_skew {
        return;
    }
    for keyed in keyed_routes {
        if keyed.route.key_source != KeySource::Timestamp {
            continue;
        }
        let why = format!(
            "every timestamp would be too old: cache servers deduplicate for {} ms, and margin_ms and clock_skew_ms add up to {} ms",
            window / 1000,
            margin_and_skew / 1000
        );
        reader.report(keyed.section, "key_from", why);
    }
}

/// Builds the routing table from the routes without errors. Returns `None` if the table has problems, which it reports if
/// all routes were valid.
fn make_table(
    reader: &mut Reader<'_>,
    routes: Vec<Option<Route>>,
    sections: &[Section<'_>],
    classes: &[Class],
    margin: Micros,
) -> Option<RoutingTable> {
    let complete = routes.iter().all(Option::is_some);
    let routes = routes.into_iter().flatten().collect();
    match RoutingTable::new(routes, classes, margin) {
        Ok(table) => Some(table),
        Err(problems) => {
            // The index of a route is the index of its section only if no route was left out.
            for problem in problems.iter().filter(|_| complete) {
                let section = sections[problem.route];
                reader.report(section, problem.error.field(), problem.error.to_string());
            }
            None
        }
    }
}

/// Reads the `[[box]]` sections: the models of cache servers that use the binary protocol.
fn read_models(reader: &mut Reader<'_>, top: Section<'_>) -> Vec<String> {
    let mut models = Vec::new();
    for section in reader.list(top, "box") {
        reader.reject_unknown_fields(section, &["model", "protocol"]);
        let protocol = reader.parsed_text(section, "protocol", "\"memcached\"", None, |word| {
            (word == "memcached").then_some(())
        });
        let model = reader.text(
            section,
            "model",
            "a model of cache servers in the endpoint list",
        );
        let (Some(model), Some(())) = (model, protocol) else {
            continue;
        };
        if models.iter().any(|known| known == model) {
            reader.report(section, "model", "is listed twice");
        }
        models.push(model.to_string());
    }
    models
}

#[cfg(test)]
#[path = "config_tests.rs"]
mod tests;
