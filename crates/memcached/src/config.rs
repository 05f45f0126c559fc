//! The file that switches the memcached front and boxes on; `docs/memcached.md` describes its fields.

use std::net::SocketAddr;

use sloewick_decision::api::{Class, Idempotency, Micros};
use sloewick_decision::settings::Names;
use sloewick_toml_config::{read, Problem, Reader, Section};

use crate::idempotency_ledger::Limits;
use crate::routing::{KeyFrom, Operation, Pattern, Route, Table};

/// Longest value that may be let in: the RESP2 protocol's own limit.
const VALUE_MOST: u32 = 4 << 20;
/// What one entry of the ledger takes at the most: its key (64 bytes) thrice, with what holds them.
pub const ENTRY_MEMORY: usize = 512;
/// The ledger may take this part of the node's memory (one in sixteen).
pub const LEDGER_PART: usize = 16;

/// What the file sets.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// Where clients that speak the binary protocol are listened for; none: nowhere.
    pub listen: Option<SocketAddr>,
    /// Longest value that is let in, in bytes.
    pub value_most: usize,
    pub routes: Table,
    pub ledger: Limits,
    /// How far a client's clock may be off (keys that carry a time).
    pub skew: Micros,
    /// Models of boxes, as the list names them, that speak the binary protocol.
    pub models: Vec<String>,
}

const TOP: [&str; 5] = ["listen", "value_most", "ledger", "route", "box"];
const LEDGER: [&str; 4] = ["entries", "remember_ms", "margin_ms", "clock_skew_ms"];
const ROUTE: [&str; 6] = [
    "operation",
    "keys",
    "class",
    "tenant",
    "deadline_ms",
    "key_from",
];

/// Reads the file. `names` and `classes` are the node's settings, `memory` its memory in bytes.
///
/// # Errors
/// All that is wrong with it.
pub fn parse(
    text: &str,
    names: &Names,
    classes: &[Class],
    memory: usize,
) -> Result<File, Vec<Problem>> {
    read(text, |r, top| {
        r.reject_unknown_fields(top, &TOP);
        let address = |text: &str| text.parse::<SocketAddr>().ok();
        let listen = top.has("listen").then(|| {
            r.parsed_text(
                top,
                "listen",
                "an address with a port, like \"127.0.0.1:11211\"",
                None,
                address,
            )
        });
        let value_most = r.integer(top, "value_most", 1..=VALUE_MOST, Some(1 << 20));
        let ledger = r.section(top, "ledger");
        let (mut limits, skew) = ledger_of(r, ledger.unwrap_or(top), ledger.is_some(), memory);
        let margin = limits.margin;
        let sections = r.list(top, "route");
        if listen.is_some() && sections.is_empty() {
            r.report(
                top,
                "route",
                "is missing: without a route every request is refused; allowed: [[route]]",
            );
        }
        let routes: Vec<Option<Route>> = sections
            .iter()
            .map(|s| route(r, *s, names, classes))
            .collect();
        let whole = routes.iter().all(Option::is_some);
        // The shortest window of what is set by a key holds for all of it.
        let keyed = routes.iter().zip(&sections).filter_map(|(route, section)| {
            let class = classes.get(route.as_ref()?.class)?;
            (class.idempotency == Idempotency::Keyed).then_some((
                route.as_ref()?,
                class.deduplication_window,
                *section,
            ))
        });
        let keyed: Vec<_> = keyed.collect();
        limits.window = keyed
            .iter()
            .map(|(_, window, _)| *window)
            .min()
            .unwrap_or(0);
        if limits.remember < limits.window {
            let why = format!(
                "is {}; boxes drop repeats for {} ms, and a repeat after that must still be known; allowed: no less",
                limits.remember / 1000,
                limits.window / 1000
            );
            r.report(ledger.unwrap_or(top), "remember_ms", why);
        }
        for (_, _, section) in keyed
            .iter()
            .filter(|(route, ..)| route.key_from == KeyFrom::Stamp)
        {
            if limits.window <= margin + skew {
                let why = format!(
                    "no stamp could be in time: boxes drop repeats for {} ms, and margin_ms and clock_skew_ms are {} ms",
                    limits.window / 1000,
                    (margin + skew) / 1000
                );
                r.report(*section, "key_from", why);
            }
        }
        let table = match Table::new(routes.into_iter().flatten().collect(), classes, margin) {
            Ok(table) => Some(table),
            Err(wrong) => {
                // Their places are true only if none was left out.
                for w in wrong.into_iter().filter(|_| whole) {
                    r.report(sections[w.route], w.field, w.why);
                }
                None
            }
        };
        let mut models = Vec::new();
        for section in r.list(top, "box") {
            r.reject_unknown_fields(section, &["model", "protocol"]);
            let protocol = r.parsed_text(section, "protocol", "\"memcached\"", None, |word| {
                (word == "memcached").then_some(())
            });
            let model = r.text(section, "model", "a model of the list's entries");
            if let (Some(model), Some(())) = (model, protocol) {
                if models.iter().any(|m| m == model) {
                    r.report(section, "model", "stands there twice");
                }
                models.push(model.to_string());
            }
        }
        Some(File {
            listen: listen.flatten(),
            value_most: value_most? as usize,
            routes: table?,
            ledger: limits,
            skew,
            models,
        })
    })
}

fn ledger_of(r: &mut Reader, section: Section, there: bool, memory: usize) -> (Limits, Micros) {
    let room = memory / LEDGER_PART / ENTRY_MEMORY;
    let usual = 4096.min(room) as u32;
    // Without a section the usual values hold; the top level has none of these names.
    if there {
        r.reject_unknown_fields(section, &LEDGER);
    }
    let ms = |n: Option<u32>| Micros::from(n.unwrap_or_default()) * 1000;
    let entries = r
        .integer(section, "entries", 1..=1_000_000, Some(usual))
        .unwrap_or(usual) as usize;
    let remember = ms(r.integer(section, "remember_ms", 1..=86_400_000, Some(600_000)));
    let margin = ms(r.integer(section, "margin_ms", 0..=60_000, Some(1_000)));
    let skew = ms(r.integer(section, "clock_skew_ms", 0..=60_000, Some(500)));
    if entries > room {
        let why = format!(
            "is {entries}; with {ENTRY_MEMORY} bytes each that is over one part in {LEDGER_PART} of memory_mb; \
             allowed: up to {room}"
        );
        r.report(section, "entries", why);
    }
    (
        Limits {
            entries,
            receipt: 0,
            window: 0,
            margin,
            remember,
        },
        skew,
    )
}

fn route(r: &mut Reader, section: Section, names: &Names, classes: &[Class]) -> Option<Route> {
    r.reject_unknown_fields(section, &ROUTE);
    let operation =
        r.parsed_text(
            section,
            "operation",
            "\"get\" or \"set\"",
            None,
            |word| match word {
                "get" => Some(Operation::Get),
                "set" => Some(Operation::Set),
                _ => None,
            },
        );
    let keys = r
        .text(section, "keys", "a key, or the beginning of keys and *")
        .and_then(|text| {
            Pattern::read(text)
                .map_err(|why| r.report(section, "keys", format!("{text:?} {why}")))
                .ok()
        });
    let class_name = r.text(section, "class", "a class of the node's settings");
    let class = class_name.and_then(|name| {
        let class = names.class(name);
        if class.is_none() {
            r.report(
                section,
                "class",
                format!("{name:?} is no class of the node's settings"),
            );
        }
        class
    });
    let tenant_name = section
        .has("tenant")
        .then(|| r.text(section, "tenant", "a tenant (realm) of the settings"));
    let tenant = tenant_name.flatten().and_then(|name| {
        let tenant = names.tenant(name);
        if tenant.is_none() {
            r.report(
                section,
                "tenant",
                format!("{name:?} is no tenant (realm) of the node's settings"),
            );
        }
        tenant
    });
    let longest = class
        .and_then(|c| classes.get(c))
        .map_or(3_600_000, |c| c.deadline / 1000);
    let longest = u32::try_from(longest).unwrap_or(u32::MAX).max(1);
    let deadline = r.integer(section, "deadline_ms", 1..=longest, Some(longest));
    let words = "\"none\", \"digest\", \"prefix\" or \"stamp\"";
    let key_from = r.parsed_text(
        section,
        "key_from",
        words,
        Some(KeyFrom::None),
        |word| match word {
            "none" => Some(KeyFrom::None),
            "digest" => Some(KeyFrom::Digest),
            "prefix" => Some(KeyFrom::Prefix),
            "stamp" => Some(KeyFrom::Stamp),
            _ => None,
        },
    );
    let mut fields = format!("c={}", class_name?);
    if let Some(name) = tenant_name.flatten() {
        fields += &format!(",t={name}");
    }
    Some(Route {
        operation: operation?,
        keys: keys?,
        class: class?,
        tenant,
        deadline: Micros::from(deadline?) * 1000,
        key_from: key_from?,
        fields,
    })
}

#[cfg(test)]
#[path = "config_tests.rs"]
mod tests;
