//! The model, one event at a time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet, VecDeque};
use std::ops::Range;
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp1, Zipf};
use sloewick_decision::api::*;
use sloewick_decision::Balancer;

/// What is played. Times are microseconds, work is for a core of speed 1.
#[derive(Clone, Debug)]
pub struct Site {
    /// Nodes, each with a decision module of its own.
    pub nodes: usize,
    /// Servers with a core each.
    pub servers: usize,
    /// Requests a second at all nodes together.
    pub rate: f64,
    /// Number of keys.
    pub keys: usize,
    /// Exponent of the keys' popularity.
    pub zipf: f64,
    /// Share of writes.
    pub writes: f64,
    /// Mean work of a request.
    pub work: f64,
    /// Work of a handshake.
    pub handshake: f64,
    /// Requests that wait at a server at the most.
    pub queue: usize,
    /// Fetches that a server has out at the most.
    pub fetches: usize,
    /// How long a server waits for a fetch.
    pub fetch_time: Micros,
    /// Fetches and writes a second that the origin answers.
    pub origin_rate: f64,
    /// How long the origin takes for one, without waiting.
    pub origin_time: Micros,
    /// Fetches that wait at the origin at the most.
    pub origin_queue: usize,
    /// When the origin is slower.
    pub slow: Range<Micros>,
    /// How many times slower it is then.
    pub slower: f64,
    /// Share of refused requests whose clients come again, once.
    pub again: f64,
    /// When the least popular key is asked for by this share of all requests.
    pub hot: Option<(Range<Micros>, f64)>,
    /// Servers that fail whatever they are asked, from the first on.
    pub bad: usize,
    /// Nodes that forget everything at this time, as after a restart: so many of them.
    pub restarted: Option<(Micros, usize)>,
}

impl Default for Site {
    /// A fleet that bears its load twice over, and an origin that bears twice its usual fetches.
    fn default() -> Site {
        Site {
            nodes: 60,
            servers: 40,
            rate: 1_000.0,
            keys: 3_000,
            zipf: 1.0,
            writes: 0.08,
            work: 15_000.0,
            handshake: 2_500.0,
            queue: 20,
            fetches: 8,
            fetch_time: 250_000,
            origin_rate: 700.0,
            origin_time: 25_000,
            origin_queue: 1_500,
            slow: 0..0,
            slower: 1.0,
            again: 0.4,
            hot: None,
            bad: 0,
            restarted: None,
        }
    }
}

/// How the model departs from the module's decisions, for comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arm {
    /// As the module decides.
    Module,
    /// Every attempt ends with its request: connections are closed at the final answer, whatever is being fetched.
    Dropping,
    /// No module: one policy that sees every queue, every cache and the origin at once, and sends only what it takes to be
    /// answered in time. No real one can; it says how much could have been served.
    Seeing,
}

/// What was counted in one second.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Second {
    /// First tries of clients.
    pub offered: u32,
    /// Requests answered within their aim.
    pub served: u32,
    /// Of them, fetched or written at the origin.
    pub from_origin: u32,
    /// Requests refused or failed.
    pub refused: u32,
    /// Worth of what was offered and of what was served within its aim: a write is worth ten reads.
    pub worth_offered: u32,
    /// Worth of what was served within its aim.
    pub worth_served: u32,
    /// Attempts sent.
    pub attempts: u32,
    /// Fetches and writes that the origin finished and nobody waited for any more.
    pub for_nobody: u32,
}

const READ: usize = 0;
const WRITE: usize = 1;
const WORTH: [u32; 2] = [1, 10];
const AIMS: [Micros; 2] = [150_000, 500_000];
const DEADLINES: [Micros; 2] = [400_000, 2_000_000];
/// The origin's queue, as a part of a write's aim, above which the policy that sees all fetches nothing.
const SPARE: f64 = 0.1;
/// Until a client comes again.
const COMES_AGAIN: Micros = 60_000;

/// An attempt, by its place in `Model::attempts`.
type Job = usize;

#[derive(Debug)]
enum Due {
    Arrival,
    Again(usize),
    Timer(usize, u64),
    /// A server's core is done with an attempt; stale if its run has another number.
    Worked(usize, u64),
    /// An attempt's time is up at its node.
    Over(Job),
    /// A server no longer waits for a fetch.
    FetchOver(Job),
    /// The origin is done with the first that waits, and its answer comes.
    OriginDone,
    Fetched(Job),
}

#[derive(Clone, Copy, PartialEq)]
enum At {
    Queue,
    Core,
    Origin,
    Done,
}

struct Attempt {
    node: usize,
    request: RequestId,
    number: usize,
    server: usize,
    key: usize,
    write: bool,
    sent: Micros,
    at: At,
    /// Its node still waits.
    awaited: bool,
}

#[derive(Default)]
struct Server {
    queue: VecDeque<Job>,
    /// What the core works on, and the number of this run.
    core: Option<Job>,
    run: u64,
    fetches: usize,
    kept: HashSet<usize>,
    /// Idle connections of each node.
    idle: HashMap<usize, usize>,
}

struct Open {
    node: usize,
    write: bool,
    key: usize,
    arrived: Micros,
    first: bool,
    attempts: Vec<Job>,
}

/// A fleet under way.
pub struct Model {
    site: Site,
    arm: Arm,
    rng: StdRng,
    zipf: Zipf<f64>,
    now: Micros,
    due: BinaryHeap<Reverse<(Micros, u64)>>,
    events: HashMap<u64, Due>,
    serial: u64,
    nodes: Vec<Balancer>,
    servers: Vec<Server>,
    attempts: Vec<Attempt>,
    open: HashMap<RequestId, Open>,
    /// What the origin was asked and has not done yet, in order.
    origin: VecDeque<Job>,
    /// By second.
    pub seconds: Vec<Second>,
    /// Requests given up, by the decision that did.
    pub why: BTreeMap<&'static str, u32>,
    /// Rules that were broken: a request with two final answers, or with none in its time.
    pub broken: u32,
}

impl Model {
    /// A fleet whose caches hold all keys.
    pub fn new(site: Site, arm: Arm, seed: u64) -> Model {
        let set = site.settings();
        let entry = |i: usize| Endpoint {
            server: format!("s{i}").into(),
            weight: 1.0,
            zone: None,
            kind: None,
            state: ServerState::Live,
            started: None,
            cell: None,
        };
        let list: Arc<[Endpoint]> = (0..site.servers).map(entry).collect();
        let numbered = |n: usize| Settings {
            node_number: Some(n as u64),
            ..set.clone()
        };
        let node = |n: usize| {
            let mut node =
                Balancer::new(numbered(n), seed << 16 | n as u64, 0).expect("valid settings");
            node.handle(
                0,
                Event::EndpointList(EndpointListKind::Full, list.clone()),
                &mut Vec::new(),
            );
            node
        };
        let server = |_| Server {
            kept: (0..site.keys).collect(),
            ..Server::default()
        };
        let mut model = Model {
            nodes: (0..site.nodes).map(node).collect(),
            servers: (0..site.servers).map(server).collect(),
            rng: StdRng::seed_from_u64(seed),
            zipf: Zipf::new(site.keys as f64, site.zipf).expect("a positive exponent"),
            now: 0,
            due: BinaryHeap::new(),
            events: HashMap::new(),
            serial: 0,
            attempts: Vec::new(),
            open: HashMap::new(),
            origin: VecDeque::new(),
            seconds: Vec::new(),
            why: BTreeMap::new(),
            broken: 0,
            site,
            arm,
        };
        model.plan(0, Due::Arrival);
        if let Some((at, _)) = model.site.restarted {
            model.plan(at, Due::Timer(usize::MAX, 0));
        }
        model
    }

    /// Plays so many seconds; share of the worth that was served in time, by second. It may lie above
    /// one where clients come again in another second than before.
    pub fn play(&mut self, seconds: usize) -> Vec<f64> {
        let end = seconds as Micros * 1_000_000;
        while let Some(Reverse((at, id))) = self.due.peek().copied().filter(|due| due.0 .0 < end) {
            self.due.pop();
            self.now = at;
            if let Some(due) = self.events.remove(&id) {
                self.happen(due);
            }
        }
        self.seconds.resize(seconds, Second::default());
        self.seconds
            .iter()
            .map(|s| f64::from(s.worth_served) / f64::from(s.worth_offered.max(1)))
            .collect()
    }

    fn plan(&mut self, delay: Micros, due: Due) {
        self.serial += 1;
        self.events.insert(self.serial, due);
        self.due
            .push(Reverse((self.now + delay.max(0), self.serial)));
    }

    fn second(&mut self) -> &mut Second {
        let at = (self.now / 1_000_000) as usize;
        if self.seconds.len() <= at {
            self.seconds.resize(at + 1, Second::default());
        }
        &mut self.seconds[at]
    }

    fn exp(&mut self, mean: f64) -> Micros {
        let drawn: f64 = Exp1.sample(&mut self.rng);
        (drawn * mean) as Micros
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Arrival => {
                let gap = self.exp(1e6 / self.site.rate);
                self.plan(gap, Due::Arrival);
                let mut key = self.zipf.sample(&mut self.rng) as usize - 1;
                if let Some((_, share)) = self
                    .site
                    .hot
                    .as_ref()
                    .filter(|(when, _)| when.contains(&self.now))
                {
                    if self.rng.random_bool(*share) {
                        key = self.site.keys - 1;
                    }
                }
                let node = self.rng.random_range(0..self.site.nodes);
                let write = self.rng.random_bool(self.site.writes);
                let second = self.second();
                second.offered += 1;
                second.worth_offered += WORTH[usize::from(write)];
                self.ask(node, key, write, true);
            }
            Due::Again(key) => {
                let node = self.rng.random_range(0..self.site.nodes);
                self.ask(node, key, false, false);
            }
            Due::Timer(usize::MAX, _) => self.restart(),
            Due::Timer(node, token) => self.give(node, Event::TimerExpired(token)),
            Due::Worked(server, run) if self.servers[server].run == run => {
                if let Some(job) = self.servers[server].core.take() {
                    self.worked(job);
                }
                self.next(server);
            }
            Due::Worked(..) => {}
            Due::Over(job) => {
                if self.attempts[job].awaited {
                    self.withdraw(job);
                    self.outcome(job, Status::Timeout, None);
                }
            }
            Due::FetchOver(job) => {
                if self.attempts[job].at == At::Origin {
                    self.attempts[job].at = At::Done;
                    self.servers[self.attempts[job].server].fetches -= 1;
                    self.answer(job, Status::Error, None);
                }
            }
            Due::OriginDone => {
                if let Some(job) = self.origin.pop_front() {
                    self.plan(self.site.origin_time, Due::Fetched(job));
                }
                if !self.origin.is_empty() {
                    self.origin_begins();
                }
            }
            Due::Fetched(job) => self.fetched(job),
        }
    }

    fn restart(&mut self) {
        let Some((_, nodes)) = self.site.restarted else {
            return;
        };
        let fresh = Model::new(
            Site {
                restarted: None,
                ..self.site.clone()
            },
            self.arm,
            1 << 32 | 7,
        );
        for (n, mut node) in fresh.nodes.into_iter().enumerate().take(nodes) {
            // What it held is lost with it; its connections end.
            let gone = |attempt: &Attempt| attempt.node == n && attempt.awaited;
            let jobs: Vec<Job> = (0..self.attempts.len())
                .filter(|job| gone(&self.attempts[*job]))
                .collect();
            jobs.into_iter().for_each(|job| self.withdraw(job));
            self.open.retain(|_, open| open.node != n);
            self.events
                .retain(|_, due| !matches!(due, Due::Timer(of, _) if *of == n));
            std::mem::swap(&mut self.nodes[n], &mut node);
        }
    }

    fn ask(&mut self, node: usize, key: usize, write: bool, first: bool) {
        self.serial += 1;
        let id: RequestId = format!("r{}", self.serial).into();
        let class = if write { WRITE } else { READ };
        let open = Open {
            node,
            write,
            key,
            arrived: self.now,
            first,
            attempts: Vec::new(),
        };
        self.open.insert(id.clone(), open);
        let request = Request {
            id,
            class,
            tenant: None,
            key: Some(format!("k{key}").into()),
            budget: DEADLINES[class],
            work: None,
            size: None,
            retry: !first,
            write,
        };
        if self.arm == Arm::Seeing {
            return self.see(node, request.id, key, write);
        }
        self.give(node, Event::Request(request));
    }

    /// Decides with the whole state in view: hits go to the emptiest server that keeps the key; what needs the origin goes
    /// where it is answered in time, fetches only while the origin has time to spare for writes, which are worth more.
    fn see(&mut self, node: usize, id: RequestId, key: usize, write: bool) {
        let work = self.site.work;
        let wait = |s: &Server| (s.queue.len() + usize::from(s.core.is_some())) as f64 * work;
        let emptiest = |servers: &mut dyn Iterator<Item = (usize, &Server)>| {
            servers
                .map(|(i, s)| (i, wait(s)))
                .min_by(|a, b| a.1.total_cmp(&b.1))
        };
        let sound = || self.servers.iter().enumerate().skip(self.site.bad);
        let latency_objective = AIMS[usize::from(write)] as f64 - 2.0 * work;
        let keeper = (!write)
            .then(|| emptiest(&mut sound().filter(|(_, s)| s.kept.contains(&key))))
            .flatten();
        let slow = if self.site.slow.contains(&self.now) {
            self.site.slower
        } else {
            1.0
        };
        let behind = self.origin.len() as f64 * 1e6 / self.site.origin_rate * slow;
        let at_origin = behind + self.site.origin_time as f64;
        let free = emptiest(&mut sound().filter(|(_, s)| s.fetches < self.site.fetches));
        let fetcher = free.filter(|(_, wait)| {
            let spare = write || behind < SPARE * AIMS[WRITE] as f64;
            spare && wait + at_origin < latency_objective.min(self.site.fetch_time as f64)
        });
        match keeper
            .filter(|(_, wait)| *wait < latency_objective)
            .or(fetcher)
        {
            Some((server, _)) => self.send(node, id, &format!("s{server}").into(), None),
            None => self.given_up(&id),
        }
    }

    fn give(&mut self, node: usize, event: Event) {
        if self.arm == Arm::Seeing {
            return;
        }
        let mut actions = Vec::new();
        self.nodes[node].handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Send {
                    request,
                    server,
                    timeout,
                } => self.send(node, request, &server, timeout),
                Action::Reject { request, .. } | Action::Fail { request } => {
                    *self
                        .why
                        .entry(self.nodes[node].decision_reason())
                        .or_default() += 1;
                    self.given_up(&request);
                }
                Action::Cancel { request, attempt } => {
                    let job = self
                        .open
                        .get(&request)
                        .and_then(|open| open.attempts.get(attempt));
                    let job = job.copied().or_else(|| self.closed(&request, attempt));
                    job.into_iter().for_each(|job| self.withdraw(job));
                }
                Action::SetTimer { delay, token } => self.plan(delay, Due::Timer(node, token)),
                _ => {}
            }
        }
    }

    /// An attempt of a request that has its final answer; it is among the last ones.
    fn closed(&self, request: &RequestId, number: usize) -> Option<Job> {
        let from = self.attempts.len().saturating_sub(20_000);
        let found = self.attempts[from..]
            .iter()
            .rposition(|a| a.request == *request && a.number == number);
        found.map(|at| from + at)
    }

    fn given_up(&mut self, request: &RequestId) {
        let Some(open) = self.open.remove(request) else {
            self.broken += 1;
            return;
        };
        self.second().refused += 1;
        if self.now > open.arrived + DEADLINES[usize::from(open.write)] {
            self.broken += 1;
        }
        if self.arm == Arm::Dropping {
            open.attempts.into_iter().for_each(|job| self.withdraw(job));
        }
        if open.first && !open.write && self.rng.random_bool(self.site.again) {
            self.plan(COMES_AGAIN, Due::Again(open.key));
        }
    }

    fn send(
        &mut self,
        node: usize,
        request: RequestId,
        server: &ServerId,
        timeout: Option<Micros>,
    ) {
        let server: usize = server[1..].parse().expect("servers are numbered");
        let Some(open) = self.open.get_mut(&request) else {
            self.broken += 1;
            return;
        };
        let (key, write) = (open.key, open.write);
        let left = open.arrived + DEADLINES[usize::from(write)] - self.now;
        let job = self.attempts.len();
        let number = open.attempts.len();
        open.attempts.push(job);
        self.second().attempts += 1;
        let attempt = Attempt {
            node,
            request,
            number,
            server,
            key,
            write,
            sent: self.now,
            at: At::Queue,
            awaited: true,
        };
        self.attempts.push(attempt);
        self.plan(timeout.unwrap_or(left).min(left), Due::Over(job));
        if self.servers[server].queue.len() >= self.site.queue {
            self.attempts[job].at = At::Done;
            return self.answer(job, Status::Rejected, None);
        }
        self.servers[server].queue.push_back(job);
        if self.servers[server].core.is_none() {
            self.next(server);
        }
    }

    /// A server's core takes what waits first.
    fn next(&mut self, server: usize) {
        let Some(job) = self.servers[server].queue.pop_front() else {
            return;
        };
        let node = self.attempts[job].node;
        self.attempts[job].at = At::Core;
        let mut work = self.exp(self.site.work);
        let idle = self.servers[server].idle.entry(node).or_default();
        if *idle > 0 {
            *idle -= 1;
        } else {
            work += self.site.handshake as Micros;
        }
        let s = &mut self.servers[server];
        s.run += 1;
        s.core = Some(job);
        let run = s.run;
        self.plan(work, Due::Worked(server, run));
    }

    fn worked(&mut self, job: Job) {
        let Attempt {
            server, key, write, ..
        } = self.attempts[job];
        if server < self.site.bad {
            self.attempts[job].at = At::Done;
            return self.answer(job, Status::Error, None);
        }
        if !write && self.servers[server].kept.contains(&key) {
            self.attempts[job].at = At::Done;
            return self.answer(job, Status::Ok, Some(CacheResult::Hit));
        }
        if self.servers[server].fetches >= self.site.fetches {
            self.attempts[job].at = At::Done;
            return self.answer(job, Status::Rejected, None);
        }
        if self.origin.len() >= self.site.origin_queue {
            self.attempts[job].at = At::Done;
            return self.answer(job, Status::Error, None);
        }
        self.attempts[job].at = At::Origin;
        self.servers[server].fetches += 1;
        self.origin.push_back(job);
        if self.origin.len() == 1 {
            self.origin_begins();
        }
        self.plan(self.site.fetch_time, Due::FetchOver(job));
    }

    /// The origin takes what waits first. It goes on with what nobody waits for any more.
    fn origin_begins(&mut self) {
        let slow = if self.site.slow.contains(&self.now) {
            self.site.slower
        } else {
            1.0
        };
        let each = self.exp(1e6 / self.site.origin_rate * slow);
        self.plan(each, Due::OriginDone);
    }

    fn fetched(&mut self, job: Job) {
        let Attempt {
            server,
            key,
            write,
            at,
            ..
        } = self.attempts[job];
        if write {
            self.servers.iter_mut().for_each(|s| {
                s.kept.remove(&key);
            });
        }
        if at != At::Origin {
            self.second().for_nobody += 1;
            return;
        }
        self.attempts[job].at = At::Done;
        self.servers[server].fetches -= 1;
        if !write {
            self.servers[server].kept.insert(key);
        }
        self.answer(job, Status::Ok, Some(CacheResult::Miss));
    }

    /// The connection of an attempt is closed: what waits is dropped, work stops, a fetch fills no cache.
    fn withdraw(&mut self, job: Job) {
        let Attempt { server, at, .. } = self.attempts[job];
        self.attempts[job].awaited = false;
        match at {
            At::Queue => self.servers[server].queue.retain(|waiting| *waiting != job),
            At::Core => {
                self.servers[server].core = None;
                self.servers[server].run += 1;
                self.next(server);
            }
            At::Origin => self.servers[server].fetches -= 1,
            At::Done => {}
        }
        self.attempts[job].at = At::Done;
    }

    /// A server answers; the connection stays.
    fn answer(&mut self, job: Job, status: Status, note: Option<CacheResult>) {
        if !std::mem::replace(&mut self.attempts[job].awaited, false) {
            return;
        }
        let Attempt { server, node, .. } = self.attempts[job];
        *self.servers[server].idle.entry(node).or_default() += 1;
        self.outcome(job, status, note);
    }

    fn outcome(&mut self, job: Job, status: Status, note: Option<CacheResult>) {
        let Attempt {
            node,
            ref request,
            number,
            server,
            sent,
            ..
        } = self.attempts[job];
        let request = request.clone();
        let mut closed = false;
        if status == Status::Ok {
            if let Some(open) = self.open.remove(&request) {
                closed = true;
                let in_time = self.now - open.arrived <= AIMS[usize::from(open.write)];
                let second = self.second();
                second.served += u32::from(in_time);
                second.worth_served += if in_time {
                    WORTH[usize::from(open.write)]
                } else {
                    0
                };
                second.from_origin += u32::from(in_time && note == Some(CacheResult::Miss));
            }
        }
        if self.arm == Arm::Seeing {
            if !closed && self.open.contains_key(&request) {
                self.given_up(&request);
            }
            return;
        }
        let event = Event::AttemptEnded(AttemptOutcome {
            request,
            server: format!("s{server}").into(),
            attempt: number,
            latency: self.now - sent,
            status,
            closed,
            cache_result: note,
            load: None,
        });
        self.give(node, event);
    }
}

impl Site {
    /// What its nodes are told.
    pub fn settings(&self) -> Settings {
        let class = |class: usize, priority_weight: f64, idempotency: Idempotency| Class {
            latency_objective: AIMS[class],
            objective_per_work: 0.0,
            deadline: DEADLINES[class],
            idempotency,
            deduplication_scope: DeduplicationScope::All,
            deduplication_window: 10_000_000,
            priority_weight,
            late_weight: 0.0,
            stream: false,
        };
        Settings {
            classes: vec![
                class(READ, 1.0, Idempotency::Idempotent),
                class(WRITE, 10.0, Idempotency::Keyed),
            ],
            tenants: vec![],
            nodes: self.nodes,
            node_number: None,
            zone: None,
            poll: false,
            poll_within: 0,
            mode: CacheMode::ReadThrough,
            origin_kind: None,
            origin_overload_multiple: 0.0,
            weights: WeightMeaning::None,
            weight_by_work: false,
            over_quota_weight: 0.1,
            tick: 2_000,
            max_attempts: 5,
            max_in_flight: 1_000,
            cancel: true,
            probes: false,
            hedging: true,
            max_retry_after: 1_000_000,
            connect_timeout: 75_000,
            drain_grace: 2_000_000,
            cold_capacity: 0.2,
            warm_up_time: 20_000_000,
            overload_multiple: 2.5,
            overload_window: 2_000_000,
            answer_slack: 8_000,
            price_cross_zone: 0.0,
            price_origin: 0.0,
        }
    }
}
