//! sloewick decides for a proxy node which cache server gets each request, when to try again,
//! when to hedge, when to refuse. It does no I/O: events go in, actions come out.
//!
//! [`interface`] holds the types, [`rules`] every decision, [`outliers`] which servers fail by
//! themselves, [`rules::memory`] what the next process of a node is told, [`settings`] how all are told their settings.
#![warn(missing_docs)]

mod draw;
mod fates;
pub mod interface;
mod origin;
pub mod outliers;
mod pace;
mod quota;
pub mod rules;
pub mod settings;
mod warmth;

pub use interface::{Action, Event, Settings, SettingsError};
pub use rules::memory::Memory;
pub use rules::Balancer;
