//! Faults of the origin and of discovery.

use crate::emulators::{discovery, origin};

use super::environment::FaultEnvironment;
use super::scenario::Fault;
use super::schedule::{micros, FaultScheduler};

/// `slow-origin`: the origin crawls.
pub(super) fn slow_origin(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let times = fault.number("times");
    let lasts = fault.number("for");
    environment.command_origin(origin::ControlCommand::Slow(times));
    scheduler.after(lasts, |_, environment| {
        environment.command_origin(origin::ControlCommand::Slow(1.0));
    });
}

/// `void`: a part of all kept copies is void at once.
pub(super) fn invalidate(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let salt = scheduler.rng.next_u64() >> 1;
    environment.command_origin(origin::ControlCommand::Void { fraction, salt });
}

/// `discovery-down`: discovery is down; connections to it break. `discovery-anew`: discovery goes down and comes back counting its versions anew.
pub(super) fn stop_discovery(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let lasts = fault.number("for");
    let anew = fault.name == "discovery-anew";
    environment.kill_discovery();
    scheduler.after(lasts, move |scheduler, environment| {
        let list = scheduler.list(environment);
        environment.start_discovery(list, anew);
    });
}

/// `discovery-fail`: discovery answers 503.
pub(super) fn fail_discovery(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let lasts = fault.number("for");
    environment.command_discovery(discovery::ControlCommand::Fail(true));
    scheduler.after(lasts, |_, environment| {
        environment.command_discovery(discovery::ControlCommand::Fail(false));
    });
}

/// `discovery-late`: discovery's answers are held back.
pub(super) fn delay_discovery(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let lasts = fault.number("for");
    environment.command_discovery(discovery::ControlCommand::Late(micros(fault.number("by"))));
    scheduler.after(lasts, |_, environment| {
        environment.command_discovery(discovery::ControlCommand::Late(0));
    });
}

/// `discovery-stale`: discovery goes on telling the list as it stands now.
pub(super) fn freeze_discovery(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let lasts = fault.number("for");
    environment.command_discovery(discovery::ControlCommand::Stale(true));
    scheduler.after(lasts, |_, environment| {
        environment.command_discovery(discovery::ControlCommand::Stale(false));
    });
}

/// `discovery-moves`: the nodes' configuration names another discovery (SIGHUP); the old one retires after 1.5 s.
pub(super) fn move_discovery(
    _scheduler: &mut FaultScheduler,
    _fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    environment.move_discovery();
}
