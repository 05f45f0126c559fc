//! The interface to the decision module, and the queue of events that go into it.
//!
//! The node performs I/O and makes no decisions: it hands [`Event`]s to a [`DecisionEngine`] and carries out the
//! [`Action`]s that it returns. Effects of an action that are known at once are queued as further events, so the
//! engine is never called while it is still handling an event.

use std::collections::VecDeque;

use sloewick_decision::api::{Action, Event, Micros, RequestId, ServerId};
use sloewick_decision::settings::Names;
use sloewick_decision::{Balancer, Checkpoint};

use crate::event_trace::Trace;
use crate::transport::Transport;

/// A decision module: events in, actions out, time as an argument, no I/O.
///
/// Methods with a default implementation are optional: an engine that does not track what they report keeps the default.
pub trait DecisionEngine {
    /// Handles one event at `now` and appends the resulting actions to `actions`.
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>);

    /// Whether `server`, which is in the endpoint list, currently receives no requests. Default: false.
    fn is_unavailable(&self, _now: Micros, _server: &ServerId) -> bool {
        false
    }

    /// The fraction of its keys that `server` retains, from 0 (ejected) to 1 (no outlier). Default: 1.
    fn retained_fraction(&self, _server: &ServerId) -> f64 {
        1.0
    }

    /// Whether the origin behind the cache servers is considered overloaded. Default: false.
    fn origin_overloaded(&self, _now: Micros) -> bool {
        false
    }

    /// The reason of the decision that led to the most recent action, as one word for the trace. Default: `untold`.
    fn decision_reason(&self) -> &'static str {
        "untold"
    }

    /// Whether an attempt whose connection has just been established may still be written to it. Default: true.
    fn may_start_attempt(&self, _now: Micros, _request: &RequestId, _attempt: usize) -> bool {
        true
    }

    /// Whether the engine still needs the timer that it has set with this token. Default: true.
    fn needs_timer(&self, _token: u64) -> bool {
        true
    }

    /// The state to hand over to the next process of this node; None: that process starts without it. Default: None.
    fn checkpoint(&self, _now: Micros) -> Option<Checkpoint> {
        None
    }

    /// Restores the checkpoint of an earlier process, which was taken `age` microseconds ago. Called before the first
    /// endpoint list is passed to the engine. The default ignores the checkpoint.
    fn restore(&mut self, _now: Micros, _age: Micros, _checkpoint: Checkpoint) {}
}

impl DecisionEngine for Balancer {
    fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        Balancer::handle(self, now, event, actions);
    }

    fn is_unavailable(&self, now: Micros, server: &ServerId) -> bool {
        Balancer::is_unavailable(self, now, server)
    }

    fn retained_fraction(&self, server: &ServerId) -> f64 {
        Balancer::retained_fraction(self, server)
    }

    fn origin_overloaded(&self, now: Micros) -> bool {
        Balancer::origin_overloaded(self, now)
    }

    fn decision_reason(&self) -> &'static str {
        Balancer::decision_reason(self)
    }

    fn may_start_attempt(&self, now: Micros, request: &RequestId, attempt: usize) -> bool {
        Balancer::may_start_attempt(self, now, request, attempt)
    }

    fn needs_timer(&self, token: u64) -> bool {
        Balancer::needs_timer(self, token)
    }

    fn checkpoint(&self, now: Micros) -> Option<Checkpoint> {
        Some(Balancer::checkpoint(self, now))
    }

    fn restore(&mut self, now: Micros, age: Micros, checkpoint: Checkpoint) {
        Balancer::restore(self, now, age, checkpoint);
    }
}

/// The decision engine with the queue of its input events, its trace, and the names of the classes, tenants and zones.
pub(crate) struct EngineQueue<M> {
    pub(crate) engine: M,
    pub(crate) names: Names,
    pub(crate) trace: Trace,
    events: VecDeque<Event>,
    /// An empty buffer that is reused for the actions of the next event.
    actions: Vec<Action>,
}

impl<M: DecisionEngine> EngineQueue<M> {
    pub(crate) fn new(engine: M, names: Names, trace: Trace) -> EngineQueue<M> {
        EngineQueue {
            engine,
            names,
            trace,
            events: VecDeque::new(),
            actions: Vec::new(),
        }
    }

    /// Queues an event. It is handled before the event loop waits for sockets again.
    pub(crate) fn push(&mut self, event: Event) {
        self.events.push_back(event);
    }

    /// Takes the oldest event from the queue.
    pub(crate) fn next_event(&mut self) -> Option<Event> {
        self.events.pop_front()
    }

    /// Handles one event and returns the resulting actions. The caller returns the buffer with [`EngineQueue::return_buffer`].
    pub(crate) fn handle<N: Transport>(
        &mut self,
        net: &mut N,
        now: Micros,
        event: Event,
    ) -> Vec<Action> {
        let mut actions = std::mem::take(&mut self.actions);
        self.trace.event(net, &event);
        self.engine.handle(now, event, &mut actions);
        actions
    }

    /// Writes an action to the trace, with the reason of the decision that led to it.
    pub(crate) fn trace_action<N: Transport>(&self, net: &mut N, action: &Action) {
        self.trace
            .action(net, action, self.engine.decision_reason());
    }

    /// Takes back the buffer of [`EngineQueue::handle`], which the caller has emptied, for the next event.
    pub(crate) fn return_buffer(&mut self, actions: Vec<Action>) {
        self.actions = actions;
    }
}
