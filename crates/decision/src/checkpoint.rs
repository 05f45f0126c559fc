//! The checkpoint that one process of a node hands over to the next: the learned placement of keys and the
//! health of the servers. No I/O and no clock: the caller that stores it supplies its age.
//!
//! Guarantees: a restored checkpoint places only servers that the first complete endpoint list names as
//! live, in the order that all nodes share. A checkpoint that is damaged or exceeds its bounds is rejected
//! as a whole ([`Checkpoint::validated`]). No request is sent to a server that no endpoint list has named,
//! even if the checkpoint does. Evidence against a server that has restarted since is dropped. Quotas and
//! requests in flight are not included: they belong to the process. Recently served keys are not included
//! either: with them a new process performed worse than without (`docs/design/handover.md`).
//!
//! Fields are stored by position: their order and types are part of the format.

use serde::{Deserialize, Serialize};

use crate::api::{Endpoint, EndpointListKind, Micros, ServerId, ServerState};
use crate::balancer::Balancer;
use crate::hot_keys::KeyCount;
use crate::latency::{label_index, label_slot, KindEstimate, MAX_SAMPLES};
use crate::origin_health::MIN_ADMITTED_FRACTION;
use crate::partition::{Partition, MAX_WINDOW};
use crate::retry::MAX_TOKENS;
use crate::server_health::{Server, MIN_SILENT_FRACTION, MIN_TIMELY_FRACTION};

/// Maximum numbers of servers, hot keys and classes: more than in any fleet that one node can hold
/// connections to.
const MAX_SERVERS: usize = 4096;
const MAX_HOT_KEYS: usize = 8 * MAX_SERVERS;
const MAX_CLASSES: usize = 1 << 16;
/// Maximum length of a server's name, in bytes.
const MAX_SERVER_NAME_LENGTH: usize = 1024;
/// Two processes read the start of the same server process differently by less than this, in microseconds,
/// since each reads the clocks for itself.
const SAME_START_MARGIN: Micros = 1_000_000;
/// Upper bound of counts and ages, which no node reaches. Below it, sums and times are far from overflow.
const MAX_COUNT: u64 = 1 << 53;
/// Maximum absolute logarithm of a latency or of a ratio of latencies.
const MAX_LOG: f64 = 100.0;
/// Maximum ejection time, remaining ejection time and latency quantile, in microseconds.
const MAX_DURATION: Micros = 3_600_000_000;

/// The state of a node that the next process takes over; see the module documentation. Ages and remaining
/// times are in microseconds as of when the checkpoint was taken.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// In the order that all nodes share.
    servers: Vec<SavedServer>,
    /// Positions of recent arrivals in the key space, oldest first.
    window: Vec<f64>,
    arrivals: u64,
    updates: f64,
    keys: Vec<SavedHotKey>,
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
    /// Age of its process. None: started long ago.
    started_ago: Option<Micros>,
    upper_bound: f64,
    failure_log_odds: f64,
    /// Time until its ejection ends.
    ejected_for: Micros,
    ejection_time: Micros,
    timely_fraction: f64,
    failing_fraction: f64,
    /// Evidence that it is an outlier, decayed until the checkpoint was taken.
    outlier_probability: f64,
    /// Log sum and samples of its kind of machine, and the lowest latency of its zone. Stored for each
    /// server because labels have other numbers in the next process.
    kind: (f64, f64),
    zone_minimum: f64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SavedHotKey {
    key: u64,
    counts: [f64; 2],
    /// Number of arrivals at the node since the key's counts were updated.
    arrivals_ago: u64,
    rotation: u64,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct SavedLatencies {
    high_quantile: Vec<f64>,
    mean_log: Vec<f64>,
    samples: Vec<f64>,
}

/// A restored checkpoint that waits for the first complete endpoint list.
pub(crate) struct RestoredCheckpoint {
    /// When the checkpoint was taken, on the clock of this process.
    taken: Micros,
    checkpoint: Checkpoint,
}

fn is_fraction(x: f64) -> bool {
    (0.0..=1.0).contains(&x)
}

fn is_non_negative(x: f64) -> bool {
    x.is_finite() && x >= 0.0
}

fn is_valid_duration(time: Micros) -> bool {
    (0..=MAX_DURATION).contains(&time)
}

fn are_valid_class_values(list: &[f64], limit: f64) -> bool {
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
            .is_none_or(|ago| (-MAX_DURATION..MAX_COUNT as Micros).contains(&ago));
        let has_valid_name = !self.server.is_empty() && self.server.len() <= MAX_SERVER_NAME_LENGTH;
        let kind = (0.0..=MAX_SAMPLES + 1.0).contains(&samples)
            && log_sum.abs() <= MAX_LOG * (MAX_SAMPLES + 1.0);
        let times = is_valid_duration(self.ejected_for) && is_valid_duration(self.ejection_time);
        has_valid_name
            && started
            && fractions.into_iter().all(is_fraction)
            && is_non_negative(self.failure_log_odds)
            && kind
            && times
            && is_non_negative(self.zone_minimum)
    }
}

impl SavedLatencies {
    fn is_valid(&self) -> bool {
        are_valid_class_values(&self.high_quantile, MAX_DURATION as f64)
            && are_valid_class_values(&self.mean_log, MAX_LOG)
            && are_valid_class_values(&self.samples, MAX_SAMPLES)
            && self
                .high_quantile
                .iter()
                .chain(&self.samples)
                .copied()
                .all(is_non_negative)
    }
}

impl Checkpoint {
    /// Returns the checkpoint if all of its values are ones that [`Balancer::checkpoint`] can have stored,
    /// None otherwise.
    pub fn validated(self) -> Option<Checkpoint> {
        let valid = self.are_servers_valid()
            && self.are_keys_valid()
            && self.latencies.is_valid()
            && self.are_averages_valid();
        valid.then_some(self)
    }

    fn are_servers_valid(&self) -> bool {
        let mut adjacent_servers = self.servers.windows(2);
        self.servers.len() <= MAX_SERVERS
            && self.servers.iter().all(SavedServer::is_valid)
            && adjacent_servers.all(|pair| pair[0].upper_bound <= pair[1].upper_bound)
            && self.window.len() <= MAX_WINDOW
            && self.window.iter().copied().all(is_fraction)
    }

    fn are_keys_valid(&self) -> bool {
        let is_valid = |key: &SavedHotKey| {
            key.counts.into_iter().all(is_non_negative)
                && key.arrivals_ago <= self.arrivals
                && key.rotation <= MAX_COUNT
        };
        self.keys.len() <= MAX_HOT_KEYS
            && self.arrivals <= MAX_COUNT
            && self.keys.iter().all(is_valid)
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
            && is_non_negative(self.updates)
            && is_non_negative(self.retry_tokens)
    }

    /// Probability that a server is an outlier; 0 if the checkpoint does not contain the server.
    pub fn outlier_probability(&self, server: &str) -> f64 {
        self.servers
            .iter()
            .find(|s| s.server == server)
            .map_or(0.0, |s| s.outlier_probability)
    }

    /// Number of servers and of positions that it contains, for the log.
    pub fn size(&self) -> (usize, usize) {
        (self.servers.len(), self.window.len())
    }
}

impl Balancer {
    /// Takes a checkpoint, from which the next process of this node continues as this one would. The same
    /// state gives the same checkpoint.
    pub fn checkpoint(&self, now: Micros) -> Checkpoint {
        let servers = self.partition.servers.iter();
        let latencies = &self.latencies;
        Checkpoint {
            servers: servers.map(|s| self.save_server(now, s)).collect(),
            window: self.partition.window.iter().copied().collect(),
            arrivals: self.partition.hot_keys.arrivals,
            updates: self.partition.updates,
            keys: self.save_hot_keys(),
            latencies: SavedLatencies {
                high_quantile: latencies.high_quantile.clone(),
                mean_log: latencies.mean_log.clone(),
                samples: latencies.samples.clone(),
            },
            late: self.failure_fractions.late,
            retry_success: self.retry_budget.success_fraction,
            silent: self.failure_fractions.silent,
            reset: self.failure_fractions.reset,
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
            ejected_for: (server.ejected_until - now).clamp(0, MAX_DURATION),
            ejection_time: server.ejection_time.clamp(0, MAX_DURATION),
            timely_fraction: server.timely_fraction,
            failing_fraction: server.failing_fraction,
            outlier_probability: self.outliers.outlier_probability(now, &entry.server),
            kind: kind.map_or((0.0, 0.0), |kind| (kind.log_sum, kind.samples)),
            zone_minimum: zone_minimum.copied().unwrap_or(f64::MAX),
        }
    }

    fn save_hot_keys(&self) -> Vec<SavedHotKey> {
        let hot_keys = &self.partition.hot_keys;
        let save = |(key, count): (&u64, &KeyCount)| SavedHotKey {
            key: *key,
            counts: count.counts,
            arrivals_ago: hot_keys.arrivals - count.updated,
            rotation: count.rotation as u64,
        };
        let mut keys: Vec<SavedHotKey> = hot_keys.counts.iter().map(save).collect();
        keys.sort_unstable_by_key(|saved| saved.key);
        keys
    }

    /// Restores a checkpoint that a process of this node took `age` microseconds ago. To be called before
    /// any endpoint list has arrived; the placement is restored with the first complete list that names a
    /// server of the checkpoint.
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
        self.failure_fractions.late = checkpoint.late;
        self.failure_fractions.silent = checkpoint.silent.max(MIN_SILENT_FRACTION);
        self.failure_fractions.reset = checkpoint.reset;
        self.retry_budget.success_fraction = checkpoint.retry_success;
        self.retry_budget.tokens = checkpoint.retry_tokens.min(MAX_TOKENS);
        self.origin_health.admitted_fraction =
            checkpoint.admitted_fraction.max(MIN_ADMITTED_FRACTION);
        self.restored = Some(RestoredCheckpoint {
            taken: now - age,
            checkpoint,
        });
    }

    /// Places the servers as in the restored checkpoint, before the first complete list is applied to them.
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
            // The order is not that of this program, so the saved placement is invalid.
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

    /// Restores a saved server. One that the list does not name as live is restored for its range only,
    /// which the caller passes on to its neighbours at once.
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
        partition.last_update = taken;
        let arrivals = checkpoint.arrivals;
        let restore = |saved: SavedHotKey| {
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

/// The entry of a server, if the list names it as live.
fn live_entry<'a>(entries: &'a [Endpoint], name: &str) -> Option<&'a Endpoint> {
    entries
        .iter()
        .find(|e| &*e.server == name && e.state == ServerState::Live)
}

#[cfg(test)]
#[path = "checkpoint_tests.rs"]
mod tests;
