//! Slow start of a server whose range contains keys that are popular at all nodes, from three nodes with much
//! traffic to three hundred with little. A node with little traffic sends the server too little to observe an
//! overload; all nodes together must not overload it.

use sloewick_decision::api::*;
use sloewick_decision::Balancer;

#[allow(dead_code, reason = "each test file uses some of the helpers")]
mod support;

const NODES: u64 = 300;
const SERVERS: usize = 150;
/// Time between two requests of a node: 16 requests a second.
const REQUEST_INTERVAL: Micros = 62_500;
/// One in this many requests is for the popular key.
const POPULAR_ONE_IN: u64 = 6;

fn settings() -> Settings {
    Settings {
        nodes: NODES as usize,
        poll_endpoint_list: false,
        ..support::settings()
    }
}

/// One of [`NODES`] nodes, which lists [`SERVERS`] servers; see [`node_of_fleet`].
fn node(seed: u64, cold: Option<(&str, Micros)>) -> Balancer {
    node_of_fleet(NODES, SERVERS, seed, cold)
}

/// Creates one of `nodes` nodes, which lists this many servers. `seed` is its node number, too. `cold`: name
/// and time of the start of the server that warms up, if any; the others are warm.
fn node_of_fleet(nodes: u64, servers: usize, seed: u64, cold: Option<(&str, Micros)>) -> Balancer {
    let entry = |i: usize| {
        let warm = support::entry(i, None);
        let started = cold
            .filter(|(name, _)| *name == &*warm.server)
            .map(|(_, started)| started);
        Endpoint { started, ..warm }
    };
    let settings = Settings {
        nodes: nodes as usize,
        node_number: Some(seed),
        ..settings()
    };
    let mut node = Balancer::new(settings, seed, 0).unwrap();
    let list: Vec<Endpoint> = (0..servers).map(entry).collect();
    node.handle(
        0,
        Event::EndpointList(EndpointListKind::Full, list.into()),
        &mut Vec::new(),
    );
    node
}

/// Sends a request and ends its first attempt at the same time. Returns the server of the attempt, if any.
fn send_request(node: &mut Balancer, now: Micros, id: u64, key: &str) -> Option<ServerId> {
    let request: RequestId = format!("r{id}").into();
    let event = Event::Request(Request {
        id: request.clone(),
        class: 0,
        tenant: None,
        key: Some(key.into()),
        budget: 400_000,
        work: None,
        size: None,
        is_client_retry: false,
        earlier_request_sent: None,
        write: false,
    });
    let mut actions = Vec::new();
    node.handle(now, event, &mut actions);
    let server = actions.iter().find_map(|action| match action {
        Action::Send { server, .. } => Some(server.clone()),
        _ => None,
    })?;
    let outcome = Event::AttemptEnded(AttemptOutcome {
        request,
        server: server.clone(),
        attempt: 0,
        latency: 20_000,
        status: Status::Ok,
        is_final: true,
        cache_result: None,
        load: None,
    });
    node.handle(now, outcome, &mut Vec::new());
    Some(server)
}

/// Returns the number of first attempts that all nodes send to the home of a key within the overload window
/// that begins when the key becomes popular, as a multiple of what an average server is sent. At that time
/// the nodes have run for `ran`, and the home, which warms up, has run for `age`.
fn relative_load_of_home(key: &str, ran: Micros, age: Micros) -> f64 {
    let home = send_request(&mut node(0, None), 0, 0, key)
        .expect("a warm home is sent the request for its key");
    let (settings, mut sends) = (settings(), 0u32);
    for seed in 1..=NODES {
        let mut node = node(seed, Some((&home, ran - age)));
        let (mut now, mut n) = ((seed as Micros * REQUEST_INTERVAL) / NODES as Micros, 0u64);
        while now < ran + settings.overload_window {
            n += 1;
            let popular = now >= ran && n.is_multiple_of(POPULAR_ONE_IN);
            let other = format!("o{seed}-{n}");
            let server = send_request(&mut node, now, n, if popular { key } else { &other });
            sends += u32::from(now >= ran && server.as_ref() == Some(&home));
            now += REQUEST_INTERVAL;
        }
    }
    let mean = NODES as f64 * (settings.overload_window / REQUEST_INTERVAL) as f64 / SERVERS as f64;
    f64::from(sends) / mean
}

/// Guards against a fault that has occurred: a node that has just restarted, or that receives requests for a
/// new popular key, sends the first requests for the key to its home, whether that is warm or not, and 300
/// nodes do so at once.
#[test]
fn key_popular_at_all_nodes_does_not_overload_its_home_that_warms_up() {
    for (ran, age) in [
        (0, 2_000_000),
        (0, 5_000_000),
        (4_000_000, 2_000_000),
        (4_000_000, 5_000_000),
    ] {
        let settings = settings();
        let warm_up_progress =
            (age + settings.overload_window / 2) as f64 / settings.warm_up_time as f64;
        let capacity = settings.cold_capacity + (1.0 - settings.cold_capacity) * warm_up_progress;
        // The capacity of a server is a quarter above what an average server is sent.
        let bound = settings.overload_multiple * capacity * 1.25;
        let most = (0..8)
            .map(|n| relative_load_of_home(&format!("popular{n}"), ran, age))
            .fold(0.0, f64::max);
        assert!(
            most < bound,
            "{most} times the load of an average server, bound {bound}; \
             nodes ran for {ran} us, age of the home {age} us"
        );
    }
}

/// Guards against a bound that leaves a server without requests while it warms up: it needs requests to warm
/// up.
#[test]
fn server_that_warms_up_is_sent_more_than_a_tenth_of_an_average_load() {
    let load = relative_load_of_home("popular0", 4_000_000, 5_000_000);
    assert!(load > 0.1, "{load} times the load of an average server");
}

/// A fleet with one server that warms up, and what its clients request.
#[derive(Clone, Copy, Debug)]
struct WarmUpCase {
    nodes: u64,
    servers: usize,
    /// Time between two requests of a node.
    request_interval: Micros,
    /// Once the popular keys have become popular, one in this many requests is for one of them. The home of
    /// all of them is the server that warms up.
    popular_one_in: u64,
    /// How long the nodes have run when the keys become popular.
    ran: Micros,
    /// Time from the start of the server that warms up until the keys become popular.
    age: Micros,
}

impl WarmUpCase {
    /// Maximum number of attempts at the server that warms up within the overload window that ends at `now`:
    /// the overload multiple of its capacity at that time, where what an average server is sent counts as the
    /// capacity of a warm server.
    fn budget(&self, now: Micros) -> f64 {
        let settings = settings();
        let age = now - self.ran + self.age;
        let capacity = settings.cold_capacity
            + (1.0 - settings.cold_capacity) * age as f64 / settings.warm_up_time as f64;
        let mean = (self.nodes * settings.overload_window as u64) as f64
            / self.request_interval as f64
            / self.servers as f64;
        settings.overload_multiple * capacity.min(1.0) * mean
    }

    /// Returns the times, in order, of all attempts of all nodes at the server that warms up, for this many
    /// seconds after the keys became popular.
    fn send_times(&self, seconds: i64) -> Vec<Micros> {
        let mut warm = node_of_fleet(self.nodes, self.servers, 0, None);
        let homes = (0..)
            .map(|n| (format!("popular{n}"), n))
            .map(|(key, n)| (send_request(&mut warm, 0, n, &key), key));
        let cold: ServerId = "srv1".into();
        let keys: Vec<String> = homes
            .filter(|(home, _)| *home == Some(cold.clone()))
            .map(|(_, key)| key)
            .take(12)
            .collect();
        let mut times = Vec::new();
        for number in 0..self.nodes {
            let mut node = node_of_fleet(
                self.nodes,
                self.servers,
                number,
                Some((&cold, self.ran - self.age)),
            );
            let (mut now, mut n) = (
                (number as Micros * self.request_interval) / self.nodes as Micros,
                0u64,
            );
            while now < self.ran + seconds * 1_000_000 {
                n += 1;
                let popular = now >= self.ran && n.is_multiple_of(self.popular_one_in);
                let other = format!("o{number}-{n}");
                let key =
                    &keys[((n / self.popular_one_in) as usize + number as usize) % keys.len()];
                let server = send_request(&mut node, now, n, if popular { key } else { &other });
                if server.as_ref() == Some(&cold) && now >= self.ran {
                    times.push(now);
                }
                now += self.request_interval;
            }
        }
        times.sort_unstable();
        times
    }

    /// Returns the number of attempts within an overload window and the number allowed in it (the budget and
    /// a margin for random variation), of the window in which they exceed the allowed number most, or come
    /// closest to it.
    fn worst_window(&self, seconds: i64) -> (usize, f64) {
        let (times, window) = (self.send_times(seconds), settings().overload_window);
        let sent_within = |end: &Micros| {
            times
                .iter()
                .filter(|time| (end - window + 1..=*end).contains(*time))
                .count()
        };
        let sent_and_allowed = |end: &Micros| {
            let budget = self.budget(*end);
            (sent_within(end), budget + 2.0 * budget.sqrt() + 2.0)
        };
        let windows = times.iter().map(sent_and_allowed);
        windows
            .max_by(|a, b| (a.0 as f64 / a.1).total_cmp(&(b.0 as f64 / b.1)))
            .unwrap_or((0, 0.0))
    }
}

/// Asserts that no overload window of the first five seconds contains more attempts than allowed.
fn assert_within_budget(case: WarmUpCase) {
    let (sent, allowed) = case.worst_window(5);
    assert!(
        (sent as f64) <= allowed,
        "{sent} attempts within the overload window, {allowed:.1} allowed: {case:?}"
    );
}

/// Guards against a fault that has occurred: each node could send one attempt, however small its quota, so
/// that thirty nodes sent thirty.
#[test]
fn thirty_nodes_with_a_request_each_in_the_overload_window_stay_within_the_budget() {
    for (request_interval, popular_one_in) in [(2_000_000, 1), (1_000_000, 2), (200_000, 2)] {
        for (ran, age) in [(0, 500_000), (8_000_000, 500_000), (8_000_000, 7_000_000)] {
            assert_within_budget(WarmUpCase {
                nodes: 30,
                servers: 40,
                request_interval,
                popular_one_in,
                ran,
                age,
            });
        }
    }
}

#[test]
fn three_hundred_nodes_with_little_traffic_stay_within_the_budget() {
    for popular_one_in in [2, 6] {
        let case = WarmUpCase {
            nodes: 300,
            servers: 150,
            request_interval: REQUEST_INTERVAL,
            popular_one_in,
            ran: 4_000_000,
            age: 1_000_000,
        };
        assert_within_budget(case);
        assert_within_budget(WarmUpCase {
            age: 11_000_000,
            ..case
        });
    }
}

#[test]
fn nodes_that_have_all_just_started_stay_within_the_budget() {
    for (nodes, servers, request_interval) in [
        (300, 150, REQUEST_INTERVAL),
        (100, 40, 200_000),
        (30, 40, 200_000),
        (20, 10, 50_000),
    ] {
        assert_within_budget(WarmUpCase {
            nodes,
            servers,
            request_interval,
            popular_one_in: 2,
            ran: 0,
            age: 2_000_000,
        });
    }
}

#[test]
fn twenty_nodes_with_ten_to_fifty_requests_a_second_each_stay_within_the_budget() {
    for (request_interval, age) in [
        (100_000, 1_000_000),
        (50_000, 4_000_000),
        (20_000, 1_000_000),
    ] {
        assert_within_budget(WarmUpCase {
            nodes: 20,
            servers: 10,
            request_interval,
            popular_one_in: 2,
            ran: 4_000_000,
            age,
        });
    }
}

/// Guards against a bound that leaves a server that warms up without requests although the nodes have enough
/// requests to use its capacity.
#[test]
fn three_nodes_with_much_traffic_use_most_of_the_capacity_and_stay_within_the_budget() {
    let case = WarmUpCase {
        nodes: 3,
        servers: 10,
        request_interval: 5_000,
        popular_one_in: 10,
        ran: 4_000_000,
        age: 2_000_000,
    };
    assert_within_budget(case);
    let sent = case
        .send_times(4)
        .into_iter()
        .filter(|time| *time >= case.ran + 2_000_000)
        .count();
    let capacity = case.budget(case.ran + 3_000_000) / settings().overload_multiple;
    assert!(
        sent as f64 > 0.8 * capacity,
        "{sent} attempts sent, the capacity is {capacity:.0}"
    );
}
