//! The decisions of a gateway between two sites: when requests cross the link to the other site, and at which site a
//! write runs, so that it takes effect at one site only. The near site accepts the requests; the far site executes
//! those that cross.
//!
//! The package performs no I/O and reads no clock; times are arguments, in microseconds ([`Micros`]). No node uses
//! the package yet; `docs/design/gateway.md` describes the design.
//!
//! - [`leases`]: the far site rejects messages that are delivered too late;
//! - [`claims`]: a write with an idempotency key runs at one site only;
//! - [`deadline`]: how much of a request's remaining time the far site may use;
//! - [`circuit_breaker`]: when requests may cross, and how traffic returns to the near site.
//!
//! [`Micros`]: sloewick_decision::api::Micros

pub mod circuit_breaker;
pub mod claims;
pub mod deadline;
pub mod leases;
