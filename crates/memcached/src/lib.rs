//! What a front for the memcached binary protocol has to decide, without I/O: time is an argument.
//!
//! A standard client sends neither class, deadline, id nor idempotency key. [`idempotency_ledger`] keeps what is known of each
//! keyed write, so that a repeat goes to the boxes only while they drop it and is never sent as new afterwards;
//! [`routing`] gives a request what its client does not send; [`config`] reads the settings of all that; [`status`] says what a box's status means.

pub mod config;
pub mod idempotency_ledger;
pub mod routing;
pub mod status;
