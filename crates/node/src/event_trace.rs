//! The trace: a line for each thing that happens, in a form that a program reads. Off unless asked for, and
//! then it costs one test of a flag.
//!
//! A line is `trace t=MICROSECONDS WHAT` and fields `name=value`; the time is since the process began. `docs/fleet-size.md`
//! lists them.

use std::fmt::Write as _;

use sloewick_decision::api::{Action, Event, Micros, ServerId};

use crate::transport::Transport;

/// What became of a connection to a cache server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// It is asked for; a handshake if it comes up.
    Open,
    /// It came up after so long.
    Up(Micros),
    /// It never came up.
    Refused,
    /// The server ended or broke it.
    Broke,
    /// It stood idle for too long.
    Idle,
    /// What it carried was given up.
    GivenUp,
    /// It made room, or its server left the list.
    Spare,
}

/// Writes the trace, if it is on.
pub struct Trace {
    on: bool,
}

impl Trace {
    pub fn new(on: bool) -> Trace {
        Trace { on }
    }

    /// An event that goes into the module.
    pub fn event<N: Transport>(&self, net: &mut N, event: &Event) {
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
            Event::AttemptEnded {
                request,
                server,
                attempt,
                latency,
                status,
                note,
                ..
            } => {
                let mut text = format!(
                    "outcome id={request} n={attempt} server={server} us={latency} how={status}"
                );
                if let Some(note) = note {
                    let _ = write!(text, " note={note:?}");
                }
                text
            }
            Event::EndpointList(kind, entries) => {
                format!("list kind={kind:?} entries={}", entries.len())
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
        write(net, text);
    }

    /// An action of the module, and which of its decisions ended a request.
    pub fn action<N: Transport>(&self, net: &mut N, action: &Action, why: &str) {
        if !self.on {
            return;
        }
        let text = match action {
            Action::Send {
                request, server, ..
            } => format!("send id={request} server={server}"),
            Action::Reject { request, .. } => format!("end id={request} how=refused why={why}"),
            Action::Fail { request } => format!("end id={request} how=failed why={why}"),
            Action::Subscribe(on) => format!("ask watch={}", u8::from(*on)),
            Action::FetchEndpointList => "ask watch=0".to_string(),
            _ => return,
        };
        write(net, text);
    }

    /// What became of a connection.
    pub fn step<N: Transport>(&self, net: &mut N, server: &ServerId, step: Step) {
        let text = match step {
            Step::Up(took) => format!("conn server={server} step=Up us={took}"),
            step => format!("conn server={server} step={step:?}"),
        };
        write(net, text);
    }
}

fn write<N: Transport>(net: &mut N, text: String) {
    let now = net.now();
    net.trace(&format!("trace t={now} {text}"));
}
