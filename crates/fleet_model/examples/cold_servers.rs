//! Compares the requests that all nodes together send to each warming server with the number that the settings allow, by
//! number of nodes. In each run a zone with half of the servers returns with empty caches, and then three in ten nodes restart.
//! Also draws the load of the most loaded server into an SVG file if one is given as argument.
//!
//!     cargo run --release -p sloewick-fleet-model --example cold_servers
//!     cargo run --release -p sloewick-fleet-model --example cold_servers -- docs/cold-servers.svg

mod support;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::error::Error;
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, Zipf};
use sloewick_decision::api::{
    Action, AttemptOutcome, Endpoint, EndpointListKind, Event, Micros, Request, Settings, Status,
};
use sloewick_decision::Balancer;
use sloewick_fleet_model::{
    endpoint, server_number, start_balancer, Site, MICROS_PER_SECOND as SECOND,
};
use support::{Chart, Line, ReferenceLine};

/// Numbers of nodes for which the fleet is run.
const FLEET_SIZES: [usize; 5] = [3, 20, 30, 100, 300];
const SERVERS: usize = 40;
/// Requests per second at all nodes together, for each fleet size: 15 per server.
const REQUEST_RATE: f64 = 600.0;
const KEYS: f64 = 3_000.0;
/// Time at which the zone returns.
const ZONE_RETURN: Micros = 8 * SECOND;
/// Time at which some of the nodes restart.
const NODE_RESTART: Micros = 14 * SECOND;
const END: Micros = 28 * SECOND;
/// Time from sending a request to its answer; the same for all servers.
const LATENCY: Micros = 20_000;
const REQUEST_BUDGET: Micros = 400_000;
const SEEDS: u64 = 5;
/// Every fifth node is busy and receives this multiple of the requests of another node.
const BUSY_NODE_LOAD: f64 = 4.0;
/// Time between two counts.
const COUNT_INTERVAL: Micros = SECOND / 4;

/// Whether a server is in the zone that returns; servers with odd numbers are.
fn in_returning_zone(server: usize) -> bool {
    server % 2 == 1
}

/// The complete endpoint list, before or after the zone has returned.
fn endpoint_list(returned: bool) -> Arc<[Endpoint]> {
    (0..SERVERS)
        .map(|server| Endpoint {
            zone: Some(server as u16 % 2),
            started: (returned && in_returning_zone(server)).then_some(ZONE_RETURN),
            ..endpoint(server)
        })
        .collect()
}

/// A server's answer in flight to a node, ordered by the time of its arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Answer {
    at: Micros,
    node: usize,
    request: usize,
    server: usize,
}

/// A simulated fleet and its state at the current virtual time.
struct Fleet {
    settings: Settings,
    seed: u64,
    nodes: Vec<Balancer>,
    /// Load of each node, relative to one that is not busy.
    node_loads: Vec<f64>,
    rng: StdRng,
    answers: BinaryHeap<Reverse<Answer>>,
    /// Times at which requests were sent, by server.
    send_times: Vec<Vec<Micros>>,
    requests: usize,
    next_arrival: Micros,
    zone_returned: bool,
    nodes_restarted: bool,
}

impl Fleet {
    fn new(nodes: usize, seed: u64) -> Fleet {
        let site = Site {
            nodes,
            ..Site::default()
        };
        let load = |node| if node % 5 == 0 { BUSY_NODE_LOAD } else { 1.0 };
        let mut fleet = Fleet {
            settings: site.settings(),
            seed,
            nodes: Vec::new(),
            node_loads: (0..nodes).map(load).collect(),
            rng: StdRng::seed_from_u64(seed),
            answers: BinaryHeap::new(),
            send_times: vec![Vec::new(); SERVERS],
            requests: 0,
            next_arrival: 0,
            zone_returned: false,
            nodes_restarted: false,
        };
        fleet.nodes = (0..nodes).map(|node| fleet.start_node(node, 0)).collect();
        fleet
    }

    fn start_node(&self, node: usize, now: Micros) -> Balancer {
        let incarnation = u64::from(now > 0);
        let seed = self.seed << 32 | incarnation << 16 | node as u64;
        let endpoints = endpoint_list(now >= ZONE_RETURN);
        start_balancer(&self.settings, node, seed, now, endpoints)
    }

    fn run(mut self) -> SendTimes {
        let key_distribution =
            Zipf::new(KEYS, 1.0).expect("at least one key and a Zipf exponent of at least 0");
        loop {
            let answer = self.answers.peek().map(|Reverse(answer)| answer.at);
            let now = answer.map_or(self.next_arrival, |at| self.next_arrival.min(at));
            if now >= END {
                return SendTimes {
                    settings: self.settings,
                    by_server: self.send_times,
                };
            }
            self.apply_changes(now);
            if now < self.next_arrival {
                self.handle_next_answer(now);
            } else {
                self.handle_arrival(now, &key_distribution);
            }
        }
    }

    /// Lets the zone return and restarts nodes, each once when its time has come.
    fn apply_changes(&mut self, now: Micros) {
        if now >= ZONE_RETURN && !std::mem::replace(&mut self.zone_returned, true) {
            for node in &mut self.nodes {
                let list = Event::EndpointList(EndpointListKind::Full, endpoint_list(true));
                node.handle(now, list, &mut Vec::new());
            }
        }
        if now >= NODE_RESTART && !std::mem::replace(&mut self.nodes_restarted, true) {
            for node in (0..self.nodes.len()).filter(|node| node % 10 < 3) {
                self.nodes[node] = self.start_node(node, now);
            }
        }
    }

    fn handle_next_answer(&mut self, now: Micros) {
        let Some(Reverse(answer)) = self.answers.pop() else {
            return;
        };
        let event = Event::AttemptEnded(AttemptOutcome {
            request: format!("r{}", answer.request).into(),
            server: endpoint(answer.server).server,
            attempt: 0,
            latency: LATENCY,
            status: Status::Ok,
            is_final: true,
            cache_result: None,
            load: None,
        });
        self.nodes[answer.node].handle(now, event, &mut Vec::new());
    }

    fn handle_arrival(&mut self, now: Micros, key_distribution: &Zipf<f64>) {
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.next_arrival += (gap / REQUEST_RATE * SECOND as f64) as Micros + 1;
        self.requests += 1;
        let node = self.draw_node();
        let request = Request {
            id: format!("r{}", self.requests).into(),
            class: 0,
            tenant: None,
            key: Some(format!("k{}", key_distribution.sample(&mut self.rng)).into()),
            budget: REQUEST_BUDGET,
            work: None,
            size: None,
            is_client_retry: false,
            earlier_request_sent: None,
            write: false,
        };
        let mut actions = Vec::new();
        self.nodes[node].handle(now, Event::Request(request), &mut actions);
        for action in actions {
            if let Action::Send { server, .. } = action {
                let server = server_number(&server);
                self.send_times[server].push(now);
                self.answers.push(Reverse(Answer {
                    at: now + LATENCY,
                    node,
                    request: self.requests,
                    server,
                }));
            }
        }
    }

    /// Draws a node with a probability in proportion to its load.
    fn draw_node(&mut self) -> usize {
        let total: f64 = self.node_loads.iter().sum();
        let mut drawn = self.rng.random::<f64>() * total;
        let found = self.node_loads.iter().position(|load| {
            drawn -= load;
            drawn < 0.0
        });
        found.unwrap_or(self.nodes.len() - 1)
    }
}

/// The requests that a fleet has sent to its servers.
struct SendTimes {
    settings: Settings,
    /// Times at which requests were sent, by server.
    by_server: Vec<Vec<Micros>>,
}

/// Number of requests that were sent to each warming server within the overload window before a time.
struct WindowCounts {
    /// End of the window.
    end: Micros,
    /// One count per server, in ascending order of the counts.
    sorted_counts: Vec<f64>,
}

impl SendTimes {
    /// Number of requests that the settings allow a warming server within the overload window: the number that an average
    /// server is sent in that time, times the warming server's current fraction of its capacity, times the overload multiple.
    fn budget(&self, now: Micros) -> f64 {
        let settings = &self.settings;
        let warm_up = (now - ZONE_RETURN) as f64 / settings.warm_up_time as f64;
        let cold_capacity = settings.cold_capacity;
        let capacity = (cold_capacity + (1.0 - cold_capacity) * warm_up).min(1.0);
        settings.overload_multiple * capacity * REQUEST_RATE * settings.overload_window as f64
            / SECOND as f64
            / SERVERS as f64
    }

    /// Counts within the overload window that ends at `end`, without the time before the zone's return.
    fn window_counts(&self, end: Micros) -> WindowCounts {
        let start = (end - self.settings.overload_window).max(ZONE_RETURN);
        let count = |times: &Vec<Micros>| {
            (times.partition_point(|at| *at <= end) - times.partition_point(|at| *at <= start))
                as f64
        };
        let warming = self.by_server.iter().enumerate();
        let mut sorted_counts: Vec<f64> = warming
            .filter(|(server, _)| in_returning_zone(*server))
            .map(|(_, times)| count(times))
            .collect();
        sorted_counts.sort_by(f64::total_cmp);
        WindowCounts { end, sorted_counts }
    }
}

/// The most loaded server at one time.
struct MostLoadedPoint {
    /// Time since the zone returned, in seconds.
    seconds: f64,
    /// Its count as a multiple of the budget.
    most_loaded: f64,
    /// The allowed count, which is the budget with a margin for random variation, as a multiple of the budget.
    allowed: f64,
}

/// Results of all seeds at one fleet size.
#[derive(Default)]
struct FleetResult {
    nodes: usize,
    points: Vec<MostLoadedPoint>,
    /// Largest count as a fraction of the allowed count.
    max_allowed_fraction: f64,
    /// Number of counts above the allowed count.
    exceeded_counts: usize,
    /// Number of all counts.
    total_counts: usize,
    /// Sum of the medians over the servers.
    median_sent_sum: f64,
    /// Sum of the counts of an average server, each times the fraction of its capacity that a warming server then has.
    average_capacity_sum: f64,
}

impl FleetResult {
    fn run(nodes: usize) -> FleetResult {
        let mut result = FleetResult {
            nodes,
            ..FleetResult::default()
        };
        for seed in 1..=SEEDS {
            let send_times = Fleet::new(nodes, seed).run();
            let times = (ZONE_RETURN + COUNT_INTERVAL..END).step_by(COUNT_INTERVAL as usize);
            for (number, end) in times.enumerate() {
                result.add(number, &send_times.window_counts(end), &send_times);
            }
        }
        result
    }

    fn add(&mut self, number: usize, counts: &WindowCounts, send_times: &SendTimes) {
        let sorted_counts = &counts.sorted_counts;
        let budget = send_times.budget(counts.end);
        let allowed = budget + 2.0 * budget.sqrt() + 2.0;
        let most_loaded = sorted_counts[sorted_counts.len() - 1];
        self.max_allowed_fraction = self.max_allowed_fraction.max(most_loaded / allowed);
        self.exceeded_counts += sorted_counts
            .iter()
            .filter(|count| **count > allowed)
            .count();
        self.total_counts += sorted_counts.len();
        self.median_sent_sum += sorted_counts[sorted_counts.len() / 2];
        self.average_capacity_sum += budget / send_times.settings.overload_multiple;
        let point = MostLoadedPoint {
            seconds: (counts.end - ZONE_RETURN) as f64 / SECOND as f64,
            most_loaded: most_loaded / budget,
            allowed: allowed / budget,
        };
        match self.points.get_mut(number) {
            Some(earlier) => earlier.most_loaded = earlier.most_loaded.max(point.most_loaded),
            None => self.points.push(point),
        }
    }

    fn print(&self) {
        println!(
            "{:4} nodes: the most loaded warming server is sent {:.2} of the allowed count; {} of {} counts exceed it; \
             the median one is sent {:.2} of an average server's load, in proportion to its capacity",
            self.nodes,
            self.max_allowed_fraction,
            self.exceeded_counts,
            self.total_counts,
            self.median_sent_sum / self.average_capacity_sum
        );
    }
}

fn draw(file: &str, results: &[FleetResult]) -> Result<(), Box<dyn Error>> {
    let points = || results.iter().flat_map(|result| &result.points);
    let y_max = points()
        .map(|point| point.most_loaded.max(point.allowed))
        .fold(0.0, f64::max)
        * 1.05;
    let lines = results.iter().map(|result| Line {
        label: format!("{} nodes", result.nodes),
        points: result
            .points
            .iter()
            .map(|point| (point.seconds, point.most_loaded))
            .collect(),
    });
    let allowed = results[0].points.iter();
    let chart = Chart {
        caption: "Requests sent to the most loaded warming server by all nodes",
        x_description: "seconds since the start of the servers; three in ten nodes restart at 6",
        y_description: "requests within 2 s, as a multiple of the budget N",
        x_max: points().map(|point| point.seconds).fold(0.0, f64::max),
        y_max,
        lines: lines.collect(),
        reference: ReferenceLine {
            label: Some("N + 2 sqrt(N) + 2"),
            points: allowed
                .map(|point| (point.seconds, point.allowed))
                .collect(),
            opacity: 0.5,
        },
    };
    chart.write_svg(file)
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut results = Vec::new();
    for nodes in FLEET_SIZES {
        let result = FleetResult::run(nodes);
        result.print();
        results.push(result);
    }
    match std::env::args().nth(1) {
        Some(file) => draw(&file, &results),
        None => Ok(()),
    }
}
