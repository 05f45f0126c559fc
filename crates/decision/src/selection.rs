//! Selection of the server for an attempt: the home server of the key's position, its secondary by rendezvous
//! hashing where the home can't take it, a server of another zone only where none is left in this one.

use crate::api::{CacheMode, Endpoint, Micros};
use crate::balancer::Balancer;
use crate::hash::{mix, unit_interval};
use crate::in_flight::InFlightRequest;
use crate::outlier_detection::{rendezvous, PROBE_FRACTION};
use crate::server_health::Server;

/// A home server is busy if it has more attempts in flight than this multiple of an average server's.
const BUSY_MULTIPLE: f64 = 2.0;

/// A selected server, by its place in one of the balancer's lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// A server among which the key space is partitioned.
    Partition(usize),
    /// A server of another zone.
    OtherZones(usize),
    /// An entry of the origin.
    Origin(usize),
}

impl Balancer {
    pub(crate) fn target_server(&self, target: Target) -> &Server {
        match target {
            Target::Partition(index) => &self.partition.servers[index],
            Target::OtherZones(index) => &self.other_zones.servers[index],
            Target::Origin(index) => &self.origins[index],
        }
    }

    /// The server for the next attempt of a request.
    pub(crate) fn select(&self, now: Micros, request: &InFlightRequest) -> Option<Target> {
        let cache_aside = self.settings.mode == CacheMode::CacheAside;
        if cache_aside && (request.request.write || request.missed) {
            return self.select_origin(request);
        }
        if self.partition.servers.is_empty() {
            return self.select_other_zone(now, request);
        }
        let home = self.partition.home(request.position);
        if request.attempts.is_empty() {
            return Some(Target::Partition(self.select_first(now, request, home)));
        }
        self.select_next(now, request, home)
    }

    fn select_origin(&self, request: &InFlightRequest) -> Option<Target> {
        let entries = self.origins.len();
        let index = (request.position * entries as f64) as usize;
        index.checked_rem(entries).map(Target::Origin)
    }

    /// For a first attempt: the home server, unless it can't take this request and another one can.
    fn select_first(&self, now: Micros, request: &InFlightRequest, home: usize) -> usize {
        let within_range =
            || self.is_within_range(now, request, home, self.usable_fraction(now, home));
        self.among_spread(now, request, home)
            .or_else(|| self.outlier_relief(now, request, home))
            .or_else(|| self.busy_relief(now, request, home))
            .or_else(|| within_range().then_some(home))
            .or_else(|| self.secondary(now, request, |i| self.usable_fraction(now, i) >= 1.0))
            .unwrap_or(home)
    }

    /// The next in rotation of the servers around the home over which a hot key is spread.
    fn among_spread(&self, now: Micros, request: &InFlightRequest, home: usize) -> Option<usize> {
        let servers = self.partition.servers.len();
        let hot_keys = &self.partition.hot_keys;
        let key = request.key?;
        let width = hot_keys.spread_width(key, servers);
        if width <= 1 {
            return None;
        }
        let rotation = hot_keys.rotation(key);
        let start = (home + servers - width / 2) % servers;
        (0..width)
            .map(|step| (start + (rotation + step) % width) % servers)
            .find(|i| {
                self.usable_fraction(now, *i) >= 1.0 && self.is_within_range(now, request, *i, 1.0)
            })
    }

    /// Where the home is ejected: the home for what it retains and for probes, else the secondary.
    fn outlier_relief(&self, now: Micros, request: &InFlightRequest, home: usize) -> Option<usize> {
        let retained = self.retained(home);
        if retained >= 1.0 {
            return None;
        }
        let server = &self.partition.servers[home];
        let drawn = unit_interval(mix(request.position.to_bits() ^ request.arrived as u64));
        let ready = self.is_available(now, home) && self.warm_range_fraction(now, server) >= 1.0;
        let distance = self.partition.distance_from_middle(request.position, home);
        if ready && (distance < retained || drawn < PROBE_FRACTION) {
            return Some(home);
        }
        self.secondary(now, request, |i| self.is_sound(now, i))
    }

    /// Where the home has far more attempts than others: a less busy secondary, for keys likely cached.
    fn busy_relief(&self, now: Micros, request: &InFlightRequest, home: usize) -> Option<usize> {
        let servers = &self.partition.servers;
        let pending = servers[home].pending_attempts;
        let average = self.in_flight.requests.len() as f64 / servers.len() as f64;
        if request.likely_uncached || f64::from(pending) <= 1.0 + BUSY_MULTIPLE * average {
            return None;
        }
        self.secondary(now, request, |i| self.is_sound(now, i))
            .filter(|i| servers[*i].pending_attempts * 2 < pending)
    }

    /// For a further attempt: the secondary, else a server that is not sound or in another zone, else the
    /// home.
    fn select_next(&self, now: Micros, request: &InFlightRequest, home: usize) -> Option<Target> {
        let home_is_warm = || self.warm_range_fraction(now, &self.partition.servers[home]) >= 1.0;
        self.secondary(now, request, |i| self.is_sound(now, i))
            .or_else(|| self.secondary(now, request, |_| true))
            .map(Target::Partition)
            .or_else(|| self.select_other_zone(now, request))
            .or_else(|| home_is_warm().then_some(Target::Partition(home)))
    }

    /// A key's secondary: a warm server that is suitable and has had no attempt yet. Nodes differ in it only
    /// as far as they differ in weights and in which servers they take for suitable.
    fn secondary(
        &self,
        now: Micros,
        request: &InFlightRequest,
        suitable: impl Fn(usize) -> bool,
    ) -> Option<usize> {
        let servers = &self.partition.servers;
        let is_candidate = |i: &usize| {
            suitable(*i)
                && self.warm_range_fraction(now, &servers[*i]) >= 1.0
                && self.may_try(now, request, &servers[*i].entry)
        };
        let score = |i: &usize| {
            let server = &servers[*i];
            let weight = self.weights.get(*i);
            let weight = weight.map_or(1.0, |weight| weight * server.timely_fraction);
            rendezvous(mix(request.position.to_bits() ^ server.order), weight)
        };
        (0..servers.len())
            .filter(is_candidate)
            .max_by(|a, b| score(a).total_cmp(&score(b)))
    }

    /// A warm server of another zone, by the request's position.
    fn select_other_zone(&self, now: Micros, request: &InFlightRequest) -> Option<Target> {
        let servers = &self.other_zones.servers;
        let start = (request.position * servers.len() as f64) as usize;
        (0..servers.len())
            .map(|step| (start + step) % servers.len())
            .find(|i| {
                let server = &servers[*i];
                now >= server.ejected_until
                    && self.warm_range_fraction(now, server) >= 1.0
                    && !self.zone_health.is_lost(server.entry.zone)
                    && self.may_try(now, request, &server.entry)
            })
            .map(Target::OtherZones)
    }

    /// Whether the rules allow an attempt at a server, and there was none yet.
    fn may_try(&self, now: Micros, request: &InFlightRequest, entry: &Endpoint) -> bool {
        let tried = request.attempts.iter().any(|a| a.server == entry.server);
        !tried && request.may_send(&self.settings, entry, now)
    }

    /// Fraction of its keys that a server retains as far as it fails by itself.
    fn retained(&self, index: usize) -> f64 {
        let server = &self.partition.servers[index].entry.server;
        self.outliers.retained_fraction(server)
    }

    /// Available, and no outlier.
    fn is_sound(&self, now: Micros, index: usize) -> bool {
        self.is_available(now, index) && self.retained(index) >= 1.0
    }

    /// Fraction of its range that a server can take now: less while it warms up, nothing while it is ejected.
    fn usable_fraction(&self, now: Micros, index: usize) -> f64 {
        let server = &self.partition.servers[index];
        if !self.is_available(now, index) {
            return 0.0;
        }
        let warm = self.warm_range_fraction(now, server);
        warm * server.timely_range_fraction() * self.retained(index)
    }

    /// Whether a request lies in the fraction of its range that a server is given. Nodes agree on the middle
    /// of the range.
    pub(crate) fn is_within_range(
        &self,
        now: Micros,
        request: &InFlightRequest,
        index: usize,
        fraction: f64,
    ) -> bool {
        let server = &self.partition.servers[index];
        let distance = self.partition.distance_from_middle(request.position, index);
        if self.warm_up_fraction(now, server) >= 1.0 {
            return fraction >= 1.0 || distance < fraction;
        }
        self.is_within_slow_start(now, index, distance, fraction)
    }
}

#[cfg(test)]
#[path = "selection_tests.rs"]
mod tests;
