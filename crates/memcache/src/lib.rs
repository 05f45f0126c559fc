//! What a front for the memcached binary protocol has to decide, without I/O: time is an argument.
//!
//! A standard client sends neither class, deadline, id nor idempotency key. [`ledger`] keeps what is known of each
//! keyed write, so that a repeat goes to the boxes only while they drop it and is never sent as new afterwards;
//! [`routes`] gives a request what its client does not send; [`file`] reads the settings of all that; [`outcomes`] says what a box's status means.

pub mod file;
pub mod ledger;
pub mod outcomes;
pub mod routes;
