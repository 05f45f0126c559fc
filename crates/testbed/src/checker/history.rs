//! The state that checks derive their findings from: the requests of the run, and which states of the servers each node
//! has been notified of.
//!
//! Checks read the history as it was before the observation that they check; [`History::apply`] adds the observation
//! afterwards. Requests are removed some time after they began, which bounds the memory of a run.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use sloewick_decision::api::Micros;

use crate::checker::observations::{
    AnnouncedState, Answer, AttemptOutcome, Event, Id, Observation,
};
use crate::requirements::{Repeat, Requirements, MISBEHAVING_CLIENT_RESPONSE_LIMIT};

/// Largest number of observations of one request that are stored for the report of a violation.
const MAX_OBSERVATIONS_PER_REQUEST: usize = 40;
/// Time after its begin for which a request is stored, so that its late effects can be checked.
const REQUEST_RETENTION: Micros = 20_000_000;
/// A node counts as notified of a change this long after discovery had it and was reachable, even if all polls failed.
const ANNOUNCEMENT_DEADLINE: Micros = 6_000_000;

/// An attempt of a request at a server.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) number: u64,
    /// When the server read its last byte.
    pub(crate) at: Micros,
    /// None until the server reported it.
    pub(crate) outcome: Option<AttemptOutcome>,
}

/// A request of a client.
#[derive(Debug)]
pub(crate) struct Request {
    pub(crate) node: usize,
    pub(crate) class: usize,
    /// How long its client waits for the answer.
    pub(crate) budget: Micros,
    /// Id of the client's first request for the same thing; its own id unless it is a client's retry.
    pub(crate) first: Id,
    pub(crate) idempotency_key: Option<Id>,
    /// When its client disconnected before the answer; None if it did not.
    pub(crate) disconnected: Option<Micros>,
    /// The final answer and when its client received it; None until then.
    pub(crate) answered: Option<(Micros, Answer)>,
    /// No answer is due: its node was killed or suspended, or the client sent it again to another node.
    pub(crate) excused: bool,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) effects: u32,
    log: Vec<Observation>,
}

impl Request {
    /// Whether some attempt may have run: its server has not reported that it rejected the attempt.
    pub(crate) fn may_have_run(&self) -> bool {
        self.attempts
            .iter()
            .any(|a| a.outcome != Some(AttemptOutcome::Rejected))
    }

    /// Whether some attempt ran.
    pub(crate) fn was_executed(&self) -> bool {
        self.attempts
            .iter()
            .any(|a| a.outcome == Some(AttemptOutcome::Executed))
    }
}

/// When each node was notified of the servers' states.
///
/// A node counts as notified of discovery's current state of a server after [`ANNOUNCEMENT_DEADLINE`], even if it
/// received no message about it.
#[derive(Default)]
pub(crate) struct NodeKnowledge {
    /// By node and server: when the node was notified that the server is draining or removed.
    end_announced: HashMap<(usize, usize), Micros>,
    /// By node and server: when the node was notified of the server's start.
    start_announced: HashMap<(usize, usize), Micros>,
    /// By server: discovery's current state of it, and since when.
    discovered: HashMap<usize, (Micros, AnnouncedState)>,
    /// Since when discovery has been reachable; None while it is not.
    reachable_since: Option<Micros>,
    node_started: HashMap<usize, Micros>,
    node_resumed: HashMap<usize, Micros>,
}

impl NodeKnowledge {
    /// When a node was notified by a message that a server is draining or removed; None if it was not.
    pub(crate) fn end_announced(&self, node: usize, server: usize) -> Option<Micros> {
        self.end_announced.get(&(node, server)).copied()
    }

    /// When a node was notified by a message of a server's start; None if it was not.
    pub(crate) fn start_announced(&self, node: usize, server: usize) -> Option<Micros> {
        self.start_announced.get(&(node, server)).copied()
    }

    /// When a node counts as notified that a server is draining or removed; None unless that is discovery's current
    /// state.
    pub(crate) fn end_due(&self, node: usize, server: usize) -> Option<Micros> {
        self.due(node, server, false)
    }

    /// Whether a node has been notified of a server's start or counts as notified at this time.
    pub(crate) fn knows_start(&self, node: usize, server: usize, at: Micros) -> bool {
        self.start_announced.contains_key(&(node, server))
            || self.due(node, server, true).is_some_and(|due| due <= at)
    }

    /// Whether a process of this node has been started before.
    pub(crate) fn started_before(&self, node: usize) -> bool {
        self.node_started.contains_key(&node)
    }

    /// When a suspended node was last resumed; None if it never was.
    pub(crate) fn resumed(&self, node: usize) -> Option<Micros> {
        self.node_resumed.get(&node).copied()
    }

    fn due(&self, node: usize, server: usize, started: bool) -> Option<Micros> {
        let (discovered, state) = self.discovered.get(&server)?;
        let reachable = self.reachable_since?;
        let since = [self.node_started.get(&node), self.node_resumed.get(&node)]
            .into_iter()
            .flatten()
            .copied()
            .fold(reachable.max(*discovered), Micros::max);
        (state.is_started() == started).then_some(since + ANNOUNCEMENT_DEADLINE)
    }

    fn announced(&mut self, at: Micros, key: (usize, usize), state: AnnouncedState) {
        if state.is_started() {
            self.end_announced.remove(&key);
            self.start_announced.entry(key).or_insert(at);
        } else {
            self.end_announced.entry(key).or_insert(at);
        }
    }

    fn known_at_start(&mut self, at: Micros, key: (usize, usize), state: AnnouncedState) {
        let known = if state.is_started() {
            &mut self.start_announced
        } else {
            &mut self.end_announced
        };
        known.entry(key).or_insert(at);
    }

    fn discovered(&mut self, at: Micros, server: usize, state: AnnouncedState) {
        // A change from draining to removed does not restart the deadline.
        let since = self
            .discovered
            .get(&server)
            .filter(|(_, earlier)| !earlier.is_started() && !state.is_started())
            .map_or(at, |(since, _)| *since);
        self.discovered.insert(server, (since, state));
    }

    fn node_started(&mut self, at: Micros, node: usize) {
        self.end_announced.retain(|(n, _), _| *n != node);
        self.start_announced.retain(|(n, _), _| *n != node);
        self.node_started.insert(node, at);
    }

    fn node_resumed(&mut self, at: Micros, node: usize) {
        self.node_resumed.insert(node, at);
        // The node can read only from now on what discovery sent while it was suspended.
        for ((of, _), announced) in &mut self.end_announced {
            if *of == node {
                *announced = at.max(*announced);
            }
        }
    }
}

/// The state of the run that all checks share.
pub(crate) struct History {
    pub(crate) requirements: Requirements,
    /// Others than the emulated clients may send requests, so unknown requests are no violation.
    pub(crate) allows_unknown_requests: bool,
    pub(crate) knowledge: NodeKnowledge,
    requests: HashMap<Id, Request>,
    /// Requests by the time at which they are removed.
    expiries: BTreeMap<Micros, Vec<Id>>,
    ended_nodes: BTreeSet<usize>,
    paused_nodes: BTreeSet<usize>,
}

impl History {
    pub(crate) fn new(requirements: Requirements) -> History {
        History {
            requirements,
            allows_unknown_requests: false,
            knowledge: NodeKnowledge::default(),
            requests: HashMap::new(),
            expiries: BTreeMap::new(),
            ended_nodes: BTreeSet::new(),
            paused_nodes: BTreeSet::new(),
        }
    }

    pub(crate) fn request(&self, id: &Id) -> Option<&Request> {
        self.requests.get(id)
    }

    /// How requests of a class may be repeated; those of an unknown class may not.
    pub(crate) fn repeat(&self, class: usize) -> Repeat {
        self.requirements
            .classes
            .get(class)
            .copied()
            .unwrap_or(Repeat::Unsafe)
    }

    /// Whether a node's process has ended.
    pub(crate) fn has_ended(&self, node: usize) -> bool {
        self.ended_nodes.contains(&node)
    }

    /// Whether a node's process is suspended (SIGSTOP).
    pub(crate) fn is_paused(&self, node: usize) -> bool {
        self.paused_nodes.contains(&node)
    }

    /// Whether a node was suspended during some of the time within which it has to answer a misbehaving client.
    pub(crate) fn was_paused_recently(&self, node: usize, at: Micros) -> bool {
        let recent = |resumed| at - resumed <= MISBEHAVING_CLIENT_RESPONSE_LIMIT;
        self.is_paused(node) || self.knowledge.resumed(node).is_some_and(recent)
    }

    /// The observations of a request, oldest first.
    pub(crate) fn observations_of(&self, id: &Id) -> Vec<Observation> {
        self.requests.get(id).map_or(Vec::new(), |r| r.log.clone())
    }

    /// Removes requests that began more than [`REQUEST_RETENTION`] ago.
    pub(crate) fn forget_old_requests(&mut self, now: Micros) {
        while let Some(entry) = self.expiries.first_entry().filter(|e| *e.key() < now) {
            for id in entry.remove() {
                self.requests.remove(&id);
            }
        }
    }

    /// Adds an observation to the log of its request. Called before the checks, so that a violation's report has it.
    pub(crate) fn log(&mut self, observation: &Observation) {
        let Some(id) = observation.event.request() else {
            return;
        };
        let request = self.requests.get_mut(id);
        if let Some(r) = request.filter(|r| r.log.len() < MAX_OBSERVATIONS_PER_REQUEST) {
            r.log.push(observation.clone());
        }
    }

    /// Updates the state by an observation. Called after the checks.
    pub(crate) fn apply(&mut self, observation: &Observation) {
        self.apply_to_requests(observation);
        self.apply_to_nodes(observation);
    }

    fn apply_to_requests(&mut self, observation: &Observation) {
        let at = observation.at;
        match &observation.event {
            Event::RequestSent { id, .. } => self.begin_request(id, observation),
            Event::Resent { id, node } => {
                if let Some(r) = self.requests.get_mut(id) {
                    r.node = *node;
                    r.excused = true;
                }
            }
            Event::ClientDisconnected { id } => {
                let request = self.requests.get_mut(id);
                if let Some(r) = request.filter(|r| r.answered.is_none()) {
                    r.disconnected.get_or_insert(at);
                }
            }
            Event::ClosedUnanswered { id, partial, .. } => {
                if let Some(r) = self.requests.get_mut(id) {
                    r.answered = Some((at, Answer::Ended { partial: *partial }));
                }
            }
            Event::Answered { id, answer } => {
                if let Some(r) = self.requests.get_mut(id) {
                    r.answered = Some((at, answer.clone()));
                }
            }
            Event::Attempt { id, attempt, .. } => {
                if let Some(r) = self.requests.get_mut(id) {
                    r.attempts.push(Attempt {
                        number: *attempt,
                        at,
                        outcome: None,
                    });
                }
            }
            Event::AttemptOutcome {
                id,
                attempt,
                outcome,
            } => {
                let attempts = self.requests.get_mut(id).map(|r| &mut r.attempts);
                let found = attempts.and_then(|all| all.iter_mut().find(|a| a.number == *attempt));
                if let Some(a) = found {
                    a.outcome = Some(*outcome);
                }
            }
            Event::Effect { id, .. } => {
                if let Some(r) = self.requests.get_mut(id) {
                    r.effects += 1;
                }
            }
            _ => {}
        }
    }

    fn begin_request(&mut self, id: &Id, observation: &Observation) {
        let Event::RequestSent {
            node,
            class,
            first,
            budget,
            idempotency_key,
            ..
        } = &observation.event
        else {
            return;
        };
        let request = Request {
            node: *node,
            class: *class,
            budget: *budget,
            first: first.clone(),
            idempotency_key: idempotency_key.clone(),
            disconnected: None,
            answered: None,
            // The client may have sent it before it could see that the node had ended or was suspended.
            excused: self.has_ended(*node) || self.is_paused(*node),
            attempts: Vec::new(),
            effects: 0,
            log: vec![observation.clone()],
        };
        self.requests.insert(id.clone(), request);
        let expiry = observation.at + REQUEST_RETENTION;
        self.expiries.entry(expiry).or_default().push(id.clone());
    }

    fn apply_to_nodes(&mut self, observation: &Observation) {
        let at = observation.at;
        match &observation.event {
            Event::AnnouncementSent {
                node,
                server,
                state,
            } => {
                self.knowledge.announced(at, (*node, *server), *state);
            }
            Event::KnownAtNodeStart {
                node,
                server,
                state,
            } => {
                self.knowledge.known_at_start(at, (*node, *server), *state);
            }
            Event::DiscoveryUpdated { server, state } => {
                self.knowledge.discovered(at, *server, *state);
            }
            Event::DiscoveryReachable { reachable } => {
                // Discovery remains reachable while it moves to another address.
                let since = self.knowledge.reachable_since.unwrap_or(at);
                self.knowledge.reachable_since = reachable.then_some(since);
            }
            Event::NodePaused { node } => {
                self.paused_nodes.insert(*node);
                self.excuse_pending_requests(*node);
            }
            Event::NodeResumed { node } => {
                self.paused_nodes.remove(node);
                self.knowledge.node_resumed(at, *node);
            }
            Event::NodeStarted { node } => {
                self.paused_nodes.remove(node);
                self.ended_nodes.remove(node);
                self.knowledge.node_started(at, *node);
            }
            Event::NodeEnded { node, killed } => {
                self.ended_nodes.insert(*node);
                if *killed {
                    self.excuse_pending_requests(*node);
                }
            }
            _ => {}
        }
    }

    /// Excuses a killed or suspended node from answering its requests in flight: their clients have to retry them.
    fn excuse_pending_requests(&mut self, node: usize) {
        self.requests
            .values_mut()
            .filter(|r| r.node == node && r.answered.is_none())
            .for_each(|r| r.excused = true);
    }
}
