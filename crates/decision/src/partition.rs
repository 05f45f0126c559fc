//! The partition of the key space: which server is the home of a position. The boundaries follow DEMB: they
//! divide a window of recent arrivals into equal counts by weight and are blended into a moving average.
//!
//! Positions lie between 0 and 1. All nodes order the servers by a hash of their names; each server owns the
//! positions from the upper bound of its left neighbour to its own. A server that joins or leaves changes
//! only the ranges of its neighbours.

use std::collections::{HashMap, VecDeque};

use crate::api::{Micros, ServerId, WeightMeaning};
use crate::balancer::Balancer;
use crate::hot_keys::HotKeys;
use crate::server_health::Server;

/// Window mass (WS) divided by the squared number of servers: the error of a bound, sqrt(1/(4WS)), is then
/// under 1/5 of a range.
const WINDOW_PER_SQUARED_SERVERS: f64 = 8.0;
/// Most arrivals in the window, whatever its mass: bounds memory and sorting time in large fleets.
pub(crate) const MAX_WINDOW: usize = 4096;
/// Arrivals between two updates of the boundaries (UI): the window length divided by this, and at least
/// `MIN_UPDATE_ARRIVALS`.
const WINDOW_PER_UPDATE: usize = 32;
const MIN_UPDATE_ARRIVALS: usize = 16;
/// Blending time of the boundaries as a fraction of the warm-up time: they move slower than caches fill.
const BLEND_FRACTION: f64 = 0.25;
/// Learned speeds shift the boundaries of all later ranges. Each range corrects this fraction of the shift so
/// far, so that nodes that learned different speeds agree on most home servers.
const SHIFT_CORRECTION_FRACTION: f64 = 0.3;

/// The servers with the bounds of their ranges, in the order that all nodes share, and the recent arrivals.
#[derive(Default)]
pub(crate) struct Partition {
    pub(crate) servers: Vec<Server>,
    /// Index of each server in `servers`, see `reindex`.
    pub(crate) index: HashMap<ServerId, usize>,
    /// Positions of recent arrivals, the oldest first.
    pub(crate) window: VecDeque<f64>,
    pub(crate) hot_keys: HotKeys,
    arrivals_since_update: usize,
    /// Number of updates of the boundaries, and the time of the last one.
    pub(crate) updates: f64,
    pub(crate) last_update: Micros,
}

impl Partition {
    /// Arrivals, or uniform mass in their place, over which the boundaries are computed.
    fn window_mass(&self) -> f64 {
        let servers = self.servers.len() as f64;
        (WINDOW_PER_SQUARED_SERVERS * servers * servers).max(1.0)
    }

    /// Maximum number of arrivals in the window.
    pub(crate) fn max_window(&self) -> usize {
        MAX_WINDOW.min(self.window_mass() as usize).max(1)
    }

    /// Returns the upper bounds of ranges with equal counts by weight over the window. Uniform mass fills up
    /// a window with too few arrivals. It guards against boundaries that follow noise at nodes with little
    /// traffic or after a restart.
    fn current_bounds(&self, weights: &[f64]) -> Vec<f64> {
        let mut positions: Vec<f64> = self.window.iter().copied().collect();
        positions.sort_by(f64::total_cmp);
        let uniform_mass = (self.window_mass() - positions.len() as f64).max(0.0);
        equal_count_bounds(&positions, uniform_mass, weights)
    }

    /// Moves the bounds towards those of the current window by the fraction `alpha` of the distance.
    pub(crate) fn blend_bounds(&mut self, weights: &[f64], alpha: f64) {
        let bounds = self.current_bounds(weights);
        for (server, bound) in self.servers.iter_mut().zip(bounds) {
            server.upper_bound += alpha * (bound - server.upper_bound);
        }
        if let Some(last) = self.servers.last_mut() {
            last.upper_bound = 1.0;
        }
        self.arrivals_since_update = 0;
    }

    pub(crate) fn record_arrival(&mut self, position: f64, key: Option<u64>) {
        while self.window.len() >= self.max_window() {
            self.window.pop_front();
        }
        self.window.push_back(position);
        self.arrivals_since_update += 1;
        self.hot_keys.record_arrival(key, self.servers.len());
    }

    /// Returns the index of the server whose range contains a position.
    pub(crate) fn home(&self, position: f64) -> usize {
        self.servers
            .partition_point(|s| s.upper_bound < position)
            .min(self.servers.len().saturating_sub(1))
    }

    pub(crate) fn lower_bound(&self, index: usize) -> f64 {
        let before = self.servers[..index].last();
        before.map_or(0.0, |server| server.upper_bound)
    }

    /// Returns the distance of a position from the middle of a server's range: 0 there, 1 at its bounds.
    pub(crate) fn distance_from_middle(&self, position: f64, index: usize) -> f64 {
        let lower = self.lower_bound(index);
        let width = (self.servers[index].upper_bound - lower).max(f64::MIN_POSITIVE);
        ((position - lower) / width - 0.5).abs() * 2.0
    }

    /// Adds a server, which takes a third of each neighbour's range, or half if it is the last in the order.
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

    /// Removes a server and divides its range between its two neighbours.
    pub(crate) fn leave(&mut self, index: usize) {
        let lower = self.lower_bound(index);
        let removed = self.servers.remove(index);
        if index > 0 && index < self.servers.len() {
            self.servers[index - 1].upper_bound = f64::midpoint(lower, removed.upper_bound);
        } else if index > 0 {
            self.servers[index - 1].upper_bound = 1.0;
        }
    }

    /// Rebuilds `index`; must be called after servers joined or left.
    pub(crate) fn reindex(&mut self) {
        let servers = self.servers.iter().enumerate();
        self.index = servers.map(|(i, s)| (s.entry.server.clone(), i)).collect();
    }
}

/// Returns upper bounds that divide sorted positions, and mass uniform over the key space, by weight.
fn equal_count_bounds(positions: &[f64], uniform_mass: f64, weights: &[f64]) -> Vec<f64> {
    let total_weight: f64 = weights.iter().sum();
    let mass = uniform_mass + positions.len() as f64;
    let position = |k: usize| positions.get(k).copied().unwrap_or(1.0);
    let previous = |k: usize| if k == 0 { 0.0 } else { position(k - 1) };
    // Uniform mass counts as positions this far apart. The neighbour of a position is one of them or another
    // arrival, whichever is nearer.
    let gap = 1.0 / uniform_mass.max(1e-9);
    let (mut k, mut weight_so_far) = (0, 0.0);
    let mut bounds = Vec::with_capacity(weights.len());
    for weight in weights {
        weight_so_far += weight;
        let goal = mass * weight_so_far / total_weight;
        while k < positions.len() && uniform_mass * position(k) + (k as f64) + 1.0 <= goal + 1e-9 {
            k += 1;
        }
        let excess = goal - uniform_mass * position(k) - k as f64;
        bounds.push(if excess <= 0.0 && uniform_mass >= 1.0 {
            ((goal - k as f64) / uniform_mass).clamp(previous(k), position(k))
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
    /// Computes the weights of the ranges from learned speeds and from listed weights, if these are sizes.
    pub(crate) fn update_weights(&mut self) {
        let servers = &self.partition.servers;
        let speed = |s: &Server| self.latencies.speed(s.entry.kind);
        let speeds: Vec<f64> = servers.iter().map(speed).collect();
        let mean = speeds.iter().sum::<f64>() / speeds.len().max(1) as f64;
        let mut total_shift = 0.0;
        self.weights.clear();
        for (server, speed) in servers.iter().zip(speeds) {
            let size = match self.settings.weights {
                WeightMeaning::Size => server.entry.weight.clamp(0.01, 1e6),
                WeightMeaning::None | WeightMeaning::Live => 1.0,
            };
            let relative = (speed / mean - SHIFT_CORRECTION_FRACTION * total_shift).max(0.2);
            total_shift += relative - 1.0;
            self.weights.push(size * relative);
        }
    }

    /// Updates weights and bounds after enough arrivals; the n-th update moves them by at least 1/n.
    pub(crate) fn update_bounds_if_due(&mut self, now: Micros) {
        let due = (self.partition.window.len() / WINDOW_PER_UPDATE).max(MIN_UPDATE_ARRIVALS);
        if self.partition.arrivals_since_update < due || self.partition.servers.is_empty() {
            return;
        }
        self.update_weights();
        let blend_time = (self.settings.warm_up_time as f64 * BLEND_FRACTION).max(1.0);
        let partition = &mut self.partition;
        partition.updates += 1.0;
        let time_fraction = 1.0 - (-((now - partition.last_update) as f64) / blend_time).exp();
        partition.blend_bounds(&self.weights, time_fraction.max(1.0 / partition.updates));
        partition.last_update = now;
    }
}

#[cfg(test)]
#[path = "partition_tests.rs"]
mod tests;
