//! The routing table: derives the class, tenant and deadline of a memcached request and, for a write, its idempotency
//! key, none of which a standard client sends.
//!
//! The table guarantees that a write is retried only if the retry is known to be safe: a request that matches no route is
//! rejected, the class of a write's route either deduplicates retries or forbids them, and a value without the required
//! idempotency key is rejected with an error to the client.
//! The table is immutable after [`RoutingTable::new`]. `docs/memcached.md` describes its fields.

use std::fmt::Write;

use sha2::{Digest, Sha256};
use sloewick_decision::api::{Class, DeduplicationScope, Idempotency, Micros};
use thiserror::Error;

use crate::idempotency_ledger::IdempotencyKey;

/// Allowed length of an idempotency key that a client sends at the beginning of a value, in bytes.
pub const KEY_PREFIX_BYTES: std::ops::RangeInclusive<usize> = 8..=64;
/// Number of leading bytes of the SHA-256 digest that form an idempotency key.
const DIGEST_KEY_BYTES: usize = 16;
/// Number of decimal digits of Unix time in milliseconds, until the year 2286.
const TIMESTAMP_DIGITS: usize = 13;

/// The operation of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Operation {
    /// Reads a value.
    Get,
    /// Writes a value.
    Set,
}

/// Why a text is not a valid pattern. The message is shown after the quoted text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum PatternError {
    /// The text is empty.
    #[error("is empty; * stands for all keys")]
    Empty,
    /// The text contains a star that is not its last character.
    #[error("has a star that is not its last character")]
    MisplacedStar,
}

/// The set of keys that a route applies to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Pattern {
    /// One key.
    Exact(Vec<u8>),
    /// All keys that begin with these bytes; all keys if there are none.
    Prefix(Vec<u8>),
}

impl Pattern {
    /// Parses a pattern: `logger/*` stands for all keys that begin with `logger/`; a text without a star is one key.
    ///
    /// # Errors
    /// The text is empty, or a star is not its last character.
    pub fn parse(text: &str) -> Result<Pattern, PatternError> {
        if text.is_empty() {
            return Err(PatternError::Empty);
        }
        let prefix = text.strip_suffix('*');
        if prefix.unwrap_or(text).contains('*') {
            return Err(PatternError::MisplacedStar);
        }
        Ok(match prefix {
            Some(prefix) => Pattern::Prefix(prefix.as_bytes().to_vec()),
            None => Pattern::Exact(text.as_bytes().to_vec()),
        })
    }

    /// Whether the pattern matches a key.
    pub fn matches(&self, key: &[u8]) -> bool {
        match self {
            Pattern::Exact(exact) => exact == key,
            Pattern::Prefix(prefix) => key.starts_with(prefix),
        }
    }

    /// Whether every key that matches the other pattern matches this one.
    fn covers(&self, other: &Pattern) -> bool {
        match (self, other) {
            (Pattern::Prefix(prefix), Pattern::Prefix(longer) | Pattern::Exact(longer)) => {
                longer.starts_with(prefix)
            }
            (Pattern::Exact(key), Pattern::Exact(other_key)) => key == other_key,
            (Pattern::Exact(_), Pattern::Prefix(_)) => false,
        }
    }
}

/// Where the idempotency key of a write comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeySource {
    /// The write has no idempotency key and is not retried.
    None,
    /// The digest of class, key and value: two writes of the same value to the same key are one operation.
    Digest,
    /// The part of the value before its first colon. The value is forwarded with this part.
    Prefix,
    /// Like [`KeySource::Prefix`], but the idempotency key must begin with the time of the operation (Unix time in
    /// milliseconds) and a hyphen. This lets any node recognize a retry that arrives too late to be deduplicated,
    /// even after the node has restarted.
    Timestamp,
}

/// Why a value has no idempotency key of the form that its route requires. The message is sent to the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum IdempotencyKeyError {
    /// The value does not begin with an idempotency key.
    #[error("{}", self.message())]
    MissingPrefix,
    /// The idempotency key does not begin with a timestamp.
    #[error("{}", self.message())]
    MissingTimestamp,
}

impl IdempotencyKeyError {
    /// The message that is sent to the client.
    pub fn message(self) -> &'static str {
        match self {
            IdempotencyKeyError::MissingPrefix => {
                "the value must begin with an idempotency key of 8 to 64 letters, digits or -, and a colon"
            }
            IdempotencyKeyError::MissingTimestamp => {
                "the idempotency key must begin with Unix time in milliseconds and a hyphen"
            }
        }
    }
}

/// One route of the table.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The operation that the route applies to.
    pub operation: Operation,
    /// The keys that the route applies to.
    pub keys: Pattern,
    /// The class of the request: an index into the classes of the node's settings.
    pub class: usize,
    /// The tenant of the request: an index into the tenants of the node's settings. `None` if the route names no tenant.
    pub tenant: Option<usize>,
    /// How long the client is assumed to wait for a response, in microseconds.
    pub deadline: Micros,
    /// Where the idempotency key of a write comes from.
    pub key_source: KeySource,
    /// Class and tenant as the list of fields of a RESP2 request, for example `c=alarm-set,t=distribution`.
    pub resp2_fields: String,
}

impl Route {
    /// The idempotency key of a write; `None` if the route has no key source.
    ///
    /// # Errors
    /// The value does not begin with the idempotency key that the route requires.
    pub fn idempotency_key(
        &self,
        key: &[u8],
        value: &[u8],
    ) -> Result<Option<IdempotencyKey>, IdempotencyKeyError> {
        match self.key_source {
            KeySource::None => Ok(None),
            KeySource::Digest => Ok(Some(self.digest_key(key, value))),
            KeySource::Prefix => {
                let prefix = key_prefix(value).ok_or(IdempotencyKeyError::MissingPrefix)?;
                Ok(Some(prefix.into()))
            }
            KeySource::Timestamp => {
                let prefix = key_prefix(value).ok_or(IdempotencyKeyError::MissingPrefix)?;
                key_timestamp(prefix).ok_or(IdempotencyKeyError::MissingTimestamp)?;
                Ok(Some(prefix.into()))
            }
        }
    }

    /// The idempotency key derived from class, key and value: a prefix of their SHA-256 digest in hexadecimal.
    fn digest_key(&self, key: &[u8], value: &[u8]) -> IdempotencyKey {
        let mut digest = Sha256::new();
        // The key's length precedes the key so that two different pairs of key and value never hash the same bytes.
        digest.update((self.class as u64).to_be_bytes());
        digest.update((key.len() as u64).to_be_bytes());
        digest.update(key);
        digest.update(value);
        let mut hex = String::with_capacity(2 * DIGEST_KEY_BYTES);
        for byte in &digest.finalize()[..DIGEST_KEY_BYTES] {
            // Writing to a string does not fail.
            let _ = write!(hex, "{byte:02x}");
        }
        hex.into()
    }
}

/// The idempotency key at the beginning of a value; `None` if there is none of the allowed length and characters.
fn key_prefix(value: &[u8]) -> Option<&str> {
    let end = value
        .iter()
        .take(KEY_PREFIX_BYTES.end() + 1)
        .position(|byte| *byte == b':')?;
    let prefix = &value[..end];
    // The key is sent in a list of fields, so it must not contain a character that ends a field.
    let allowed = prefix
        .iter()
        .all(|byte| byte.is_ascii_alphanumeric() || *byte == b'-');
    if !KEY_PREFIX_BYTES.contains(&prefix.len()) || !allowed {
        return None;
    }
    std::str::from_utf8(prefix).ok()
}

/// The timestamp of an idempotency key of [`KeySource::Timestamp`], as Unix time in microseconds; `None` if the key does
/// not begin with one.
pub fn key_timestamp(key: &str) -> Option<Micros> {
    let (digits, rest) = key.split_once('-')?;
    let valid = digits.len() == TIMESTAMP_DIGITS
        && digits.bytes().all(|byte| byte.is_ascii_digit())
        && !rest.is_empty();
    if !valid {
        return None;
    }
    digits.parse::<Micros>().ok().map(|millis| millis * 1000)
}

/// Why a route cannot be used. The messages are shown to users, after the name of the field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RouteError {
    /// The index of the class is out of range.
    #[error("is not a class of the node's settings")]
    UnknownClass,
    /// A route of reads has a key source.
    #[error("a read has no idempotency key")]
    ReadWithKey,
    /// A route of reads has a class whose requests are not idempotent.
    #[error("a read needs a class that may be retried freely (\"repeat\": \"free\")")]
    ReadOfWriteClass,
    /// A route of writes has a class whose requests are retried without an idempotency key.
    #[error("a write must not be of a class that may be retried freely (\"repeat\": \"free\")")]
    WriteOfReadClass,
    /// The class requires idempotency keys and the route has no key source.
    #[error("the class requires an idempotency key: set the source of the key")]
    MissingKeySource,
    /// The class is not retried and the route has a key source.
    #[error("the class may not be retried: cache servers do not deduplicate it by this key")]
    KeyOfNonIdempotentClass,
    /// The deduplication window of the class is not longer than the margin.
    #[error("the deduplication window of the class ends before a retry could arrive")]
    WindowTooShort,
    /// Not all cache servers deduplicate the class.
    #[error("only some cache servers deduplicate the class: a retry on another connection may run again")]
    PartialDeduplication,
    /// The deadline is not positive, or longer than that of the class.
    #[error("must be above zero and at most the deadline of the class")]
    DeadlineOutOfRange,
    /// An earlier route matches all the route's keys.
    #[error("the route is unreachable: route {} matches all its keys", .earlier + 1)]
    Unreachable {
        /// Index of the earlier route, counted from 0; the message counts from 1.
        earlier: usize,
    },
}

impl RouteError {
    /// Name of the route's field in the configuration file that has to be corrected.
    pub fn field(self) -> &'static str {
        match self {
            RouteError::UnknownClass
            | RouteError::ReadOfWriteClass
            | RouteError::WriteOfReadClass
            | RouteError::WindowTooShort
            | RouteError::PartialDeduplication => "class",
            RouteError::ReadWithKey
            | RouteError::MissingKeySource
            | RouteError::KeyOfNonIdempotentClass => "key_from",
            RouteError::DeadlineOutOfRange => "deadline",
            RouteError::Unreachable { .. } => "keys",
        }
    }
}

/// An error in one route of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("route {}: {}: {error}", .route + 1, .error.field())]
pub struct RouteProblem {
    /// Index of the route, counted from 0; the message counts from 1.
    pub route: usize,
    /// The error of the route.
    pub error: RouteError,
}

/// The routes in order of precedence: a request takes the first one that matches it.
#[derive(Clone, Debug, PartialEq)]
pub struct RoutingTable {
    routes: Vec<Route>,
}

impl RoutingTable {
    /// Checks routes against the classes of the node's settings and builds a table from them. `margin` is the time that
    /// a message may take to a cache server, in microseconds.
    ///
    /// # Errors
    /// All problems of all routes, in the order of the routes.
    pub fn new(
        routes: Vec<Route>,
        classes: &[Class],
        margin: Micros,
    ) -> Result<RoutingTable, Vec<RouteProblem>> {
        let mut problems = Vec::new();
        for (index, route) in routes.iter().enumerate() {
            let errors = route_errors(route, &routes[..index], classes, margin);
            problems.extend(errors.map(|error| RouteProblem {
                route: index,
                error,
            }));
        }
        if problems.is_empty() {
            Ok(RoutingTable { routes })
        } else {
            Err(problems)
        }
    }

    /// The first route that matches a request. Returns `None` if no route matches: the request has to be rejected.
    pub fn find(&self, operation: Operation, key: &[u8]) -> Option<&Route> {
        self.routes
            .iter()
            .find(|route| route.operation == operation && route.keys.matches(key))
    }
}

/// All errors of a route. `earlier_routes` are the routes that precede it in the table.
fn route_errors(
    route: &Route,
    earlier_routes: &[Route],
    classes: &[Class],
    margin: Micros,
) -> impl Iterator<Item = RouteError> {
    let checks = match classes.get(route.class) {
        None => [Err(RouteError::UnknownClass), Ok(()), Ok(())],
        Some(class) => [
            check_class(route, class, margin),
            check_deadline(route, class),
            check_reachable(route, earlier_routes),
        ],
    };
    checks.into_iter().filter_map(Result::err)
}

/// Checks that requests of the route may be retried as its class allows.
fn check_class(route: &Route, class: &Class, margin: Micros) -> Result<(), RouteError> {
    let has_key = route.key_source != KeySource::None;
    match (route.operation, class.idempotency) {
        (Operation::Get, Idempotency::Idempotent) if has_key => Err(RouteError::ReadWithKey),
        (Operation::Get, Idempotency::Idempotent) => Ok(()),
        (Operation::Get, _) => Err(RouteError::ReadOfWriteClass),
        (Operation::Set, Idempotency::Idempotent) => Err(RouteError::WriteOfReadClass),
        (Operation::Set, Idempotency::NonIdempotent) if has_key => {
            Err(RouteError::KeyOfNonIdempotentClass)
        }
        (Operation::Set, Idempotency::Keyed) if !has_key => Err(RouteError::MissingKeySource),
        (Operation::Set, Idempotency::Keyed) if class.deduplication_window <= margin => {
            Err(RouteError::WindowTooShort)
        }
        (Operation::Set, Idempotency::Keyed)
            if class.deduplication_scope != DeduplicationScope::All =>
        {
            Err(RouteError::PartialDeduplication)
        }
        (Operation::Set, Idempotency::NonIdempotent | Idempotency::Keyed) => Ok(()),
    }
}

fn check_deadline(route: &Route, class: &Class) -> Result<(), RouteError> {
    if (1..=class.deadline).contains(&route.deadline) {
        Ok(())
    } else {
        Err(RouteError::DeadlineOutOfRange)
    }
}

fn check_reachable(route: &Route, earlier_routes: &[Route]) -> Result<(), RouteError> {
    let covering = earlier_routes.iter().position(|earlier| {
        earlier.operation == route.operation && earlier.keys.covers(&route.keys)
    });
    match covering {
        Some(earlier) => Err(RouteError::Unreachable { earlier }),
        None => Ok(()),
    }
}

#[cfg(test)]
#[path = "routing_tests.rs"]
mod tests;
