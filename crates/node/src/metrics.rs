//! The node's metrics: counters since the process started, and gauges that are read when the metrics are requested.

use std::fmt::Write;

use crate::frontend::response::FinalResponse;
use crate::memory::{MemoryAccount, MemoryUse};

/// Numbers of final responses of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ClassCounters {
    /// Responses with a value, or that there is none.
    answered: u64,
    /// Rejections, which the client may retry.
    deferred: u64,
    /// Failures.
    errored: u64,
}

/// Counters since the process started. There is one entry per class, so the settings bound their number.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    classes: Vec<ClassCounters>,
}

/// The state of the node when the metrics are requested.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Gauges {
    /// Number of attempts written completely to cache servers since the process started.
    pub(crate) sends: u64,
    /// Number of requests whose responses have not been written completely.
    pub(crate) current: usize,
    /// Number of cache servers in the endpoint list.
    pub(crate) cluster_size: usize,
    /// Number of cache servers in the endpoint list that currently receive no requests.
    pub(crate) cluster_unhealthy: usize,
    /// Number of outliers: cache servers in the endpoint list that retain only a fraction of their keys.
    pub(crate) cluster_outliers: usize,
    /// Whether the origin behind the cache servers is considered overloaded. The metric is named `origin_jam`.
    pub(crate) origin_overloaded: bool,
    /// Memory in bytes.
    pub(crate) memory: MemoryGauges,
}

/// The memory of the process in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct MemoryGauges {
    /// Limit of the process.
    pub(crate) limit: usize,
    /// Resident size of the process; 0 if it is not known.
    pub(crate) resident: usize,
    /// What peers make the node hold, for each use.
    pub(crate) used: [usize; MemoryUse::NAMED.len()],
}

impl Metrics {
    pub(crate) fn new(class_count: usize) -> Metrics {
        Metrics {
            classes: vec![ClassCounters::default(); class_count],
        }
    }

    /// Counts a final response, unless its class is unknown.
    pub(crate) fn count(&mut self, class: usize, response: &FinalResponse) {
        let Some(counters) = self.classes.get_mut(class) else {
            return;
        };
        match response {
            FinalResponse::Value(_) | FinalResponse::NoValue => counters.answered += 1,
            FinalResponse::Busy(_) => counters.deferred += 1,
            FinalResponse::Failed => counters.errored += 1,
        }
    }

    /// Formats the metrics, one per line: `name=number`, or `name.CLASS=number` for those of a class.
    pub(crate) fn text<'a>(
        &self,
        class_name: impl Fn(usize) -> &'a str,
        gauges: &Gauges,
    ) -> String {
        let mut out = String::new();
        for (i, counters) in self.classes.iter().enumerate() {
            let class = class_name(i);
            for (name, count) in [
                ("answered", counters.answered),
                ("deferred", counters.deferred),
                ("errored", counters.errored),
            ] {
                let _ = writeln!(out, "{name}.{class}={count}");
            }
        }
        let memory = gauges.memory;
        let gauges = [
            ("sends", gauges.sends),
            ("current", gauges.current as u64),
            ("cluster_size", gauges.cluster_size as u64),
            ("cluster_unhealthy", gauges.cluster_unhealthy as u64),
            ("cluster_outliers", gauges.cluster_outliers as u64),
            ("origin_jam", u64::from(gauges.origin_overloaded)),
        ];
        for (name, count) in gauges {
            let _ = writeln!(out, "{name}={count}");
        }
        memory.write(&mut out);
        out
    }
}

impl MemoryGauges {
    /// Reads the gauges. `resident`: None if the resident size is not known.
    pub(crate) fn read(account: &MemoryAccount, resident: Option<usize>) -> MemoryGauges {
        MemoryGauges {
            limit: account.limit(),
            resident: resident.unwrap_or(0),
            used: MemoryUse::NAMED.map(|(what, _)| account.used(what)),
        }
    }

    fn write(&self, out: &mut String) {
        let _ = writeln!(out, "memory_limit={}", self.limit);
        let _ = writeln!(out, "memory_resident={}", self.resident);
        for ((_, name), used) in MemoryUse::NAMED.iter().zip(self.used) {
            let _ = writeln!(out, "memory.{name}={used}");
        }
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
