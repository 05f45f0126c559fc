//! The simulation of the fleet, which handles one event after another.
//!
//! [`Model`] owns the virtual time, the random number generator, all nodes, servers, attempts and pending requests, and the
//! counts. `requests` takes requests and their attempts from arrival to the final response, `upstream` moves attempts through
//! servers and origin, and `omniscient` is the policy with complete information. Random numbers are drawn in the order of
//! events, so that a run is determined by its [`Site`], its [`Policy`] and its seed.

mod omniscient;
mod requests;
mod upstream;

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::iter::Sum;
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, Zipf};
use sloewick_decision::api::{Endpoint, Event, Micros, RequestId, Status};
use sloewick_decision::Balancer;

use crate::attempt::{Attempt, AttemptIndex, AttemptStage, PendingRequest};
use crate::event_queue::{EventQueue, FleetEvent};
use crate::node::{endpoint, start_balancer};
use crate::server::Server;
use crate::site::{class_limits, Site, MICROS_PER_SECOND};

/// Seed from which the balancers of restarted nodes derive their seeds.
const RESTART_SEED: u64 = 1 << 32 | 7;

/// The policy that decides on requests. Runs with different policies are compared with each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The nodes' balancers.
    Balancer,
    /// The nodes' balancers, but a rejection or failure of a request closes the connections of all its attempts, including
    /// those that wait for a fetch.
    CancelFetches,
    /// One policy for all nodes with complete information on all queues, all caches and the origin, which sends only requests
    /// that can be answered in time. No real policy has this information; what this one serves is an upper bound for the
    /// others.
    Omniscient,
}

/// Counts of one second of virtual time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondCounts {
    /// Requests of clients that arrived, without the clients' retries.
    pub offered: u32,
    /// Requests answered within their latency objective.
    pub served: u32,
    /// Served requests that were fetched from the origin or written to it.
    pub served_from_origin: u32,
    /// Requests whose final response was a rejection or a failure.
    pub rejected: u32,
    /// Priority weight of the offered requests: 10 for a write, 1 for a read.
    pub offered_weight: u32,
    /// Priority weight of the served requests.
    pub served_weight: u32,
    /// Attempts that were sent to servers.
    pub attempts: u32,
    /// Fetches and writes that the origin completed after their server had stopped waiting for them.
    pub abandoned_fetches: u32,
}

impl<'a> Sum<&'a SecondCounts> for SecondCounts {
    fn sum<I: Iterator<Item = &'a SecondCounts>>(seconds: I) -> SecondCounts {
        seconds.fold(SecondCounts::default(), |sum, second| SecondCounts {
            offered: sum.offered + second.offered,
            served: sum.served + second.served,
            served_from_origin: sum.served_from_origin + second.served_from_origin,
            rejected: sum.rejected + second.rejected,
            offered_weight: sum.offered_weight + second.offered_weight,
            served_weight: sum.served_weight + second.served_weight,
            attempts: sum.attempts + second.attempts,
            abandoned_fetches: sum.abandoned_fetches + second.abandoned_fetches,
        })
    }
}

/// A simulated fleet and its state at the current virtual time.
pub struct Model {
    site: Site,
    policy: Policy,
    rng: StdRng,
    key_distribution: Zipf<f64>,
    now: Micros,
    events: EventQueue,
    nodes: Vec<Balancer>,
    servers: Vec<Server>,
    attempts: Vec<Attempt>,
    pending: HashMap<RequestId, PendingRequest>,
    /// Attempts whose fetch or write the origin has not completed, in order of arrival; the first one is in service.
    origin_queue: VecDeque<AttemptIndex>,
    /// Counts by second of virtual time.
    pub seconds: Vec<SecondCounts>,
    /// Number of rejected or failed requests by the balancer's reason.
    pub reject_reasons: BTreeMap<&'static str, u32>,
    /// Violations of the rule that each request has exactly one final response, before its deadline, and is not sent after it.
    pub violations: u32,
}

impl Model {
    /// Creates a fleet whose servers have cached all keys.
    ///
    /// # Panics
    ///
    /// If the site has no keys or a negative [`Site::zipf_exponent`], or if a balancer does not accept [`Site::settings`].
    pub fn new(site: Site, policy: Policy, seed: u64) -> Model {
        let key_distribution = Zipf::new(site.keys as f64, site.zipf_exponent)
            .expect("at least one key and a Zipf exponent of at least 0");
        let mut model = Model {
            nodes: start_nodes(&site, seed, site.nodes),
            servers: (0..site.servers)
                .map(|_| Server::with_cached_keys(site.keys))
                .collect(),
            rng: StdRng::seed_from_u64(seed),
            key_distribution,
            now: 0,
            events: EventQueue::default(),
            attempts: Vec::new(),
            pending: HashMap::new(),
            origin_queue: VecDeque::new(),
            seconds: Vec::new(),
            reject_reasons: BTreeMap::new(),
            violations: 0,
            site,
            policy,
        };
        model.schedule(0, FleetEvent::Arrival);
        if let Some(restart) = model.site.node_restart {
            model.schedule(restart.at, FleetEvent::NodeRestart);
        }
        model
    }

    /// Runs the fleet until `seconds` of virtual time have passed since the start. Returns the fraction of the offered priority
    /// weight that was served within its latency objective, by second. A fraction may exceed 1 because a request is counted as
    /// offered when it first arrives and as served when it is answered, which may be in a later second, for
    /// example after the client's retry.
    pub fn run(&mut self, seconds: usize) -> Vec<f64> {
        let end = seconds as Micros * MICROS_PER_SECOND;
        while let Some((at, event)) = self.events.pop_before(end) {
            self.now = at;
            self.handle_event(event);
        }
        self.seconds.resize(seconds, SecondCounts::default());
        self.seconds
            .iter()
            .map(|s| f64::from(s.served_weight) / f64::from(s.offered_weight.max(1)))
            .collect()
    }

    fn schedule(&mut self, delay: Micros, event: FleetEvent) {
        self.events.schedule(self.now + delay.max(0), event);
    }

    /// Returns the counts of the current second.
    fn counts(&mut self) -> &mut SecondCounts {
        let second = (self.now / MICROS_PER_SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondCounts::default());
        }
        &mut self.seconds[second]
    }

    /// Draws a time in microseconds from the exponential distribution with this mean.
    fn draw_exponential(&mut self, mean: f64) -> Micros {
        let drawn: f64 = Exp1.sample(&mut self.rng);
        (drawn * mean) as Micros
    }

    fn handle_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Arrival => self.on_arrival(),
            FleetEvent::ClientRetry(key) => {
                let node = self.draw_node();
                self.start_request(node, key, false, false);
            }
            FleetEvent::NodeRestart => self.restart_nodes(),
            FleetEvent::NodeTimer { node, token } => {
                self.notify_node(node, Event::TimerExpired(token));
            }
            FleetEvent::WorkDone {
                server,
                work_serial,
            } => self.work_done(server, work_serial),
            FleetEvent::AttemptTimeout(attempt) => {
                if self.attempts[attempt].awaited {
                    self.cancel_attempt(attempt);
                    self.attempt_ended(attempt, Status::Timeout, None);
                }
            }
            FleetEvent::FetchTimeout(attempt) => {
                if self.attempts[attempt].stage == AttemptStage::AtOrigin {
                    self.servers[self.attempts[attempt].server].fetches -= 1;
                    self.answer(attempt, Status::Error, None);
                }
            }
            FleetEvent::OriginDone => self.origin_done(),
            FleetEvent::FetchDone(attempt) => self.fetch_done(attempt),
        }
    }

    fn draw_node(&mut self) -> usize {
        self.rng.random_range(0..self.site.nodes)
    }

    fn on_arrival(&mut self) {
        let gap = self.draw_exponential(1e6 / self.site.request_rate);
        self.schedule(gap, FleetEvent::Arrival);
        let key = self.draw_key();
        let node = self.draw_node();
        let write = self.rng.random_bool(self.site.write_fraction);
        let counts = self.counts();
        counts.offered += 1;
        counts.offered_weight += class_limits(write).priority_weight;
        self.start_request(node, key, write, true);
    }

    fn draw_key(&mut self) -> usize {
        let popular = self.key_distribution.sample(&mut self.rng) as usize - 1;
        let hot = self.site.hot_key.as_ref();
        match hot.filter(|hot| hot.period.contains(&self.now)) {
            Some(hot) if self.rng.random_bool(hot.fraction) => self.site.keys - 1,
            _ => popular,
        }
    }

    /// Restarts the first nodes: each gets a new balancer, its pending requests are lost and its awaited attempts are
    /// cancelled.
    fn restart_nodes(&mut self) {
        let Some(restart) = self.site.node_restart else {
            return;
        };
        let balancers = start_nodes(&self.site, RESTART_SEED, restart.nodes);
        for (node, balancer) in balancers.into_iter().enumerate() {
            let awaited: Vec<AttemptIndex> = (0..self.attempts.len())
                .filter(|index| {
                    let attempt = &self.attempts[*index];
                    attempt.node == node && attempt.awaited
                })
                .collect();
            for attempt in awaited {
                self.cancel_attempt(attempt);
            }
            self.pending.retain(|_, request| request.node != node);
            self.events.cancel_timers(node);
            self.nodes[node] = balancer;
        }
    }
}

/// Creates the balancers of the first `count` nodes of a site, or of all nodes if it has fewer.
fn start_nodes(site: &Site, seed: u64, count: usize) -> Vec<Balancer> {
    let settings = site.settings();
    let endpoints: Arc<[Endpoint]> = (0..site.servers).map(endpoint).collect();
    (0..count.min(site.nodes))
        .map(|node| {
            let seed = seed << 16 | node as u64;
            start_balancer(&settings, node, seed, 0, endpoints.clone())
        })
        .collect()
}
