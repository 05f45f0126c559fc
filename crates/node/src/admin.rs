//! The admin interface: readiness, metrics, evacuation. Also what is logged about outliers and the origin.

pub(crate) mod handlers;
pub(crate) mod server;

use std::collections::BTreeSet;

use sloewick_decision::api::ServerId;

use crate::metrics::Metrics;
use crate::transport::Transport;
use server::AdminServer;

/// The state of the admin interface.
pub(crate) struct Admin<N: Transport> {
    /// Present where an admin listener is configured.
    pub(crate) server: Option<AdminServer<N>>,
    pub(crate) metrics: Metrics,
    /// Servers that were logged as outliers.
    logged_outliers: BTreeSet<ServerId>,
    /// The origin was logged as overloaded.
    logged_origin_overload: bool,
}

impl<N: Transport> Admin<N> {
    pub(crate) fn new(server: Option<AdminServer<N>>, classes: usize) -> Admin<N> {
        Admin {
            server,
            metrics: Metrics::new(classes),
            logged_outliers: BTreeSet::new(),
            logged_origin_overload: false,
        }
    }
}
