//! The frontend for clients of the memcached binary protocol: its routes, and the idempotency ledger of the clients' writes.
//!
//! Its state is the ledger and the sequence number of the upstream requests. The ledger guarantees that a write with an
//! idempotency key is not executed again when cache servers may have forgotten an earlier attempt.

use std::sync::Arc;

use bytes::Bytes;
use sloewick_codec::memcached::{self, Opcode, Status};
use sloewick_decision::api::{Micros, Status as AttemptStatus};
use sloewick_memcached::config::MemcachedConfig;
use sloewick_memcached::idempotency_ledger::{IdempotencyKey, IdempotencyLedger, Verdict};
use sloewick_memcached::routing::{self, IdempotencyKeyError, KeySource, Operation, Route};
use thiserror::Error;

use crate::frontend::response::FinalResponse;

/// The state of the memcached frontend.
pub(crate) struct MemcachedFrontend {
    config: MemcachedConfig,
    ledger: IdempotencyLedger,
    /// Prefix of the request ids of this process, unique among all processes of all nodes.
    request_id_prefix: u64,
    /// Sequence number of the last request to a cache server that speaks the memcached protocol.
    upstream_sequence: u16,
}

/// A write with an idempotency key.
pub(crate) struct KeyedWrite {
    key: IdempotencyKey,
    /// When an earlier request with the same key was first sent, if that request may have run.
    earlier_request_sent: Option<Micros>,
    /// Number of attempts of this request that may have run or are in flight.
    attempts_may_have_run: usize,
    /// Whether an attempt of this request was served.
    served: bool,
}

/// Why a request is answered without being accepted. The text is sent in the response.
#[derive(Debug, Error)]
pub(crate) enum Rejection {
    #[error("the key is not text")]
    KeyNotText,
    #[error("no route is set for this key and operation")]
    NoRoute,
    #[error("CAS is not kept here; allowed: 0")]
    CasNotSupported,
    #[error("flags and expiration are not kept here; allowed: 0")]
    FlagsNotSupported,
    /// The value holds no idempotency key where its route expects one.
    #[error("{0}")]
    NoIdempotencyKey(IdempotencyKeyError),
    #[error("the idempotency key's time lies in the future")]
    FutureIdempotencyKey,
    /// The final response is known without an attempt.
    #[error("answered without an attempt")]
    Answered(FinalResponse),
}

impl Rejection {
    /// The status of the error response; `None` for [`Rejection::Answered`], which contains the response.
    pub(crate) fn status(&self) -> Option<Status> {
        match self {
            Rejection::KeyNotText
            | Rejection::NoIdempotencyKey(_)
            | Rejection::FutureIdempotencyKey => Some(Status::InvalidArguments),
            Rejection::NoRoute | Rejection::CasNotSupported | Rejection::FlagsNotSupported => {
                Some(Status::NotSupported)
            }
            Rejection::Answered(_) => None,
        }
    }
}

/// When a request is routed, and whether it can be accepted at that time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoutingContext {
    pub(crate) now: Micros,
    /// Unix time at `now`, in microseconds.
    pub(crate) unix_time: Micros,
    /// Whether no request can be accepted now.
    pub(crate) is_rejecting: bool,
}

/// A request with the properties that follow from its route.
pub(crate) struct RoutedRequest {
    pub(crate) key: Arc<str>,
    pub(crate) class: usize,
    pub(crate) tenant: Option<usize>,
    /// How long the client is assumed to wait.
    pub(crate) deadline: Micros,
    /// The field argument of the request to cache servers that speak RESP2.
    pub(crate) fields: String,
    /// Set for a write that has an idempotency key.
    pub(crate) keyed: Option<KeyedWrite>,
    pub(crate) write: bool,
}

impl RoutedRequest {
    /// When an earlier request with the same idempotency key was first sent, if that request may have run.
    pub(crate) fn earlier_request_sent(&self) -> Option<Micros> {
        self.keyed.as_ref()?.earlier_request_sent
    }
}

impl MemcachedFrontend {
    pub(crate) fn new(config: MemcachedConfig, request_id_prefix: u64) -> MemcachedFrontend {
        let ledger = IdempotencyLedger::new(config.ledger);
        MemcachedFrontend {
            config,
            ledger,
            request_id_prefix,
            upstream_sequence: 0,
        }
    }

    /// Whether cache servers of this model speak the memcached binary protocol.
    pub(crate) fn is_memcached_model(&self, model: Option<&str>) -> bool {
        model.is_some_and(|model| self.config.cache_server_models.iter().any(|m| m == model))
    }

    /// Longest value that is accepted, in bytes.
    pub(crate) fn max_value(&self) -> usize {
        self.config.max_value_bytes
    }

    /// Number of idempotency keys in the ledger.
    pub(crate) fn ledger_len(&self) -> usize {
        self.ledger.len()
    }

    /// The id of a request. `serial` is unique within the process; `opaque` is that of the client's request.
    pub(crate) fn request_id(&self, serial: u64, opaque: u32) -> String {
        format!("m{:x}.{serial:x}-{opaque:08x}", self.request_id_prefix)
    }

    /// Sequence number of the next request to a cache server that speaks the memcached protocol. It wraps around.
    pub(crate) fn next_upstream_sequence(&mut self) -> u16 {
        self.upstream_sequence = self.upstream_sequence.wrapping_add(1);
        self.upstream_sequence
    }

    /// Routes a request. If it has an idempotency key, the key is registered in the ledger.
    ///
    /// # Errors
    /// The request cannot be accepted, or its final response is known already.
    pub(crate) fn route(
        &mut self,
        opcode: Opcode,
        request: &memcached::Request,
        context: RoutingContext,
    ) -> Result<RoutedRequest, Rejection> {
        let write = opcode.without_quiet() == Opcode::Set;
        let operation = if write {
            Operation::Set
        } else {
            Operation::Get
        };
        let key = std::str::from_utf8(&request.key).map_err(|_| Rejection::KeyNotText)?;
        let route = self.config.routes.find(operation, &request.key);
        let route = route.ok_or(Rejection::NoRoute)?;
        let idempotency_key = if write {
            check_set(request)?;
            let found = route.idempotency_key(&request.key, &request.value);
            found.map_err(Rejection::NoIdempotencyKey)?
        } else {
            None
        };
        if context.is_rejecting {
            return Err(Rejection::Answered(FinalResponse::Busy(0)));
        }
        let mut routed = RoutedRequest {
            key: key.into(),
            class: route.class,
            tenant: route.tenant,
            deadline: route.deadline,
            fields: route.resp2_fields.clone() + ",d=0",
            keyed: None,
            write,
        };
        if let Some(key) = idempotency_key {
            routed.fields += ",k=";
            routed.fields += &key;
            routed.keyed = Some(reserve_key(
                &mut self.ledger,
                &self.config,
                route,
                key,
                context,
            )?);
        }
        Ok(routed)
    }

    /// Counts an attempt of a keyed write as one that may run. Returns false if the attempt must not start, since cache servers
    /// may have forgotten an earlier one.
    pub(crate) fn start_attempt(&mut self, keyed: &mut KeyedWrite, now: Micros) -> bool {
        let may_start = self.ledger.record_send(now, &keyed.key);
        keyed.attempts_may_have_run += usize::from(may_start);
        may_start
    }

    /// Records the end of an attempt that was counted by [`Self::start_attempt`].
    pub(crate) fn end_attempt(&mut self, keyed: &mut KeyedWrite, status: AttemptStatus) {
        if status.never_ran() {
            keyed.attempts_may_have_run -= 1;
            let others_may_have_run =
                keyed.earlier_request_sent.is_some() || keyed.attempts_may_have_run > 0;
            self.ledger
                .record_never_ran(&keyed.key, others_may_have_run);
        }
        // Recorded even if the client has its response already, so that a duplicate of the write gets the receipt.
        keyed.served |= status == AttemptStatus::Ok;
    }

    /// Records that a keyed write has ended and has no attempt in flight.
    pub(crate) fn end_write(&mut self, keyed: &KeyedWrite, now: Micros) {
        let receipt = keyed.served.then(Bytes::new);
        self.ledger.finish(now, &keyed.key, receipt);
    }
}

/// Rejects a SET with a CAS, flags or an expiration time, which would otherwise be dropped silently.
fn check_set(request: &memcached::Request) -> Result<(), Rejection> {
    if request.cas != 0 {
        return Err(Rejection::CasNotSupported);
    }
    if request.extras.iter().any(|b| *b != 0) {
        return Err(Rejection::FlagsNotSupported);
    }
    Ok(())
}

/// Registers a request with an idempotency key in the ledger.
///
/// # Errors
/// The time in the key is in the future, or the ledger does not allow the request to be forwarded.
fn reserve_key(
    ledger: &mut IdempotencyLedger,
    config: &MemcachedConfig,
    route: &Route,
    key: IdempotencyKey,
    context: RoutingContext,
) -> Result<KeyedWrite, Rejection> {
    let key_time =
        routing::key_timestamp(&key).filter(|_| route.key_source == KeySource::Timestamp);
    let age = key_time.map_or(0, |key_time| context.unix_time - key_time);
    if age < -config.max_clock_skew {
        return Err(Rejection::FutureIdempotencyKey);
    }
    let limits = &config.ledger;
    let is_old = key_time.is_some()
        && age + config.max_clock_skew >= limits.deduplication_window - limits.margin;
    let earlier_request_sent = match ledger.begin(context.now, &key, is_old) {
        Verdict::New => None,
        Verdict::Retry { first_sent, .. } => Some(first_sent),
        Verdict::Served(receipt) => {
            return Err(Rejection::Answered(FinalResponse::Value(receipt)));
        }
        Verdict::UnknownOutcome => return Err(Rejection::Answered(FinalResponse::Failed)),
        Verdict::InFlight | Verdict::Full => {
            return Err(Rejection::Answered(FinalResponse::Busy(0)));
        }
    };
    Ok(KeyedWrite {
        key,
        earlier_request_sent,
        attempts_may_have_run: 0,
        served: false,
    })
}

/// Encodes the response to STAT: one packet for each pair of name and value, and an empty one that ends the list.
pub(crate) fn encode_stat(opcode: Opcode, opaque: u32, statistics: &[(&str, String)]) -> Bytes {
    let mut out = Vec::new();
    let end_of_list = ("", String::new());
    for (name, value) in statistics.iter().chain(std::iter::once(&end_of_list)) {
        memcached::write_response(
            &mut out,
            &memcached::Response {
                opcode: opcode as u8,
                status: Status::Ok as u16,
                opaque,
                cas: 0,
                extras: Bytes::new(),
                key: Bytes::copy_from_slice(name.as_bytes()),
                value: value.clone().into(),
            },
        );
    }
    out.into()
}
