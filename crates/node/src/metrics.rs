//! What operators read of a node: counts since the process began, and what is held now.

use std::fmt::Write;

use crate::front::Final;

/// Final answers of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Ends {
    pub answered: u64,
    pub deferred: u64,
    pub errored: u64,
}

/// Counts since the process began. One entry a class, so bounded by the settings.
#[derive(Debug, Default)]
pub struct Figures {
    ends: Vec<Ends>,
}

/// What the node holds at the moment of the call.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Held {
    /// Attempts written whole to cache servers since the process began.
    pub sends: u64,
    /// Requests taken whose answers have not left whole.
    pub current: usize,
    /// Cache servers in the list, and those of them that are avoided.
    pub cluster_size: usize,
    pub cluster_unhealthy: usize,
    /// Those that keep only part of their keys, since they fail or are slow by themselves.
    pub cluster_outliers: usize,
    /// The origin behind the servers is taken for jammed.
    pub origin_jam: bool,
}

impl Figures {
    pub fn new(classes: usize) -> Figures {
        Figures {
            ends: vec![Ends::default(); classes],
        }
    }

    /// A final answer was given.
    pub fn count(&mut self, class: usize, end: &Final) {
        let Some(ends) = self.ends.get_mut(class) else {
            return;
        };
        match end {
            Final::Value(_) | Final::NoValue => ends.answered += 1,
            Final::Busy(_) => ends.deferred += 1,
            Final::Failed => ends.errored += 1,
        }
    }

    /// One line a figure: `name=number`, a class's figures under `name.CLASS`.
    pub fn text<'a>(&self, class: impl Fn(usize) -> &'a str, held: Held) -> String {
        let mut out = String::new();
        for (i, ends) in self.ends.iter().enumerate() {
            let class = class(i);
            for (name, count) in [
                ("answered", ends.answered),
                ("deferred", ends.deferred),
                ("errored", ends.errored),
            ] {
                let _ = writeln!(out, "{name}.{class}={count}");
            }
        }
        let rest = [
            ("sends", held.sends),
            ("current", held.current as u64),
            ("cluster_size", held.cluster_size as u64),
            ("cluster_unhealthy", held.cluster_unhealthy as u64),
            ("cluster_outliers", held.cluster_outliers as u64),
            ("origin_jam", u64::from(held.origin_jam)),
        ];
        for (name, count) in rest {
            let _ = writeln!(out, "{name}={count}");
        }
        out
    }
}

#[cfg(test)]
#[path = "metrics_tests.rs"]
mod tests;
