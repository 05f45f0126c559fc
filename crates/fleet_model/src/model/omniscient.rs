//! The policy with complete information, [`Policy::Omniscient`](super::Policy::Omniscient), which has no state of its own.

use super::Model;
use crate::server::Server;
use crate::site::{class_limits, WRITES};

/// Reads are fetched only while the wait at the origin is below this fraction of a write's latency objective.
const MAX_ORIGIN_WAIT_FRACTION: f64 = 0.1;

/// A server that may be selected.
#[derive(Clone, Copy)]
struct Candidate {
    server: usize,
    /// Expected wait for the server's core, in microseconds.
    wait: f64,
}

impl Model {
    /// Selects the server for a request; returns None if the request would not be answered in time. A read goes to the server
    /// with the shortest wait among those that have cached the key. A request that needs the origin is sent only if it will be
    /// answered in time. Reads are fetched only while the origin has capacity to spare for writes, which have a higher priority
    /// weight.
    pub(super) fn omniscient_selection(&self, key: usize, write: bool) -> Option<usize> {
        let max_wait = class_limits(write).latency_objective as f64 - 2.0 * self.site.mean_work;
        let cached = (!write)
            .then(|| self.server_with_shortest_wait(|server| server.cached.contains(&key)))
            .flatten();
        let selected = cached
            .filter(|candidate| candidate.wait < max_wait)
            .or_else(|| self.select_fetching_server(write, max_wait));
        selected.map(|candidate| candidate.server)
    }

    /// Selects the server with the shortest wait among those with a free fetch slot, if the expected wait plus the time at the
    /// origin is below both `max_wait` (in microseconds) and the fetch timeout.
    fn select_fetching_server(&self, write: bool, max_wait: f64) -> Option<Candidate> {
        let slowdown = self.site.origin_slowdown(self.now);
        let origin_wait = self.origin_queue.len() as f64 * 1e6 / self.site.origin_rate * slowdown;
        let origin_time = origin_wait + self.site.origin_latency as f64;
        let max_origin_wait = MAX_ORIGIN_WAIT_FRACTION * WRITES.latency_objective as f64;
        let limit = max_wait.min(self.site.fetch_timeout as f64);
        self.server_with_shortest_wait(|server| server.fetches < self.site.max_server_fetches)
            .filter(|_| write || origin_wait < max_origin_wait)
            .filter(|candidate| candidate.wait + origin_time < limit)
    }

    /// Returns the server with the shortest expected wait among the servers that are not faulty and meet a condition.
    fn server_with_shortest_wait(&self, condition: impl Fn(&Server) -> bool) -> Option<Candidate> {
        self.servers
            .iter()
            .enumerate()
            .skip(self.site.faulty_servers)
            .filter(|(_, server)| condition(server))
            .map(|(number, server)| Candidate {
                server: number,
                wait: server.backlog() as f64 * self.site.mean_work,
            })
            .min_by(|a, b| a.wait.total_cmp(&b.wait))
    }
}
