//! Overload of what the whole fleet shares, as one node sees it that meets little of the traffic: whether there is a
//! [`Jam`], and the [`Opening`] that is left meanwhile. No I/O, no clock: outcomes go in, time is an argument.

mod admission_ramp;
mod detector;

pub use admission_ramp::Opening;
pub use detector::{Came, Jam, Micros, Need};
