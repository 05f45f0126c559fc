//! The admin interface: readiness, metrics and evacuation. It also logs outliers and overload of the origin.

pub(crate) mod handlers;
pub(crate) mod server;

use std::collections::BTreeSet;

use sloewick_decision::api::ServerId;

use crate::metrics::Metrics;
use crate::transport::Transport;
use server::AdminServer;

/// The state of the admin interface.
pub(crate) struct Admin<N: Transport> {
    /// None if no admin listener is configured.
    pub(crate) server: Option<AdminServer<N>>,
    pub(crate) metrics: Metrics,
    /// Bytes that are charged for the admin clients.
    pub(crate) charged: usize,
    /// Servers that the log last reported as outliers.
    logged_outliers: BTreeSet<ServerId>,
    /// Whether the log last reported the origin as overloaded.
    logged_origin_overload: bool,
}

impl<N: Transport> Admin<N> {
    pub(crate) fn new(server: Option<AdminServer<N>>, class_count: usize) -> Admin<N> {
        Admin {
            server,
            metrics: Metrics::new(class_count),
            charged: 0,
            logged_outliers: BTreeSet::new(),
            logged_origin_overload: false,
        }
    }
}
