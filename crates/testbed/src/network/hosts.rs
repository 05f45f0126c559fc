//! The processes on the hosts of a virtual network, and the order in which they run.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use sloewick_decision::api::Micros;

use crate::network::{HostId, SharedWorld, VirtualTransport, World};
use crate::port::Actor;

struct Slot {
    actor: Option<Box<dyn Actor>>,
    /// Virtual time at which the actor next has something to do.
    due: Micros,
    /// Virtual time at which the actor was placed; its own clock counts from there.
    started: Micros,
    /// The process is paused or its machine is isolated; the actor does not run.
    frozen: bool,
    /// Virtual time before which the actor does not run.
    runs_from: Micros,
}

/// The actors on a network. An actor runs when its host has received something or when its next due time is reached.
/// At each instant all arrivals are delivered first; then the hosts run in the order of their numbers.
pub struct Hosts {
    pub world: SharedWorld,
    slots: BTreeMap<HostId, Slot>,
    /// Hosts that run at the next step although they have received nothing.
    woken: Vec<HostId>,
}

impl Hosts {
    pub fn new(world: World) -> Hosts {
        Hosts {
            world: Rc::new(RefCell::new(world)),
            slots: BTreeMap::new(),
            woken: Vec::new(),
        }
    }

    pub fn net(&self, host: HostId) -> VirtualTransport {
        World::net(&self.world, host)
    }

    pub fn now(&self) -> Micros {
        self.world.borrow().now
    }

    /// Starts an actor on a host; it first runs at the next step.
    pub fn place(&mut self, host: HostId, actor: Box<dyn Actor>) {
        self.place_delayed(host, actor, 0);
    }

    /// Starts an actor that first runs after the given delay, in microseconds; whatever arrives before then waits.
    pub fn place_delayed(&mut self, host: HostId, actor: Box<dyn Actor>, delay: Micros) {
        let started = self.now();
        let runs_from = started + delay;
        self.slots.insert(
            host,
            Slot {
                actor: Some(actor),
                due: runs_from,
                started,
                frozen: false,
                runs_from,
            },
        );
        self.wake(host);
    }

    /// Ends the process on a host, if there is one.
    pub fn end(&mut self, host: HostId) {
        self.world.borrow_mut().kill(host);
        // `kill` has closed the sockets already; dropping the actor does not close them again.
        self.slots.remove(&host);
    }

    pub fn has(&self, host: HostId) -> bool {
        self.slots.contains_key(&host)
    }

    /// Lets a host run at the next step although it has received nothing.
    pub fn wake(&mut self, host: HostId) {
        self.woken.push(host);
    }

    /// Isolates a machine from the network and freezes its process.
    pub fn isolate(&mut self, host: HostId) {
        self.world.borrow_mut().isolate(host);
        if let Some(slot) = self.slots.get_mut(&host) {
            slot.frozen = true;
        }
    }

    /// Freezes a process until it is resumed; what is sent to it waits.
    pub fn pause(&mut self, host: HostId) {
        if let Some(slot) = self.slots.get_mut(&host) {
            slot.frozen = true;
        }
    }

    pub fn resume(&mut self, host: HostId) {
        if let Some(slot) = self.slots.get_mut(&host) {
            slot.frozen = false;
            self.wake(host);
        }
    }

    /// Reconnects an isolated machine and lets its process run again. Returns whether its process was frozen.
    pub fn come_back(&mut self, host: HostId) -> bool {
        let was_frozen = self
            .slots
            .get_mut(&host)
            .is_some_and(|s| std::mem::take(&mut s.frozen));
        if was_frozen {
            self.world.borrow_mut().end_isolation(host);
        }
        was_frozen
    }

    /// Virtual time of the next arrival or the next due time of an actor that is not frozen, whichever is earlier.
    pub fn next_event_time(&self) -> Micros {
        if !self.woken.is_empty() {
            return self.now();
        }
        let event = self.world.borrow().next_event().unwrap_or(Micros::MAX);
        let due = self
            .slots
            .values()
            .filter(|s| !s.frozen)
            .map(|s| s.due)
            .min();
        event.min(due.unwrap_or(Micros::MAX)).max(self.now())
    }

    /// Advances virtual time to `to`, delivers what arrives by then and runs each host that has something to do.
    /// Returns the hosts whose process has ended by itself.
    pub fn advance(&mut self, to: Micros) -> Vec<HostId> {
        self.world.borrow_mut().advance(to);
        let mut awake = self.world.borrow_mut().take_awake();
        awake.extend(
            self.slots
                .iter()
                .filter(|(_, s)| s.due <= to)
                .map(|(host, _)| *host),
        );
        awake.append(&mut self.woken);
        awake.sort_unstable();
        awake.dedup();
        awake
            .into_iter()
            .filter(|host| self.run_host(*host))
            .collect()
    }

    /// Advances virtual time to `end`, step by step.
    pub fn play_to(&mut self, end: Micros) {
        while self.next_event_time() <= end {
            let next = self.next_event_time();
            self.advance(next);
        }
        self.world.borrow_mut().advance(end);
    }

    /// Runs a host's actor. Returns whether its process has ended.
    fn run_host(&mut self, host: HostId) -> bool {
        let now = self.now();
        let Some(slot) = self
            .slots
            .get_mut(&host)
            .filter(|s| !s.frozen && s.runs_from <= now)
        else {
            return false;
        };
        let Some(actor) = &mut slot.actor else {
            return false;
        };
        let result = actor.turn(0);
        if let Some(due) = result.ok().and_then(|()| actor.prepare()) {
            slot.due = due.saturating_add(slot.started);
            false
        } else {
            slot.actor = None;
            self.end(host);
            true
        }
    }
}
