//! What one process of a node tells the next: the placement that it has learned and how the servers fare. No
//! I/O, no clock: who keeps it tells how old it is.
//!
//! Guarantees: a memory that is taken up moves only servers that the first whole list names as live, in the order of the
//! line; one that is damaged or beyond its bounds is refused whole ([`Checkpoint::checked`]); nothing in it lets a
//! request go to a server that no list has named. What was held against a server that has started since is
//! dropped. Quotas and open requests are not in it: they belong to the process. Nor are the keys served lately: with them
//! a new process was worse off than without (`docs/design/handover.md`).

use serde::{Deserialize, Serialize};

use super::{Balancer, Line, Seen, Server, RETRY_SAVED, WINDOW_KEPT};
use crate::api::{Endpoint, EndpointListKind, Micros, ServerId, ServerState};
use crate::latency::{slot, KIND_MEMORY};

/// Servers, hot keys and classes at the most; more than any fleet that one node can hold connections to.
const SERVERS_MOST: usize = 4096;
const SEEN_MOST: usize = 8 * SERVERS_MOST;
const CLASSES_MOST: usize = 1 << 16;
/// Longest name of a server.
const NAME_MOST: usize = 1024;
/// Two readings of one start differ by less: each process reads the clocks for itself.
const SAME_START: Micros = 1_000_000;
/// Counts beyond this are none that a node reaches; below it sums stay far from overflow, and times do as well.
const COUNT_MOST: u64 = 1 << 53;
/// Largest logarithm of a time, and of a ratio of two, that is believed.
const LOG_MOST: f64 = 100.0;
/// Longest pause or time left that is believed.
const LONG: Micros = 3_600_000_000;

/// See the module. Ages and times left are in microseconds, as of when it was taken.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// In the order of the line.
    servers: Vec<Known>,
    /// Positions on the line, the oldest first.
    window: Vec<f64>,
    arrivals: u64,
    updates: f64,
    seen: Vec<SeenKey>,
    pace: PaceKept,
    late: f64,
    again: f64,
    slow: f64,
    broken: f64,
    admit: f64,
    retry_tokens: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Known {
    server: String,
    started_ago: Option<Micros>,
    edge: f64,
    streak: f64,
    sick_for: Micros,
    pause: Micros,
    pass: f64,
    failing: f64,
    /// Its share of quick errors, faded until now.
    outlier: f64,
    /// What its kind takes, and the least that its zone takes: labels have other numbers in the next process.
    kind: (f64, f64),
    zone_least: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SeenKey {
    key: u64,
    counts: [f64; 2],
    /// Arrivals since.
    ago: u64,
    turn: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct PaceKept {
    high: Vec<f64>,
    mean_log: Vec<f64>,
    count: Vec<f64>,
}

impl Checkpoint {
    /// The memory, if every part of it can be one that [`Balancer::checkpoint`] took.
    pub fn checked(self) -> Option<Checkpoint> {
        let part = |x: f64| (0.0..=1.0).contains(&x);
        let least = |x: f64| x.is_finite() && x >= 0.0;
        let counted = |n: u64| n <= COUNT_MOST;
        let all = |list: &[f64], most: f64| {
            list.len() <= CLASSES_MOST && list.iter().all(|x| (-most..=most).contains(x))
        };
        let time = |t: Micros| (0..=LONG).contains(&t);
        let server = |s: &Known| {
            let started = s
                .started_ago
                .is_none_or(|ago| (-LONG..COUNT_MOST as Micros).contains(&ago));
            let named = !s.server.is_empty() && s.server.len() <= NAME_MOST;
            let shares = part(s.edge) && part(s.pass) && part(s.failing) && part(s.outlier);
            let kind = (0.0..=KIND_MEMORY + 1.0).contains(&s.kind.1)
                && s.kind.0.abs() <= LOG_MOST * (KIND_MEMORY + 1.0);
            let times = time(s.sick_for) && time(s.pause) && least(s.zone_least);
            named && started && shares && least(s.streak) && kind && times
        };
        let pace = &self.pace;
        let sound = self.servers.len() <= SERVERS_MOST
            && self.servers.iter().all(server)
            && self
                .servers
                .windows(2)
                .all(|two| two[0].edge <= two[1].edge)
            && self.window.len() <= WINDOW_KEPT
            && self.window.iter().copied().all(part)
            && self.seen.len() <= SEEN_MOST
            && counted(self.arrivals)
            && self.seen.iter().all(|s| {
                s.counts.into_iter().all(least) && s.ago <= self.arrivals && counted(s.turn)
            })
            && all(&pace.high, LONG as f64)
            && all(&pace.mean_log, LOG_MOST)
            && all(&pace.count, KIND_MEMORY)
            && pace.high.iter().chain(&pace.count).copied().all(least)
            && least(self.updates)
            && [self.late, self.again, self.slow, self.broken, self.admit]
                .into_iter()
                .all(part)
            && least(self.retry_tokens);
        sound.then_some(self)
    }

    /// Share of quick errors and silence that is held against a server.
    pub fn held_against(&self, server: &str) -> f64 {
        self.servers
            .iter()
            .find(|s| s.server == server)
            .map_or(0.0, |s| s.outlier)
    }

    /// How many servers and positions it holds, for the log.
    pub fn size(&self) -> (usize, usize) {
        (self.servers.len(), self.window.len())
    }
}

impl Balancer {
    /// What the next process of this node needs to go on as this one does. The same state gives the same memory.
    pub fn checkpoint(&self, now: Micros) -> Checkpoint {
        let label = |label: Option<u16>| label.map_or(0, |i| usize::from(i) + 1);
        let server = |s: &Server| Known {
            server: s.entry.server.to_string(),
            started_ago: s.entry.started.map(|at| now - at),
            edge: s.edge,
            streak: s.streak,
            sick_for: (s.sick_until - now).clamp(0, LONG),
            pause: s.pause.clamp(0, LONG),
            pass: s.pass,
            failing: s.failing,
            outlier: self.outliers.share(now, &s.entry.server),
            kind: self
                .pace
                .kinds
                .get(label(s.entry.kind))
                .copied()
                .unwrap_or_default(),
            zone_least: self
                .pace
                .floor
                .get(label(s.entry.zone))
                .copied()
                .unwrap_or(f64::MAX),
        };
        let arrivals = self.line.arrivals;
        let key = |(key, s): (&u64, &Seen)| SeenKey {
            key: *key,
            counts: s.counts,
            ago: arrivals - s.at,
            turn: s.turn as u64,
        };
        let mut seen: Vec<SeenKey> = self.line.seen.iter().map(key).collect();
        seen.sort_unstable_by_key(|s| s.key);
        let pace = &self.pace;
        Checkpoint {
            servers: self.line.servers.iter().map(server).collect(),
            window: self.line.window.iter().copied().collect(),
            arrivals,
            updates: self.line.updates,
            seen,
            pace: PaceKept {
                high: pace.high.clone(),
                mean_log: pace.mean_log.clone(),
                count: pace.count.clone(),
            },
            late: self.late,
            again: self.again,
            slow: self.slow,
            broken: self.broken,
            admit: self.origin.admit,
            retry_tokens: self.retry_tokens,
        }
    }

    /// Takes up what a process of this node remembered `age` ago, before any list has come. The placement waits for
    /// the first whole list that names a server.
    pub fn restore(&mut self, now: Micros, age: Micros, memory: Checkpoint) {
        let classes = self.set.classes.len();
        let pace = memory.pace.clone();
        if [&pace.high, &pace.mean_log, &pace.count]
            .into_iter()
            .all(|list| list.len() == classes)
        {
            (self.pace.high, self.pace.mean_log, self.pace.count) =
                (pace.high, pace.mean_log, pace.count);
        }
        (self.late, self.again, self.slow, self.broken) = (
            memory.late,
            memory.again,
            memory.slow.max(super::SLOW_LEAST),
            memory.broken,
        );
        self.origin.admit = memory.admit.max(crate::origin_health::LEAST);
        self.retry_tokens = memory.retry_tokens.min(RETRY_SAVED);
        let at = now - age;
        self.recalled = Some((at, memory));
    }

    /// Lays the servers out as they were remembered, for a first list to change.
    pub(super) fn lay_out(&mut self, kind: EndpointListKind, entries: &[Endpoint]) {
        let live = |name: &str| {
            entries
                .iter()
                .find(|e| &*e.server == name && e.state == ServerState::Live)
        };
        let named = |memory: &Checkpoint| memory.servers.iter().any(|s| live(&s.server).is_some());
        let first = kind != EndpointListKind::Delta && self.line.servers.is_empty();
        let Some((at, memory)) = self.recalled.take_if(|(_, memory)| first && named(memory)) else {
            return;
        };
        for known in memory.servers {
            let id: ServerId = known.server.as_str().into();
            let started = known.started_ago.map(|ago| at - ago);
            // One that no list names as live is there for its range, which goes to its neighbours at once.
            let gone = || Endpoint {
                server: id.clone(),
                weight: 1.0,
                zone: None,
                kind: None,
                state: ServerState::Removed,
                started,
                cell: None,
            };
            let listed = live(&id);
            if let Some(entry) = listed {
                *slot(&mut self.pace.kinds, entry.kind, (0.0, 0.0)) = known.kind;
                *slot(&mut self.pace.floor, entry.zone, f64::MAX) = known.zone_least;
            }
            let mut server = Server::new(listed.cloned().unwrap_or_else(gone));
            server.edge = known.edge;
            let same = match (server.entry.started, started) {
                (Some(told), Some(before)) => (told - before).abs() < SAME_START,
                (told, before) => told == before,
            };
            if same {
                (server.streak, server.pause) = (known.streak, known.pause);
                (server.pass, server.failing) = (known.pass.max(super::PASS_LEAST), known.failing);
                server.sick_until = at + known.sick_for;
                self.outliers.recall(at, &id, known.outlier);
            }
            self.line.servers.push(server);
        }
        let by_order =
            |a: &Server, b: &Server| (a.order, &a.entry.server).cmp(&(b.order, &b.entry.server));
        if !self
            .line
            .servers
            .is_sorted_by(|a, b| by_order(a, b).is_lt())
        {
            // Not laid out by this program: nothing of the placement holds.
            self.line = Line::default();
            return;
        }
        for p in (0..self.line.servers.len()).rev() {
            if self.line.servers[p].entry.state != ServerState::Live {
                self.line.leave(p);
            }
        }
        let most = WINDOW_KEPT.min(self.line.window_size() as usize).max(1);
        let skipped = memory.window.len().saturating_sub(most);
        self.line.window = memory.window.into_iter().skip(skipped).collect();
        (self.line.arrivals, self.line.updates) = (memory.arrivals, memory.updates);
        let seen = |s: SeenKey| {
            (
                s.key,
                Seen {
                    counts: s.counts,
                    at: memory.arrivals - s.ago,
                    turn: s.turn as usize,
                },
            )
        };
        self.line.seen = memory.seen.into_iter().map(seen).collect();
        self.line.updated = at;
        self.weigh();
    }
}
