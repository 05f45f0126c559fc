//! The lifecycle of a node: serving, evacuating its clients, shutting down gracefully. Performs no I/O; time is an argument.
//!
//! Guarantees: during an evacuation or a shutdown, each connection is closed right after a response, or after a bounded idle
//! time if it carries no request. A shutdown ends by a fixed time, whatever the clients do, and cannot be cancelled; an
//! evacuation can.

use sloewick_decision::api::Micros;

/// How long connections are still accepted after SIGTERM if no other process listens: new ones keep arriving for 0.4 s.
const ACCEPT_AFTER_STOP: Micros = 500_000;
/// Limit on the longest deadline when the time for a shutdown is computed. After SIGTERM a node has at least the longest
/// deadline, limited to 3 s, plus 0.7 s before it is killed.
const MAX_SHUTDOWN_DEADLINE: Micros = 3_000_000;
/// Time from the longest deadline until the process exits. A process that is delayed by 0.15 s at that moment still exits
/// before it is killed.
const EXIT_MARGIN: Micros = 500_000;
/// Time from the longest deadline until all open requests get their final response. The time from then until the process exits
/// is for writing the responses.
const FINAL_RESPONSE_MARGIN: Micros = 400_000;
/// How much longer the process stays, if it is not killed, while clients still read what they are owed. Long values take seconds.
const MAX_DELIVERY_TIME_STOPPING: Micros = 30_000_000;
/// How long a connection may stay open without a request during an evacuation. No connection may be left 4 s after the
/// evacuation was requested. docs/operating.md states the times for evacuation and readiness, which are the same for all nodes.
const MAX_IDLE_EVACUATING: Micros = 2_000_000;
/// The same during a shutdown. The last requests have the time that is left until the final responses.
const MAX_IDLE_STOPPING: Micros = 1_000_000;
/// How long a connection that is accepted during an evacuation or a shutdown may wait for its first request.
const MAX_IDLE_NEW: Micros = 500_000;
/// How long after its start a node with an inherited listener waits for an endpoint list from discovery before it reports
/// readiness with the list that it has. It is not needed at once, but has to report readiness within 6 s of its start.
const MAX_WAIT_FOR_LIST: Micros = 4_000_000;

/// The phase of the lifecycle. The times are those at which an evacuation or a shutdown began.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    Serving,
    /// Evacuating clients since this time.
    Evacuating(Micros),
    /// Shutting down since this time.
    Stopping(Micros),
    /// Shutting down since this time, with all listeners closed.
    ListenersClosed(Micros),
}

/// Whether connections are accepted from a listener.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum AcceptMode {
    /// Connections are accepted.
    Yes,
    /// The connections that are waiting now are the last to be accepted; then the listener is closed.
    DrainQueue,
    /// Connections are no longer accepted.
    No,
}

/// The lifecycle of a node as its clients and operators observe it.
#[derive(Debug)]
pub(crate) struct Lifecycle {
    phase: Phase,
    /// Whether the clients' listener was inherited, so that another process may accept connections from it.
    inherited_listener: bool,
    /// Whether discovery has sent an endpoint list.
    has_list_from_discovery: bool,
    /// Whether the node has an endpoint list, from discovery or from the configuration.
    has_endpoint_list: bool,
    /// When all open requests get their final response during a shutdown; [`Micros::MAX`] otherwise.
    respond_by: Micros,
    /// When the process exits at the latest during a shutdown; [`Micros::MAX`] otherwise.
    exit_by: Micros,
}

impl Lifecycle {
    /// `has_endpoint_list`: whether the configuration contains an endpoint list.
    pub(crate) fn new(inherited_listener: bool, has_endpoint_list: bool) -> Lifecycle {
        Lifecycle {
            phase: Phase::Serving,
            inherited_listener,
            has_list_from_discovery: false,
            has_endpoint_list,
            respond_by: Micros::MAX,
            exit_by: Micros::MAX,
        }
    }

    /// Records that discovery has sent an endpoint list.
    pub(crate) fn endpoint_list_received(&mut self) {
        (self.has_list_from_discovery, self.has_endpoint_list) = (true, true);
    }

    /// Records that the node has the endpoint list of the process before it.
    pub(crate) fn endpoint_list_taken_over(&mut self) {
        self.has_endpoint_list = true;
    }

    /// Whether PING gets a positive response. It does not during an evacuation, so that a load balancer in front of the node
    /// stops sending to it; on a shutdown the platform notifies the load balancer.
    pub(crate) fn answers_ping(&self) -> bool {
        !matches!(self.phase, Phase::Evacuating(_))
    }

    /// Whether this process is ready to serve.
    pub(crate) fn is_ready(&self, now: Micros) -> bool {
        self.phase == Phase::Serving && self.is_endpoint_list_ready(now)
    }

    /// Whether this process saves its state for the next one. It does so while serving and while evacuating, but not while
    /// shutting down, when its successor already serves.
    pub(crate) fn saves_snapshots(&self, now: Micros) -> bool {
        matches!(self.phase, Phase::Serving | Phase::Evacuating(_))
            && self.is_endpoint_list_ready(now)
    }

    /// Whether the node has an endpoint list and need not wait for one from discovery.
    fn is_endpoint_list_ready(&self, now: Micros) -> bool {
        self.has_endpoint_list
            && (!self.inherited_listener
                || self.has_list_from_discovery
                || now >= MAX_WAIT_FOR_LIST)
    }

    /// Starts an evacuation, unless one is under way. Returns false if the node is shutting down.
    pub(crate) fn evacuate(&mut self, now: Micros) -> bool {
        if self.phase == Phase::Serving {
            self.phase = Phase::Evacuating(now);
        }
        matches!(self.phase, Phase::Evacuating(_))
    }

    /// Ends an evacuation, if one is under way. Returns false if the node is shutting down.
    pub(crate) fn rejoin(&mut self) -> bool {
        if let Phase::Evacuating(_) = self.phase {
            self.phase = Phase::Serving;
        }
        self.phase == Phase::Serving
    }

    /// Starts a graceful shutdown. Returns false if one is under way. `longest_deadline`: the longest of all classes.
    pub(crate) fn stop(&mut self, now: Micros, longest_deadline: Micros) -> bool {
        if matches!(self.phase, Phase::Stopping(_) | Phase::ListenersClosed(_)) {
            return false;
        }
        self.phase = Phase::Stopping(now);
        let deadline = longest_deadline.clamp(0, MAX_SHUTDOWN_DEADLINE);
        self.respond_by = now + deadline + FINAL_RESPONSE_MARGIN;
        self.exit_by = now + deadline + EXIT_MARGIN;
        true
    }

    /// When all open requests get their final response; no request is accepted from then on. [`Micros::MAX`] unless shutting
    /// down.
    pub(crate) fn respond_by(&self) -> Micros {
        self.respond_by
    }

    /// When the process exits at the latest; [`Micros::MAX`] unless shutting down.
    pub(crate) fn exit_by(&self) -> Micros {
        self.exit_by
    }

    /// Whether connections are accepted from a listener. `inherited`: whether the listener was inherited.
    pub(crate) fn accepts(&self, now: Micros, inherited: bool) -> AcceptMode {
        match self.phase {
            Phase::Serving | Phase::Evacuating(_) => AcceptMode::Yes,
            // The other process accepts the connections that are waiting at the shared listener.
            Phase::Stopping(_) | Phase::ListenersClosed(_) if inherited => AcceptMode::No,
            Phase::Stopping(since) if now - since < ACCEPT_AFTER_STOP => AcceptMode::Yes,
            Phase::Stopping(_) => AcceptMode::DrainQueue,
            Phase::ListenersClosed(_) => AcceptMode::No,
        }
    }

    /// Records that all listeners are closed.
    pub(crate) fn listeners_closed(&mut self) {
        if let Phase::Stopping(since) = self.phase {
            self.phase = Phase::ListenersClosed(since);
        }
    }

    /// Whether a connection without a pending response is closed at `now`. `accepted`: when it was accepted; `last_request`:
    /// when its last request arrived, None if it has carried none.
    pub(crate) fn should_close_idle(
        &self,
        now: Micros,
        accepted: Micros,
        last_request: Option<Micros>,
    ) -> bool {
        let (since, max_idle) = match self.phase {
            Phase::Serving => return false,
            Phase::Evacuating(since) => (since, MAX_IDLE_EVACUATING),
            Phase::Stopping(_) | Phase::ListenersClosed(_) if now >= self.respond_by => {
                return true
            }
            Phase::Stopping(since) | Phase::ListenersClosed(since) => (since, MAX_IDLE_STOPPING),
        };
        last_request.is_some_and(|at| at >= since)
            || now >= (since + max_idle).max(accepted + MAX_IDLE_NEW)
    }

    /// Whether a connection that was accepted at `accepted` is closed after the responses to what has been read, although further
    /// requests arrive on it. Without this, a connection on which requests are always under way would outlive an evacuation.
    pub(crate) fn ends_busy_connections(&self, now: Micros, accepted: Micros) -> bool {
        match self.phase {
            Phase::Evacuating(since) => {
                now >= (since + MAX_IDLE_EVACUATING).max(accepted + MAX_IDLE_NEW)
            }
            _ => false,
        }
    }

    /// Whether client connections are being closed, so that each one has to be checked after a response.
    pub(crate) fn closes_clients(&self) -> bool {
        self.phase != Phase::Serving
    }

    /// Whether the process only stays for what clients are still owed: no further request is read behind that.
    pub(crate) fn is_exit_due(&self, now: Micros) -> bool {
        now >= self.exit_by
    }

    /// Whether the process exits at `now`. `has_undelivered_responses`: whether a client has not received all that it is owed.
    pub(crate) fn should_exit(
        &self,
        now: Micros,
        has_clients: bool,
        has_undelivered_responses: bool,
    ) -> bool {
        // At `exit_by` the process exits even if connections are waiting for which it has no capacity: waiting until it is
        // killed would not answer them either. What has been answered may still be delivered until then.
        let exit_by = if has_undelivered_responses {
            self.exit_by.saturating_add(MAX_DELIVERY_TIME_STOPPING)
        } else {
            self.exit_by
        };
        now >= exit_by || matches!(self.phase, Phase::ListenersClosed(_)) && !has_clients
    }
}

#[cfg(test)]
#[path = "lifecycle_tests.rs"]
mod tests;
