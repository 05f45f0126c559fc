//! What a gateway between two sites has to decide, without I/O: time is an argument. `docs/design/gateway.md` has the
//! reasons; nothing of it is wired into a node yet.
//!
//! [`leases`] let a receiver refuse what is delivered too late; [`claims`] keep a write's effect at one site; [`deadline`]
//! says what is left of a request's time behind the link; [`circuit_breaker`] says when to cross and how to come home.

pub mod circuit_breaker;
pub mod claims;
pub mod deadline;
pub mod leases;
