//! What a server that has just started is given of its range, beside the others of its fleet.
//!
//! Guarantees: a cold server's part is never above `FALL_PART` of the multiple at which it falls over, counted
//! from the least capacity that its settings allow it; a warm one keeps all. And whatever the popularity of its keys and
//! however many nodes there are: within any window of the time in which it would fall over, the first attempts that all
//! nodes together send it come to the multiple at which it falls over at most, counted from what an average server of the fleet
//! is sent, give or take what `quota` says (`right`, `quota`, `room`). No clock: time is an argument.
//!
//! Not guaranteed: a server much slower than the others of its kind is counted as one of them, and servers that are
//! cold and yet take all of their range (`part` of 1) are second homes without a bound. The law of the sum, and what it comes to
//! by number of nodes: `docs/design/cold-servers.md`.

use std::collections::VecDeque;

use crate::api::{Micros, Settings};
use crate::hash::{mix, unit_interval};

/// Part of the multiple at which a cold server falls over that it is given at most. The rest is slack for chance
/// and for misses, which take more work than hits.
const FALL_PART: f64 = 0.7;
/// Multiple of what a cold server can do that it is given when nobody relieves it.
const UNRELIEVED: f64 = 1.4;
/// How long a look at the fleet holds; warm-ups take seconds.
const LOOK: Micros = 100_000;
/// Part of the time to a fall over which a node that has just begun is taken to have run, at least: its first
/// arrivals come by chance.
const BEGUN_LEAST: f64 = 0.125;
/// Length of a slot, in times to a fall. Longer ones waste less at their changes; in shorter ones a server whose nodes have no
/// request for it waits less for others.
const SLOT_FALLS: i64 = 6;
/// Places of neighbouring numbers lie far apart, and those of any number of nodes spread evenly.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// How servers warm up here, and how warm the fleet is as a whole.
pub struct Fleet {
    warm_up_time: Micros,
    cold_capacity: f64,
    most: f64,
    mean: f64,
    looked: Option<Micros>,
    overload_window: Micros,
    overload_multiple: f64,
    /// Arrivals at this node, each fading over `fall`; when the last one was, and the first.
    recent: f64,
    last: Micros,
    first: Option<Micros>,
    /// This node's place among all nodes, from 0 to 1.
    place: f64,
}

impl Fleet {
    /// A fleet of servers that are all warm.
    pub fn new(set: &Settings, seed: u64) -> Fleet {
        let most = (FALL_PART * set.overload_multiple).max(1.0);
        Fleet {
            warm_up_time: set.warm_up_time,
            cold_capacity: set.cold_capacity,
            most,
            mean: 1.0,
            looked: None,
            overload_window: set.overload_window.max(1),
            overload_multiple: set.overload_multiple.max(1.0),
            recent: 0.0,
            last: 0,
            first: None,
            place: set.node_number.map_or(unit_interval(mix(seed)), |number| {
                (number as f64 * GOLDEN).fract()
            }),
        }
    }

    /// A request came to this node.
    pub fn arrived(&mut self, now: Micros) {
        self.first.get_or_insert(now);
        self.recent = self.recent * self.faded(now - self.last) + 1.0;
        self.last = now;
    }

    fn faded(&self, age: Micros) -> f64 {
        (-(age.max(0) as f64) / self.overload_window as f64).exp()
    }

    /// First attempts that this node may send a server of this warmth within the time to a fall, on average over the
    /// slots: the multiple at which it falls over, of what an average server is sent by this node. Each node's part follows
    /// from its own traffic, so that the parts of all nodes add up to the fleet's. At a quiet node it is below one.
    pub fn right(&self, grown: f64, now: Micros, servers: usize) -> f64 {
        let begun = self.faded(self.first.map_or(0, |first| now - first));
        let seen = (1.0 - begun).max(BEGUN_LEAST);
        // Neither the arrival that asks nor the one that began the count tells how many come: at a node that has
        // just started they would be most of what it counts. One at least, or a quiet node would send none.
        let others = (self.recent * self.faded(now - self.last) - 1.0 - begun).max(1.0);
        self.overload_multiple * grown * others / seen / servers.max(1) as f64
    }

    /// First attempts that this node may send a server (its `order`, when it started) within the time to a fall: the whole
    /// part of its right, and one more in the slots in which it is its turn.
    ///
    /// Guards against the sum of what is left over: if each of n nodes may always send one, n is the bound, however small
    /// their rights. Whose turn it is follows from the server, the slot and the nodes' numbers: at each time a server has its
    /// place on a circle on which the places of all nodes are spread evenly, and it is the turn of those that lie behind
    /// it by less than their right. So with equal rights their sum is met to within two, where draws would scatter about
    /// it by its root. No two slots meet in a window: who gets its turn with a new slot waits for as long as the ones before
    /// may have sent.
    pub fn quota(&self, right: f64, order: u64, started: Option<Micros>, now: Micros) -> f64 {
        let age = started.map_or(0, |started| (now - started).max(0));
        let (slot, since) = (
            age / (SLOT_FALLS * self.overload_window),
            age % (SLOT_FALLS * self.overload_window),
        );
        let left = right.fract();
        let turn =
            |slot: i64| (self.place + unit_interval(mix(order ^ mix(slot as u64)))).fract() < left;
        let turn = turn(slot) && (since >= self.overload_window || slot == 0 || turn(slot - 1));
        right.floor() + f64::from(u8::from(turn))
    }

    /// Notes a first attempt to a server, as long as it is cold.
    ///
    /// Guards against a bound that holds on average only: what is not used up of one second may not be sent on top of the
    /// next one's. At most the right of the last times to a fall is kept.
    pub fn use_up(&self, used: &mut VecDeque<Micros>, started: Option<Micros>, now: Micros) {
        while used
            .front()
            .is_some_and(|at| *at + self.overload_window <= now)
        {
            used.pop_front();
        }
        if self.grown(started, now) < 1.0 {
            used.push_back(now);
        }
    }

    /// Whether one more attempt is within the quota, after those of the last time to a fall.
    pub fn room(&self, used: &VecDeque<Micros>, quota: f64, now: Micros) -> bool {
        let lately = used
            .iter()
            .rev()
            .take_while(|at| **at + self.overload_window > now)
            .count();
        lately as f64 + 1.0 <= quota
    }

    /// The least part of its capacity that a server has so long after its start: 1 once it is warm.
    pub fn grown(&self, started: Option<Micros>, now: Micros) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = (now - started).max(0);
        if age >= self.warm_up_time {
            return 1.0;
        }
        self.cold_capacity + (1.0 - self.cold_capacity) * age as f64 / self.warm_up_time as f64
    }

    /// Whether the last look is too long ago.
    pub fn look_due(&self, now: Micros) -> bool {
        !self
            .looked
            .is_some_and(|at| (0..LOOK).contains(&(now - at)))
    }

    /// Looks at how much of their capacity all servers have that take work.
    pub fn look(&mut self, now: Micros, grown: impl Iterator<Item = f64>) {
        self.looked = Some(now);
        let (sum, n) = grown.fold((0.0, 0u32), |(sum, n), g| (sum + g, n + 1));
        self.mean = if n == 0 { 1.0 } else { sum / f64::from(n) };
    }

    /// Part of its range for a server of this warmth. What cold servers don't take, the warm ones get on top of
    /// their own: where most of a fleet is cold at once, a part that is the server's warmth alone leaves all
    /// requests to the few that are warm. So each is given as much of what it can do as all the others are.
    pub fn part(&self, grown: f64) -> f64 {
        if grown >= 1.0 {
            return 1.0;
        }
        (grown * (1.0 / self.mean).clamp(1.0, self.most)).min(1.0)
    }

    /// Part of its range beyond which a server of this warmth is spared, also where nobody relieves it; it would
    /// fall over. No bound for a warm one.
    pub fn spared(&self, grown: f64) -> f64 {
        if grown >= 1.0 {
            return f64::INFINITY;
        }
        self.part(grown).max(UNRELIEVED * grown)
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
