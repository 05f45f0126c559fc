//! The event trace: one machine-readable line per event. It is disabled by default; disabled, it costs one check of a flag
//! per event.
//!
//! A line has the form `trace t=MICROSECONDS EVENT`, followed by fields of the form `name=value`. The time is measured from the
//! start of the process. `docs/fleet-size.md` lists the lines. `sloewick trace` parses them, including those of the previous
//! version, so the words in them must not change.

use std::fmt::Write as _;

use sloewick_decision::api::{
    Action, AttemptOutcome, CacheResult, ConnectionChange, EndpointListKind, Event, Micros,
    ServerId,
};

use crate::transport::Transport;

/// A step in the life of an upstream connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum ConnectionStep {
    /// The connection is being opened.
    Opening,
    /// It was established, this many microseconds after its opening.
    Established(Micros),
    /// It could not be established.
    Refused,
    /// The server closed it, it failed, or the server violated the protocol.
    Broken,
    /// It was closed after its maximum idle time.
    IdleTimeout,
    /// It was closed because the attempt or probe that it carried was abandoned.
    AttemptAbandoned,
    /// It was closed to free its descriptor, or because the endpoint list no longer names its server at its address.
    NotNeeded,
}

impl ConnectionStep {
    /// The name of the step in the trace.
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

/// Writes the event trace if it is enabled.
pub(crate) struct Trace {
    is_enabled: bool,
}

impl Trace {
    pub(crate) fn new(is_enabled: bool) -> Trace {
        Trace { is_enabled }
    }

    /// Writes an event that is passed to the decision module.
    pub(crate) fn event<N: Transport>(&self, net: &mut N, event: &Event) {
        if !self.is_enabled {
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
            Event::ConnectionsChanged(server, change) => {
                let change = match change {
                    ConnectionChange::Lost => "unconnected",
                    ConnectionChange::Closed => "disconnected",
                    ConnectionChange::Resumed => "reconnected",
                };
                format!("{change} server={server}")
            }
            Event::ResponseStarted { .. } | Event::TimerExpired(_) | Event::PeerMessage { .. } => {
                return
            }
        };
        write_line(net, &text);
    }

    /// Writes an action of the decision module, with the reason of the decision that led to it.
    pub(crate) fn action<N: Transport>(&self, net: &mut N, action: &Action, reason: &str) {
        if !self.is_enabled {
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

    /// Writes a step of an upstream connection. The caller collects steps only while the trace is enabled.
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
