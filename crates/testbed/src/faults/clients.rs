//! Faults that clients cause.

use crate::emulators::clients;

use super::environment::FaultEnvironment;
use super::scenario::Fault;
use super::schedule::FaultScheduler;

/// `hot-keys`: a few keys draw a part of all requests.
pub(super) fn concentrate_keys(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let lasts = fault.number("for");
    let keys = fault.number("keys") as usize;
    environment.command_clients(clients::ControlCommand::Hot { keys, fraction });
    scheduler.after(lasts, |_, environment| {
        environment.command_clients(clients::ControlCommand::Hot {
            keys: 0,
            fraction: 0.0,
        });
    });
}

/// `load`: so many times the usual rate.
pub(super) fn increase_load(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let times = fault.number("times");
    let lasts = fault.number("for");
    environment.command_clients(clients::ControlCommand::Rate(times));
    scheduler.after(lasts, |_, environment| {
        environment.command_clients(clients::ControlCommand::Rate(1.0));
    });
}

/// `hang-ups`: a part of the clients leaves early.
pub(super) fn disconnect_early(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let lasts = fault.number("for");
    environment.command_clients(clients::ControlCommand::Impatient(fraction));
    scheduler.after(lasts, |_, environment| {
        environment.command_clients(clients::ControlCommand::Impatient(0.0));
    });
}

/// `rude`: clients that send what can't be read, so many a second.
pub(super) fn misbehave(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let lasts = fault.number("for");
    environment.set_misbehaving_client_rate(fault.number("rate"));
    scheduler.after(lasts, |_, environment| {
        environment.set_misbehaving_client_rate(0.0);
    });
}

/// `idle-clients`: clients that asked once rest on their connections, and come back when they are ended.
pub(super) fn hold_idle_connections(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let lasts = fault.number("for");
    let count = fault.number("count") as usize;
    environment.set_idle_clients(count);
    scheduler.after(lasts, |_, environment| environment.set_idle_clients(0));
}
