//! The checks, one file each.
//!
//! A check takes the observations that it is about, keeps what state it needs of its own and reports at most one
//! violation for each. A new check is a new file and a line in [`all`].

mod attempt_after_answer;
mod attempt_after_disconnect;
mod attempt_to_ended_server;
mod closed_connections;
mod cold_server_overload;
mod connection_without_answer;
mod effect_after_rejection;
mod effect_of_retry;
mod invalid_answer;
mod malformed_command;
mod malformed_request_ignored;
mod malformed_request_served;
mod refused_connection;
mod rejection_after_execution;
mod rejects_everything;
mod repeated_attempt;
mod repeated_effect;
mod resent_after_forwarding;
mod slow_restart;
mod unanswered_at_close;
mod unanswered_request;
mod unrequested_attempt;
mod unrequested_bytes;
mod unrequested_effect;
mod wrong_protocol;

use sloewick_decision::api::Micros;

use super::history::History;
use super::observations::{Id, Observation};
use super::violation::Rule;
use super::Statistics;

/// What a check found; the checker makes a violation of it.
pub(crate) struct Finding {
    /// When, in microseconds since the run began.
    pub(crate) at: Micros,
    /// The request that it is about.
    pub(crate) request: Option<Id>,
    /// What happened, for people.
    pub(crate) why: String,
}

impl Finding {
    /// A finding about a request, at the time of this observation.
    fn of(observation: &Observation, id: &Id, why: impl Into<String>) -> Finding {
        Finding {
            at: observation.at,
            request: Some(id.clone()),
            why: why.into(),
        }
    }

    /// A finding that is about no request, at the time of this observation.
    fn without_request(observation: &Observation, why: String) -> Finding {
        Finding {
            at: observation.at,
            request: None,
            why,
        }
    }
}

/// One check of a rule.
pub(crate) trait Check {
    /// The rule that its findings violate.
    fn rule(&self) -> Rule;

    /// Looks at an observation; `history` is as it was before.
    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding>;

    /// Time has passed: what was due before `now`.
    fn advance(&mut self, _now: Micros, _history: &History) -> Vec<Finding> {
        Vec::new()
    }

    /// The run has ended.
    fn finish(&mut self, _now: Micros, _history: &History) -> Option<Finding> {
        None
    }

    /// Adds the figures that it collected.
    fn collect(&self, _statistics: &mut Statistics) {}
}

/// The check that nodes serve, for runs in which a node that rejects everything has no excuse.
pub(crate) fn service() -> Box<dyn Check> {
    Box::new(rejects_everything::RejectsEverything::default())
}

/// All checks. Violations by one observation are reported in this order.
pub(crate) fn all() -> Vec<Box<dyn Check>> {
    vec![
        Box::new(unanswered_request::UnansweredRequest::default()),
        Box::new(unrequested_attempt::UnrequestedAttempt),
        Box::new(attempt_after_answer::AttemptAfterAnswer),
        Box::new(attempt_after_disconnect::AttemptAfterDisconnect::default()),
        Box::new(repeated_attempt::RepeatedAttempt),
        Box::new(attempt_to_ended_server::AttemptToEndedServer),
        Box::new(cold_server_overload::ColdServerOverload::default()),
        Box::new(invalid_answer::InvalidAnswer),
        Box::new(rejection_after_execution::RejectionAfterExecution),
        Box::new(connection_without_answer::ConnectionWithoutAnswer),
        Box::new(unanswered_at_close::UnansweredAtClose),
        Box::new(resent_after_forwarding::ResentAfterForwarding),
        Box::new(refused_connection::RefusedConnection),
        Box::new(unrequested_bytes::UnrequestedBytes),
        Box::new(unrequested_effect::UnrequestedEffect),
        Box::new(repeated_effect::RepeatedEffect),
        Box::new(effect_after_rejection::EffectAfterRejection),
        Box::new(effect_of_retry::EffectOfRetry::default()),
        Box::new(malformed_command::MalformedCommand),
        Box::new(wrong_protocol::WrongProtocol::default()),
        Box::new(malformed_request_served::MalformedRequestServed),
        Box::new(malformed_request_ignored::MalformedRequestIgnored),
        Box::new(slow_restart::SlowRestart::default()),
        Box::new(closed_connections::ClosedConnections::default()),
    ]
}
