//! The partition of the key space: which server is the home of a position (DEMB: a window of recent arrivals,
//! range boundaries at equal counts by weight, blended into a moving average).
//!
//! Positions lie between 0 and 1. Servers stand in an order by hash that all nodes share; each owns the
//! positions from its left neighbour's upper bound to its own. A joining or leaving server changes the ranges
//! of its neighbours alone.

use std::collections::{HashMap, VecDeque};

use crate::api::{Micros, ServerId, WeightMeaning};
use crate::balancer::Balancer;
use crate::hot_keys::HotKeys;
use crate::server_health::Server;

/// Window mass for each squared server: the error of a bound, sqrt(1/4WS), is then under 1/5 of a range.
const WINDOW_PER_SQUARED_SERVERS: f64 = 8.0;
/// Arrivals in the window at most, whatever its mass (memory and sorting time at large fleets).
pub(crate) const MAX_WINDOW: usize = 4096;
/// Arrivals between two updates of the boundaries (UI): the window divided by this, and at least so many.
const WINDOW_PER_UPDATE: usize = 32;
const MIN_UPDATE_ARRIVALS: usize = 16;
/// Blending time of the boundaries, as a fraction of the warm-up time: they move slower than caches fill.
const BLEND_FRACTION: f64 = 0.25;
/// Fraction of the displacement caused by learned speeds so far that the next range takes back.
const DISPLACEMENT_RETURN_FRACTION: f64 = 0.3;

/// Servers in their shared order, the window of arrivals and the range boundaries.
#[derive(Default)]
pub(crate) struct Partition {
    pub(crate) servers: Vec<Server>,
    pub(crate) index: HashMap<ServerId, usize>,
    pub(crate) window: VecDeque<f64>,
    pub(crate) hot_keys: HotKeys,
    since_update: usize,
    pub(crate) updates: f64,
    pub(crate) updated: Micros,
}

impl Partition {
    fn window_mass(&self) -> f64 {
        let servers = self.servers.len() as f64;
        (WINDOW_PER_SQUARED_SERVERS * servers * servers).max(1.0)
    }

    /// Most arrivals in the window.
    pub(crate) fn max_window(&self) -> usize {
        MAX_WINDOW.min(self.window_mass() as usize).max(1)
    }

    /// Upper bounds of ranges with equal counts by weight over the window: the positions that arrived, and
    /// evenly spread mass for what they have not displaced yet. That mass guards against boundaries drawn
    /// from noise at quiet or restarted nodes.
    fn current_bounds(&self, weights: &[f64]) -> Vec<f64> {
        let mut positions: Vec<f64> = self.window.iter().copied().collect();
        positions.sort_by(f64::total_cmp);
        let even_mass = (self.window_mass() - positions.len() as f64).max(0.0);
        equal_counts(&positions, even_mass, weights)
    }

    /// Moves the bounds by the fraction `alpha` towards the current ones.
    pub(crate) fn blend_bounds(&mut self, weights: &[f64], alpha: f64) {
        let bounds = self.current_bounds(weights);
        for (server, bound) in self.servers.iter_mut().zip(bounds) {
            server.upper_bound += alpha * (bound - server.upper_bound);
        }
        if let Some(last) = self.servers.last_mut() {
            last.upper_bound = 1.0;
        }
        self.since_update = 0;
    }

    pub(crate) fn record_arrival(&mut self, position: f64, key: Option<u64>) {
        while self.window.len() >= self.max_window() {
            self.window.pop_front();
        }
        self.window.push_back(position);
        self.since_update += 1;
        self.hot_keys.record_arrival(key, self.servers.len());
    }

    /// The server whose range holds a position.
    pub(crate) fn home(&self, position: f64) -> usize {
        self.servers
            .partition_point(|s| s.upper_bound < position)
            .min(self.servers.len().saturating_sub(1))
    }

    pub(crate) fn lower_bound(&self, index: usize) -> f64 {
        let before = self.servers[..index].last();
        before.map_or(0.0, |server| server.upper_bound)
    }

    /// How far from the middle of a server's range a position lies: 0 to 1.
    pub(crate) fn distance_from_middle(&self, position: f64, index: usize) -> f64 {
        let lower = self.lower_bound(index);
        let width = (self.servers[index].upper_bound - lower).max(f64::MIN_POSITIVE);
        ((position - lower) / width - 0.5).abs() * 2.0
    }

    /// A new server takes a third of the ranges of its two neighbours.
    pub(crate) fn join(&mut self, mut server: Server) {
        let index = self
            .servers
            .partition_point(|s| (s.order, &s.entry.server) < (server.order, &server.entry.server));
        if index < self.servers.len() {
            let lower = self.lower_bound(index);
            server.upper_bound = lower + (self.servers[index].upper_bound - lower) / 3.0;
        }
        if index > 0 {
            let lower = self.lower_bound(index - 1);
            let third = (self.servers[index - 1].upper_bound - lower) / 3.0;
            let is_last = index == self.servers.len();
            self.servers[index - 1].upper_bound -= if is_last { 1.5 * third } else { third };
        }
        self.servers.insert(index, server);
    }

    /// A removed server's range goes to its two neighbours.
    pub(crate) fn leave(&mut self, index: usize) {
        let lower = self.lower_bound(index);
        let removed = self.servers.remove(index);
        if index > 0 && index < self.servers.len() {
            self.servers[index - 1].upper_bound = f64::midpoint(lower, removed.upper_bound);
        } else if index > 0 {
            self.servers[index - 1].upper_bound = 1.0;
        }
    }

    /// To be called after servers joined or left.
    pub(crate) fn reindex(&mut self) {
        let servers = self.servers.iter().enumerate();
        self.index = servers.map(|(i, s)| (s.entry.server.clone(), i)).collect();
    }
}

/// Upper bounds that divide sorted positions, and mass spread evenly beside them, by weight.
fn equal_counts(positions: &[f64], even_mass: f64, weights: &[f64]) -> Vec<f64> {
    let total_weight: f64 = weights.iter().sum();
    let mass = even_mass + positions.len() as f64;
    let position = |k: usize| positions.get(k).copied().unwrap_or(1.0);
    let previous = |k: usize| if k == 0 { 0.0 } else { position(k - 1) };
    // The neighbour of a position is another position or an evenly spread one, whichever is nearer.
    let gap = 1.0 / even_mass.max(1e-9);
    let (mut k, mut weight_so_far) = (0, 0.0);
    let mut bounds = Vec::with_capacity(weights.len());
    for weight in weights {
        weight_so_far += weight;
        let goal = mass * weight_so_far / total_weight;
        while k < positions.len() && even_mass * position(k) + (k as f64) + 1.0 <= goal + 1e-9 {
            k += 1;
        }
        let excess = goal - even_mass * position(k) - k as f64;
        bounds.push(if excess <= 0.0 && even_mass >= 1.0 {
            ((goal - k as f64) / even_mass).clamp(previous(k), position(k))
        } else if excess < 0.5 {
            f64::midpoint(previous(k).max(position(k) - gap), position(k))
        } else {
            f64::midpoint(position(k), position(k + 1).min(position(k) + gap))
        });
    }
    if let Some(last) = bounds.last_mut() {
        *last = 1.0;
    }
    bounds
}

impl Balancer {
    /// Weights of the servers' ranges: listed sizes, if weights mean that, and learned speeds.
    pub(crate) fn update_weights(&mut self) {
        let servers = &self.partition.servers;
        let speed = |s: &Server| self.latencies.speed(s.entry.kind);
        let speeds: Vec<f64> = servers.iter().map(speed).collect();
        let mean = speeds.iter().sum::<f64>() / speeds.len().max(1) as f64;
        let mut displaced = 0.0;
        self.weights.clear();
        for (server, speed) in servers.iter().zip(speeds) {
            let size = match self.settings.weights {
                WeightMeaning::Size => server.entry.weight.clamp(0.01, 1e6),
                WeightMeaning::None | WeightMeaning::Live => 1.0,
            };
            let relative = (speed / mean - DISPLACEMENT_RETURN_FRACTION * displaced).max(0.2);
            displaced += relative - 1.0;
            self.weights.push(size * relative);
        }
    }

    pub(crate) fn update_bounds_if_due(&mut self, now: Micros) {
        let due = (self.partition.window.len() / WINDOW_PER_UPDATE).max(MIN_UPDATE_ARRIVALS);
        if self.partition.since_update < due || self.partition.servers.is_empty() {
            return;
        }
        self.update_weights();
        let blend_time = (self.settings.warm_up_time as f64 * BLEND_FRACTION).max(1.0);
        let partition = &mut self.partition;
        partition.updates += 1.0;
        let by_time = 1.0 - (-((now - partition.updated) as f64) / blend_time).exp();
        partition.blend_bounds(&self.weights, by_time.max(1.0 / partition.updates));
        partition.updated = now;
    }
}

#[cfg(test)]
#[path = "partition_tests.rs"]
mod tests;
