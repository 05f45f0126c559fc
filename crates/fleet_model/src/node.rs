//! Creates the nodes' balancers, and converts between the numbers and the ids of servers. Holds no state.

use std::sync::Arc;

use sloewick_decision::api::{
    Endpoint, EndpointListKind, Event, Micros, ServerId, ServerState, Settings,
};
use sloewick_decision::Balancer;

/// The id of a server in endpoint lists, from its number.
pub(crate) fn server_id(server: usize) -> ServerId {
    format!("s{server}").into()
}

/// The number of a server, from its id in endpoint lists.
///
/// # Panics
///
/// If the id is not one that [`endpoint`] creates.
pub fn server_number(server: &ServerId) -> usize {
    server[1..]
        .parse()
        .expect("a server id is \"s\" and a number")
}

/// The endpoint list's entry for a live server of weight 1, without zone, kind, start time or cell.
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

/// Creates the balancer of the node with this number and passes the complete endpoint list to it.
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
