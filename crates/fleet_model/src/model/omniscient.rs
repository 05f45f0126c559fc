//! The policy with complete information, [`Policy::Omniscient`](super::Policy::Omniscient). Holds no state.

use super::Model;
use crate::server::Server;
use crate::site::{class_limits, WRITES};

/// Wait at the origin, as a fraction of a write's latency objective, above which reads are not fetched.
const MAX_ORIGIN_WAIT_FRACTION: f64 = 0.1;

/// A server and the expected wait for its core, in microseconds.
#[derive(Clone, Copy)]
struct Candidate {
    server: usize,
    wait: f64,
}

impl Model {
    /// Selects the server for a request, or none if it would not be answered in time. Hits go to the server with the shortest
    /// queue that has cached the key. What depends on the origin is sent only where it will be answered in time, and reads are
    /// fetched only while the origin has capacity to spare for writes, which have a higher priority weight.
    pub(super) fn omniscient_selection(&self, key: usize, write: bool) -> Option<usize> {
        let latency_objective =
            class_limits(write).latency_objective as f64 - 2.0 * self.site.mean_work;
        let cached = (!write)
            .then(|| self.shortest_wait(|server| server.cached.contains(&key)))
            .flatten();
        let selected = cached
            .filter(|candidate| candidate.wait < latency_objective)
            .or_else(|| self.fetching_server(write, latency_objective));
        selected.map(|candidate| candidate.server)
    }

    /// The server with the shortest wait among those with a free fetch slot, if its fetch will be in time.
    fn fetching_server(&self, write: bool, latency_objective: f64) -> Option<Candidate> {
        let slowdown = self.site.origin_slowdown(self.now);
        let origin_wait = self.origin_queue.len() as f64 * 1e6 / self.site.origin_rate * slowdown;
        let at_origin = origin_wait + self.site.origin_latency as f64;
        let max_origin_wait = MAX_ORIGIN_WAIT_FRACTION * WRITES.latency_objective as f64;
        let limit = latency_objective.min(self.site.fetch_timeout as f64);
        self.shortest_wait(|server| server.fetches < self.site.max_server_fetches)
            .filter(|_| write || origin_wait < max_origin_wait)
            .filter(|candidate| candidate.wait + at_origin < limit)
    }

    /// The server with the shortest wait among those without a fault that meet a condition.
    fn shortest_wait(&self, condition: impl Fn(&Server) -> bool) -> Option<Candidate> {
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
