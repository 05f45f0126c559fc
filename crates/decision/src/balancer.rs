//! Every decision of sloewick. Its types are in `src/interface.rs`.
//!
//! Map: constants; Server, Line (DEMB: window, cuts, blending, splicing, dealing); Pace (what classes and
//! kinds of machine take); Held (a request, its attempts, what the rules allow for it); Balancer (events,
//! routing, health, retries and hedges, refusals, the list).

use std::collections::{BTreeMap, HashMap, VecDeque};

use crate::api::*;
use crate::hash::{hash, mix, unit_interval};
use crate::latency::Pace;
use crate::origin_health::{Origin, RISE};
use crate::outlier_detection::{rendezvous, Asked, Outliers, TRIAL};
use crate::rng::Rng;
use crate::slow_start::Fleet;
use crate::tenant_quota::Quotas;
use crate::zone_health::Fates;
use in_flight::{Attempt, Held};

pub mod checkpoint;
mod in_flight;
mod membership;
mod server_health;
mod status;
mod zones;

/// Window mass for each squared server: the spread of a cut, sqrt(1/4WS), is then under 1/5 of a range.
const WINDOW_PER_SQUARE: f64 = 8.0;
/// Real arrivals kept at most, whatever the window (memory and sorting time at large fleets).
const WINDOW_KEPT: usize = 4096;
/// Arrivals between two updates of the cuts (UI), as a part of the window kept, and at least.
const UPDATE_PART: usize = 32;
const UPDATE_LEAST: usize = 16;
/// Blending time of the cuts, as a part of the warm-up time: cuts move slower than caches fill.
const BLEND_PART: f64 = 0.25;
/// Arrivals over which a key's share is counted for dealing (a short span sees a new hot key soon, a longer
/// one, in servers, sees those just over a range), and the fewest sightings that make it hot.
const HOT_SPAN: f64 = 64.0;
const WARM_SPAN: f64 = 4.0;
const HOT_SEEN: f64 = 4.0;
/// Retry budget: tokens for each request, and most saved up; share of second attempts answered in time at
/// which it is whole, and at which it is least; that least part.
const RETRY_RATE: f64 = 0.2;
const RETRY_SAVED: f64 = 10.0;
const AGAIN_GOOD: f64 = 0.9;
const AGAIN_BAD: f64 = 0.5;
const WORTH_LEAST: f64 = 0.1;
/// Part of the patience within which an error is the server's own: nothing has waited for the origin.
const QUICK_PART: f64 = 0.5;
/// Least cost of a second attempt.
const COST_LEAST: f64 = 0.1;
/// First pause of a sick server in connection time-outs, and the longest as a part of the warm-up time.
const SICK_PAUSE: i64 = 10;
/// Finished requests over which lateness is averaged; lateness at which a node counts as overloaded.
const LATE_SPAN: f64 = 64.0;
const LATE_MUCH: f64 = 0.25;
const LATE_SOME: f64 = 0.2;
/// Odds against chance at which failures in a row make a server sick, and the least part of attempts taken
/// to be slow by chance.
const SICK_ODDS: f64 = 1000.0;
const SLOW_LEAST: f64 = 0.02;
/// Part of what learned speeds have moved the cuts that the next server gives back.
const GIVEN_BACK: f64 = 0.3;
/// Least part of its range that an overrun server keeps, and the part that counts as sound.
const PASS_LEAST: f64 = 0.1;
const PASS_SOUND: f64 = 0.9;
/// Attempts over which a server's failures are averaged.
const FAIL_SPAN: f64 = 16.0;
/// Keys remembered as served lately.
const SERVED_KEPT: usize = 8192;
/// A zone has a line of its own when crossing for every request not at home costs more than this.
const CROSSING_DEAR: f64 = 0.05;
/// And only if it has this many servers: one alone would leave its keys without a neighbour.
const ZONE_LEAST: usize = 2;
/// Log lines of an instance.
const LOG_LINES: u32 = 24;

/// A server on the line, or an origin entry.
struct Server {
    entry: Endpoint,
    order: u64,
    /// Right edge of its range.
    edge: f64,
    /// Evidence of failures since its last answer: logarithm of the odds against chance; end and length of
    /// its pause when judged sick; a trial is out until.
    streak: f64,
    sick_until: Micros,
    pause: Micros,
    trial_until: Micros,
    /// Part of its range that it answers in time: falls with attempts that outlast their patience.
    pass: f64,
    /// Share of its attempts for keys served lately that failed or were given up.
    failing: f64,
    /// Attempts of this node that are out at it.
    out: u32,
    /// When it was sent attempts while cold, within the time to a fall: they use up this node's quota.
    used: VecDeque<Micros>,
    /// When its zone was let in again after it was lost.
    back: Option<Micros>,
}

impl Server {
    fn new(entry: Endpoint) -> Server {
        let order = hash(&entry.server);
        Server {
            entry,
            order,
            edge: 1.0,
            streak: 0.0,
            sick_until: 0,
            pause: 0,
            trial_until: 0,
            pass: 1.0,
            failing: 0.0,
            out: 0,
            used: VecDeque::new(),
            back: None,
        }
    }

    fn sick(&self) -> bool {
        self.pause > 0
    }
}

/// How often a key was seen over the short and the longer span, and whose turn it is.
struct Seen {
    counts: [f64; 2],
    at: u64,
    turn: usize,
}

impl Seen {
    fn now(&self, spans: [f64; 2], arrivals: u64) -> [f64; 2] {
        let age = (arrivals - self.at) as f64;
        [
            self.counts[0] * (-age / spans[0]).exp(),
            self.counts[1] * (-age / spans[1]).exp(),
        ]
    }
}

/// DEMB: the servers in their shared order, the window and the cuts.
#[derive(Default)]
struct Line {
    servers: Vec<Server>,
    index: HashMap<ServerId, usize>,
    window: VecDeque<f64>,
    seen: HashMap<u64, Seen>,
    arrivals: u64,
    since_update: usize,
    updates: f64,
    updated: Micros,
}

impl Line {
    fn window_size(&self) -> f64 {
        let n = self.servers.len() as f64;
        (WINDOW_PER_SQUARE * n * n).max(1.0)
    }

    /// Equal counts by weight over the window: real points, and evenly spread mass for what they have not
    /// displaced yet. That mass guards against cuts drawn from noise at quiet or restarted nodes.
    fn current_cuts(&self, weights: &[f64]) -> Vec<f64> {
        let mut points: Vec<f64> = self.window.iter().copied().collect();
        points.sort_by(f64::total_cmp);
        let even = (self.window_size() - points.len() as f64).max(0.0);
        equal_counts(&points, even, weights)
    }

    fn update(&mut self, weights: &[f64], alpha: f64) {
        let cuts = self.current_cuts(weights);
        for (server, cut) in self.servers.iter_mut().zip(cuts) {
            server.edge += alpha * (cut - server.edge);
        }
        if let Some(last) = self.servers.last_mut() {
            last.edge = 1.0;
        }
        self.since_update = 0;
    }

    fn arrive(&mut self, at: f64, key: Option<u64>) {
        let most = WINDOW_KEPT.min(self.window_size() as usize).max(1);
        while self.window.len() >= most {
            self.window.pop_front();
        }
        self.window.push_back(at);
        self.arrivals += 1;
        self.since_update += 1;
        let Some(key) = key else { return };
        let (now, spans) = (self.arrivals, self.spans());
        let fresh = || Seen {
            counts: [0.0; 2],
            at: now,
            turn: (now % 64) as usize,
        };
        let seen = self.seen.entry(key).or_insert_with(fresh);
        seen.counts = seen.now(spans, now).map(|c| c + 1.0);
        seen.at = now;
        if self.seen.len() > 4 * spans[1] as usize {
            self.seen
                .retain(|_, s| ((now - s.at) as f64) < 2.0 * spans[1]);
        }
    }

    fn spans(&self) -> [f64; 2] {
        [
            HOT_SPAN,
            (WARM_SPAN * self.servers.len() as f64).max(HOT_SPAN),
        ]
    }

    fn deal_width(&self, key: u64) -> usize {
        let Some(seen) = self.seen.get(&key) else {
            return 1;
        };
        let (spans, n) = (self.spans(), self.servers.len() as f64);
        let counts = seen.now(spans, self.arrivals);
        let mut width = 1;
        for (count, span) in counts.into_iter().zip(spans) {
            if count >= HOT_SEEN {
                let filled = span * (1.0 - (-(self.arrivals as f64) / span).exp());
                width = width.max((count / filled.max(HOT_SPAN / 4.0) * n).ceil() as usize);
            }
        }
        width.clamp(1, self.servers.len().max(1))
    }

    fn home(&self, at: f64) -> usize {
        self.servers
            .partition_point(|s| s.edge < at)
            .min(self.servers.len().saturating_sub(1))
    }

    fn left_edge(&self, i: usize) -> f64 {
        if i == 0 {
            0.0
        } else {
            self.servers[i - 1].edge
        }
    }

    fn join(&mut self, mut server: Server) {
        let p = self
            .servers
            .partition_point(|s| (s.order, &s.entry.server) < (server.order, &server.entry.server));
        if p < self.servers.len() {
            let left = self.left_edge(p);
            server.edge = left + (self.servers[p].edge - left) / 3.0;
        }
        if p > 0 {
            let (start, last) = (self.left_edge(p - 1), p == self.servers.len());
            let third = (self.servers[p - 1].edge - start) / 3.0;
            self.servers[p - 1].edge -= if last { 1.5 * third } else { third };
        }
        self.servers.insert(p, server);
    }

    /// A leaver's range goes to its two neighbours.
    fn leave(&mut self, p: usize) {
        let left = self.left_edge(p);
        let gone = self.servers.remove(p);
        if p > 0 && p < self.servers.len() {
            self.servers[p - 1].edge = (left + gone.edge) / 2.0;
        } else if p > 0 {
            self.servers[p - 1].edge = 1.0;
        }
    }

    fn reindex(&mut self) {
        self.index = self
            .servers
            .iter()
            .enumerate()
            .map(|(i, s)| (s.entry.server.clone(), i))
            .collect();
    }
}

fn equal_counts(points: &[f64], even: f64, weights: &[f64]) -> Vec<f64> {
    let total: f64 = weights.iter().sum();
    let mass = even + points.len() as f64;
    let at = |k: usize| points.get(k).copied().unwrap_or(1.0);
    let before = |k: usize| if k == 0 { 0.0 } else { at(k - 1) };
    let (mut k, mut share) = (0, 0.0);
    let mut cuts = Vec::with_capacity(weights.len());
    for weight in weights {
        share += weight;
        let goal = mass * share / total;
        while k < points.len() && even * at(k) + (k as f64) + 1.0 <= goal + 1e-9 {
            k += 1;
        }
        let over = goal - even * at(k) - k as f64;
        // The neighbour of a point is another point or an evenly spread one, whichever is nearer.
        let gap = 1.0 / even.max(1e-9);
        cuts.push(if over <= 0.0 && even >= 1.0 {
            ((goal - k as f64) / even).clamp(before(k), at(k))
        } else if over < 0.5 {
            (before(k).max(at(k) - gap) + at(k)) / 2.0
        } else {
            (at(k) + at(k + 1).min(at(k) + gap)) / 2.0
        });
    }
    if let Some(last) = cuts.last_mut() {
        *last = 1.0;
    }
    cuts
}

/// Share of attempts for keys served lately that fail at the server in the middle. A jam behind the
/// origin holds all servers; a few that are slow or broken are no jam.
fn known_late(servers: &[Server]) -> f64 {
    let mut all: Vec<f64> = servers.iter().map(|s| s.failing).collect();
    let middle = all.len() / 2;
    if all.is_empty() {
        return 0.0;
    }
    *all.select_nth_unstable_by(middle, f64::total_cmp).1
}

/// Where a chosen server stands.
#[derive(Clone, Copy, PartialEq)]
enum Place {
    Line,
    Far,
    Origin,
}

/// Timer purposes, in the two low bits of a token.
const END: u64 = 0;
const HEDGE: u64 = 1;
const LIST: u64 = 2;
const ZONE: u64 = 3;

/// The decisions of one node.
pub struct Balancer {
    set: Settings,
    rng: Rng,
    line: Line,
    /// Servers of other zones, where crossing is dear: second choices only.
    far: Line,
    origins: Vec<Server>,
    pace: Pace,
    /// Who fails by itself, and what it keeps of its keys.
    outliers: Outliers,
    fleet: Fleet,
    /// Which zones are lost.
    fates: Fates,
    origin: Origin,
    held: BTreeMap<u64, Held>,
    ids: HashMap<RequestId, u64>,
    serial: u64,
    retry_tokens: f64,
    quotas: Quotas,
    late: f64,
    /// Share of second attempts that were answered in time.
    again: f64,
    /// Share of attempts at servers that were not answered within their patience.
    slow: f64,
    /// Share of attempts at servers whose connection broke.
    broken: f64,
    /// Keys served lately, likely still kept somewhere.
    served: HashMap<u64, Micros>,
    /// Failed list calls in a row; whether an ask is planned.
    list_failures: u32,
    list_planned: bool,
    logged: u32,
    weights: Vec<f64>,
    /// What an earlier process learned, and when, until a list tells which servers are there.
    recalled: Option<(Micros, checkpoint::Checkpoint)>,
    /// Which decision gave the last final answer.
    why: &'static str,
}

impl Balancer {
    /// A node's decisions from its settings, its seed and its clock.
    pub fn new(settings: Settings, seed: u64, now: Micros) -> Result<Balancer, InvalidSettings> {
        settings.validate()?;
        let pace = Pace::new(settings.classes.iter().map(|c| c.latency_objective));
        Ok(Balancer {
            rng: Rng(seed),
            line: Line::default(),
            far: Line::default(),
            origins: Vec::new(),
            pace,
            outliers: Outliers::default(),
            fleet: Fleet::new(&settings, seed),
            fates: Fates::default(),
            origin: Origin::new(settings.mode, now),
            held: BTreeMap::new(),
            ids: HashMap::new(),
            serial: 0,
            retry_tokens: RETRY_SAVED / 2.0,
            quotas: Quotas::new(&settings, now),
            late: 0.0,
            again: 1.0,
            slow: SLOW_LEAST,
            broken: 0.0,
            served: HashMap::new(),
            list_failures: 0,
            list_planned: false,
            logged: 0,
            weights: Vec::new(),
            recalled: None,
            why: "none",
            set: settings,
        })
    }

    /// Takes one event and appends what is to be done.
    pub fn handle(&mut self, now: Micros, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList(kind, entries) => self.on_servers(now, kind, &entries, actions),
            Event::EndpointListFailed => {
                self.list_failures += 1;
                self.plan_list(actions);
            }
            Event::Request(request) => self.on_request(now, request, actions),
            Event::ResponseStarted { request, .. } => {
                if let Some(held) = self
                    .ids
                    .get(&request)
                    .and_then(|serial| self.held.get_mut(serial))
                {
                    held.streaming = true;
                }
            }
            Event::AttemptEnded {
                request,
                server,
                attempt,
                latency,
                status,
                closed,
                note,
                load,
            } => {
                self.on_outcome(
                    now,
                    &request,
                    &server,
                    (attempt, latency, status, closed, note),
                    load,
                    actions,
                );
            }
            Event::StopAttempts(request) => self.on_no_more(now, &request, actions),
            Event::ClientDisconnected(request) => {
                if let Some(serial) = self.ids.get(&request).copied() {
                    self.cancel_pending(serial, false, actions);
                    self.forget(serial);
                }
            }
            Event::TimerExpired(token) => self.on_timer(now, token, actions),
            Event::ProbeEnded { server, status, .. } => {
                self.judge(now, &server, Some(status), actions)
            }
            Event::PeerMessage { .. } => {}
        }
    }

    /// Whether a server that a list has named gets nothing now: it is sick, or it drains.
    pub fn is_unavailable(&self, now: Micros, server: &ServerId) -> bool {
        let near = self.line.index.get(server).map(|i| self.up(now, *i));
        let far = self
            .far
            .index
            .get(server)
            .map(|i| now >= self.far.servers[*i].sick_until);
        near.or(far).is_none_or(|up| !up) && !self.origins.iter().any(|s| s.entry.server == *server)
    }

    fn weigh(&mut self) {
        let listed = self.set.weights == WeightMeaning::Size;
        let speeds: Vec<f64> = self
            .line
            .servers
            .iter()
            .map(|s| self.pace.speed(s.entry.kind))
            .collect();
        let mean = speeds.iter().sum::<f64>() / speeds.len().max(1) as f64;
        let mut moved = 0.0;
        self.weights.clear();
        for (server, speed) in self.line.servers.iter().zip(speeds) {
            let size = if listed {
                server.entry.weight.clamp(0.01, 1e6)
            } else {
                1.0
            };
            let part = (speed / mean - GIVEN_BACK * moved).max(0.2);
            moved += part - 1.0;
            self.weights.push(size * part);
        }
    }

    fn maybe_update(&mut self, now: Micros) {
        let due = (self.line.window.len() / UPDATE_PART).max(UPDATE_LEAST);
        if self.line.since_update >= due && !self.line.servers.is_empty() {
            self.weigh();
            let tau = (self.set.warm_up_time as f64 * BLEND_PART).max(1.0);
            self.line.updates += 1.0;
            let alpha = (1.0 - (-((now - self.line.updated) as f64) / tau).exp())
                .max(1.0 / self.line.updates);
            self.line.update(&self.weights, alpha);
            self.line.updated = now;
        }
    }

    // ---- requests ----

    fn on_request(&mut self, now: Micros, request: Request, actions: &mut Vec<Action>) {
        let class = &self.set.classes[request.class];
        let key = request.key.as_deref().map(hash);
        let at = key.map_or_else(|| self.rng.next(), unit_interval);
        let margin = 2 * self.set.tick;
        let latency_objective = (class.latency_objective as f64
            + class.objective_per_work * request.work.unwrap_or(0.0))
            as Micros;
        let useful = if class.late_weight > 0.0 {
            request.budget
        } else {
            latency_objective.min(class.deadline).min(request.budget)
        };
        let end = now + useful - margin;
        if self.fleet.look_due(now) {
            let working = self.line.servers.iter().filter(|s| !s.sick());
            let grown: Vec<f64> = working
                .map(|s| self.fleet.grown(s.started(now), now))
                .collect();
            self.fleet.look(now, grown.into_iter());
        }
        self.line.arrive(at, key);
        self.fleet.arrived(now);
        self.maybe_update(now);
        // Where second attempts are not answered either, they only add to the load that makes it so. A few go
        // all the same, or nobody would learn that they are answered again.
        let worth = ((self.again - AGAIN_BAD) / (AGAIN_GOOD - AGAIN_BAD)).clamp(WORTH_LEAST, 1.0);
        let refill = RETRY_RATE * worth * (1.0 - 2.0 * self.late).max(0.0);
        self.retry_tokens = (self.retry_tokens + refill).min(RETRY_SAVED);
        let over = self.quotas.over(now, request.tenant, self.line.arrivals);
        // Where servers tell a miss, only what goes to the origin is in doubt.
        let doubtful = match self.set.mode {
            CacheMode::CacheAside => request.write,
            CacheMode::ReadThrough => !key.is_some_and(|k| self.served.contains_key(&k)),
        };
        let serial = self.serial;
        self.serial += 1;
        self.ids.insert(request.id.clone(), serial);
        let held = Held {
            request,
            at,
            key,
            arrived: now,
            end,
            attempts: Vec::new(),
            streaming: false,
            no_more: false,
            doubtful,
            missed: false,
        };
        let asked = held.asked();
        self.held.insert(serial, held);
        let why = if end <= now {
            "short"
        } else if over && self.late > LATE_MUCH {
            "share"
        } else if self.origin.sheds(now, asked, || self.rng.next()) {
            "jam"
        } else if !self.admitted(now, serial) {
            "admission"
        } else if self.overrun(now, serial) {
            "overrun"
        } else {
            ""
        };
        if !why.is_empty() {
            return self.finish(now, serial, why, actions);
        }
        actions.push(Action::SetTimer {
            delay: end - now,
            token: serial << 2 | END,
        });
        self.send_next(now, serial, actions);
    }

    /// Guards against the jam behind a slow or flooded origin: fetches that fail hold their servers until
    /// nothing is answered. While attempts fail, keys not served lately, which would be fetched, are let
    /// through rarely, known keys and writes longer; now and then one goes to see whether it is over.
    fn admitted(&mut self, now: Micros, serial: u64) -> bool {
        let Some(held) = self.held.get(&serial) else {
            return false;
        };
        let deadline = self.set.classes[held.request.class].deadline;
        self.origin
            .admits(now, held.asked(), deadline, || self.rng.next())
    }

    /// An attempt for a key not served lately ended: what came of it says how the origin fares.
    fn doubtful_ended(&mut self, answered: bool) {
        let servers = &self.line.servers;
        self.origin.fetch_ended(answered, || known_late(servers));
    }

    fn note_known(&mut self, server: &ServerId, failed: bool) {
        if let Some(i) = self.line.index.get(server) {
            let failing = &mut self.line.servers[*i].failing;
            *failing += (f64::from(u8::from(failed)) - *failing) / FAIL_SPAN;
        }
    }

    /// Sends the next attempt of a request if there is a server that it may go to.
    fn send_next(&mut self, now: Micros, serial: u64, actions: &mut Vec<Action>) -> bool {
        let Some(held) = self.held.get(&serial) else {
            return false;
        };
        let Some((place, i)) = self.choose(now, held) else {
            return false;
        };
        let server = match place {
            Place::Line => &self.line.servers[i],
            Place::Far => &self.far.servers[i],
            Place::Origin => &self.origins[i],
        };
        if !held.may_send(&self.set, &server.entry, now) {
            return false;
        }
        let class = &self.set.classes[held.request.class];
        let left = held.end - now;
        let more = held.attempts.len() + 1 < self.set.max_attempts
            && class.idempotency != Idempotency::NonIdempotent;
        let trial = place == Place::Line && self.line.servers[i].sick();
        let part = if more && !self.set.hedging && trial {
            left / 2
        } else {
            left
        };
        // Given up with its request, a fetch would be dropped: in a jam no cache would ever be filled again.
        let stays = !held.request.write && self.origin.jams(now, held.asked());
        let longest = class.deadline.min(held.request.budget) - (now - held.arrived);
        let timeout = Some(if stays { part.max(longest) } else { part }.max(self.set.tick));
        let hedge = self.pace.high[held.request.class] as Micros;
        let hedge = hedge.clamp(class.latency_objective / 8, class.latency_objective * 5 / 8);
        let attempt = Attempt {
            server: server.entry.server.clone(),
            zone: server.entry.zone,
            cell: server.entry.cell,
            sent: now,
            patience: if place == Place::Origin { left } else { hedge },
            silent: false,
            stays,
            status: None,
        };
        let id = held.request.id.clone();
        actions.push(Action::Send {
            request: id,
            server: attempt.server.clone(),
            timeout,
        });
        if hedge < left && place != Place::Origin {
            actions.push(Action::SetTimer {
                delay: hedge,
                token: serial << 2 | HEDGE,
            });
        }
        if place == Place::Line {
            let server = &mut self.line.servers[i];
            server.out += 1;
            let started = server.started(now);
            self.fleet.use_up(&mut server.used, started, now);
        }
        if trial {
            self.line.servers[i].trial_until = now + class.latency_objective;
        }
        let key = held.key;
        if let Some(seen) = key.and_then(|k| self.line.seen.get_mut(&k)) {
            seen.turn = seen.turn.wrapping_add(1);
        }
        if let Some(held) = self.held.get_mut(&serial) {
            held.attempts.push(attempt);
        }
        true
    }

    /// Not judged sick, or due for a trial.
    fn up(&self, now: Micros, i: usize) -> bool {
        let server = &self.line.servers[i];
        let sound = !server.sick() || (now >= server.sick_until && now >= server.trial_until);
        sound && !self.fates.lost(server.entry.zone)
    }

    /// Part of its range that a server can take now: less while cold, nothing while sick.
    fn fitness(&self, now: Micros, i: usize) -> f64 {
        let server = &self.line.servers[i];
        if !self.up(now, i) {
            return 0.0;
        }
        let pass = if server.pass >= PASS_SOUND {
            1.0
        } else {
            server.pass
        };
        self.warmth(now, server) * pass * self.outliers.kept(&server.entry.server)
    }

    /// How far from the middle of its home's range a point lies: 0 to 1.
    fn off_middle(&self, at: f64, home: usize) -> f64 {
        let left = self.line.left_edge(home);
        let width = (self.line.servers[home].edge - left).max(f64::MIN_POSITIVE);
        ((at - left) / width - 0.5).abs() * 2.0
    }

    /// Guards against queues that make every answer late: what an overrun home cannot answer in time and no
    /// sound neighbour takes is refused at once, the same keys first.
    /// A cold home that no sound neighbour relieves is spared in any case: it would fall over.
    fn overrun(&self, now: Micros, serial: u64) -> bool {
        let Some(held) = self.held.get(&serial) else {
            return false;
        };
        let Some((Place::Line, i)) = self.choose(now, held) else {
            return false;
        };
        let server = &self.line.servers[i];
        let (pass, grown) = (server.pass, self.fleet.grown(server.started(now), now));
        let off = if i == self.line.home(held.at) {
            self.off_middle(held.at, i)
        } else {
            0.0
        };
        (pass < PASS_SOUND && self.late > LATE_SOME && off >= pass)
            || (grown < 1.0 && !self.bears(now, held, i, self.fleet.spared(grown)))
    }

    /// This node's right to first attempts at a server, while that one is cold.
    fn right(&self, now: Micros, i: usize) -> f64 {
        let grown = self.fleet.grown(self.line.servers[i].started(now), now);
        // Of a kind that is slower than the average one, it can do less by as much.
        let mean = self.weights.iter().sum::<f64>() / self.weights.len().max(1) as f64;
        let able = self
            .weights
            .get(i)
            .map_or(1.0, |weight| (weight / mean).min(1.0));
        self.fleet.right(grown * able, now, self.line.servers.len())
    }

    /// Whether a request is in the part of its range that a server is given. Nodes agree on the middle of the
    /// range; for a cold one that each sends less than one request, on who sends it one, whatever its key.
    fn bears(&self, now: Micros, held: &Held, i: usize, part: f64) -> bool {
        let server = &self.line.servers[i];
        let started = server.started(now);
        if self.fleet.grown(started, now) >= 1.0 {
            return part >= 1.0 || self.off_middle(held.at, i) < part;
        }
        let right = self.right(now, i);
        let (place, right) = if right < 1.0 {
            (0.0, right.min(part))
        } else {
            (self.off_middle(held.at, i), right)
        };
        let quota = self.fleet.quota(right, server.order, started, now);
        place < part && self.fleet.room(&server.used, quota, now)
    }

    /// Part of its range that a server can take as far as it is warm.
    fn warmth(&self, now: Micros, server: &Server) -> f64 {
        self.fleet.part(self.fleet.grown(server.started(now), now))
    }

    /// The server for the next attempt.
    fn choose(&self, now: Micros, held: &Held) -> Option<(Place, usize)> {
        let aside = self.set.mode == CacheMode::CacheAside;
        if aside && (held.request.write || held.missed) {
            let n = self.origins.len();
            return (n > 0).then(|| (Place::Origin, (held.at * n as f64) as usize % n));
        }
        let n = self.line.servers.len();
        if n == 0 {
            return self.far_choice(now, held).map(|i| (Place::Far, i));
        }
        let home = self.line.home(held.at);
        let kept = |i: usize| self.outliers.kept(&self.line.servers[i].entry.server);
        let up = |i: usize| self.up(now, i) && kept(i) >= 1.0;
        if held.attempts.is_empty() {
            let width = held.key.map_or(1, |k| self.line.deal_width(k));
            if width > 1 {
                let turn = held
                    .key
                    .and_then(|k| self.line.seen.get(&k))
                    .map_or(0, |s| s.turn);
                let start = (home + n - width / 2) % n;
                for step in 0..width {
                    let i = (start + (turn + step) % width) % n;
                    if self.fitness(now, i) >= 1.0 && self.bears(now, held, i, 1.0) {
                        return Some((Place::Line, i));
                    }
                }
            }
            if kept(home) < 1.0 {
                let drawn = unit_interval(mix(held.at.to_bits() ^ held.arrived as u64));
                let ready = self.up(now, home) && self.warmth(now, &self.line.servers[home]) >= 1.0;
                let stays = ready && (self.off_middle(held.at, home) < kept(home) || drawn < TRIAL);
                if let Some(i) = if stays {
                    Some(home)
                } else {
                    self.second_home(now, held, up)
                } {
                    return Some((Place::Line, i));
                }
            }
            let fit = self.fitness(now, home);
            let out = self.line.servers[home].out;
            if f64::from(out) > 1.0 + 2.0 * self.held.len() as f64 / n as f64 && !held.doubtful {
                let less = |i: &usize| self.line.servers[*i].out * 2 < out;
                if let Some(i) = self.second_home(now, held, up).filter(less) {
                    return Some((Place::Line, i));
                }
            }
            if self.bears(now, held, home, fit) {
                return Some((Place::Line, home));
            }
            let best = self.second_home(now, held, |i| self.fitness(now, i) >= 1.0);
            return Some((Place::Line, best.unwrap_or(home)));
        }
        let near = self
            .second_home(now, held, up)
            .or_else(|| self.second_home(now, held, |_| true));
        let far = || self.far_choice(now, held).map(|i| (Place::Far, i));
        let again =
            (self.warmth(now, &self.line.servers[home]) >= 1.0).then_some((Place::Line, home));
        near.map(|i| (Place::Line, i)).or_else(far).or(again)
    }

    /// A key's second home: a warm server that is fit and not tried yet. Nodes differ in it only as far as
    /// they differ in weights and in whom they hold to be fit.
    fn second_home(&self, now: Micros, held: &Held, fit: impl Fn(usize) -> bool) -> Option<usize> {
        let server = |i: usize| &self.line.servers[i];
        let may = |i: &usize| {
            let entry = &server(*i).entry;
            let tried = held.attempts.iter().any(|a| a.server == entry.server);
            fit(*i)
                && !tried
                && self.warmth(now, server(*i)) >= 1.0
                && held.may_send(&self.set, entry, now)
        };
        let worth = |i: &usize| {
            let weight = self.weights.get(*i).map_or(1.0, |w| w * server(*i).pass);
            rendezvous(mix(held.at.to_bits() ^ server(*i).order), weight)
        };
        (0..self.line.servers.len())
            .filter(may)
            .max_by(|a, b| worth(a).total_cmp(&worth(b)))
    }

    /// A warm server of another zone, by the key's point.
    fn far_choice(&self, now: Micros, held: &Held) -> Option<usize> {
        let n = self.far.servers.len();
        let start = (held.at * n as f64) as usize;
        (0..n).map(|step| (start + step) % n).find(|i| {
            let server = &self.far.servers[*i];
            let tried = held
                .attempts
                .iter()
                .any(|a| a.server == server.entry.server);
            let fit = now >= server.sick_until && self.warmth(now, server) >= 1.0;
            fit && !tried
                && !self.fates.lost(server.entry.zone)
                && held.may_send(&self.set, &server.entry, now)
        })
    }

    // ---- outcomes ----

    fn on_outcome(
        &mut self,
        now: Micros,
        id: &RequestId,
        server: &ServerId,
        (attempt, latency, status, closed, note): (
            usize,
            Micros,
            Status,
            bool,
            Option<CacheResult>,
        ),
        _load: Option<LoadReport>,
        actions: &mut Vec<Action>,
    ) {
        let hit = note.is_none_or(|n| n == CacheResult::Hit);
        let serial = self.ids.get(id).copied();
        self.judge(now, server, Some(status), actions);
        if matches!(status, Status::Ok | Status::Error | Status::Reset) {
            self.broken += (f64::from(u8::from(status == Status::Reset)) - self.broken) / LATE_SPAN;
        }
        let Some(serial) = serial else { return };
        let failed = matches!(status, Status::Error | Status::Timeout);
        let patience = self
            .held
            .get(&serial)
            .and_then(|h| h.attempts.get(attempt))
            .map_or(0, |a| a.patience);
        let took = (latency as f64 / patience.max(1) as f64).clamp(COST_LEAST, 1.0);
        let quick = status == Status::Error && took < QUICK_PART;
        // What was silent too long is held against the server already.
        let own = quick || matches!(status, Status::Ok | Status::Miss) && latency < patience;
        let asked = self.held.get(&serial).map_or(Asked::Doubtful, Held::asked);
        if own && self.line.index.contains_key(server) {
            self.outliers
                .note(now, server, asked, quick, self.line.servers.len());
        }
        let known = self
            .held
            .get(&serial)
            .filter(|h| !h.doubtful)
            .and_then(|h| h.key);
        if let Some(key) = known.filter(|_| status == Status::Ok || failed) {
            self.note_known(server, failed && !quick);
            if failed && !quick {
                self.served.remove(&key);
            }
        }
        if let Some(held) = self
            .held
            .get(&serial)
            .filter(|h| h.doubtful && (status == Status::Ok || failed))
        {
            // A late fetch counts as a failed one: the origin's queue shows before it fails.
            let late = now - held.arrived > self.set.classes[held.request.class].latency_objective;
            if !quick {
                self.doubtful_ended(!failed && !late);
            }
        }
        let Some(held) = self.held.get_mut(&serial) else {
            return;
        };
        // What fails for one request, however often it is tried, is one failure.
        if !quick && (attempt == 0 || status == Status::Ok) {
            self.origin.ended(now, held.asked(), Some(status), note);
        }
        let jammed = self.origin.jams(now, held.asked());
        if let Some(a) = held.attempts.get_mut(attempt) {
            if let Some(i) = self.line.index.get(server).filter(|_| a.pending()) {
                self.line.servers[*i].out = self.line.servers[*i].out.saturating_sub(1);
            }
            a.status = Some(status);
            if !a.silent && matches!(status, Status::Ok | Status::Miss) {
                self.slow -= self.slow / LATE_SPAN;
                if let Some(i) = self.line.index.get(server).filter(|_| !held.doubtful) {
                    let pass = &mut self.line.servers[*i].pass;
                    *pass = (*pass + RISE).min(1.0);
                }
            }
        }
        if status == Status::Ok {
            if let Some(key) = held.key.filter(|_| !held.request.write) {
                self.served.insert(key, now);
                if self.served.len() > SERVED_KEPT {
                    let old = now - self.set.warm_up_time / 2;
                    self.served.retain(|_, at| *at > old);
                    if self.served.len() > SERVED_KEPT / 2 {
                        self.served.clear();
                    }
                }
            }
            if let Some(i) = self.line.index.get(server) {
                let entry = &self.line.servers[*i].entry;
                self.pace
                    .learn(held.request.class, latency, held.request.work, entry, hit);
            }
        }
        if attempt > 0 && (status == Status::Ok || failed || status == Status::Rejected) {
            let good = status == Status::Ok && now < held.end;
            self.again += (f64::from(u8::from(good)) - self.again) / LATE_SPAN;
        }
        if closed {
            let held = &self.held[&serial];
            let latency_objective = self.set.classes[held.request.class].latency_objective;
            // What was fetched is late by the origin's time, however little the servers have to do.
            if hit || now - held.arrived <= latency_objective {
                self.note_end(status != Status::Ok || now - held.arrived > latency_objective);
            }
            self.cancel_pending(serial, false, actions);
            self.forget(serial);
            return;
        }
        if status == Status::Miss {
            (held.missed, held.doubtful) = (true, true);
            if !self.admitted(now, serial) {
                self.finish(now, serial, "admission", actions);
                return;
            }
        }
        let Some(held) = self.held.get_mut(&serial) else {
            return;
        };
        if held.streaming || held.out() > 0 {
            return;
        }
        let cost = if status == Status::Miss {
            0.0
        } else if matches!(status, Status::Reset | Status::ConnectFailed) {
            // A connection that breaks tells nothing of the load, and leaves the server less to do.
            0.25
        } else if status == Status::Error {
            // The sooner it failed, the less it took.
            took
        } else if status.never_ran() {
            0.5
        } else {
            1.0
        };
        if jammed && matches!(status, Status::Timeout | Status::Rejected | Status::Error) && !quick
        {
            // Another attempt would be another fetch, or the same write at the origin once more.
            self.finish(now, serial, "jam", actions);
        } else if self.retry_tokens < cost {
            self.finish(now, serial, "budget", actions);
        } else if self.send_next(now, serial, actions) {
            self.retry_tokens -= cost;
        } else {
            self.finish(now, serial, "nowhere", actions);
        }
    }

    /// Nothing more is sent for a request; with nothing out it has its final answer at once.
    fn on_no_more(&mut self, now: Micros, id: &RequestId, actions: &mut Vec<Action>) {
        let Some(serial) = self.ids.get(id).copied() else {
            return;
        };
        let Some(held) = self.held.get_mut(&serial) else {
            return;
        };
        held.no_more = true;
        if !held.streaming && held.out() == 0 {
            self.finish(now, serial, "no more", actions);
        }
    }

    fn note_end(&mut self, late: bool) {
        self.late += (f64::from(u8::from(late)) - self.late) / LATE_SPAN;
    }

    /// Ends a request with a refusal where that is allowed, with a failure otherwise.
    fn finish(&mut self, now: Micros, serial: u64, why: &'static str, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get(&serial) else {
            return;
        };
        self.why = why;
        let request = held.request.id.clone();
        if held.may_refuse(&self.set) {
            let late =
                now - held.arrived >= self.set.classes[held.request.class].latency_objective / 2;
            let wait = self.set.max_retry_after;
            let retry_after = match why {
                // Not all of them at one time.
                "jam" => wait - (wait as f64 * self.rng.next() / 2.0) as Micros,
                _ if late => wait,
                _ => 0,
            };
            actions.push(Action::Reject {
                request,
                retry_after,
            });
        } else {
            actions.push(Action::Fail { request });
        }
        let (tried, unanswered) = (!held.attempts.is_empty(), held.out() > 0);
        let (asked, doubtful) = (held.asked(), held.doubtful);
        let first = held.attempts.first().is_some_and(Attempt::pending);
        if held.attempts.iter().skip(1).any(Attempt::pending) {
            self.again -= self.again / LATE_SPAN;
        }
        if unanswered && doubtful {
            self.doubtful_ended(false);
        } else if unanswered {
            let pending = self.held[&serial].attempts.iter().filter(|a| a.pending());
            let servers: Vec<ServerId> = pending.map(|a| a.server.clone()).collect();
            servers
                .iter()
                .for_each(|server| self.note_known(server, true));
        }
        // What its client left, or the node's end cut short, tells nothing of the load.
        if tried && !self.held[&serial].no_more {
            self.note_end(true);
        }
        if first {
            self.origin.ended(now, asked, None, None);
        }
        self.cancel_pending(serial, self.origin.jams(now, asked), actions);
        self.forget(serial);
    }

    fn cancel_pending(&mut self, serial: u64, leave: bool, actions: &mut Vec<Action>) {
        let Some(held) = self.held.get(&serial) else {
            return;
        };
        if !self.set.cancel {
            return;
        }
        for (attempt, a) in held.attempts.iter().enumerate() {
            if a.pending() && !(leave && a.stays) {
                actions.push(Action::Cancel {
                    request: held.request.id.clone(),
                    attempt,
                });
            }
        }
    }

    fn forget(&mut self, serial: u64) {
        if let Some(held) = self.held.remove(&serial) {
            self.ids.remove(&held.request.id);
            for a in held.attempts.iter().filter(|a| a.pending()) {
                if let Some(i) = self.line.index.get(&a.server) {
                    self.line.servers[*i].out = self.line.servers[*i].out.saturating_sub(1);
                }
            }
        }
    }

    fn on_timer(&mut self, now: Micros, token: u64, actions: &mut Vec<Action>) {
        let serial = token >> 2;
        match token & 3 {
            LIST => {
                self.list_planned = false;
                actions.push(Action::Subscribe(true));
            }
            ZONE => {
                self.look_at(
                    now,
                    serial.checked_sub(1).and_then(|z| u16::try_from(z).ok()),
                    actions,
                );
            }
            HEDGE => {
                self.note_silence(now, serial, actions);
                let Some(held) = self.held.get(&serial) else {
                    return;
                };
                let jammed = self.origin.may_jam(now);
                let copies = self.set.hedging && !held.streaming && !held.missed && !jammed;
                if copies
                    && held.out() == 1
                    && self.retry_tokens >= 1.0
                    && self.send_next(now, serial, actions)
                {
                    self.retry_tokens -= 1.0;
                }
            }
            _ => {
                if self.held.get(&serial).is_some_and(|h| !h.streaming) {
                    self.finish(now, serial, "time", actions);
                }
            }
        }
    }

    fn log(&mut self, text: String, actions: &mut Vec<Action>) {
        if self.logged < LOG_LINES {
            self.logged += 1;
            actions.push(Action::Log(text));
        }
    }
}

#[cfg(test)]
#[path = "balancer_tests.rs"]
mod tests;
