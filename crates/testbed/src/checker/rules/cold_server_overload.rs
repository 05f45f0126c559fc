//! A server that is warming up is not sent more than it can take, and does not fail under its load.
//!
//! Looked at is the work that all nodes sent within the time to a failure; a server's first overload is reported when
//! nodes that knew of its start sent two thirds of that work.

use std::collections::{HashMap, VecDeque};

use sloewick_decision::api::Micros;

use crate::checker::history::History;
use crate::checker::observations::{Event, Observation};
use crate::checker::violation::Rule;
use crate::checker::Statistics;
use crate::checker::{Check, Finding};

/// An attempt that came to a server.
#[derive(Debug)]
struct Work {
    at: Micros,
    node: usize,
    /// The work drawn for this attempt.
    drawn: Micros,
    /// The mean work of its class.
    mean: Micros,
}

/// A server that started cold.
#[derive(Debug)]
struct ColdServer {
    started: Micros,
    /// Its speed once it is warm, as a fraction of a standard core.
    speed: f64,
    reported: bool,
}

/// Recent work of every server, and the servers that started cold.
#[derive(Default)]
pub(super) struct ColdServerOverload {
    work: HashMap<usize, VecDeque<Work>>,
    cold: HashMap<usize, ColdServer>,
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

    /// Whether a server that is warming up was sent more than it can take and chance allows.
    fn check_load(&mut self, at: Micros, server: usize, history: &History) -> Option<String> {
        let limits = &history.requirements.cold;
        let cold = self.cold.get(&server)?;
        if cold.reported || at - cold.started >= limits.warm_up_time {
            return None;
        }
        let fall = history.requirements.overload_window;
        let capacity = limits.borne(cold.speed, at - cold.started, fall);
        let mean_work = self.work.get(&server)?.iter().map(|w| w.mean);
        let requests = mean_work.sum::<Micros>() as f64 / limits.unit();
        self.max_load = self.max_load.max(requests / capacity);
        if requests <= capacity {
            return None;
        }
        let what = format!("{requests:.1} requests of mean work, where it bears {capacity:.1}");
        self.attribute(at, server, history, &what, |work| work.mean)
    }

    fn failed(&mut self, at: Micros, server: usize, history: &History) -> Option<String> {
        let recent = self.work.get(&server).into_iter().flatten();
        let total: Micros = recent.map(|w| w.drawn).sum();
        let what = format!("{} ms of work", total / 1000);
        self.attribute(at, server, history, &what, |work| work.drawn)
    }

    /// The first overload of a server is the fault of the nodes that knew of its start, where they sent two thirds.
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
        let knew = |w: &&Work| history.knowledge.knows_start(w.node, server, at);
        let total: Micros = recent().map(amount).sum();
        let informed: Micros = recent().filter(knew).map(amount).sum();
        (informed * 3 >= total * 2).then(|| {
            format!(
                "box {server} fell: {what} in {} ms, {}% of it from nodes that knew of its start",
                history.requirements.overload_window / 1000,
                100 * informed / total.max(1)
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
