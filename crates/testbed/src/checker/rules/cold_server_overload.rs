//! Nodes do not send a server more work during its slow start than it can process, and the server does not fail of it.
//!
//! The check sums the work that all nodes sent to the server within [`Requirements::overload_window`]. It reports a
//! server's first overload if at least two thirds of that work came from nodes that had been notified of its start.
//!
//! [`Requirements::overload_window`]: crate::requirements::Requirements::overload_window

use std::collections::{HashMap, VecDeque};
use std::fmt;

use sloewick_decision::api::Micros;

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::Statistics;
use crate::checker::{Check, Finding};

/// The work of an attempt that a server received.
#[derive(Debug)]
struct Work {
    /// When the server received it.
    at: Micros,
    /// The node that sent it.
    node: usize,
    /// Processing time drawn for this attempt.
    drawn: Micros,
    /// Mean processing time of its class.
    mean: Micros,
}

/// A server that started cold.
#[derive(Debug)]
struct ColdServer {
    started: Micros,
    /// Speed once it is warm, as a multiple of a standard core's.
    speed: f64,
    /// An overload of it has been attributed; further ones are not reported.
    reported: bool,
}

/// What a server was sent within the overload window, and what it can process in that time.
#[derive(Debug)]
struct Load {
    /// Requests of the least mean work.
    requests: f64,
    capacity: f64,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Load { requests, capacity } = self;
        write!(
            f,
            "{requests:.1} requests of mean work, with a capacity of {capacity:.1}"
        )
    }
}

/// Recent work of every server, and the servers that started cold.
#[derive(Default)]
pub(super) struct ColdServerOverload {
    /// By server: the work of the overload window, oldest first.
    work: HashMap<usize, VecDeque<Work>>,
    cold: HashMap<usize, ColdServer>,
    /// Highest load so far, as a fraction of what a server can process in the window.
    max_load: f64,
}

impl ColdServerOverload {
    fn record(&mut self, server: usize, work: Work, window: Micros) {
        let now = work.at;
        let recent = self.work.entry(server).or_default();
        recent.push_back(work);
        while recent.front().is_some_and(|old| now - old.at > window) {
            recent.pop_front();
        }
    }

    /// The load of a server that has started cold.
    fn load(&self, at: Micros, server: usize, history: &History) -> Option<Load> {
        let limits = &history.requirements.cold;
        let cold = self.cold.get(&server)?;
        let window = history.requirements.overload_window;
        let mean_work = self.work.get(&server)?.iter().map(|w| w.mean);
        Some(Load {
            requests: mean_work.sum::<Micros>() as f64 / limits.least_work(),
            capacity: limits.capacity(cold.speed, at - cold.started, window),
        })
    }

    /// Describes the overload if a server in its slow start was sent more than its capacity, which allows for chance.
    fn check_load(&mut self, at: Micros, server: usize, history: &History) -> Option<String> {
        let cold = self.cold.get(&server)?;
        if cold.reported || at - cold.started >= history.requirements.cold.warm_up_time {
            return None;
        }
        let load = self.load(at, server, history)?;
        self.max_load = self.max_load.max(load.requests / load.capacity);
        if load.requests <= load.capacity {
            return None;
        }
        self.attribute(at, server, history, &load.to_string(), |work| work.mean)
    }

    /// Describes the overload of which a server failed.
    fn failed(&mut self, at: Micros, server: usize, history: &History) -> Option<String> {
        let recent = self.work.get(&server).into_iter().flatten();
        let total: Micros = recent.map(|w| w.drawn).sum();
        let load = self.load(at, server, history);
        let load = load.map_or(String::new(), |load| format!(" ({load})"));
        let what = format!("{} ms of work{load}", total / 1000);
        self.attribute(at, server, history, &what, |work| work.drawn)
    }

    /// Describes a server's first overload if at least two thirds of its work came from nodes that had been notified of
    /// its start.
    fn attribute(
        &mut self,
        at: Micros,
        server: usize,
        history: &History,
        what: &str,
        amount: fn(&Work) -> Micros,
    ) -> Option<String> {
        if let Some(cold) = self.cold.get_mut(&server) {
            if std::mem::replace(&mut cold.reported, true) {
                return None;
            }
        }
        let recent = || self.work.get(&server).into_iter().flatten();
        let from_notified = |w: &&Work| history.knowledge.knows_start(w.node, server, at);
        let total: Micros = recent().map(amount).sum();
        let notified: Micros = recent().filter(from_notified).map(amount).sum();
        (notified * 3 >= total * 2).then(|| {
            format!(
                "cache server {server} was overloaded: {what} in {} ms, {}% of it from nodes that knew of its start",
                history.requirements.overload_window / 1000,
                100 * notified / total.max(1)
            )
        })
    }
}

impl Check for ColdServerOverload {
    fn rule(&self) -> Rule {
        Rule::NoColdServerOverloaded
    }

    fn observe(&mut self, observation: &Observation, history: &History) -> Option<Finding> {
        let at = observation.at;
        let why = match &observation.event {
            Event::ServerStarted {
                server,
                cold: true,
                speed,
            } => {
                let cold = ColdServer {
                    started: at,
                    speed: *speed,
                    reported: false,
                };
                self.cold.insert(*server, cold);
                None
            }
            Event::Attempt {
                id, server, work, ..
            } => {
                let request = history.request(id)?;
                let mean = history.requirements.cold.mean_work.get(request.class);
                let work = Work {
                    at,
                    node: request.node,
                    drawn: *work,
                    mean: mean.copied().unwrap_or(*work),
                };
                self.record(*server, work, history.requirements.overload_window);
                self.check_load(at, *server, history)
            }
            Event::ServerOverloaded { server } => self.failed(at, *server, history),
            _ => None,
        };
        Some(Finding::without_request(observation, why?))
    }

    fn collect(&self, statistics: &mut Statistics) {
        statistics.max_cold_load = self.max_load;
    }
}
