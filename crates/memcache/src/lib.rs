//! What a front for the memcached binary protocol has to decide, without I/O: time is an argument.
//!
//! A standard client sends neither class, deadline, id nor idempotency key. [`ledger`] keeps what is known of each
//! keyed write, so that a repeat goes to the boxes only while they drop it and is never sent as new afterwards.

pub mod ledger;
