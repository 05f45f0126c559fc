//! Decision logic of the memcached frontend: translates requests of the memcached binary protocol into those of the
//! gateway.
//!
//! The package performs no I/O and reads no clock; times are arguments, in microseconds ([`Micros`]). A standard
//! memcached client sends neither a request class nor a tenant, a deadline or an idempotency key:
//!
//! - [`routing`] derives them from the operation, the key and the value of a request;
//! - [`idempotency_ledger`] remembers writes that have an idempotency key, so that a retry never takes effect twice;
//! - [`status`] translates the response status of a cache server into the outcome of an attempt;
//! - [`config`] reads the configuration file of the frontend.
//!
//! The protocol is specified by `BinaryProtocolRevamped` of the memcached project. `docs/memcached.md` is the user
//! documentation; `docs/design/memcache.md` gives the reasons for the design.
//!
//! [`Micros`]: sloewick_decision::api::Micros

pub mod config;
pub mod idempotency_ledger;
pub mod routing;
pub mod status;
