//! Balancers of the nodes, and the names by which they know the servers. Holds no state.

use std::sync::Arc;

use sloewick_decision::api::{
    Endpoint, EndpointListKind, Event, Micros, ServerId, ServerState, Settings,
};
use sloewick_decision::Balancer;

/// Name of a server.
pub(crate) fn server_id(server: usize) -> ServerId {
    format!("s{server}").into()
}

/// Number of a server, from its name.
///
/// # Panics
///
/// If the name is not one of an [`endpoint`].
pub fn server_number(server: &ServerId) -> usize {
    server[1..].parse().expect("servers are numbered")
}

/// A live server of weight 1, without zone or start time.
pub fn endpoint(server: usize) -> Endpoint {
    Endpoint {
        server: server_id(server),
        weight: 1.0,
        zone: None,
        kind: None,
        state: ServerState::Live,
        started: None,
        cell: None,
    }
}

/// Starts the balancer of a node with this number, which has received the complete endpoint list.
///
/// # Panics
///
/// If the balancer does not accept the settings.
pub fn start_balancer(
    settings: &Settings,
    number: usize,
    seed: u64,
    now: Micros,
    endpoints: Arc<[Endpoint]>,
) -> Balancer {
    let settings = Settings {
        node_number: Some(number as u64),
        ..settings.clone()
    };
    let mut balancer = Balancer::new(settings, seed, now).expect("valid settings");
    let list = Event::EndpointList(EndpointListKind::Full, endpoints);
    balancer.handle(now, list, &mut Vec::new());
    balancer
}
