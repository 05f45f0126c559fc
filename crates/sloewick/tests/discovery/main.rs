//! What nodes learn from discovery. Most of the time is spent waiting, so that all tests run in one program, side by side.

mod changes;
mod outage;
mod requests;
#[path = "../support/mod.rs"]
mod support;
