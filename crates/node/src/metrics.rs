//! The node's metrics: counters since the process started, and gauges read at the moment of the request.

use std::fmt::Write;

use crate::frontend::response::FinalResponse;

/// Final responses of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct ClassCounters {
    answered: u64,
    deferred: u64,
    errored: u64,
}

/// Counters since the process started. One entry for each class, so bounded by the settings.
#[derive(Debug, Default)]
pub(crate) struct Metrics {
    classes: Vec<ClassCounters>,
}

/// The state of the node at the moment of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Gauges {
    /// Attempts written completely to cache servers since the process started.
    pub(crate) sends: u64,
    /// Requests whose responses have not been written completely.
    pub(crate) current: usize,
    /// Cache servers in the endpoint list.
    pub(crate) cluster_size: usize,
    /// Cache servers in the endpoint list that get no requests now.
    pub(crate) cluster_unhealthy: usize,
    /// Cache servers that retain only a fraction of their keys, being outliers.
    pub(crate) cluster_outliers: usize,
    /// The origin behind the cache servers counts as overloaded. The metric is named `origin_jam`.
    pub(crate) origin_overloaded: bool,
}

impl Metrics {
    pub(crate) fn new(classes: usize) -> Metrics {
        Metrics {
            classes: vec![ClassCounters::default(); classes],
        }
    }

    /// Counts a final response.
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

    /// One line for each metric: `name=number`, those of a class as `name.CLASS=number`.
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
        out
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
