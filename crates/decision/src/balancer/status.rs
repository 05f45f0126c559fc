//! What a node's operators are told of its decisions.

use super::Balancer;
use crate::api::{Micros, ServerId};
use crate::outlier_detection::Asked;

impl Balancer {
    /// Which decision gave the last final answer, in a word for the trace.
    pub fn decision_reason(&self) -> &'static str {
        self.why
    }

    /// Whether the origin behind the servers is taken for jammed, by what this node sees of it.
    pub fn origin_overloaded(&self, now: Micros) -> bool {
        self.origin.jams(now, Asked::Doubtful)
    }

    /// Part of the first attempts for its keys that a listed server keeps: below 1 while it fails or is slow by
    /// itself, by what this node sees (see [`crate::outlier_detection`]).
    pub fn retained_fraction(&self, server: &ServerId) -> f64 {
        self.outliers.kept(server)
    }
}
