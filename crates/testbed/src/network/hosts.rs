//! What lives on the hosts of a virtual network, and whose turn it is.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use sloewick_decision::api::Micros;

use crate::network::{HostId, Shared, VNet, World};
use crate::port::Actor;

struct Slot {
    actor: Option<Box<dyn Actor>>,
    /// In virtual time.
    due: Micros,
    started: Micros,
    /// Its machine is silent: it does nothing either.
    frozen: bool,
    /// Until then it has not begun to act.
    begins: Micros,
}

/// Actors on a network. Each acts when something has come for it or its time has come; in one instant all
/// arrivals are delivered first, then hosts act in the order of their numbers.
pub struct Hosts {
    pub world: Shared,
    slots: BTreeMap<HostId, Slot>,
    touched: Vec<HostId>,
}

impl Hosts {
    pub fn new(world: World) -> Hosts {
        Hosts {
            world: Rc::new(RefCell::new(world)),
            slots: BTreeMap::new(),
            touched: Vec::new(),
        }
    }

    pub fn net(&self, host: HostId) -> VNet {
        World::net(&self.world, host)
    }

    pub fn now(&self) -> Micros {
        self.world.borrow().now
    }

    /// Starts an actor on a host; it acts first at the next step.
    pub fn place(&mut self, host: HostId, actor: Box<dyn Actor>) {
        self.place_late(host, actor, 0);
    }

    /// Starts an actor that acts first after so long; what comes meanwhile waits.
    pub fn place_late(&mut self, host: HostId, actor: Box<dyn Actor>, after: Micros) {
        let started = self.now();
        let begins = started + after;
        self.slots.insert(
            host,
            Slot {
                actor: Some(actor),
                due: begins,
                started,
                frozen: false,
                begins,
            },
        );
        self.wake(host);
    }

    /// Ends the process on a host, if there is one.
    pub fn end(&mut self, host: HostId) {
        self.world.borrow_mut().kill(host);
        // Its sockets are closed by the kill; dropping it closes nothing twice.
        self.slots.remove(&host);
    }

    pub fn has(&self, host: HostId) -> bool {
        self.slots.contains_key(&host)
    }

    /// Lets a host act at the next step, though nothing has come for it.
    pub fn wake(&mut self, host: HostId) {
        self.touched.push(host);
    }

    /// The machine falls silent.
    pub fn isolate(&mut self, host: HostId) {
        self.world.borrow_mut().isolate(host);
        if let Some(slot) = self.slots.get_mut(&host) {
            slot.frozen = true;
        }
    }

    /// A process does nothing from now on; what is sent to it waits.
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

    /// A machine that had fallen silent is back; whether it was.
    pub fn come_back(&mut self, host: HostId) -> bool {
        let back = self
            .slots
            .get_mut(&host)
            .is_some_and(|s| std::mem::take(&mut s.frozen));
        if back {
            self.world.borrow_mut().come_back(host);
        }
        back
    }

    /// When something happens next.
    pub fn next(&self) -> Micros {
        if !self.touched.is_empty() {
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

    /// Goes on to this time, delivers what arrives then and lets act whoever has something to do. Returns those
    /// that have ended by themselves.
    pub fn advance(&mut self, to: Micros) -> Vec<HostId> {
        self.world.borrow_mut().advance(to);
        let mut awake = self.world.borrow_mut().take_awake();
        awake.extend(
            self.slots
                .iter()
                .filter(|(_, s)| s.due <= to)
                .map(|(host, _)| *host),
        );
        awake.append(&mut self.touched);
        awake.sort_unstable();
        awake.dedup();
        awake.into_iter().filter(|host| self.turn(*host)).collect()
    }

    /// Plays on alone until this time.
    pub fn play_to(&mut self, end: Micros) {
        while self.next() <= end {
            let next = self.next();
            self.advance(next);
        }
        self.world.borrow_mut().advance(end);
    }

    /// Lets a host act; whether it has ended.
    fn turn(&mut self, host: HostId) -> bool {
        let now = self.now();
        let Some(slot) = self
            .slots
            .get_mut(&host)
            .filter(|s| !s.frozen && s.begins <= now)
        else {
            return false;
        };
        let Some(actor) = &mut slot.actor else {
            return false;
        };
        let turned = actor.turn(0);
        if let Some(due) = turned.ok().and_then(|()| actor.prepare()) {
            slot.due = due.saturating_add(slot.started);
            false
        } else {
            slot.actor = None;
            self.end(host);
            true
        }
    }
}
