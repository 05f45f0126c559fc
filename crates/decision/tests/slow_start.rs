//! Slow start of a server whose range holds keys that are popular at all nodes, three busy ones to three
//! hundred quiet ones. None of the quiet ones sends it enough to notice; together they must not overload it.

use sloewick_decision::api::*;
use sloewick_decision::Balancer;

#[allow(dead_code, reason = "each test file uses its part")]
mod support;

const NODES: u64 = 300;
const SERVERS: usize = 150;
/// Between two requests of a node: 16 a second.
const EVERY: Micros = 62_500;
/// Every sixth request is for the popular key.
const POPULAR: u64 = 6;

fn settings() -> Settings {
    Settings {
        nodes: NODES as usize,
        poll: false,
        ..support::settings()
    }
}

fn node(seed: u64, cold: Option<(&str, Micros)>) -> Balancer {
    one_of(NODES, SERVERS, seed, cold)
}

fn one_of(nodes: u64, servers: usize, seed: u64, cold: Option<(&str, Micros)>) -> Balancer {
    let entry = |i: usize| {
        let warm = support::entry(i, None);
        let started = cold
            .filter(|(name, _)| *name == &*warm.server)
            .map(|(_, at)| at);
        Endpoint { started, ..warm }
    };
    let set = Settings {
        nodes: nodes as usize,
        node_number: Some(seed),
        ..settings()
    };
    let mut node = Balancer::new(set, seed, 0).unwrap();
    let list: Vec<Endpoint> = (0..servers).map(entry).collect();
    node.handle(
        0,
        Event::EndpointList(EndpointListKind::Full, list.into()),
        &mut Vec::new(),
    );
    node
}

/// Sends a request and answers it at once. Where it went.
fn send_request(node: &mut Balancer, now: Micros, id: u64, key: &str) -> Option<ServerId> {
    let request: RequestId = format!("r{id}").into();
    let asked = Request {
        id: request.clone(),
        class: 0,
        tenant: None,
        key: Some(key.into()),
        budget: 400_000,
        work: None,
        size: None,
        retry: false,
        write: false,
    };
    let mut actions = Vec::new();
    node.handle(now, Event::Request(asked), &mut actions);
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
        closed: true,
        cache_result: None,
        load: None,
    });
    node.handle(now, outcome, &mut Vec::new());
    Some(server)
}

/// What the home of a key that becomes popular at all nodes is sent within the overload window while it warms
/// up, beside what an average server is sent: the nodes ran for `ran` before, and it started `age` before the
/// key became popular.
fn sent(key: &str, ran: Micros, age: Micros) -> f64 {
    let home = send_request(&mut node(0, None), 0, 0, key).expect("a warm server takes its key");
    let (set, mut sends) = (settings(), 0u32);
    for seed in 1..=NODES {
        let mut node = node(seed, Some((&home, ran - age)));
        let (mut now, mut n) = ((seed as Micros * EVERY) / NODES as Micros, 0u64);
        while now < ran + set.overload_window {
            n += 1;
            let popular = now >= ran && n.is_multiple_of(POPULAR);
            let other = format!("o{seed}-{n}");
            let to = send_request(&mut node, now, n, if popular { key } else { &other });
            sends += u32::from(now >= ran && to.as_ref() == Some(&home));
            now += EVERY;
        }
    }
    let mean = NODES as f64 * (set.overload_window / EVERY) as f64 / SERVERS as f64;
    f64::from(sends) / mean
}

// Seen to fail: a node just restarted, or one that meets a new popular key, sends the first requests for it
// to its home, warm or not; 300 nodes do so at once.
#[test]
fn key_popular_at_all_nodes_does_not_overload_its_home_that_warms_up() {
    for (ran, age) in [
        (0, 2_000_000),
        (0, 5_000_000),
        (4_000_000, 2_000_000),
        (4_000_000, 5_000_000),
    ] {
        let set = settings();
        let warmed = (age + set.overload_window / 2) as f64 / set.warm_up_time as f64;
        let grown = set.cold_capacity + (1.0 - set.cold_capacity) * warmed;
        // Servers have a margin of a quarter over what an average one is sent.
        let bound = set.overload_multiple * grown * 1.25;
        let most = (0..8)
            .map(|n| sent(&format!("popular{n}"), ran, age))
            .fold(0.0, f64::max);
        assert!(
            most < bound,
            "{most} of an average server's load, bound {bound}; ran {ran}, age {age}"
        );
    }
}

// Guards against a bound that leaves a server without work while it warms up: it warms up by it.
#[test]
fn server_that_warms_up_is_given_work_all_the_same() {
    let given = sent("popular0", 4_000_000, 5_000_000);
    assert!(given > 0.1, "{given} of an average server's load");
}

/// A fleet, and what its clients request.
#[derive(Clone, Copy, Debug)]
struct Case {
    nodes: u64,
    servers: usize,
    /// Between two requests of a node.
    every: Micros,
    /// One request in so many is for a key whose home warms up.
    popular: u64,
    /// How long the nodes ran before those became popular, and how old the server was then.
    ran: Micros,
    age: Micros,
}

impl Case {
    /// What the settings allow the server within the overload window that ends then, counted from what an
    /// average one is sent.
    fn budget(&self, now: Micros) -> f64 {
        let set = settings();
        let age = now - self.ran + self.age;
        let grown =
            set.cold_capacity + (1.0 - set.cold_capacity) * age as f64 / set.warm_up_time as f64;
        let mean = (self.nodes * set.overload_window as u64) as f64
            / self.every as f64
            / self.servers as f64;
        set.overload_multiple * grown.min(1.0) * mean
    }

    /// When all nodes together sent to the server, for some seconds after the keys became popular.
    fn sent(&self, seconds: i64) -> Vec<Micros> {
        let mut warm = one_of(self.nodes, self.servers, 0, None);
        let homes = (0..)
            .map(|n| (format!("popular{n}"), n))
            .map(|(key, n)| (send_request(&mut warm, 0, n, &key), key));
        let cold: ServerId = "srv1".into();
        let keys: Vec<String> = homes
            .filter(|(to, _)| *to == Some(cold.clone()))
            .map(|(_, k)| k)
            .take(12)
            .collect();
        let mut sent = Vec::new();
        for number in 0..self.nodes {
            let mut node = one_of(
                self.nodes,
                self.servers,
                number,
                Some((&cold, self.ran - self.age)),
            );
            let (mut now, mut n) = ((number as Micros * self.every) / self.nodes as Micros, 0u64);
            while now < self.ran + seconds * 1_000_000 {
                n += 1;
                let popular = now >= self.ran && n.is_multiple_of(self.popular);
                let other = format!("o{number}-{n}");
                let key = &keys[((n / self.popular) as usize + number as usize) % keys.len()];
                let to = send_request(&mut node, now, n, if popular { key } else { &other });
                if to.as_ref() == Some(&cold) && now >= self.ran {
                    sent.push(now);
                }
                now += self.every;
            }
        }
        sent.sort_unstable();
        sent
    }

    /// The most sent within the overload window, beside what is allowed: the budget and a margin for chance.
    fn most(&self, seconds: i64) -> (usize, f64) {
        let (sent, fall) = (self.sent(seconds), settings().overload_window);
        let within = |end: &Micros| {
            sent.iter()
                .filter(|at| (end - fall + 1..=*end).contains(*at))
                .count()
        };
        let over = |end: &Micros| {
            let budget = self.budget(*end);
            (within(end), budget + 2.0 * budget.sqrt() + 2.0)
        };
        let all = sent.iter().map(over);
        all.max_by(|a, b| (a.0 as f64 / a.1).total_cmp(&(b.0 as f64 / b.1)))
            .unwrap_or((0, 0.0))
    }
}

fn holds(case: Case) {
    let (sum, allowed) = case.most(5);
    assert!(
        (sum as f64) <= allowed,
        "{sum} within the time to a fall, {allowed:.1} allowed: {case:?}"
    );
}

// Seen to fail: each node may send one, whatever its quota, so that thirty send thirty.
#[test]
fn thirty_nodes_with_a_request_each_in_the_overload_window_stay_within_the_budget() {
    for (every, popular) in [(2_000_000, 1), (1_000_000, 2), (200_000, 2)] {
        for (ran, age) in [(0, 500_000), (8_000_000, 500_000), (8_000_000, 7_000_000)] {
            holds(Case {
                nodes: 30,
                servers: 40,
                every,
                popular,
                ran,
                age,
            });
        }
    }
}

#[test]
fn three_hundred_quiet_nodes_stay_within_the_budget() {
    for popular in [2, 6] {
        let case = Case {
            nodes: 300,
            servers: 150,
            every: EVERY,
            popular,
            ran: 4_000_000,
            age: 1_000_000,
        };
        holds(case);
        holds(Case {
            age: 11_000_000,
            ..case
        });
    }
}

#[test]
fn nodes_that_have_all_just_started_stay_within_the_budget() {
    for (nodes, servers, every) in [
        (300, 150, EVERY),
        (100, 40, 200_000),
        (30, 40, 200_000),
        (20, 10, 50_000),
    ] {
        holds(Case {
            nodes,
            servers,
            every,
            popular: 2,
            ran: 0,
            age: 2_000_000,
        });
    }
}

#[test]
fn twenty_nodes_with_some_requests_each_stay_within_the_budget() {
    for (every, age) in [
        (100_000, 1_000_000),
        (50_000, 4_000_000),
        (20_000, 1_000_000),
    ] {
        holds(Case {
            nodes: 20,
            servers: 10,
            every,
            popular: 2,
            ran: 4_000_000,
            age,
        });
    }
}

// Guards against a bound that leaves a server that warms up without work at nodes that could fill it.
#[test]
fn three_busy_nodes_use_the_budget() {
    let case = Case {
        nodes: 3,
        servers: 10,
        every: 5_000,
        popular: 10,
        ran: 4_000_000,
        age: 2_000_000,
    };
    holds(case);
    let sent = case
        .sent(4)
        .into_iter()
        .filter(|at| *at >= case.ran + 2_000_000)
        .count();
    let able = case.budget(case.ran + 3_000_000) / settings().overload_multiple;
    assert!(
        sent as f64 > 0.8 * able,
        "{sent} sent, {able:.0} are what it bears"
    );
}
