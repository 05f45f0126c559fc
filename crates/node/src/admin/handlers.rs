//! Responds to admin requests, and logs outliers and overload of the origin.

use std::collections::BTreeSet;

use sloewick_decision::api::{Micros, ServerId};

use crate::admin::server::{AdminRequest, AdminResponse};
use crate::admin::Admin;
use crate::engine::{DecisionEngine, EngineQueue};
use crate::io::Io;
use crate::lifecycle::Lifecycle;
use crate::metrics::{Gauges, MemoryGauges};
use crate::transport::{Stream, Transport};
use crate::upstream::pool::UpstreamPools;

/// A server that retains less than this fraction of its keys is logged as an outlier.
const OUTLIER_LOG_THRESHOLD: f64 = 0.5;

/// The components that the gauges are read from.
pub(crate) struct GaugeSources<'a, S, M> {
    pub(crate) upstreams: &'a UpstreamPools<S>,
    pub(crate) engine: &'a EngineQueue<M>,
    /// Number of requests whose responses have not been written completely.
    pub(crate) unfinished_responses: usize,
    pub(crate) memory: MemoryGauges,
}

impl<S: Stream, M: DecisionEngine> GaugeSources<'_, S, M> {
    fn read(&self, now: Micros) -> Gauges {
        let decision = &self.engine.engine;
        let servers = || self.upstreams.servers();
        Gauges {
            sends: self.upstreams.attempts_written,
            current: self.unfinished_responses,
            cluster_size: servers().count(),
            cluster_unhealthy: servers()
                .filter(|server| decision.is_unavailable(now, server))
                .count(),
            cluster_outliers: outliers(self.upstreams, decision).count(),
            origin_overloaded: decision.origin_overloaded(now),
            memory: self.memory,
        }
    }
}

/// Servers in the endpoint list that retain only a fraction of their keys.
fn outliers<'a, S: Stream, M: DecisionEngine>(
    upstreams: &'a UpstreamPools<S>,
    decision: &'a M,
) -> impl Iterator<Item = &'a ServerId> {
    upstreams
        .servers()
        .filter(|server| decision.retained_fraction(server) < 1.0)
}

impl<N: Transport> Admin<N> {
    /// Performs an admin request and returns its response.
    pub(crate) fn handle<M: DecisionEngine>(
        &self,
        request: AdminRequest,
        now: Micros,
        lifecycle: &mut Lifecycle,
        io: &mut Io<N>,
        sources: &GaugeSources<'_, N::Stream, M>,
    ) -> AdminResponse {
        match request {
            AdminRequest::Ready if lifecycle.is_ready(now) => AdminResponse::new(200, "ready\n"),
            AdminRequest::Ready => AdminResponse::new(503, "not ready\n"),
            AdminRequest::Metrics => {
                let names = &sources.engine.names;
                let gauges = sources.read(now);
                let class_name = |class| names.class_name(class);
                AdminResponse::new(200, self.metrics.text(class_name, &gauges))
            }
            AdminRequest::Evacuate if lifecycle.evacuate(now) => {
                io.log("evacuation_started: requested_by=admin");
                AdminResponse::new(200, "evacuating\n")
            }
            AdminRequest::Rejoin if lifecycle.rejoin() => {
                io.log("evacuation_ended: requested_by=admin");
                AdminResponse::new(200, "serving\n")
            }
            AdminRequest::Evacuate | AdminRequest::Rejoin => {
                AdminResponse::new(409, "this process is stopping\n")
            }
        }
    }

    /// Logs the servers that have lost most of their keys since the last call, and those that have all of them again. Changes
    /// of the retained fraction between the two are not logged, or a server close to the threshold would fill the log.
    pub(crate) fn log_outliers<M: DecisionEngine>(
        &mut self,
        upstreams: &UpstreamPools<N::Stream>,
        decision: &M,
        io: &mut Io<N>,
    ) {
        let logged = &self.logged_outliers;
        let is_reported = |server: &&ServerId| {
            logged.contains(*server) || decision.retained_fraction(server) < OUTLIER_LOG_THRESHOLD
        };
        let current: BTreeSet<ServerId> = outliers(upstreams, decision)
            .filter(is_reported)
            .cloned()
            .collect();
        for server in current.difference(logged) {
            io.log(&format!("outlier: {server} has lost most of its keys"));
        }
        let is_listed = |server: &&ServerId| upstreams.servers().any(|s| s == *server);
        for server in logged.difference(&current).filter(is_listed) {
            io.log(&format!("outlier: {server} has all of its keys again"));
        }
        self.logged_outliers = current;
    }

    /// Logs when the origin becomes overloaded, and when the overload is over.
    pub(crate) fn log_origin_overload(&mut self, is_overloaded: bool, io: &mut Io<N>) {
        if self.logged_origin_overload != is_overloaded {
            self.logged_origin_overload = is_overloaded;
            io.log(if is_overloaded {
                "origin: jam, fetches and writes hardly answered"
            } else {
                "origin: jam over"
            });
        }
    }
}
