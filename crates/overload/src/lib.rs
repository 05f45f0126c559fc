//! Overload of a resource that a whole fleet shares (the origin behind its cache servers), as seen by one
//! node that meets little of the traffic.
//!
//! An [`OverloadDetector`] says whether the origin is overloaded; while it is, an [`AdmissionRamp`] says
//! which fraction of the requests that may need the origin is admitted. No I/O and no clock: outcomes go in,
//! time is an argument.

mod admission_ramp;
mod detector;

pub use admission_ramp::AdmissionRamp;
pub use detector::{Micros, Outcome, OverloadDetector, RequestKind};
