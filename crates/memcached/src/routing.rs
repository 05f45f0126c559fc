//! The table that gives a standard client's request what the client does not send: class, tenant, deadline and, for
//! a write, where its idempotency key comes from.
//!
//! It guarantees that nothing becomes repeatable by a guess: a request that no route fits is refused, a write's route
//! names a class for which its repeats are provided, and a key that can't be made is an error to the client.

use std::fmt;

use sha2::{Digest, Sha256};
use sloewick_decision::api::{Class, DeduplicationScope, Idempotency, Micros};

use crate::idempotency_ledger::Key;

/// Shortest and longest key that a client may put before a value, in bytes.
pub const PREFIX: std::ops::RangeInclusive<usize> = 8..=64;

/// What a request does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    Get,
    Set,
}

/// Which keys a route is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pattern {
    Exactly(Vec<u8>),
    /// All keys that begin so; nothing: all.
    Begins(Vec<u8>),
}

impl Pattern {
    /// `logger/*` is all that begins with `logger/`; without a star it is one key. Only the last character may be
    /// a star.
    ///
    /// # Errors
    /// A star elsewhere, or nothing at all.
    pub fn read(text: &str) -> Result<Pattern, &'static str> {
        match text.strip_suffix('*') {
            _ if text.is_empty() => Err("is empty; * stands for all keys"),
            Some(begin) if begin.contains('*') => Err("has a star that is not its last character"),
            None if text.contains('*') => Err("has a star that is not its last character"),
            Some(begin) => Ok(Pattern::Begins(begin.as_bytes().to_vec())),
            None => Ok(Pattern::Exactly(text.as_bytes().to_vec())),
        }
    }

    pub fn fits(&self, key: &[u8]) -> bool {
        match self {
            Pattern::Exactly(whole) => whole == key,
            Pattern::Begins(begin) => key.starts_with(begin),
        }
    }

    /// Whether every key that fits the other fits this one.
    fn covers(&self, other: &Pattern) -> bool {
        match (self, other) {
            (Pattern::Begins(begin), Pattern::Begins(more) | Pattern::Exactly(more)) => {
                more.starts_with(begin)
            }
            (Pattern::Exactly(a), Pattern::Exactly(b)) => a == b,
            (Pattern::Exactly(_), Pattern::Begins(_)) => false,
        }
    }
}

/// Where a write's idempotency key comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyFrom {
    /// There is none: the write is not repeated.
    None,
    /// The digest of class, key and value: the same value for the same key is the same wish.
    Digest,
    /// What stands in the value before the first colon; it stays part of the value.
    Prefix,
    /// The same, and it begins with the time of the wish (Unix time in milliseconds) and a hyphen, so that a repeat
    /// that comes too late is known to be one by any node, also after a restart.
    Stamp,
}

/// One line of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pub operation: Operation,
    pub keys: Pattern,
    /// Index into the settings' classes.
    pub class: usize,
    /// Index into the settings' tenants.
    pub tenant: Option<usize>,
    /// How long the client is taken to wait.
    pub deadline: Micros,
    pub key_from: KeyFrom,
    /// Class and tenant as the RESP2 protocol writes them.
    pub fields: String,
}

/// Something wrong with a line of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Wrong {
    /// Its place, from 0.
    pub route: usize,
    pub field: &'static str,
    pub why: String,
}

impl fmt::Display for Wrong {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "route {}: {}: {}", self.route + 1, self.field, self.why)
    }
}

/// The routes, the first that fits counting.
#[derive(Clone, Debug, PartialEq)]
pub struct Table {
    routes: Vec<Route>,
}

impl Table {
    /// A table that can't make anything repeatable that is not.
    ///
    /// # Errors
    /// All that is wrong with it.
    pub fn new(routes: Vec<Route>, classes: &[Class], margin: Micros) -> Result<Table, Vec<Wrong>> {
        let mut wrong = Vec::new();
        for (i, route) in routes.iter().enumerate() {
            let mut say = |field, why: &str| {
                wrong.push(Wrong {
                    route: i,
                    field,
                    why: why.to_string(),
                })
            };
            let Some(class) = classes.get(route.class) else {
                say("class", "is none of the settings' classes");
                continue;
            };
            match (route.operation, class.idempotency, route.key_from) {
                (Operation::Get, Idempotency::Idempotent, KeyFrom::None) => {}
                (Operation::Get, Idempotency::Idempotent, _) => {
                    say("key_from", "a read has no idempotency key")
                }
                (Operation::Get, ..) => {
                    say("class", "a read needs a class that may be repeated freely")
                }
                (Operation::Set, Idempotency::Idempotent, _) => {
                    say(
                        "class",
                        "a write must not be of a class that may be repeated freely",
                    );
                }
                (Operation::Set, Idempotency::Keyed, KeyFrom::None) => {
                    say(
                        "key_from",
                        "the class is keyed: say where its key comes from",
                    );
                }
                (Operation::Set, Idempotency::NonIdempotent, _)
                    if route.key_from != KeyFrom::None =>
                {
                    say(
                        "key_from",
                        "the class may not be repeated: boxes drop nothing by this key",
                    );
                }
                (Operation::Set, Idempotency::Keyed, _) if class.deduplication_window <= margin => {
                    say("class", "boxes forget its repeats before one could arrive");
                }
                (Operation::Set, Idempotency::Keyed, _)
                    if class.deduplication_scope != DeduplicationScope::All =>
                {
                    say(
                        "class",
                        "only part of the boxes drops its repeats: one on another connection may miss it",
                    );
                }
                (Operation::Set, ..) => {}
            }
            if route.deadline <= 0 || route.deadline > class.deadline {
                say("deadline", "must be above zero and within the class's own");
            }
            let earlier = routes[..i]
                .iter()
                .position(|r| r.operation == route.operation && r.keys.covers(&route.keys));
            if let Some(earlier) = earlier {
                say(
                    "keys",
                    &format!("no key comes here: route {} takes them all", earlier + 1),
                );
            }
        }
        if wrong.is_empty() {
            Ok(Table { routes })
        } else {
            Err(wrong)
        }
    }

    /// The route of a request; none: it is refused.
    pub fn find(&self, operation: Operation, key: &[u8]) -> Option<&Route> {
        self.routes
            .iter()
            .find(|r| r.operation == operation && r.keys.fits(key))
    }
}

/// The time that stands in a stamped key, in microseconds of Unix time.
pub fn stamp(key: &str) -> Option<Micros> {
    let (ms, rest) = key.split_once('-')?;
    // Thirteen digits until the year 2286; anything else is some other number.
    let plain = ms.len() == 13 && ms.bytes().all(|b| b.is_ascii_digit()) && !rest.is_empty();
    ms.parse::<Micros>()
        .ok()
        .filter(|_| plain)
        .map(|ms| ms * 1000)
}

impl Route {
    /// The idempotency key of a write; none where its route has none.
    ///
    /// # Errors
    /// The value does not begin with a key though the route says so.
    pub fn key(&self, key: &[u8], value: &[u8]) -> Result<Option<Key>, &'static str> {
        match self.key_from {
            KeyFrom::None => Ok(None),
            KeyFrom::Digest => {
                let mut digest = Sha256::new();
                // Lengths first, so that no two pairs of key and value run together to one text.
                digest.update((self.class as u64).to_be_bytes());
                digest.update((key.len() as u64).to_be_bytes());
                digest.update(key);
                digest.update(value);
                let hex: String = digest.finalize()[..16]
                    .iter()
                    .map(|b| format!("{b:02x}"))
                    .collect();
                Ok(Some(hex.into()))
            }
            KeyFrom::Prefix | KeyFrom::Stamp => {
                let end = value.iter().take(PREFIX.end() + 1).position(|b| *b == b':');
                let prefix = end
                    .map(|end| &value[..end])
                    .filter(|p| PREFIX.contains(&p.len()));
                // It travels in a list of fields: nothing that would end a field may stand in it.
                let plain = |p: &&[u8]| p.iter().all(|b| b.is_ascii_alphanumeric() || *b == b'-');
                let text = prefix
                    .filter(plain)
                    .and_then(|p| std::str::from_utf8(p).ok());
                if self.key_from == KeyFrom::Stamp && text.is_some_and(|text| stamp(text).is_none())
                {
                    return Err(
                        "the idempotency key must begin with Unix time in milliseconds and a hyphen",
                    );
                }
                text.map(|text| Some(text.into())).ok_or(
                    "the value must begin with an idempotency key of 8 to 64 letters, digits or -, and a colon",
                )
            }
        }
    }
}

#[cfg(test)]
#[path = "routing_tests.rs"]
mod tests;
