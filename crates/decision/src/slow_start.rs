//! Slow start: what a server that has just started is given of its range, beside the others of its fleet.
//!
//! Guarantees: the range fraction of a server that warms up is never above `MAX_OVERLOAD_FRACTION` of the
//! multiple at which it is overloaded, counted from the least capacity that its settings allow it; a warm one
//! has all of its range. And whatever the popularity of its keys and however many nodes there are: within any
//! overload window the first attempts that all nodes together send it come to the overload multiple at most,
//! counted from what an average server of the fleet is sent, to within what [`SlowStart::quota_in_slot`]
//! says. No clock: time is an argument.
//!
//! Not guaranteed: a server much slower than the others of its kind is counted as one of them, and servers
//! that warm up and yet take all of their range (a range fraction of 1) are secondaries without a bound. The
//! law of the sum, and its values by number of nodes: `docs/design/cold-servers.md`.

use std::collections::VecDeque;

use crate::api::{Micros, Settings};
use crate::balancer::Balancer;
use crate::hash::{mix, unit_interval};
use crate::server_health::Server;

/// Fraction of the overload multiple that a server that warms up is given at most. The rest is a margin for
/// chance and for misses, which take more work than hits.
const MAX_OVERLOAD_FRACTION: f64 = 0.7;
/// Multiple of its capacity that such a server is given if no other one relieves it.
const MAX_UNRELIEVED_MULTIPLE: f64 = 1.4;
/// How long a mean of the fleet is used; warm-ups take seconds.
const MEAN_MAX_AGE: Micros = 100_000;
/// Fraction of the overload window that a node that has just started is taken to have run, at least: its
/// first arrivals come by chance.
const MIN_WINDOW_FRACTION: f64 = 0.125;
/// Length of a slot, in overload windows. Longer ones waste less at their changes; in shorter ones a server
/// whose nodes have no request for it waits less for others.
const SLOT_WINDOWS: i64 = 6;
/// Phases of neighbouring node numbers lie far apart, and those of any number of nodes are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// How servers warm up here, how warm the fleet is as a whole, and how many requests this node receives.
pub(crate) struct SlowStart {
    warm_up_time: Micros,
    cold_capacity: f64,
    max_multiple: f64,
    mean_warm_up: f64,
    mean_updated: Option<Micros>,
    overload_window: Micros,
    overload_multiple: f64,
    /// Arrivals at this node, each decaying over `overload_window`; when the last one was, and the first.
    recent_arrivals: f64,
    last_arrival: Micros,
    first_arrival: Option<Micros>,
    /// This node's phase among all nodes, from 0 to 1.
    phase: f64,
}

/// The phase of a node: by its number, or drawn where it has none.
fn phase(node_number: Option<u64>, seed: u64) -> f64 {
    node_number.map_or(unit_interval(mix(seed)), |number| {
        (number as f64 * GOLDEN_RATIO).fract()
    })
}

impl SlowStart {
    /// A fleet of servers that are all warm.
    pub(crate) fn new(settings: &Settings, seed: u64) -> SlowStart {
        SlowStart {
            warm_up_time: settings.warm_up_time,
            cold_capacity: settings.cold_capacity,
            max_multiple: (MAX_OVERLOAD_FRACTION * settings.overload_multiple).max(1.0),
            mean_warm_up: 1.0,
            mean_updated: None,
            overload_window: settings.overload_window.max(1),
            overload_multiple: settings.overload_multiple.max(1.0),
            recent_arrivals: 0.0,
            last_arrival: 0,
            first_arrival: None,
            phase: phase(settings.node_number, seed),
        }
    }

    /// A request came to this node.
    pub(crate) fn record_arrival(&mut self, now: Micros) {
        self.first_arrival.get_or_insert(now);
        self.recent_arrivals = self.recent_arrivals * self.decay(now - self.last_arrival) + 1.0;
        self.last_arrival = now;
    }

    fn decay(&self, age: Micros) -> f64 {
        (-(age.max(0) as f64) / self.overload_window as f64).exp()
    }

    /// First attempts that this node may send a server of this warm-up fraction within the overload window,
    /// on average over the slots: the overload multiple of what an average server is sent by this node. Each
    /// node's quota follows from its own traffic, so that the quotas of all nodes add up to the fleet's. At a
    /// quiet node it is below one.
    pub(crate) fn quota(&self, warm_up_fraction: f64, now: Micros, servers: usize) -> f64 {
        let before_first = self.decay(self.first_arrival.map_or(0, |first| now - first));
        let observed = (1.0 - before_first).max(MIN_WINDOW_FRACTION);
        // Neither the current arrival nor the one that began the count says how many come: at a node that has
        // just started they would be most of what it counts. One at least, or a quiet node would send none.
        let recent = self.recent_arrivals * self.decay(now - self.last_arrival);
        let others = (recent - 1.0 - before_first).max(1.0);
        self.overload_multiple * warm_up_fraction * others / observed / servers.max(1) as f64
    }

    /// First attempts that this node may send a server (its `order`, when it started) within the overload
    /// window: the integral part of its quota, and one more in the slots that this node has at the server.
    ///
    /// Guards against the sum of the remainders: if each of n nodes may always send one, n is the bound,
    /// however small their quotas. Who has a slot follows from the server, the slot and the nodes' numbers:
    /// at each time a server has a point on a circle on which the phases of all nodes are spread evenly, and
    /// the slot belongs to the nodes that lie behind it by less than their quota. So with equal quotas their
    /// sum is met to within two, where draws would scatter about it by its root. No two slots meet in a
    /// window: who gets a new slot waits for as long as the owners of the one before may have sent.
    pub(crate) fn quota_in_slot(
        &self,
        quota: f64,
        order: u64,
        started: Option<Micros>,
        now: Micros,
    ) -> f64 {
        let age = started.map_or(0, |started| (now - started).max(0));
        let slot_length = SLOT_WINDOWS * self.overload_window;
        let (slot, since) = (age / slot_length, age % slot_length);
        let remainder = quota.fract();
        let owns = |slot: i64| {
            let point = unit_interval(mix(order ^ mix(slot as u64)));
            (self.phase + point).fract() < remainder
        };
        let owned = owns(slot) && (since >= self.overload_window || slot == 0 || owns(slot - 1));
        quota.floor() + f64::from(u8::from(owned))
    }

    /// Records a first attempt at a server that warms up, by the time it was sent.
    ///
    /// Guards against a bound that holds on average only: what is not used in one window may not be sent on
    /// top of the next one's. At most the quota of the last window is kept.
    pub(crate) fn record_send(
        &self,
        sends: &mut VecDeque<Micros>,
        started: Option<Micros>,
        now: Micros,
    ) {
        while sends
            .front()
            .is_some_and(|sent| *sent + self.overload_window <= now)
        {
            sends.pop_front();
        }
        if self.warm_up_fraction(started, now) < 1.0 {
            sends.push_back(now);
        }
    }

    /// Whether one more attempt is within the quota, after those of the last window.
    pub(crate) fn is_within_quota(
        &self,
        sends: &VecDeque<Micros>,
        quota: f64,
        now: Micros,
    ) -> bool {
        let recent = sends
            .iter()
            .rev()
            .take_while(|sent| **sent + self.overload_window > now)
            .count();
        recent as f64 + 1.0 <= quota
    }

    /// The least fraction of its capacity that a server has so long after its start: 1 once it is warm.
    pub(crate) fn warm_up_fraction(&self, started: Option<Micros>, now: Micros) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = (now - started).max(0);
        if age >= self.warm_up_time {
            return 1.0;
        }
        self.cold_capacity + (1.0 - self.cold_capacity) * age as f64 / self.warm_up_time as f64
    }

    /// Whether the mean of the fleet has to be updated.
    pub(crate) fn is_mean_stale(&self, now: Micros) -> bool {
        !self
            .mean_updated
            .is_some_and(|updated| (0..MEAN_MAX_AGE).contains(&(now - updated)))
    }

    /// Updates the mean from the warm-up fractions of all servers that take work.
    pub(crate) fn update_mean(&mut self, now: Micros, fractions: impl Iterator<Item = f64>) {
        self.mean_updated = Some(now);
        let (sum, servers) =
            fractions.fold((0.0, 0u32), |(sum, n), fraction| (sum + fraction, n + 1));
        self.mean_warm_up = if servers == 0 {
            1.0
        } else {
            sum / f64::from(servers)
        };
    }

    /// The fraction of its range for a server of this warm-up fraction. What cold servers don't take, the
    /// warm ones get on top of their own: where most of a fleet warms up at once, fractions that are the
    /// warm-up fractions alone would leave all requests to the few that are warm. So each is given as much of
    /// its capacity as all the others are.
    pub(crate) fn range_fraction(&self, warm_up_fraction: f64) -> f64 {
        if warm_up_fraction >= 1.0 {
            return 1.0;
        }
        let multiple = (1.0 / self.mean_warm_up).clamp(1.0, self.max_multiple);
        (warm_up_fraction * multiple).min(1.0)
    }

    /// The fraction of its range beyond which requests are rejected although no other server relieves a
    /// server of this warm-up fraction; it would be overloaded. No bound for a warm one.
    pub(crate) fn max_range_fraction(&self, warm_up_fraction: f64) -> f64 {
        if warm_up_fraction >= 1.0 {
            return f64::INFINITY;
        }
        self.range_fraction(warm_up_fraction)
            .max(MAX_UNRELIEVED_MULTIPLE * warm_up_fraction)
    }
}

impl Balancer {
    /// Updates the mean of the fleet if that is due. An arrival does so before it is placed.
    pub(crate) fn update_slow_start(&mut self, now: Micros) {
        if !self.slow_start.is_mean_stale(now) {
            return;
        }
        let working = self.partition.servers.iter().filter(|s| !s.is_ejected());
        let fractions: Vec<f64> = working.map(|s| self.warm_up_fraction(now, s)).collect();
        self.slow_start.update_mean(now, fractions.into_iter());
    }

    /// The least fraction of its capacity that a server has now.
    pub(crate) fn warm_up_fraction(&self, now: Micros, server: &Server) -> f64 {
        self.slow_start.warm_up_fraction(server.started(now), now)
    }

    /// The fraction of its range that a server can take as far as it is warm.
    pub(crate) fn warm_range_fraction(&self, now: Micros, server: &Server) -> f64 {
        self.slow_start
            .range_fraction(self.warm_up_fraction(now, server))
    }

    /// This node's quota of first attempts at a server of the partition, while that one warms up.
    fn slow_start_quota(&self, now: Micros, index: usize) -> f64 {
        let warm_up_fraction = self.warm_up_fraction(now, &self.partition.servers[index]);
        // Of a kind that is slower than the average one, it can do less by as much.
        let mean = self.weights.iter().sum::<f64>() / self.weights.len().max(1) as f64;
        let relative_speed = self
            .weights
            .get(index)
            .map_or(1.0, |weight| (weight / mean).min(1.0));
        let servers = self.partition.servers.len();
        self.slow_start
            .quota(warm_up_fraction * relative_speed, now, servers)
    }

    /// Whether a request at this distance from the middle of its range is within what a server that warms up
    /// is given, and this node may send it one more attempt. Where each node sends it less than one, nodes
    /// agree on who sends it one, whatever its key.
    pub(crate) fn is_within_slow_start(
        &self,
        now: Micros,
        index: usize,
        distance: f64,
        fraction: f64,
    ) -> bool {
        let quota = self.slow_start_quota(now, index);
        let (distance, quota) = if quota < 1.0 {
            (0.0, quota.min(fraction))
        } else {
            (distance, quota)
        };
        let server = &self.partition.servers[index];
        let started = server.started(now);
        let in_slot = self
            .slow_start
            .quota_in_slot(quota, server.order, started, now);
        distance < fraction
            && self
                .slow_start
                .is_within_quota(&server.cold_sends, in_slot, now)
    }
}

#[cfg(test)]
#[path = "slow_start_tests.rs"]
mod tests;
