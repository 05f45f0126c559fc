//! Membership: applies the endpoint lists from discovery, and separates the servers of this node's zone from
//! those of other zones where crossing zones is expensive.
//!
//! Guarantees: a server that a full list does not name gets no new attempts; where zones are separated, the
//! key space is partitioned among the servers of this node's zone only.

use std::collections::{BTreeSet, HashSet};

use crate::api::{Action, Actions, CacheMode, Endpoint, EndpointListKind, Micros, ServerState};
use crate::balancer::Balancer;
use crate::partition::Partition;
use crate::server_health::Server;
use crate::timer_token::TimerToken;

/// Zones are separated if it would cost more than this to cross zones for every request whose home is in
/// another zone (as a fraction of the service, like `price_cross_zone`).
const MAX_CROSSING_COST: f64 = 0.05;
/// Fewest servers in this node's zone for separation: a single one would leave its keys without a secondary.
const MIN_ZONE_SERVERS: usize = 2;
/// Longest delay of the poll after n failures in a row, as a fraction of the longest delay of any poll: this
/// times 2^n, for n up to `MAX_RETRY_DOUBLINGS`.
const RETRY_DELAY_FRACTION: f64 = 1.0 / 16.0;
const MAX_RETRY_DOUBLINGS: u32 = 4;
/// Shortest delay of a poll, as a fraction of its longest; the delay is drawn from between them.
const MIN_DELAY_FRACTION: f64 = 0.05;

/// State of the polls of the endpoint list, for sites whose discovery does not push it.
#[derive(Default)]
pub(crate) struct EndpointListPolls {
    /// Failed polls in a row.
    failures: u32,
    /// Whether a timer for the next poll is running.
    timer_set: bool,
}

impl Balancer {
    /// Applies an endpoint list.
    pub(crate) fn on_endpoint_list(
        &mut self,
        now: Micros,
        kind: EndpointListKind,
        entries: &[Endpoint],
        actions: &mut Actions,
    ) {
        self.restore_partition(kind, entries);
        let first = self.partition.servers.is_empty();
        if kind != EndpointListKind::Delta {
            self.remove_unlisted(entries);
        }
        let changed = entries.iter().filter(|e| self.update_endpoint(e)).count();
        let changed = changed + self.separate_zones();
        self.reindex();
        if changed > 0 || kind != EndpointListKind::Delta {
            self.update_weights();
            if first || changed * 2 > self.partition.servers.len() {
                self.partition.blend_bounds(&self.weights, 1.0);
                self.partition.last_update = now;
            }
        }
        match kind {
            EndpointListKind::Cached if self.settings.poll_endpoint_list => {
                self.schedule_endpoint_list_poll(actions);
            }
            _ => self.endpoint_list_polls.failures = 0,
        }
        self.send_first_attempts(now, actions);
    }

    /// Removes the servers and origin endpoints that a complete list does not name.
    fn remove_unlisted(&mut self, entries: &[Endpoint]) {
        let listed: HashSet<&str> = entries.iter().map(|e| &*e.server).collect();
        for partition in [&mut self.partition, &mut self.other_zones] {
            for index in (0..partition.servers.len()).rev() {
                if !listed.contains(&*partition.servers[index].entry.server) {
                    partition.leave(index);
                }
            }
        }
        self.origins.retain(|s| listed.contains(&*s.entry.server));
    }

    /// Updates what is indexed by the name or the zone of a server to the servers that are listed now.
    fn reindex(&mut self) {
        self.partition.reindex();
        self.other_zones.reindex();
        self.outliers
            .retain(|id| self.partition.index.contains_key(id));
        let servers = &self.partition.servers;
        let listed = servers.iter().chain(&self.other_zones.servers);
        self.zone_health.set_listed(listed.map(|s| s.entry.zone));
    }

    /// Sends first attempts for the requests that found no server before.
    fn send_first_attempts(&mut self, now: Micros, actions: &mut Actions) {
        let requests = self.in_flight.requests.iter();
        let waiting: Vec<u64> = requests
            .filter(|(_, request)| request.attempts.is_empty())
            .map(|(serial, _)| *serial)
            .collect();
        for serial in waiting {
            self.send_next(now, serial, actions);
        }
    }

    /// Applies one entry of a list. Returns true if the set of servers in the partition changed.
    fn update_endpoint(&mut self, entry: &Endpoint) -> bool {
        let live = entry.state == ServerState::Live;
        if self.is_origin(entry) {
            self.update_origin(entry);
            return false;
        }
        let position = |partition: &Partition| {
            let mut servers = partition.servers.iter();
            servers.position(|s| s.entry.server == entry.server)
        };
        let in_partition = position(&self.partition);
        let in_other_zones = position(&self.other_zones);
        let (partition, found) = if in_other_zones.is_some() {
            (&mut self.other_zones, in_other_zones)
        } else {
            (&mut self.partition, in_partition)
        };
        match (found, live) {
            (Some(index), true) => {
                let server = &mut partition.servers[index];
                if server.entry.started != entry.started {
                    server.failure_log_odds = 0.0;
                    server.ejection_time = 0;
                    server.ejected_until = 0;
                    server.zone_recovered = None;
                    self.outliers.reset(&entry.server);
                    self.zone_health.record_reached(entry.zone);
                }
                server.entry = entry.clone();
                server.process_unknown_until = 0;
                false
            }
            (Some(index), false) => {
                partition.leave(index);
                in_partition.is_some()
            }
            (None, true) => {
                partition.join(Server::new(entry.clone()));
                true
            }
            (None, false) => false,
        }
    }

    fn is_origin(&self, entry: &Endpoint) -> bool {
        self.settings.mode == CacheMode::CacheAside
            && entry.kind.is_some()
            && entry.kind == self.settings.origin_kind
    }

    fn update_origin(&mut self, entry: &Endpoint) {
        self.origins.retain(|s| s.entry.server != entry.server);
        if entry.state == ServerState::Live {
            self.origins.push(Server::new(entry.clone()));
            self.origins
                .sort_by(|a, b| a.entry.server.cmp(&b.entry.server));
        }
    }

    /// Moves servers between the partition and the other zones as needed. Returns how many moved.
    fn separate_zones(&mut self) -> usize {
        let listed = || {
            let servers = &self.partition.servers;
            servers.iter().chain(&self.other_zones.servers)
        };
        let own_zone = self.settings.zone;
        let zones: BTreeSet<_> = listed().map(|s| s.entry.zone).collect();
        let fraction_elsewhere = 1.0 - 1.0 / zones.len().max(1) as f64;
        let in_own_zone = listed().filter(|s| s.entry.zone == own_zone).count();
        let separate = own_zone.is_some()
            && self.settings.price_cross_zone * fraction_elsewhere > MAX_CROSSING_COST
            && in_own_zone >= MIN_ZONE_SERVERS;
        let belongs = |server: &Server| !separate || server.entry.zone == own_zone;
        let (partition, others) = (&mut self.partition, &mut self.other_zones);
        move_servers(partition, others, |server| !belongs(server))
            + move_servers(others, partition, belongs)
    }

    /// Handles a failed poll of the endpoint list, or the end of the subscription.
    pub(crate) fn on_endpoint_list_failed(&mut self, actions: &mut Actions) {
        self.endpoint_list_polls.failures += 1;
        self.schedule_endpoint_list_poll(actions);
    }

    /// Polls the endpoint list when its timer has expired.
    pub(crate) fn poll_endpoint_list(&mut self, actions: &mut Actions) {
        self.endpoint_list_polls.timer_set = false;
        actions.push(Action::Subscribe(true));
    }

    fn schedule_endpoint_list_poll(&mut self, actions: &mut Actions) {
        if !self.settings.poll_endpoint_list || self.endpoint_list_polls.timer_set {
            return;
        }
        self.endpoint_list_polls.timer_set = true;
        let failures = self.endpoint_list_polls.failures;
        let max_delay = self.settings.poll_within as f64 / 2.0;
        let doublings = failures.min(MAX_RETRY_DOUBLINGS) as i32;
        let delay = if failures == 0 {
            max_delay
        } else {
            (max_delay * RETRY_DELAY_FRACTION * 2f64.powi(doublings)).min(max_delay)
        };
        let drawn = MIN_DELAY_FRACTION + (1.0 - MIN_DELAY_FRACTION) * self.rng.next_unit();
        actions.push(TimerToken::EndpointList.after((delay * drawn) as Micros));
    }
}

/// Moves the servers that `is_moved` selects, without their learned state. Returns how many moved.
fn move_servers(
    from: &mut Partition,
    to: &mut Partition,
    is_moved: impl Fn(&Server) -> bool,
) -> usize {
    let mut moved = 0;
    for index in (0..from.servers.len()).rev() {
        if is_moved(&from.servers[index]) {
            let entry = from.servers[index].entry.clone();
            from.leave(index);
            to.join(Server::new(entry));
            moved += 1;
        }
    }
    moved
}

#[cfg(test)]
#[path = "membership_tests.rs"]
mod tests;
