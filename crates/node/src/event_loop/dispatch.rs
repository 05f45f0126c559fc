//! Performs the actions of the decision engine.

use sloewick_decision::api::{Action, Event, LoadReport, Micros, RequestId, ServerId, Status};

use super::Node;
use crate::engine::DecisionEngine;
use crate::frontend::response::{FinalResponse, Protocol};
use crate::timers::TimerEvent;
use crate::transport::Transport;
use crate::upstream::connection::Exchange;
use crate::upstream::request::{encode_memcached_probe, encode_resp2_probe};

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Performs one action.
    pub(super) fn perform_action(&mut self, action: Action, now: Micros) {
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => self.start_attempt(&request, &server, timeout, now),
            Action::Reject {
                request,
                retry_after,
            } => self.end_request(&request, FinalResponse::Busy(retry_after)),
            Action::Fail { request } => self.end_request(&request, FinalResponse::Failed),
            Action::Cancel { request, attempt } => {
                if let Some(key) = self.requests.key_of(&request) {
                    self.abandon_attempt(key, attempt, Status::Cancelled);
                }
            }
            Action::CancelUnreceived { request, attempt } => {
                if let Some(key) = self.requests.key_of(&request) {
                    self.cancel_unreceived_attempt(key, attempt);
                }
            }
            Action::SetTimer { delay, token } => {
                let at = now.saturating_add(delay.max(0));
                self.timers.set(at, TimerEvent::DecisionEngine(token));
            }
            Action::Probe(server) => self.start_probe(&server, now),
            Action::CloseIdleConnections(server) => self.upstreams.close_idle(&server),
            Action::Subscribe(on) => self.discovery.client.set_watching(on),
            Action::FetchEndpointList => self.discovery.client.request_full_list(),
            Action::Log(text) => self.io.log(&text),
        }
    }

    /// Gives a request the final response that the decision engine has chosen, unless the request is closed already or its
    /// response is being streamed.
    fn end_request(&mut self, id: &RequestId, response: FinalResponse) {
        let is_open = |key: &usize| {
            let request = &self.requests[*key];
            !request.closed && request.stream.is_none()
        };
        let Some(key) = self.requests.key_of(id).filter(is_open) else {
            return;
        };
        self.respond(key, response);
        self.remove_finished(key);
    }

    fn start_probe(&mut self, server: &ServerId, now: Micros) {
        let serial = self.serials.next();
        let request = match self.upstreams.protocol(server) {
            Protocol::Memcached => encode_memcached_probe(serial),
            Protocol::Resp2 => encode_resp2_probe(self.probes.requests_load_report),
        };
        self.probes.insert(serial, server.clone(), now);
        let probe = Exchange::Probe { serial };
        let started = self
            .with_upstreams(|upstreams, context| upstreams.start(probe, server, &request, context));
        if let Err(status) = started {
            self.end_probe(serial, status, None);
        }
    }

    /// Reports the end of a probe request to the decision engine.
    pub(super) fn end_probe(&mut self, serial: u64, status: Status, load: Option<LoadReport>) {
        let Some(probe) = self.probes.remove(serial) else {
            return;
        };
        let latency = self.io.now() - probe.started;
        self.engine.push(Event::ProbeEnded {
            server: probe.server,
            latency,
            status,
            load,
        });
    }
}
