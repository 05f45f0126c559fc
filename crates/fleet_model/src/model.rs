//! A run of the fleet, one event at a time.
//!
//! [`Model`] owns the virtual time, the generator, all nodes, servers, attempts and pending requests, and what was counted.
//! `requests` takes requests and their attempts from arrival to the final response, `upstream` moves attempts through
//! servers and origin, and `omniscient` is the policy with complete information. Generator draws happen in the order of
//! events, so that a run follows from its [`Site`], its [`Policy`] and its seed.

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

use crate::attempt::{Attempt, AttemptIndex, PendingRequest, Stage};
use crate::event_queue::{EventQueue, FleetEvent};
use crate::node::{endpoint, start_balancer};
use crate::server::Server;
use crate::site::{class_limits, Site, MICROS_PER_SECOND};

/// Seed of the balancers of restarted nodes.
const RESTART_SEED: u64 = 1 << 32 | 7;

/// Who decides, for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The nodes' balancers.
    Balancer,
    /// The nodes' balancers, but every attempt ends with its request: connections are closed at the final response, whatever
    /// is being fetched.
    CancelFetches,
    /// One policy that knows every queue, every cache and the origin, and sends only what can be answered in time. No real
    /// policy can; it is an upper bound on what could have been served.
    Omniscient,
}

/// What was counted in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SecondCounts {
    /// Requests of clients, without their retries.
    pub offered: u32,
    /// Requests answered within their latency objective.
    pub served: u32,
    /// Of them, fetched from the origin or written to it.
    pub from_origin: u32,
    /// Requests rejected or failed.
    pub rejected: u32,
    /// Priority weight of what was offered: 10 for a write, 1 for a read.
    pub offered_weight: u32,
    /// Priority weight of what was served within its latency objective.
    pub served_weight: u32,
    /// Attempts sent.
    pub attempts: u32,
    /// Fetches and writes that the origin completed after their server had ceased to wait.
    pub unawaited_fetches: u32,
}

impl<'a> Sum<&'a SecondCounts> for SecondCounts {
    fn sum<I: Iterator<Item = &'a SecondCounts>>(seconds: I) -> SecondCounts {
        seconds.fold(SecondCounts::default(), |sum, second| SecondCounts {
            offered: sum.offered + second.offered,
            served: sum.served + second.served,
            from_origin: sum.from_origin + second.from_origin,
            rejected: sum.rejected + second.rejected,
            offered_weight: sum.offered_weight + second.offered_weight,
            served_weight: sum.served_weight + second.served_weight,
            attempts: sum.attempts + second.attempts,
            unawaited_fetches: sum.unawaited_fetches + second.unawaited_fetches,
        })
    }
}

/// A fleet under way.
pub struct Model {
    site: Site,
    policy: Policy,
    rng: StdRng,
    key_popularity: Zipf<f64>,
    now: Micros,
    events: EventQueue,
    nodes: Vec<Balancer>,
    servers: Vec<Server>,
    attempts: Vec<Attempt>,
    pending: HashMap<RequestId, PendingRequest>,
    /// Attempts that the origin has received and not completed, in order.
    origin_queue: VecDeque<AttemptIndex>,
    /// Counts by second.
    pub seconds: Vec<SecondCounts>,
    /// Requests rejected or failed, by the balancer's reason.
    pub reject_reasons: BTreeMap<&'static str, u32>,
    /// Violations of the rule that each request has exactly one final response, before its deadline.
    pub violations: u32,
}

impl Model {
    /// A fleet whose servers have cached all keys.
    ///
    /// # Panics
    ///
    /// If the site has no keys or a negative [`Site::zipf_exponent`], or if a balancer does not accept [`Site::settings`].
    pub fn new(site: Site, policy: Policy, seed: u64) -> Model {
        let key_popularity =
            Zipf::new(site.keys as f64, site.zipf_exponent).expect("a positive exponent");
        let mut model = Model {
            nodes: start_nodes(&site, seed, site.nodes),
            servers: (0..site.servers)
                .map(|_| Server::with_cached_keys(site.keys))
                .collect(),
            rng: StdRng::seed_from_u64(seed),
            key_popularity,
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

    /// Plays until `seconds` of virtual time have passed since the start. Returns the fraction of the priority weight that was
    /// served within its latency objective, by second; it may exceed one where clients retry in a later second.
    pub fn play(&mut self, seconds: usize) -> Vec<f64> {
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

    /// Counts of the current second.
    fn counts(&mut self) -> &mut SecondCounts {
        let second = (self.now / MICROS_PER_SECOND) as usize;
        if self.seconds.len() <= second {
            self.seconds.resize(second + 1, SecondCounts::default());
        }
        &mut self.seconds[second]
    }

    /// Draws a time from the exponential distribution.
    fn draw_exponential(&mut self, mean: f64) -> Micros {
        let drawn: f64 = Exp1.sample(&mut self.rng);
        (drawn * mean) as Micros
    }

    fn handle_event(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Arrival => self.request_arrives(),
            FleetEvent::ClientRetry(key) => {
                let node = self.draw_node();
                self.start_request(node, key, false, false);
            }
            FleetEvent::NodeRestart => self.restart_nodes(),
            FleetEvent::NodeTimer { node, token } => {
                self.notify_node(node, Event::TimerExpired(token));
            }
            FleetEvent::WorkDone { server, run } => self.work_done(server, run),
            FleetEvent::AttemptTimeout(attempt) => {
                if self.attempts[attempt].awaited {
                    self.cancel_attempt(attempt);
                    self.attempt_ended(attempt, Status::Timeout, None);
                }
            }
            FleetEvent::FetchTimeout(attempt) => {
                if self.attempts[attempt].stage == Stage::AtOrigin {
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

    fn request_arrives(&mut self) {
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
        let popular = self.key_popularity.sample(&mut self.rng) as usize - 1;
        let hot = self.site.hot_key.as_ref();
        match hot.filter(|hot| hot.period.contains(&self.now)) {
            Some(hot) if self.rng.random_bool(hot.fraction) => self.site.keys - 1,
            _ => popular,
        }
    }

    /// Replaces the first nodes by new ones; their pending requests are lost and their connections end.
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

/// Balancers of the first `count` nodes of a site, or of all if it has fewer.
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
