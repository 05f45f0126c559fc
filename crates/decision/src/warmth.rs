//! What a server that has just started is given of its range, beside the others of its fleet.
//!
//! Guarantees: a cold server's part is never above `FALL_PART` of the multiple at which it falls over, counted
//! from the least capacity that its settings allow it; a warm one keeps all. And whatever the popularity of its keys:
//! within the time in which it would fall over, the first attempts that all nodes together send it come, on average
//! over the nodes' draws, to the multiple at which it falls over at most, counted from what an average server of the
//! fleet is sent, in any such window (`right`, `room`). No clock: time is an argument.
//!
//! Not guaranteed: a server much slower than the others of its kind is counted as one of them, and servers that are
//! cold and yet take all of their range (`part` of 1) are second homes without a bound.

use std::collections::VecDeque;

use crate::interface::{Micros, Settings};

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

/// How servers warm up here, and how warm the fleet is as a whole.
pub struct Fleet {
    cold: Micros,
    cold_from: f64,
    most: f64,
    mean: f64,
    looked: Option<Micros>,
    fall: Micros,
    fall_multiple: f64,
    /// Arrivals at this node, each fading over `fall`; when the last one was, and the first.
    recent: f64,
    last: Micros,
    first: Option<Micros>,
}

impl Fleet {
    /// A fleet of servers that are all warm.
    pub fn new(set: &Settings) -> Fleet {
        let most = (FALL_PART * set.fall_multiple).max(1.0);
        Fleet {
            cold: set.cold,
            cold_from: set.cold_from,
            most,
            mean: 1.0,
            looked: None,
            fall: set.fall.max(1),
            fall_multiple: set.fall_multiple.max(1.0),
            recent: 0.0,
            last: 0,
            first: None,
        }
    }

    /// A request came to this node.
    pub fn arrived(&mut self, now: Micros) {
        self.first.get_or_insert(now);
        self.recent = self.recent * self.faded(now - self.last) + 1.0;
        self.last = now;
    }

    fn faded(&self, age: Micros) -> f64 {
        (-(age.max(0) as f64) / self.fall as f64).exp()
    }

    /// First attempts that this node may send a server of this warmth within the time to a fall: the multiple at
    /// which it falls over, of what an average server is sent by this node. Each node's part follows from its own
    /// traffic, so that the parts of all nodes add up to the fleet's.
    ///
    /// At a quiet node it is below one, and the node can't tell a popular key from others: the first request for it
    /// may come at all nodes at once. Then it is the share of the keys that the node sends there at all.
    pub fn right(&self, grown: f64, now: Micros, servers: usize) -> f64 {
        let begun = self.faded(self.first.map_or(0, |first| now - first));
        let seen = (1.0 - begun).max(BEGUN_LEAST);
        // Neither the arrival that asks nor the one that began the count tells how many come: at a node that has
        // just started they would be most of what it counts. One at least, or a quiet node would send none.
        let others = (self.recent * self.faded(now - self.last) - 1.0 - begun).max(1.0);
        let mean = others / seen / servers.max(1) as f64;
        let right = self.fall_multiple * grown * mean;
        // Once from each node for a popular key, and the usual for all others.
        if right < 1.0 {
            right / (1.0 + mean)
        } else {
            right
        }
    }

    /// Notes a first attempt to a server, as long as it is cold.
    ///
    /// Guards against a bound that holds on average only: what is not used up of one second may not be sent on top of the
    /// next one's. At most the right of the last times to a fall is kept.
    pub fn use_up(&self, used: &mut VecDeque<Micros>, started: Option<Micros>, now: Micros) {
        while used.front().is_some_and(|at| *at + self.fall <= now) {
            used.pop_front();
        }
        if self.grown(started, now) < 1.0 {
            used.push_back(now);
        }
    }

    /// Whether one more attempt is within the right, after those of the last time to a fall.
    pub fn room(&self, used: &VecDeque<Micros>, right: f64, now: Micros) -> bool {
        let lately = used.iter().rev().take_while(|at| **at + self.fall > now).count();
        lately as f64 + 1.0 <= right.max(1.0)
    }

    /// The least part of its capacity that a server has so long after its start: 1 once it is warm.
    pub fn grown(&self, started: Option<Micros>, now: Micros) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = (now - started).max(0);
        if age >= self.cold {
            return 1.0;
        }
        self.cold_from + (1.0 - self.cold_from) * age as f64 / self.cold as f64
    }

    /// Whether the last look is too long ago.
    pub fn look_due(&self, now: Micros) -> bool {
        !self.looked.is_some_and(|at| (0..LOOK).contains(&(now - at)))
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
#[path = "warmth_tests.rs"]
mod tests;
