//! The checks, one file each.
//!
//! A check receives every observation, maintains state of its own if it needs any, and reports at most one violation for
//! an observation. A new check needs a new file and a line in [`all`].

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

/// A violation found by a check; the checker adds the rule and the observations of the request.
pub(crate) struct Finding {
    /// Time of the violation, in microseconds since the run began.
    pub(crate) at: Micros,
    /// The request concerned; None if the finding concerns no single request.
    pub(crate) request: Option<Id>,
    /// Description of the violation.
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

    /// A finding that concerns no single request, at the time of this observation.
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

    /// Checks an observation against the history before it.
    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding>;

    /// Returns findings about everything that was due before `now`.
    fn advance(&mut self, _now: Micros, _history: &History) -> Vec<Finding> {
        Vec::new()
    }

    /// Checks what can be checked only at the end of the run, at `now`.
    fn finish(&mut self, _now: Micros, _history: &History) -> Option<Finding> {
        None
    }

    /// Adds what this check collected to the statistics.
    fn collect(&self, _statistics: &mut Statistics) {}
}

/// The check that nodes do not reject everything, for runs whose faults do not justify that.
pub(crate) fn service() -> Box<dyn Check> {
    Box::new(rejects_everything::RejectsEverything::default())
}

/// All checks that run in every scenario. Violations by the same observation are reported in this order.
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
