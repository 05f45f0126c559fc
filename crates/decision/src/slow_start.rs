//! Slow start: limits what is sent to a server that has just started, relative to the other servers.
//!
//! Guarantees: the range fraction of a server that warms up never exceeds `MAX_OVERLOAD_FRACTION` of the
//! overload multiple, times the minimum capacity that the settings grant it at its age; a warm server has
//! its whole range. Regardless of the popularity of its keys and of the number of nodes, the first attempts
//! that all nodes together send it within any overload window stay within the overload multiple of what an
//! average server of the fleet is sent, except for the deviation described at [`SlowStart::quota_in_slot`].
//! No clock: time is an argument.
//!
//! Not guaranteed: a server much slower than the others of its kind is treated like the others, and servers
//! that warm up but nevertheless take their whole range (a range fraction of 1) are used as secondaries
//! without a bound. The formula for the sum over all nodes, with its values by number of nodes, is in
//! `docs/design/cold-servers.md`.

use std::collections::VecDeque;

use crate::api::{Micros, Settings};
use crate::balancer::Balancer;
use crate::hash::{mix, unit_interval};
use crate::server_health::Server;

/// Maximum load of a server that warms up, as a fraction of the overload multiple. The rest is a margin for
/// random variation and for misses, which take more work than hits.
const MAX_OVERLOAD_FRACTION: f64 = 0.7;
/// Maximum load of such a server if no other server relieves it, as a multiple of its capacity.
const MAX_UNRELIEVED_MULTIPLE: f64 = 1.4;
/// How long the mean warm-up fraction of the fleet is reused, in microseconds; warm-ups take seconds.
const MEAN_MAX_AGE: Micros = 100_000;
/// Lower bound of the fraction of the overload window that a node counts as having observed: right after
/// its start, its first arrivals are too random to extrapolate from.
const MIN_WINDOW_FRACTION: f64 = 0.125;
/// Length of a slot, in overload windows. Longer slots waste less at slot changes; with shorter ones, a
/// server whose slot owners have no request for it gets other owners sooner.
const SLOT_WINDOWS: i64 = 6;
/// Difference between the phases of consecutive node numbers: consecutive numbers get distant phases, and
/// the phases of any number of nodes are spread evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// Warm-up settings, the mean warm-up fraction of the fleet, and the arrival count of this node.
pub(crate) struct SlowStart {
    /// Time from its start until a server is warm.
    warm_up_time: Micros,
    /// Minimum fraction of its capacity that a server has when it starts.
    cold_capacity: f64,
    /// Upper bound of the ratio of range fraction to warm-up fraction.
    max_multiple: f64,
    mean_warm_up_fraction: f64,
    mean_updated: Option<Micros>,
    overload_window: Micros,
    overload_multiple: f64,
    /// Number of arrivals at this node, each decaying over `overload_window`.
    recent_arrivals: f64,
    last_arrival: Micros,
    /// None before the first arrival.
    first_arrival: Option<Micros>,
    /// This node's phase among all nodes, from 0 to 1.
    phase: f64,
}

/// Phase of a node, from 0 to 1: derived from its number, or from the seed if it has none.
fn phase(node_number: Option<u64>, seed: u64) -> f64 {
    node_number.map_or(unit_interval(mix(seed)), |number| {
        (number as f64 * GOLDEN_RATIO).fract()
    })
}

impl SlowStart {
    /// The state before any arrival, with all servers assumed warm.
    pub(crate) fn new(settings: &Settings, seed: u64) -> SlowStart {
        SlowStart {
            warm_up_time: settings.warm_up_time,
            cold_capacity: settings.cold_capacity,
            max_multiple: (MAX_OVERLOAD_FRACTION * settings.overload_multiple).max(1.0),
            mean_warm_up_fraction: 1.0,
            mean_updated: None,
            overload_window: settings.overload_window.max(1),
            overload_multiple: settings.overload_multiple.max(1.0),
            recent_arrivals: 0.0,
            last_arrival: 0,
            first_arrival: None,
            phase: phase(settings.node_number, seed),
        }
    }

    /// Records the arrival of a request at this node.
    pub(crate) fn record_arrival(&mut self, now: Micros) {
        self.first_arrival.get_or_insert(now);
        self.recent_arrivals = self.recent_arrivals * self.decay(now - self.last_arrival) + 1.0;
        self.last_arrival = now;
    }

    fn decay(&self, age: Micros) -> f64 {
        (-(age.max(0) as f64) / self.overload_window as f64).exp()
    }

    /// First attempts that this node may send to a server of this warm-up fraction within the overload
    /// window, averaged over the slots: the overload multiple of what this node sends to an average server,
    /// in proportion to the warm-up fraction. Each node's quota follows from its own traffic, so that the
    /// quotas of all nodes add up to that of the fleet. At a node with little traffic it is below one.
    pub(crate) fn quota(&self, warm_up_fraction: f64, now: Micros, servers: usize) -> f64 {
        let before_first = self.decay(self.first_arrival.map_or(0, |first| now - first));
        let observed = (1.0 - before_first).max(MIN_WINDOW_FRACTION);
        // The current arrival and the first one are excluded: they contain no information about the rate,
        // and at a node that has just started they would be most of the count. At least one arrival is
        // assumed, or a node with little traffic would never send.
        let recent = self.recent_arrivals * self.decay(now - self.last_arrival);
        let others = (recent - 1.0 - before_first).max(1.0);
        self.overload_multiple * warm_up_fraction * others / observed / servers.max(1) as f64
    }

    /// First attempts that this node may send to a server within the overload window: the integral part of
    /// its quota, plus one in the slots that this node owns at the server. `order` is the server's
    /// [`Server::order`], `started` the time of its start.
    ///
    /// Guards against the sum of the remainders: if each of n nodes could always send one attempt, the
    /// limit would be n, however small the quotas. Who owns a slot follows from the server, the slot and
    /// the node numbers: in each slot a server has a point on a circle on which the phases of all nodes are
    /// spread evenly, and the slot belongs to the nodes on the arc that starts there and is as long as the
    /// fractional part of their quota. With equal quotas the sum over all nodes thus deviates from the sum
    /// of the quotas by at most two, whereas random draws would deviate by its square root. Attempts of two
    /// slots never fall into the same window: a new owner waits for as long as attempts of the previous
    /// owners may still count.
    pub(crate) fn quota_in_slot(
        &self,
        quota: f64,
        order: u64,
        started: Option<Micros>,
        now: Micros,
    ) -> f64 {
        let age = started.map_or(0, |started| (now - started).max(0));
        let slot_length = SLOT_WINDOWS * self.overload_window;
        let (slot, since_slot_start) = (age / slot_length, age % slot_length);
        let remainder = quota.fract();
        let owns = |slot: i64| {
            let point = unit_interval(mix(order ^ mix(slot as u64)));
            (self.phase + point).fract() < remainder
        };
        let owned =
            owns(slot) && (since_slot_start >= self.overload_window || slot == 0 || owns(slot - 1));
        quota.floor() + f64::from(u8::from(owned))
    }

    /// Records the time of an attempt sent to a server, if the server warms up, and drops times that are
    /// older than the overload window.
    ///
    /// Guards against a limit that holds on average only: what is unused in one window must not be sent on
    /// top of the quota of the next. The list holds at most the quota of the last window.
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

    /// Whether one more attempt is within the quota, given the attempts of the last overload window.
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

    /// Minimum fraction of its capacity that a server has at its age: 1 once it is warm, or if its start is
    /// unknown (None).
    pub(crate) fn warm_up_fraction(&self, started: Option<Micros>, now: Micros) -> f64 {
        let Some(started) = started else { return 1.0 };
        let age = (now - started).max(0);
        if age >= self.warm_up_time {
            return 1.0;
        }
        self.cold_capacity + (1.0 - self.cold_capacity) * age as f64 / self.warm_up_time as f64
    }

    /// Whether the mean warm-up fraction of the fleet has to be updated.
    pub(crate) fn is_mean_stale(&self, now: Micros) -> bool {
        !self
            .mean_updated
            .is_some_and(|updated| (0..MEAN_MAX_AGE).contains(&(now - updated)))
    }

    /// Updates the mean from the warm-up fractions of all servers that are not ejected.
    pub(crate) fn update_mean(&mut self, now: Micros, fractions: impl Iterator<Item = f64>) {
        self.mean_updated = Some(now);
        let (sum, servers) =
            fractions.fold((0.0, 0u32), |(sum, n), fraction| (sum + fraction, n + 1));
        self.mean_warm_up_fraction = if servers == 0 {
            1.0
        } else {
            sum / f64::from(servers)
        };
    }

    /// Fraction of its range that a server of this warm-up fraction is given. The warm servers take over
    /// the rest on top of their own ranges. If most of a fleet warms up at once, range fractions equal to
    /// the warm-up fractions would leave all requests to the few warm servers; so each server is loaded to
    /// the same fraction of its capacity as the others, within `max_multiple`.
    pub(crate) fn range_fraction(&self, warm_up_fraction: f64) -> f64 {
        if warm_up_fraction >= 1.0 {
            return 1.0;
        }
        let multiple = (1.0 / self.mean_warm_up_fraction).clamp(1.0, self.max_multiple);
        (warm_up_fraction * multiple).min(1.0)
    }

    /// Fraction of its range beyond which requests are rejected even if no other server relieves a server
    /// of this warm-up fraction, because it would be overloaded. Infinite for a warm server.
    pub(crate) fn max_range_fraction(&self, warm_up_fraction: f64) -> f64 {
        if warm_up_fraction >= 1.0 {
            return f64::INFINITY;
        }
        self.range_fraction(warm_up_fraction)
            .max(MAX_UNRELIEVED_MULTIPLE * warm_up_fraction)
    }
}

impl Balancer {
    /// Updates the mean warm-up fraction of the fleet if it is stale. Called for each arrival before its
    /// server is selected.
    pub(crate) fn update_slow_start(&mut self, now: Micros) {
        if !self.slow_start.is_mean_stale(now) {
            return;
        }
        let working = self.partition.servers.iter().filter(|s| !s.is_ejected());
        let fractions: Vec<f64> = working.map(|s| self.warm_up_fraction(now, s)).collect();
        self.slow_start.update_mean(now, fractions.into_iter());
    }

    /// Minimum fraction of its capacity that a server has now.
    pub(crate) fn warm_up_fraction(&self, now: Micros, server: &Server) -> f64 {
        self.slow_start.warm_up_fraction(server.started(now), now)
    }

    /// Fraction of its range that a server can take, going by its warm-up alone.
    pub(crate) fn warm_range_fraction(&self, now: Micros, server: &Server) -> f64 {
        self.slow_start
            .range_fraction(self.warm_up_fraction(now, server))
    }

    /// This node's quota of first attempts to a server of the partition while that server warms up.
    fn slow_start_quota(&self, now: Micros, index: usize) -> f64 {
        let warm_up_fraction = self.warm_up_fraction(now, &self.partition.servers[index]);
        // A server of a kind slower than average can do proportionally less.
        let mean = self.weights.iter().sum::<f64>() / self.weights.len().max(1) as f64;
        let relative_speed = self
            .weights
            .get(index)
            .map_or(1.0, |weight| (weight / mean).min(1.0));
        let servers = self.partition.servers.len();
        self.slow_start
            .quota(warm_up_fraction * relative_speed, now, servers)
    }

    /// Whether a request at this distance from the middle of its range is within the fraction of the range
    /// that a warming server is given, and this node may send that server one more attempt. If the quota of
    /// this node is below one, the distance does not count: the slots decide which nodes may send, and all
    /// nodes agree on them, whatever the key.
    pub(crate) fn is_within_slow_start_quota(
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
