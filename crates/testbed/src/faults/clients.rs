//! Faults that clients cause.

use crate::emulators::clients;

use super::environment::FaultEnvironment;
use super::scenario::Fault;
use super::schedule::FaultScheduler;

/// `hot-keys`: concentrates a fraction of all requests on a few keys.
pub(super) fn concentrate_keys(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let duration = fault.number("for");
    let keys = fault.number("keys") as usize;
    environment.command_clients(clients::ControlCommand::Hot { keys, fraction });
    scheduler.after(duration, |_, environment| {
        environment.command_clients(clients::ControlCommand::Hot {
            keys: 0,
            fraction: 0.0,
        });
    });
}

/// `load`: multiplies the request rate by a factor.
pub(super) fn increase_load(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let factor = fault.number("times");
    let duration = fault.number("for");
    environment.command_clients(clients::ControlCommand::Rate(factor));
    scheduler.after(duration, |_, environment| {
        environment.command_clients(clients::ControlCommand::Rate(1.0));
    });
}

/// `hang-ups`: makes a fraction of the clients disconnect before the answer.
pub(super) fn disconnect_early(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let duration = fault.number("for");
    environment.command_clients(clients::ControlCommand::Impatient(fraction));
    scheduler.after(duration, |_, environment| {
        environment.command_clients(clients::ControlCommand::Impatient(0.0));
    });
}

/// `rude`: starts clients that send malformed requests, at a rate per second.
pub(super) fn misbehave(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let duration = fault.number("for");
    environment.set_misbehaving_client_rate(fault.number("rate"));
    scheduler.after(duration, |_, environment| {
        environment.set_misbehaving_client_rate(0.0);
    });
}

/// `idle-clients`: starts clients that hold idle connections after one request, and reconnect when these are closed.
pub(super) fn hold_idle_connections(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let duration = fault.number("for");
    let count = fault.number("count") as usize;
    environment.set_idle_clients(count);
    scheduler.after(duration, |_, environment| environment.set_idle_clients(0));
}
