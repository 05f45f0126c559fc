//! What operators ask of the node: calls, figures, and letting clients go when it leaves.

use std::collections::BTreeSet;

use sloewick_decision::api::{Micros, ServerId};

use super::{DecisionEngine, Node, CALLER, OPS};
use crate::admin::{Answer, Call};
use crate::metrics::Held;
use crate::transport::{ReadyEvent, Transport};

/// A server that keeps less than this part of its keys is logged.
const OUTLIER_TOLD: f64 = 0.5;

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    pub(super) fn accept_callers(&mut self) {
        let now = self.now();
        if let Some(ops) = &mut self.ops {
            ops.accept(&mut self.net, now);
        }
    }

    /// Something happened on the operators' listener or on one of their connections.
    pub(super) fn called(&mut self, event: &ReadyEvent, now: Micros) {
        let Some(mut ops) = self.ops.take() else {
            return;
        };
        match event.token {
            OPS => ops.waiting(),
            token => {
                let mut scratch = std::mem::take(&mut self.scratch);
                ops.ready(token - CALLER, event, now, &mut scratch, |call| {
                    self.answer_call(call, now)
                });
                self.scratch = scratch;
            }
        }
        self.ops = Some(ops);
    }

    fn answer_call(&mut self, call: Call, now: Micros) -> Answer {
        let yes = |text: &str| (200, text.to_string());
        match call {
            Call::ReadyEvent if self.life.ready(now) => yes("ready\n"),
            Call::ReadyEvent => (503, "not ready\n".to_string()),
            Call::Telemetry => {
                let held = self.held(now);
                (
                    200,
                    self.figures
                        .text(|class| self.names.class_name(class), held),
                )
            }
            Call::Evacuate if self.life.evacuate(now) => {
                self.log.line(&mut self.net, "told to send clients away");
                yes("evacuating\n")
            }
            Call::Rejoin if self.life.rejoin() => {
                self.log.line(&mut self.net, "told to take clients");
                yes("serving\n")
            }
            Call::Evacuate | Call::Rejoin => (409, "this process is stopping\n".to_string()),
        }
    }

    fn held(&self, now: Micros) -> Held {
        let avoided = self
            .upstreams
            .servers()
            .filter(|server| self.module.is_unavailable(now, server));
        Held {
            sends: self.upstreams.sends,
            current: self.clients.iter().map(|(_, client)| client.owed()).sum(),
            cluster_size: self.upstreams.servers().count(),
            cluster_unhealthy: avoided.count(),
            cluster_outliers: self.outliers().count(),
            origin_jam: self.module.origin_overloaded(now),
        }
    }

    /// Listed servers that keep only part of their keys.
    fn outliers(&self) -> impl Iterator<Item = &ServerId> {
        self.upstreams
            .servers()
            .filter(|server| self.module.retained_fraction(server) < 1.0)
    }

    /// Logs which servers have lost most of their keys, and which have all of them again, since it was asked last.
    /// What lies between is told in neither direction, or a server near the bar would fill the log.
    pub(super) fn tell_outliers(&mut self) {
        let told = &self.outliers;
        let worse = |server: &&ServerId| {
            told.contains(*server) || self.module.retained_fraction(server) < OUTLIER_TOLD
        };
        let now: BTreeSet<ServerId> = self.outliers().filter(worse).cloned().collect();
        for server in now.difference(&self.outliers) {
            self.log.line(
                &mut self.net,
                &format!("outlier: {server} has lost most of its keys"),
            );
        }
        for server in self
            .outliers
            .difference(&now)
            .filter(|gone| self.upstreams.servers().any(|s| s == *gone))
        {
            self.log.line(
                &mut self.net,
                &format!("outlier: {server} has all of its keys again"),
            );
        }
        self.outliers = now;
    }

    /// Logs when the origin is taken for jammed, and when no more.
    pub(super) fn tell_jam(&mut self, now: Micros) {
        let origin_overloaded = self.module.origin_overloaded(now);
        if std::mem::replace(&mut self.origin_overloaded, origin_overloaded) != origin_overloaded {
            let line = if origin_overloaded {
                "origin: jam, fetches and writes hardly answered"
            } else {
                "origin: jam over"
            };
            self.log.line(&mut self.net, line);
        }
    }

    /// Ends a connection on which nothing is owed, when the node is leaving and it is time for this one.
    pub(super) fn let_go(&mut self, key: usize, now: Micros) {
        let Some(client) = self.clients.get_mut(key) else {
            return;
        };
        let (came, asked) = client.times();
        if self.life.lets_go(now, came, asked) && client.quiet() {
            client.close_after_answers();
            // At once: what comes between the look and the end of sending would be read and not be answered.
            if client.finish(now) {
                return self.drop_client(key);
            }
            self.mark(key);
        }
    }
}
