//! Selects the server for an attempt: the home server of the request's position; if the home can't take the
//! request, its secondary by rendezvous hashing; a server of another zone only if none is left in this zone.

use crate::api::{CacheMode, Micros};
use crate::balancer::Balancer;
use crate::hash::{mix, unit_interval};
use crate::in_flight::InFlightRequest;
use crate::outlier_detection::{rendezvous_score, PROBE_FRACTION};
use crate::server_health::Server;

/// A home server is busy if its pending attempts exceed this multiple of the requests per server, plus one.
const BUSY_MULTIPLE: f64 = 2.0;

/// A selected server, as an index into one of the balancer's lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Target {
    /// A server of `Balancer::partition`.
    Partition(usize),
    /// A server of `Balancer::other_zones`.
    OtherZones(usize),
    /// An endpoint of the origin, in `Balancer::origins`.
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

    /// Selects the server for the next attempt of a request. None if there is none.
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

    /// Selects for a first attempt: the home server, unless it can't take the request and another one can.
    fn select_first(&self, now: Micros, request: &InFlightRequest, home: usize) -> usize {
        let within_range =
            || self.is_within_range(now, request, home, self.usable_fraction(now, home));
        self.hot_key_server(now, request, home)
            .or_else(|| self.avoid_ejected(now, request, home))
            .or_else(|| self.avoid_busy(now, request, home))
            .or_else(|| within_range().then_some(home))
            .or_else(|| self.secondary(now, request, |i| self.usable_fraction(now, i) >= 1.0))
            .unwrap_or(home)
    }

    /// For a hot key: the next server, in rotation, of those around the home that can take the request.
    fn hot_key_server(&self, now: Micros, request: &InFlightRequest, home: usize) -> Option<usize> {
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

    /// If the home is ejected as an outlier: the home for retained keys and for probes, else the secondary.
    fn avoid_ejected(&self, now: Micros, request: &InFlightRequest, home: usize) -> Option<usize> {
        let retained = self.retained_key_fraction(home);
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
        self.secondary(now, request, |i| self.is_healthy(now, i))
    }

    /// If the home is busy and the key likely cached: a secondary with less than half of its attempts.
    fn avoid_busy(&self, now: Micros, request: &InFlightRequest, home: usize) -> Option<usize> {
        let servers = &self.partition.servers;
        let pending = servers[home].pending_attempts;
        let average = self.in_flight.requests.len() as f64 / servers.len() as f64;
        if request.likely_uncached || f64::from(pending) <= 1.0 + BUSY_MULTIPLE * average {
            return None;
        }
        self.secondary(now, request, |i| self.is_healthy(now, i))
            .filter(|i| servers[*i].pending_attempts * 2 < pending)
    }

    /// Selects for a further attempt: the secondary among healthy servers, else among all, else a server of
    /// another zone, else the home if it is warm.
    fn select_next(&self, now: Micros, request: &InFlightRequest, home: usize) -> Option<Target> {
        let home_is_warm = || self.warm_range_fraction(now, &self.partition.servers[home]) >= 1.0;
        self.secondary(now, request, |i| self.is_healthy(now, i))
            .or_else(|| self.secondary(now, request, |_| true))
            .map(Target::Partition)
            .or_else(|| self.select_other_zone(now, request))
            .or_else(|| home_is_warm().then_some(Target::Partition(home)))
    }

    /// Returns a request's secondary: of the warm and suitable servers that it may still go to, the one with
    /// the highest rendezvous score. Nodes with equal weights and equal suitable servers agree on it.
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
                && self.may_attempt(now, request, &servers[*i])
        };
        let score = |i: &usize| {
            let server = &servers[*i];
            let weight = self.weights.get(*i);
            let weight = weight.map_or(1.0, |weight| weight * server.timely_fraction);
            rendezvous_score(mix(request.position.to_bits() ^ server.order), weight)
        };
        (0..servers.len())
            .filter(is_candidate)
            .max_by(|a, b| score(a).total_cmp(&score(b)))
    }

    /// Returns a warm server of another zone; the request's position determines where the search starts.
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
                    && self.may_attempt(now, request, server)
            })
            .map(Target::OtherZones)
    }

    /// Whether the rules allow an attempt at a server, and the request has had none there yet.
    fn may_attempt(&self, now: Micros, request: &InFlightRequest, to: &Server) -> bool {
        let tried = request.attempts.iter().any(|a| a.server == to.entry.server);
        !tried && request.may_send(&self.settings, to, now)
    }

    /// Fraction of its keys that a server retains: below 1 if it is ejected as an outlier.
    fn retained_key_fraction(&self, index: usize) -> f64 {
        let server = &self.partition.servers[index].entry.server;
        self.outliers.retained_fraction(server)
    }

    /// Whether a server is available and not an ejected outlier.
    fn is_healthy(&self, now: Micros, index: usize) -> bool {
        self.is_available(now, index) && self.retained_key_fraction(index) >= 1.0
    }

    /// Fraction of its range that a server can take now: reduced while it warms up, responds late or is an
    /// outlier; 0 while it is unavailable.
    fn usable_fraction(&self, now: Micros, index: usize) -> f64 {
        let server = &self.partition.servers[index];
        if !self.is_available(now, index) {
            return 0.0;
        }
        let warm = self.warm_range_fraction(now, server);
        warm * server.timely_range_fraction() * self.retained_key_fraction(index)
    }

    /// Whether a request lies within a fraction of a server's range, which is measured from the middle, since
    /// nodes agree on that. A server that warms up also has a quota of attempts.
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
        self.is_within_slow_start_quota(now, index, distance, fraction)
    }
}

#[cfg(test)]
#[path = "selection_tests.rs"]
mod tests;
