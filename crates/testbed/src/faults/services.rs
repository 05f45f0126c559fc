//! Faults of the origin and of discovery.

use crate::emulators::{discovery, origin};

use super::environment::FaultEnvironment;
use super::scenario::Fault;
use super::schedule::{micros, FaultScheduler};

/// `slow-origin`: slows the origin down.
pub(super) fn slow_origin(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let factor = fault.number("times");
    let duration = fault.number("for");
    environment.command_origin(origin::ControlCommand::Slow(factor));
    scheduler.after(duration, |_, environment| {
        environment.command_origin(origin::ControlCommand::Slow(1.0));
    });
}

/// `void`: invalidates a fraction of all cached values at once.
pub(super) fn invalidate(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let salt = scheduler.rng.next_u64() >> 1;
    environment.command_origin(origin::ControlCommand::Void { fraction, salt });
}

/// `discovery-down`: stops discovery for a while; its connections break. `discovery-anew`: the same, and its revisions
/// start from the beginning when it restarts.
pub(super) fn stop_discovery(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let duration = fault.number("for");
    let reset_revisions = fault.name == "discovery-anew";
    environment.kill_discovery();
    scheduler.after(duration, move |scheduler, environment| {
        let list = scheduler.list(environment);
        environment.start_discovery(list, reset_revisions);
    });
}

/// `discovery-fail`: makes discovery answer all polls with status 503.
pub(super) fn fail_discovery(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let duration = fault.number("for");
    environment.command_discovery(discovery::ControlCommand::Fail(true));
    scheduler.after(duration, |_, environment| {
        environment.command_discovery(discovery::ControlCommand::Fail(false));
    });
}

/// `discovery-late`: delays discovery's answers.
pub(super) fn delay_discovery(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let duration = fault.number("for");
    environment.command_discovery(discovery::ControlCommand::Late(micros(fault.number("by"))));
    scheduler.after(duration, |_, environment| {
        environment.command_discovery(discovery::ControlCommand::Late(0));
    });
}

/// `discovery-stale`: makes discovery answer with the list of this moment, without later changes.
pub(super) fn freeze_discovery(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let duration = fault.number("for");
    environment.command_discovery(discovery::ControlCommand::Stale(true));
    scheduler.after(duration, |_, environment| {
        environment.command_discovery(discovery::ControlCommand::Stale(false));
    });
}

/// `discovery-moves`: moves discovery to another address and reloads the nodes' configuration with it (SIGHUP); the old
/// one closes after 1.5 s.
pub(super) fn move_discovery(
    _scheduler: &mut FaultScheduler,
    _fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    environment.move_discovery();
}
