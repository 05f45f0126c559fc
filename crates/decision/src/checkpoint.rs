//! The checkpoint that one process of a node leaves to the next: the placement of keys that it has learned
//! and the health of the servers. No I/O and no clock: who stores it says how old it is.
//!
//! Guarantees: a restored checkpoint moves only servers that the first complete endpoint list names as live,
//! in their shared order; one that is damaged or beyond its bounds is rejected as a whole
//! ([`Checkpoint::validated`]); nothing in it lets a request go to a server that no list has named. Evidence
//! against a server that has restarted since is dropped. Quotas and requests in flight are not in it: they
//! belong to the process. Nor are the recently served keys: with them a new process was worse off than
//! without (`docs/design/handover.md`).
//!
//! Its fields are stored by position: their order and types are part of the format.

use serde::{Deserialize, Serialize};

use crate::api::{Endpoint, EndpointListKind, Micros, ServerId, ServerState};
use crate::balancer::Balancer;
use crate::hot_keys::KeyCount;
use crate::latency::{label_index, label_slot, KindEstimate, MAX_SAMPLES};
use crate::origin_health::MIN_ADMITTED_FRACTION;
use crate::partition::{Partition, MAX_WINDOW};
use crate::retry::MAX_TOKENS;
use crate::server_health::{Server, MIN_SILENT_FRACTION, MIN_TIMELY_FRACTION};

/// Servers, hot keys and classes at most; more than any fleet that one node can hold connections to.
const MAX_SERVERS: usize = 4096;
const MAX_KEYS: usize = 8 * MAX_SERVERS;
const MAX_CLASSES: usize = 1 << 16;
/// Longest name of a server, in bytes.
const MAX_NAME: usize = 1024;
/// Two readings of one start differ by less: each process reads the clocks for itself.
const SAME_START_MARGIN: Micros = 1_000_000;
/// Counts beyond this are none that a node reaches; below it sums stay far from overflow, and times do as
/// well.
const MAX_COUNT: u64 = 1 << 53;
/// Largest logarithm of a time, and of a ratio of two, that is accepted.
const MAX_LOG: f64 = 100.0;
/// Longest ejection or time left that is accepted.
const MAX_TIME: Micros = 3_600_000_000;

/// See the module. Ages and times left are in microseconds, as of when it was taken.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// In their shared order.
    servers: Vec<SavedServer>,
    /// Positions in the key space, the oldest first.
    window: Vec<f64>,
    arrivals: u64,
    updates: f64,
    keys: Vec<SavedKey>,
    latencies: SavedLatencies,
    late: f64,
    retry_success: f64,
    silent: f64,
    reset: f64,
    admitted_fraction: f64,
    retry_tokens: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SavedServer {
    server: String,
    started_ago: Option<Micros>,
    upper_bound: f64,
    failure_log_odds: f64,
    ejected_for: Micros,
    ejection_time: Micros,
    timely_fraction: f64,
    failing_fraction: f64,
    /// Evidence that it is an outlier, decayed until now.
    outlier_probability: f64,
    /// Sum and samples of its kind, and the least latency of its zone: labels have other numbers in the next
    /// process.
    kind: (f64, f64),
    zone_minimum: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SavedKey {
    key: u64,
    counts: [f64; 2],
    /// Arrivals since.
    arrivals_ago: u64,
    rotation: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SavedLatencies {
    high_quantile: Vec<f64>,
    mean_log: Vec<f64>,
    samples: Vec<f64>,
}

/// A checkpoint that waits for the first endpoint list, and when it was taken by this process's clock.
pub(crate) struct RestoredCheckpoint {
    taken: Micros,
    checkpoint: Checkpoint,
}

fn is_fraction(x: f64) -> bool {
    (0.0..=1.0).contains(&x)
}

fn is_at_least_zero(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

fn is_time(time: Micros) -> bool {
    (0..=MAX_TIME).contains(&time)
}

fn are_within(list: &[f64], limit: f64) -> bool {
    list.len() <= MAX_CLASSES && list.iter().all(|x| (-limit..=limit).contains(x))
}

impl SavedServer {
    fn is_valid(&self) -> bool {
        let fractions = [
            self.upper_bound,
            self.timely_fraction,
            self.failing_fraction,
            self.outlier_probability,
        ];
        let (log_sum, samples) = self.kind;
        let started = self
            .started_ago
            .is_none_or(|ago| (-MAX_TIME..MAX_COUNT as Micros).contains(&ago));
        let named = !self.server.is_empty() && self.server.len() <= MAX_NAME;
        let kind = (0.0..=MAX_SAMPLES + 1.0).contains(&samples)
            && log_sum.abs() <= MAX_LOG * (MAX_SAMPLES + 1.0);
        let times = is_time(self.ejected_for) && is_time(self.ejection_time);
        named
            && started
            && fractions.into_iter().all(is_fraction)
            && is_at_least_zero(self.failure_log_odds)
            && kind
            && times
            && is_at_least_zero(self.zone_minimum)
    }
}

impl SavedLatencies {
    fn is_valid(&self) -> bool {
        are_within(&self.high_quantile, MAX_TIME as f64)
            && are_within(&self.mean_log, MAX_LOG)
            && are_within(&self.samples, MAX_SAMPLES)
            && self
                .high_quantile
                .iter()
                .chain(&self.samples)
                .copied()
                .all(is_at_least_zero)
    }
}

impl Checkpoint {
    /// The checkpoint, if every part of it can be one that [`Balancer::checkpoint`] took.
    pub fn validated(self) -> Option<Checkpoint> {
        let valid = self.are_servers_valid()
            && self.are_keys_valid()
            && self.latencies.is_valid()
            && self.are_averages_valid();
        valid.then_some(self)
    }

    fn are_servers_valid(&self) -> bool {
        let mut neighbours = self.servers.windows(2);
        self.servers.len() <= MAX_SERVERS
            && self.servers.iter().all(SavedServer::is_valid)
            && neighbours.all(|pair| pair[0].upper_bound <= pair[1].upper_bound)
            && self.window.len() <= MAX_WINDOW
            && self.window.iter().copied().all(is_fraction)
    }

    fn are_keys_valid(&self) -> bool {
        let is_valid = |key: &SavedKey| {
            key.counts.into_iter().all(is_at_least_zero)
                && key.arrivals_ago <= self.arrivals
                && key.rotation <= MAX_COUNT
        };
        self.keys.len() <= MAX_KEYS && self.arrivals <= MAX_COUNT && self.keys.iter().all(is_valid)
    }

    fn are_averages_valid(&self) -> bool {
        let fractions = [
            self.late,
            self.retry_success,
            self.silent,
            self.reset,
            self.admitted_fraction,
        ];
        fractions.into_iter().all(is_fraction)
            && is_at_least_zero(self.updates)
            && is_at_least_zero(self.retry_tokens)
    }

    /// Evidence against a server, as the probability that it is an outlier.
    pub fn outlier_probability(&self, server: &str) -> f64 {
        self.servers
            .iter()
            .find(|s| s.server == server)
            .map_or(0.0, |s| s.outlier_probability)
    }

    /// How many servers and positions it holds, for the log.
    pub fn size(&self) -> (usize, usize) {
        (self.servers.len(), self.window.len())
    }
}

impl Balancer {
    /// What the next process of this node needs to go on as this one does. The same state gives the same
    /// checkpoint.
    pub fn checkpoint(&self, now: Micros) -> Checkpoint {
        let servers = self.partition.servers.iter();
        let latencies = &self.latencies;
        Checkpoint {
            servers: servers.map(|s| self.save_server(now, s)).collect(),
            window: self.partition.window.iter().copied().collect(),
            arrivals: self.partition.hot_keys.arrivals,
            updates: self.partition.updates,
            keys: self.save_keys(),
            latencies: SavedLatencies {
                high_quantile: latencies.high_quantile.clone(),
                mean_log: latencies.mean_log.clone(),
                samples: latencies.samples.clone(),
            },
            late: self.averages.late,
            retry_success: self.retry_budget.success_fraction,
            silent: self.averages.silent,
            reset: self.averages.reset,
            admitted_fraction: self.origin_health.admitted_fraction,
            retry_tokens: self.retry_budget.tokens,
        }
    }

    fn save_server(&self, now: Micros, server: &Server) -> SavedServer {
        let entry = &server.entry;
        let kind = self.latencies.kinds.get(label_index(entry.kind));
        let zone_minimum = self.latencies.zone_minimum.get(label_index(entry.zone));
        SavedServer {
            server: entry.server.to_string(),
            started_ago: entry.started.map(|started| now - started),
            upper_bound: server.upper_bound,
            failure_log_odds: server.failure_log_odds,
            ejected_for: (server.ejected_until - now).clamp(0, MAX_TIME),
            ejection_time: server.ejection_time.clamp(0, MAX_TIME),
            timely_fraction: server.timely_fraction,
            failing_fraction: server.failing_fraction,
            outlier_probability: self.outliers.outlier_probability(now, &entry.server),
            kind: kind.map_or((0.0, 0.0), |kind| (kind.log_sum, kind.samples)),
            zone_minimum: zone_minimum.copied().unwrap_or(f64::MAX),
        }
    }

    fn save_keys(&self) -> Vec<SavedKey> {
        let hot_keys = &self.partition.hot_keys;
        let save = |(key, count): (&u64, &KeyCount)| SavedKey {
            key: *key,
            counts: count.counts,
            arrivals_ago: hot_keys.arrivals - count.updated,
            rotation: count.rotation as u64,
        };
        let mut keys: Vec<SavedKey> = hot_keys.counts.iter().map(save).collect();
        keys.sort_unstable_by_key(|saved| saved.key);
        keys
    }

    /// Restores what a process of this node had learned `age` ago, before any endpoint list has come. The
    /// placement waits for the first complete list that names a server.
    pub fn restore(&mut self, now: Micros, age: Micros, checkpoint: Checkpoint) {
        let classes = self.settings.classes.len();
        let saved = &checkpoint.latencies;
        let same_classes = [&saved.high_quantile, &saved.mean_log, &saved.samples]
            .into_iter()
            .all(|list| list.len() == classes);
        if same_classes {
            self.latencies
                .high_quantile
                .clone_from(&saved.high_quantile);
            self.latencies.mean_log.clone_from(&saved.mean_log);
            self.latencies.samples.clone_from(&saved.samples);
        }
        self.averages.late = checkpoint.late;
        self.averages.silent = checkpoint.silent.max(MIN_SILENT_FRACTION);
        self.averages.reset = checkpoint.reset;
        self.retry_budget.success_fraction = checkpoint.retry_success;
        self.retry_budget.tokens = checkpoint.retry_tokens.min(MAX_TOKENS);
        self.origin_health.admitted_fraction =
            checkpoint.admitted_fraction.max(MIN_ADMITTED_FRACTION);
        self.restored = Some(RestoredCheckpoint {
            taken: now - age,
            checkpoint,
        });
    }

    /// Places the servers as the restored checkpoint had them, for the first complete list to change.
    pub(crate) fn restore_partition(&mut self, kind: EndpointListKind, entries: &[Endpoint]) {
        let first = kind != EndpointListKind::Delta && self.partition.servers.is_empty();
        let is_named = |restored: &mut RestoredCheckpoint| {
            let mut servers = restored.checkpoint.servers.iter();
            servers.any(|s| live_entry(entries, &s.server).is_some())
        };
        let restored = self
            .restored
            .take_if(|restored| first && is_named(restored));
        let Some(RestoredCheckpoint { taken, checkpoint }) = restored else {
            return;
        };
        for saved in &checkpoint.servers {
            self.restore_server(taken, saved, live_entry(entries, &saved.server));
        }
        let order = |s: &Server| (s.order, s.entry.server.clone());
        let servers = &self.partition.servers;
        if !servers.is_sorted_by(|a, b| order(a) < order(b)) {
            // Not placed by this program: nothing of the placement holds.
            self.partition = Partition::default();
            return;
        }
        for index in (0..self.partition.servers.len()).rev() {
            if self.partition.servers[index].entry.state != ServerState::Live {
                self.partition.leave(index);
            }
        }
        self.restore_window(taken, checkpoint);
        self.update_weights();
    }

    /// One server as it was saved. One that no list names as live is there for its range, which goes to its
    /// neighbours at once.
    fn restore_server(&mut self, taken: Micros, saved: &SavedServer, listed: Option<&Endpoint>) {
        let id: ServerId = saved.server.as_str().into();
        let started = saved.started_ago.map(|ago| taken - ago);
        if let Some(entry) = listed {
            let (log_sum, samples) = saved.kind;
            let estimate = KindEstimate { log_sum, samples };
            let latencies = &mut self.latencies;
            *label_slot(&mut latencies.kinds, entry.kind, KindEstimate::default()) = estimate;
            *label_slot(&mut latencies.zone_minimum, entry.zone, f64::MAX) = saved.zone_minimum;
        }
        let removed = || Endpoint {
            server: id.clone(),
            weight: 1.0,
            zone: None,
            kind: None,
            state: ServerState::Removed,
            started,
            cell: None,
        };
        let mut server = Server::new(listed.cloned().unwrap_or_else(removed));
        server.upper_bound = saved.upper_bound;
        let same_process = match (server.entry.started, started) {
            (Some(listed), Some(saved)) => (listed - saved).abs() < SAME_START_MARGIN,
            (listed, saved) => listed == saved,
        };
        if same_process {
            server.failure_log_odds = saved.failure_log_odds;
            server.ejection_time = saved.ejection_time;
            server.ejected_until = taken + saved.ejected_for;
            server.timely_fraction = saved.timely_fraction.max(MIN_TIMELY_FRACTION);
            server.failing_fraction = saved.failing_fraction;
            self.outliers.restore(taken, &id, saved.outlier_probability);
        }
        self.partition.servers.push(server);
    }

    fn restore_window(&mut self, taken: Micros, checkpoint: Checkpoint) {
        let partition = &mut self.partition;
        let skipped = checkpoint
            .window
            .len()
            .saturating_sub(partition.max_window());
        partition.window = checkpoint.window.into_iter().skip(skipped).collect();
        partition.updates = checkpoint.updates;
        partition.updated = taken;
        let arrivals = checkpoint.arrivals;
        let restore = |saved: SavedKey| {
            let count = KeyCount {
                counts: saved.counts,
                updated: arrivals - saved.arrivals_ago,
                rotation: saved.rotation as usize,
            };
            (saved.key, count)
        };
        partition.hot_keys.arrivals = arrivals;
        partition.hot_keys.counts = checkpoint.keys.into_iter().map(restore).collect();
    }
}

/// The entry of a server that the list names as live.
fn live_entry<'a>(entries: &'a [Endpoint], name: &str) -> Option<&'a Endpoint> {
    entries
        .iter()
        .find(|e| &*e.server == name && e.state == ServerState::Live)
}

#[cfg(test)]
#[path = "checkpoint_tests.rs"]
mod tests;
