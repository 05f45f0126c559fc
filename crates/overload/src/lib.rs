//! Detects and limits the overload of a resource that a whole fleet shares (the origin behind its cache
//! servers). Each node does so on its own, from the small part of the traffic that it handles.
//!
//! An [`OverloadDetector`] decides whether the origin is overloaded. While it is, an [`AdmissionRamp`]
//! determines which fraction of the requests that may need the origin is admitted. The package performs no
//! I/O and reads no clock: outcomes and times are arguments.

mod admission_ramp;
mod detector;

pub use admission_ramp::AdmissionRamp;
pub use detector::{Micros, Outcome, OverloadDetector, RequestKind};
