//! What the operators of a node see of its decisions: which servers are available, the reason of the last
//! final response, log lines.

use crate::api::{Action, Actions, Micros, ServerId};
use crate::balancer::Balancer;
use crate::outlier_detection::RequestKind;

/// Maximum number of log lines over the lifetime of an instance.
const MAX_LOG_LINES: u32 = 24;

/// The decision that gave a request its final response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecisionReason {
    /// No request has been rejected or has failed yet.
    None,
    /// The client's remaining time is too short for a response.
    BudgetTooShort,
    /// The tenant is over its quota while the node is overloaded.
    OverQuota,
    /// The origin is overloaded.
    OriginOverload,
    /// Attempts fail at the median server, and the request would probably need a fetch.
    Admission,
    /// The server could not answer in time, or would be overloaded while it warms up.
    ServerOverrun,
    /// The retry budget is exhausted.
    RetryBudget,
    /// There is no further server to which an attempt may be sent.
    NoServer,
    /// The time within which a response is useful has passed.
    Deadline,
    /// The node has stopped all attempts for the request.
    AttemptsStopped,
}

impl DecisionReason {
    /// The word for this reason in event traces. It has been the same since their first version, and
    /// programs read it: it stays when a variant is renamed.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            DecisionReason::None => "none",
            DecisionReason::BudgetTooShort => "short",
            DecisionReason::OverQuota => "share",
            DecisionReason::OriginOverload => "jam",
            DecisionReason::Admission => "admission",
            DecisionReason::ServerOverrun => "overrun",
            DecisionReason::RetryBudget => "budget",
            DecisionReason::NoServer => "nowhere",
            DecisionReason::Deadline => "time",
            DecisionReason::AttemptsStopped => "no more",
        }
    }
}

impl Balancer {
    /// The reason of the last final response, as a word for the event trace.
    pub fn decision_reason(&self) -> &'static str {
        self.last_reason.as_str()
    }

    /// Whether the origin is overloaded, according to this node's own observations.
    pub fn origin_overloaded(&self, now: Micros) -> bool {
        self.origin_health
            .is_overloaded_for(now, RequestKind::LikelyUncached)
    }

    /// Fraction of the first attempts for its keys that a listed server retains: below 1 while this node
    /// observes that the server fails or is slow by itself (see [`crate::outlier_detection`]).
    pub fn retained_fraction(&self, server: &ServerId) -> f64 {
        self.outliers.retained_fraction(server)
    }

    /// Whether a server gets no requests now: it is ejected, draining or not listed, or it is a server of
    /// the partition whose zone is lost. False for the origin.
    pub fn is_unavailable(&self, now: Micros, server: &ServerId) -> bool {
        if self.origins.iter().any(|s| s.entry.server == *server) {
            return false;
        }
        let partition = self.partition.index.get(server);
        let available = partition.map(|i| self.is_available(now, *i)).or_else(|| {
            let index = self.other_zones.index.get(server)?;
            Some(now >= self.other_zones.servers[*index].ejected_until)
        });
        !available.unwrap_or(false)
    }

    /// Emits a log line, unless the instance has emitted [`MAX_LOG_LINES`] already.
    pub(crate) fn log(&mut self, text: String, actions: &mut Actions) {
        if self.log_lines < MAX_LOG_LINES {
            self.log_lines += 1;
            actions.push(Action::Log(text));
        }
    }
}
