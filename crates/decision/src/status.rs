//! What a node's operators see of its decisions: metrics, the reason of the last final answer, log lines.

use crate::api::{Action, Actions, Micros, ServerId};
use crate::balancer::Balancer;
use crate::outlier_detection::RequestKind;

/// Log lines of an instance, at most.
const MAX_LOG_LINES: u32 = 24;

/// Which decision gave a request its final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DecisionReason {
    /// No request has been rejected or has failed yet.
    None,
    /// The client's time left is too short for an answer.
    BudgetTooShort,
    /// The tenant is over its quota while the node is overloaded.
    OverQuota,
    /// The origin is overloaded.
    OriginOverload,
    /// Attempts fail at the median server, and the key would be fetched.
    Admission,
    /// The server could not answer in time, or would be overloaded while it warms up.
    ServerOverrun,
    /// The retry budget is used up.
    RetryBudget,
    /// No server is left that an attempt may go to.
    NoServer,
    /// No answer is useful any more.
    Deadline,
    /// The node has stopped all attempts for the request.
    AttemptsStopped,
}

impl DecisionReason {
    /// The word that event traces have had since their first version: programs read it, so it stays where a
    /// variant's name changes.
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
    /// Which decision gave the last final answer, in a word for the trace.
    pub fn decision_reason(&self) -> &'static str {
        self.last_reason.as_str()
    }

    /// Whether the origin behind the servers is overloaded, by what this node sees of it.
    pub fn origin_overloaded(&self, now: Micros) -> bool {
        self.origin_health
            .is_overloaded_for(now, RequestKind::LikelyUncached)
    }

    /// Fraction of the first attempts for its keys that a listed server retains: below 1 while it fails or is
    /// slow by itself, by what this node sees (see [`crate::outlier_detection`]).
    pub fn retained_fraction(&self, server: &ServerId) -> f64 {
        self.outliers.retained_fraction(server)
    }

    /// Whether a server that an endpoint list has named gets no requests now: it is ejected or draining.
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

    pub(crate) fn log(&mut self, text: String, actions: &mut Actions) {
        if self.log_lines < MAX_LOG_LINES {
            self.log_lines += 1;
            actions.push(Action::Log(text));
        }
    }
}
