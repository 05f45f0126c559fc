//! Requests from arrival to final response: passes events to the nodes' balancers, applies their actions, and reports the
//! outcomes of attempts to them.

use rand::Rng;
use sloewick_decision::api::{
    Action, AttemptOutcome, CacheResult, Event, Micros, Request, RequestId, ServerId, Status,
};

use super::{Model, Policy};
use crate::attempt::{Attempt, AttemptIndex, AttemptStage, PendingRequest};
use crate::event_queue::FleetEvent;
use crate::node::{server_id, server_number};
use crate::site::class_limits;

/// Time from the rejection or failure of a read to the client's retry.
const CLIENT_RETRY_DELAY: Micros = 60_000;
/// Number of most recent attempts that are searched for an attempt whose request is no longer pending.
const MAX_SEARCHED_ATTEMPTS: usize = 20_000;

impl Model {
    /// Starts a request that has arrived at a node. `first_try` is false for a client's retry.
    pub(super) fn start_request(&mut self, node: usize, key: usize, write: bool, first_try: bool) {
        let id: RequestId = format!("r{}", self.events.next_serial()).into();
        let limits = class_limits(write);
        let pending = PendingRequest {
            node,
            write,
            key,
            arrived_at: self.now,
            first_try,
            attempts: Vec::new(),
        };
        self.pending.insert(id.clone(), pending);
        if self.policy == Policy::Omniscient {
            return match self.omniscient_selection(key, write) {
                Some(server) => self.send(node, id, &server_id(server), None),
                None => self.reject(&id),
            };
        }
        let request = Request {
            id,
            class: limits.index,
            tenant: None,
            key: Some(format!("k{key}").into()),
            budget: limits.deadline,
            work: None,
            size: None,
            is_client_retry: !first_try,
            earlier_request_sent: None,
            write,
        };
        self.notify_node(node, Event::Request(request));
    }

    /// Passes an event to a node's balancer and applies the resulting actions. Has no effect under the omniscient policy.
    pub(super) fn notify_node(&mut self, node: usize, event: Event) {
        if self.policy == Policy::Omniscient {
            return;
        }
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            self.apply_action(node, action);
        }
    }

    fn apply_action(&mut self, node: usize, action: Action) {
        match action {
            Action::Send {
                request,
                server,
                timeout,
            } => self.send(node, request, &server, timeout),
            Action::Reject { request, .. } | Action::Fail { request } => {
                let reason = self.nodes[node].decision_reason();
                *self.reject_reasons.entry(reason).or_default() += 1;
                self.reject(&request);
            }
            Action::Cancel { request, attempt } => {
                if let Some(index) = self.find_attempt(&request, attempt) {
                    self.cancel_attempt(index);
                }
            }
            Action::SetTimer { delay, token } => {
                self.schedule(delay, FleetEvent::NodeTimer { node, token });
            }
            _ => {}
        }
    }

    /// Finds an attempt by its request and number, also if the request is no longer pending.
    fn find_attempt(&self, request: &RequestId, number: usize) -> Option<AttemptIndex> {
        let pending = self.pending.get(request);
        pending
            .and_then(|pending| pending.attempts.get(number).copied())
            .or_else(|| self.find_recent_attempt(request, number))
    }

    fn find_recent_attempt(&self, request: &RequestId, number: usize) -> Option<AttemptIndex> {
        let first = self.attempts.len().saturating_sub(MAX_SEARCHED_ATTEMPTS);
        self.attempts[first..]
            .iter()
            .rposition(|attempt| attempt.request == *request && attempt.number == number)
            .map(|position| first + position)
    }

    /// Ends a request with a rejection or failure as its final response; the client may retry a read.
    fn reject(&mut self, request: &RequestId) {
        let Some(pending) = self.pending.remove(request) else {
            self.violations += 1;
            return;
        };
        self.counts().rejected += 1;
        if self.now > pending.arrived_at + class_limits(pending.write).deadline {
            self.violations += 1;
        }
        if self.policy == Policy::CancelFetches {
            for attempt in pending.attempts {
                self.cancel_attempt(attempt);
            }
        }
        if pending.first_try && !pending.write && self.rng.random_bool(self.site.retry_probability)
        {
            self.schedule(CLIENT_RETRY_DELAY, FleetEvent::ClientRetry(pending.key));
        }
    }

    fn send(
        &mut self,
        node: usize,
        request: RequestId,
        server: &ServerId,
        timeout: Option<Micros>,
    ) {
        let server = server_number(server);
        let index = self.attempts.len();
        let Some(pending) = self.pending.get_mut(&request) else {
            self.violations += 1;
            return;
        };
        let number = pending.attempts.len();
        pending.attempts.push(index);
        let attempt = Attempt {
            node,
            request,
            number,
            server,
            key: pending.key,
            write: pending.write,
            sent_at: self.now,
            stage: AttemptStage::Queued,
            awaited: true,
        };
        let deadline = pending.arrived_at + class_limits(pending.write).deadline;
        let remaining = deadline - self.now;
        self.counts().attempts += 1;
        self.attempts.push(attempt);
        let timeout = timeout.unwrap_or(remaining).min(remaining);
        self.schedule(timeout, FleetEvent::AttemptTimeout(index));
        self.enqueue(index);
    }

    /// Ends an attempt and reports its outcome to the node. The first success is the final response of the request.
    pub(super) fn attempt_ended(
        &mut self,
        index: AttemptIndex,
        status: Status,
        cache_result: Option<CacheResult>,
    ) {
        let attempt = &self.attempts[index];
        let (node, server, number) = (attempt.node, attempt.server, attempt.number);
        let latency = self.now - attempt.sent_at;
        let request = attempt.request.clone();
        let closed = status == Status::Ok && self.record_success(&request, cache_result);
        if self.policy == Policy::Omniscient {
            if !closed && self.pending.contains_key(&request) {
                self.reject(&request);
            }
            return;
        }
        let event = Event::AttemptEnded(AttemptOutcome {
            request,
            server: server_id(server),
            attempt: number,
            latency,
            status,
            is_final: closed,
            cache_result,
            load: None,
        });
        self.notify_node(node, event);
    }

    /// Records a success as the final response of a request. Returns false if the request already had its final response.
    fn record_success(&mut self, request: &RequestId, cache_result: Option<CacheResult>) -> bool {
        let Some(pending) = self.pending.remove(request) else {
            return false;
        };
        let limits = class_limits(pending.write);
        if self.now - pending.arrived_at <= limits.latency_objective {
            let counts = self.counts();
            counts.served += 1;
            counts.served_weight += limits.priority_weight;
            counts.served_from_origin += u32::from(cache_result == Some(CacheResult::Miss));
        }
        true
    }
}
