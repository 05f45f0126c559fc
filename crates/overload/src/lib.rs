//! Overload of what the whole fleet shares, as one node sees it that meets little of the traffic. No I/O, no clock:
//! outcomes go in, time is an argument.
#![warn(missing_docs)]

mod jam;

pub use jam::{Jam, Micros, Sign};
