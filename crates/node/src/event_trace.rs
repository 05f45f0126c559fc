//! The event trace: one machine-readable line for each event. Off unless asked for, and then it costs one test of a flag.
//!
//! A line is `trace t=MICROSECONDS WHAT` followed by fields `name=value`; the time counts from the start of the process.
//! `docs/fleet-size.md` lists the lines. `sloewick trace` reads them, also those of the previous version, so their words do
//! not change.

use std::fmt::Write as _;

use sloewick_decision::api::{
    Action, AttemptOutcome, CacheResult, EndpointListKind, Event, Micros, ServerId,
};

use crate::transport::Transport;

/// What happened to an upstream connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionStep {
    /// The connection is being opened.
    Opening,
    /// It was established after this time.
    Established(Micros),
    /// It could not be established.
    Refused,
    /// The server closed or broke it, or violated the protocol.
    Broken,
    /// It was closed after its idle time.
    IdleTimeout,
    /// It was closed with the attempt that it carried.
    AttemptAbandoned,
    /// It was closed to free its descriptor, or since its server is no longer in the endpoint list.
    NotNeeded,
}

impl ConnectionStep {
    /// The word for it in the trace.
    fn trace_name(self) -> &'static str {
        match self {
            ConnectionStep::Opening => "Open",
            ConnectionStep::Established(_) => "Up",
            ConnectionStep::Refused => "Refused",
            ConnectionStep::Broken => "Broke",
            ConnectionStep::IdleTimeout => "Idle",
            ConnectionStep::AttemptAbandoned => "GivenUp",
            ConnectionStep::NotNeeded => "Spare",
        }
    }
}

/// Writes the trace, if it is on.
pub(crate) struct Trace {
    on: bool,
}

impl Trace {
    pub(crate) fn new(on: bool) -> Trace {
        Trace { on }
    }

    /// An event that goes into the decision module.
    pub(crate) fn event<N: Transport>(&self, net: &mut N, event: &Event) {
        if !self.on {
            return;
        }
        let text = match event {
            Event::Request(r) => {
                format!(
                    "request id={} class={} write={}",
                    r.id,
                    r.class,
                    u8::from(r.write)
                )
            }
            Event::AttemptEnded(outcome) => attempt_ended(outcome),
            Event::EndpointList(kind, entries) => {
                let kind = list_kind_name(*kind);
                format!("list kind={kind} entries={}", entries.len())
            }
            Event::EndpointListFailed => "list kind=Failed entries=0".to_string(),
            Event::ClientDisconnected(id) => format!("left id={id}"),
            Event::StopAttempts(id) => format!("no-more id={id}"),
            Event::ProbeEnded { server, status, .. } => {
                format!("probed server={server} how={status}")
            }
            Event::ResponseStarted { .. } | Event::TimerExpired(_) | Event::PeerMessage { .. } => {
                return
            }
        };
        write_line(net, &text);
    }

    /// An action of the decision module, and the decision that led to it.
    pub(crate) fn action<N: Transport>(&self, net: &mut N, action: &Action, reason: &str) {
        if !self.on {
            return;
        }
        let text = match action {
            Action::Send {
                request, server, ..
            } => format!("send id={request} server={server}"),
            Action::Reject { request, .. } => format!("end id={request} how=refused why={reason}"),
            Action::Fail { request } => format!("end id={request} how=failed why={reason}"),
            Action::Subscribe(on) => format!("ask watch={}", u8::from(*on)),
            Action::FetchEndpointList => "ask watch=0".to_string(),
            _ => return,
        };
        write_line(net, &text);
    }

    /// What happened to an upstream connection. Steps are collected only while the trace is on.
    pub(crate) fn connection<N: Transport>(net: &mut N, server: &ServerId, step: ConnectionStep) {
        let mut text = format!("conn server={server} step={}", step.trace_name());
        if let ConnectionStep::Established(took) = step {
            let _ = write!(text, " us={took}");
        }
        write_line(net, &text);
    }
}

fn attempt_ended(outcome: &AttemptOutcome) -> String {
    let AttemptOutcome {
        request,
        server,
        attempt,
        latency,
        status,
        ..
    } = outcome;
    let mut text =
        format!("outcome id={request} n={attempt} server={server} us={latency} how={status}");
    if let Some(cache_result) = outcome.cache_result {
        let _ = write!(text, " note={}", cache_result_name(cache_result));
    }
    text
}

fn list_kind_name(kind: EndpointListKind) -> &'static str {
    match kind {
        EndpointListKind::Delta => "Delta",
        EndpointListKind::Full => "Full",
        EndpointListKind::Cached => "Cached",
    }
}

fn cache_result_name(cache_result: CacheResult) -> &'static str {
    match cache_result {
        CacheResult::Hit => "Hit",
        CacheResult::Miss => "Miss",
        CacheResult::MissFetching => "MissFetching",
    }
}

fn write_line<N: Transport>(net: &mut N, text: &str) {
    let now = net.now();
    net.trace(&format!("trace t={now} {text}"));
}

#[cfg(test)]
#[path = "event_trace_tests.rs"]
mod tests;
