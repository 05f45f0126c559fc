//! The node's event loop: the only place where events are passed to the decision engine and its actions are performed.
//!
//! [`Node`] holds the components that own the node's state. Of its own state, it has only what orders the rounds of the loop.
//! A round polls the sockets, handles the reported events, accepts connections, and handles expired timers. Effects of an
//! action that are known at once are queued as events for the decision engine. The submodules carry events between two or
//! more components.
//!
//! Messages from other nodes are not received: the decision module does not use any yet.

mod accepting;
mod admin;
mod attempts;
mod clients;
mod collected_values;
mod disconnects;
mod dispatch;
mod endpoint_list;
mod endpoint_list_exchange;
mod memcached_requests;
mod memory;
mod outcomes;
mod shutdown;
mod start;
mod waiting_attempts;

use std::collections::BTreeSet;
use std::io;

use sloewick_decision::api::{Event, Micros, Status};
use sloewick_decision::Balancer;

use crate::admin::Admin;
use crate::discovery::Discovery;
use crate::engine::{DecisionEngine, EngineQueue};
use crate::event_loop::collected_values::LongValue;
use crate::event_trace::Trace;
use crate::executed_ids::ExecutedIds;
use crate::frontend::disconnects::{SocketFreshness, MAX_WAIT_WITH_OPEN_REQUESTS};
use crate::frontend::Frontends;
use crate::hot_restart::HotRestart;
use crate::io::Io;
use crate::lifecycle::Lifecycle;
use crate::list_exchange::ListExchange;
use crate::memory::MemoryAccount;
use crate::reload::Reload;
use crate::request_table::RequestTable;
use crate::timers::{TimerEvent, Timers};
use crate::tokens::TokenOwner;
use crate::transport::{ReadyEvent, Transport, MAX_READ};
use crate::upstream::pool::{UpstreamContext, UpstreamPools};
use crate::upstream::probes::Probes;
use crate::upstream::waiting_attempts::WaitingAttempts;

/// Interval between two checks for stalled and idle connections.
const SWEEP_INTERVAL: Micros = 100_000;

/// Serial numbers of clients, requests and probes. Slab keys are reused; the serial number shows whether a key still refers
/// to the same object.
#[derive(Default)]
struct SerialNumbers {
    last: u64,
}

impl SerialNumbers {
    fn next(&mut self) -> u64 {
        self.last += 1;
        self.last
    }

    fn last(&self) -> u64 {
        self.last
    }
}

/// A node: forwards the requests of its clients to cache servers, as its decision engine decides.
pub struct Node<N: Transport, M: DecisionEngine = Balancer> {
    io: Io<N>,
    engine: EngineQueue<M>,
    requests: RequestTable,
    memory: MemoryAccount,
    frontends: Frontends<N>,
    upstreams: UpstreamPools<N::Stream>,
    probes: Probes,
    discovery: Discovery<N::Stream>,
    admin: Admin<N>,
    lifecycle: Lifecycle,
    /// Present if the listener was inherited, so that two processes of this node may serve at the same time.
    hot_restart: Option<HotRestart>,
    /// Present under the same condition: the endpoint list is exchanged with the other processes.
    list_exchange: Option<ListExchange>,
    timers: Timers,
    freshness: SocketFreshness,
    serials: SerialNumbers,
    reload: Reload,
    /// Clients whose input waits for memory.
    clients_waiting_for_memory: BTreeSet<usize>,
    /// Number of the current round.
    round: u64,
    executed_ids: ExecutedIds,
    /// Long values that wait, unread, for memory in which they can be collected. Bounded by the upstream connections.
    waiting_values: Vec<LongValue>,
    waiting_attempts: WaitingAttempts,
}

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Serves until a graceful shutdown is complete.
    ///
    /// # Errors
    /// The system's error if polling fails.
    pub fn run(mut self) -> io::Result<()> {
        while let Some(until) = self.process_pending() {
            let wait = (until - self.io.now()).max(0);
            self.run_once(if self.requests.is_empty() {
                wait
            } else {
                wait.min(MAX_WAIT_WITH_OPEN_REQUESTS)
            })?;
        }
        self.publish_endpoint_list();
        self.io.transport.finish_publication();
        Ok(())
    }

    /// Does all work that needs no new events. Returns the time until which the event loop may wait for events, or `None` if
    /// the node has stopped.
    pub fn process_pending(&mut self) -> Option<Micros> {
        self.handle_engine_events();
        self.flush_clients();
        self.serve_input_queue();
        self.resume_if_memory_released();
        self.collect_waiting_values();
        if self.advance_shutdown() {
            return None;
        }
        // A sweep timer is always set, so 0 stands only for clients that still have to be served.
        let next_timer = self
            .timers
            .next()
            .filter(|_| !self.frontends.has_work())
            .unwrap_or(0);
        Some(self.freshness.record_idle(self.io.now(), next_timer))
    }

    /// Runs one round: waits at most `wait` microseconds for events and handles them.
    ///
    /// # Errors
    /// The system's error if polling fails.
    pub fn run_once(&mut self, wait: Micros) -> io::Result<()> {
        self.round += 1;
        let mut ready = std::mem::take(&mut self.io.ready_events);
        self.poll(&mut ready, wait)?;
        // Sockets are handled before timers, so that on a node short of CPU time a response that arrived in time does not
        // count as late.
        for event in &ready {
            self.handle_ready_event(event);
        }
        self.io.ready_events = ready;
        self.accept_admin_clients();
        self.accept_clients();
        self.start_waiting_attempts();
        self.handle_engine_events();
        self.write_confirmed_attempts();
        let now = self.io.now();
        while let Some(event) = self.timers.pop_expired(now) {
            self.timer_expired(event, now);
        }
        self.frontends.release_unused_slots(&mut self.io.transport);
        Ok(())
    }

    /// Passes an event of the transport to the component that registered its token.
    fn handle_ready_event(&mut self, event: &ReadyEvent) {
        let now = self.io.now();
        match TokenOwner::of(event.token) {
            TokenOwner::ClientListener => self.frontends.listener_ready(event.token),
            TokenOwner::AdminListener => {
                if let Some(server) = &mut self.admin.server {
                    server.listener_ready();
                }
            }
            TokenOwner::AdminClient(key) => self.admin_client_ready(key, event, now),
            TokenOwner::Signals => self.handle_signals(now),
            TokenOwner::Discovery => {
                let (scratch, timers) = (&mut self.io.scratch, &mut self.timers);
                let event = self.discovery.client.ready(event, now, scratch, timers);
                self.handle_discovery(event);
                self.recharge_discovery();
            }
            TokenOwner::Client(key) => self.client_ready(key, event),
            TokenOwner::Upstream(key) => {
                let client_memory = self.client_memory_of(key);
                self.with_upstreams(|upstreams, context| {
                    context.client_memory = client_memory;
                    upstreams.ready(key, event, context);
                });
                self.handle_upstream_events();
            }
        }
    }

    /// Calls the upstream pools with the parts of the node that they use.
    fn with_upstreams<T>(
        &mut self,
        call: impl FnOnce(&mut UpstreamPools<N::Stream>, &mut UpstreamContext<'_, N>) -> T,
    ) -> T {
        let mut context = UpstreamContext {
            now: self.io.now(),
            net: &mut self.io.transport,
            timers: &mut self.timers,
            scratch: &mut self.io.scratch,
            memory: &mut self.memory,
            client_memory: 0,
            max_read: MAX_READ,
        };
        let result = call(&mut self.upstreams, &mut context);
        self.upstreams.recharge(&mut self.memory);
        result
    }

    /// Passes all queued events to the decision engine and performs the resulting actions. Then writes the collected
    /// connection steps to the trace, and starts a request to discovery if one is wanted.
    fn handle_engine_events(&mut self) {
        while let Some(event) = self.engine.next_event() {
            let now = self.io.now();
            let mut actions = self.engine.handle(&mut self.io.transport, now, event);
            for action in actions.drain(..) {
                self.engine.trace_action(&mut self.io.transport, &action);
                self.perform_action(action, now);
            }
            self.engine.return_buffer(actions);
        }
        let steps = self.upstreams.connection_steps.iter_mut();
        for (server, step) in steps.flat_map(|steps| steps.drain(..)) {
            Trace::connection(&mut self.io.transport, &server, step);
        }
        let discovery = &mut self.discovery.client;
        let event = discovery.start_request(&mut self.io.transport, &mut self.timers);
        self.handle_discovery(event);
    }

    /// Handles a timer that has expired.
    fn timer_expired(&mut self, event: TimerEvent, now: Micros) {
        match event {
            TimerEvent::DecisionEngine(token) => self.engine.push(Event::TimerExpired(token)),
            TimerEvent::Attempt(id) => {
                let request = self.requests.get(id.request);
                if request.is_some_and(|request| request.serial == id.serial) {
                    self.end_overdue_stream(id.request, id.attempt, now);
                    self.abandon_attempt(id.request, id.attempt, Status::Timeout);
                }
            }
            TimerEvent::AwaitedConnection(id) => self.awaited_connection_due(id, now),
            TimerEvent::ClientDisconnected { client, serial } => {
                let connection = self.frontends.clients.get(client);
                if connection.is_some_and(|connection| connection.serial == serial) {
                    self.stop_attempts_of_client(client);
                }
            }
            TimerEvent::ClientAcknowledgement { client, serial } => {
                self.retry_acknowledgement(client, serial);
            }
            TimerEvent::Accept => self.retry_accept(),
            TimerEvent::FinalResponses => {
                self.force_final_responses();
                self.sweep_clients(now);
            }
            // The timer only ends the wait for events: the next call of `process_pending` finds that the node has stopped.
            TimerEvent::Exit => {}
            TimerEvent::Upstream { connection, serial } => {
                self.upstreams.timer_expired(connection, serial, now);
                self.handle_upstream_events();
                self.write_confirmed_attempts();
            }
            TimerEvent::Discovery { serial } => {
                let discovery = &mut self.discovery.client;
                let event = discovery.timer_expired(serial, now, &mut self.timers);
                self.handle_discovery(event);
            }
            TimerEvent::Reload => self.retry_reload(now),
            TimerEvent::Sweep => self.sweep(now),
        }
    }

    /// Removes the timers of attempts and requests that have ended.
    fn purge_timers(&mut self) {
        let (requests, engine) = (&self.requests, &self.engine.engine);
        self.timers.purge(|event| match event {
            TimerEvent::DecisionEngine(token) => engine.needs_timer(*token),
            TimerEvent::Attempt(id) | TimerEvent::AwaitedConnection(id) => {
                requests.has_attempt_in_flight(*id)
            }
            _ => true,
        });
    }

    /// Checks everything that has no timer of its own, and sets the timer for the next sweep.
    fn sweep(&mut self, now: Micros) {
        self.timers.set(now + SWEEP_INTERVAL, TimerEvent::Sweep);
        let decision = &self.engine.engine;
        self.admin
            .log_outliers(&self.upstreams, decision, &mut self.io);
        let is_overloaded = decision.origin_overloaded(now);
        self.admin.log_origin_overload(is_overloaded, &mut self.io);
        self.save_snapshot(now);
        self.exchange_endpoint_lists();
        self.purge_timers();
        self.purge_waiting_attempts();
        self.requests.shrink_if_empty();
        self.observe_memory();
        self.resume_waiting_for_memory();
        self.upstreams.sweep(now);
        self.handle_upstream_events();
        if let Some(server) = &mut self.admin.server {
            server.sweep(now);
        }
        self.sweep_clients(now);
    }
}
