//! Faults of cache servers.

use crate::checker::observations::AnnouncedState;
use crate::emulators::cache_server;

use super::environment::FaultEnvironment;
use super::scenario::Fault;
use super::schedule::{micros, FaultScheduler, Server, NOTICE_DELAY};

/// `crash-boxes`: cache boxes die; a cold successor under a new id comes later.
pub(super) fn crash(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let count = fault.number("count") as usize;
    let back = fault.number("back");
    for number in scheduler.pick_servers(count) {
        let zone = scheduler.servers[number].zone;
        scheduler.crash(number, environment);
        scheduler.after(back, move |scheduler, environment| {
            scheduler.start_successor(None, zone, environment);
        });
    }
}

/// `reborn-boxes`: cache boxes die and come back at once at the same address under a new id, cold.
pub(super) fn restart_at_same_address(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let count = fault.number("count") as usize;
    for number in scheduler.pick_servers(count) {
        let (place, zone) = (
            scheduler.servers[number].place,
            scheduler.servers[number].zone,
        );
        scheduler.crash(number, environment);
        scheduler.start_successor(Some(place), zone, environment);
    }
}

/// `vanish-boxes`: machines fall silent; their connections stay open; the same box is back, cold, later.
pub(super) fn isolate(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let count = fault.number("count") as usize;
    for number in scheduler.pick_servers(count) {
        scheduler.isolate(number, fault.number("back"), environment);
    }
}

/// `lose-zone`: all boxes of a zone fall silent; they are back, cold, later.
pub(super) fn lose_zone(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let zone = scheduler.rng.below(2);
    let in_zone = |m: &Server| m.zone == zone && m.alive && !m.leaving;
    let lost: Vec<usize> = (0..scheduler.servers.len())
        .filter(|i| in_zone(&scheduler.servers[*i]))
        .collect();
    for number in lost {
        scheduler.isolate(number, fault.number("back"), environment);
    }
}

/// `bad-boxes`: some boxes end a part of their attempts in an error after it has run.
pub(super) fn fail_attempts(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let lasts = fault.number("for");
    let count = fault.number("count") as usize;
    for number in scheduler.pick_servers(count) {
        environment.command_server(number, cache_server::ControlCommand::Errors(fraction));
        scheduler.after(lasts, move |_, environment| {
            environment.command_server(number, cache_server::ControlCommand::Errors(0.0));
        });
    }
}

/// `stall-boxes`: cache boxes do nothing for a while; what waits there is done later.
pub(super) fn stall(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let lasts = fault.number("for");
    let count = fault.number("count") as usize;
    for number in scheduler.pick_servers(count) {
        environment.command_server(number, cache_server::ControlCommand::Stall(micros(lasts)));
    }
}

/// `slow-boxes`: cache boxes work slower.
pub(super) fn slow_down(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let times = fault.number("times");
    let lasts = fault.number("for");
    let count = fault.number("count") as usize;
    for number in scheduler.pick_servers(count) {
        environment.command_server(number, cache_server::ControlCommand::Slow(times));
        scheduler.after(lasts, move |_, environment| {
            environment.command_server(number, cache_server::ControlCommand::Slow(1.0));
        });
    }
}

/// `spoil`: a part of the answers can't be read.
pub(super) fn corrupt_responses(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let lasts = fault.number("for");
    command_all(
        scheduler,
        fraction,
        lasts,
        cache_server::ControlCommand::Spoil,
        environment,
    );
}

/// `surplus`: a part of the answers brings more than belongs to it.
pub(super) fn append_surplus_bytes(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let lasts = fault.number("for");
    command_all(
        scheduler,
        fraction,
        lasts,
        cache_server::ControlCommand::Surplus,
        environment,
    );
}

/// `errors`: a part of the attempts ends in an error after it has run.
pub(super) fn fail_attempts_everywhere(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let lasts = fault.number("for");
    command_all(
        scheduler,
        fraction,
        lasts,
        cache_server::ControlCommand::Errors,
        environment,
    );
}

/// `deploy`: a part of the fleet is replaced, some boxes at a time: drained, ended, succeeded cold.
pub(super) fn deploy(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    _environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let (over, grace) = (fault.number("over"), fault.number("grace"));
    let count = (fraction * scheduler.servers.len() as f64).ceil() as usize;
    let mut old = scheduler.pick_servers(count);
    old.sort_unstable();
    let step = over / old.len().max(1) as f64;
    for (i, number) in old.into_iter().enumerate() {
        scheduler.servers[number].leaving = true;
        scheduler.after(step * i as f64, move |scheduler, environment| {
            replace(scheduler, number, grace, environment);
        });
    }
}

/// `relist`: a box that has gone is named in the list again for a while.
pub(super) fn list_ended_server_again(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let lasts = fault.number("for");
    let gone = (0..scheduler.servers.len()).rfind(|i| !scheduler.servers[*i].alive);
    if let Some(number) =
        gone.filter(|i| scheduler.servers[*i].announced == AnnouncedState::Removed)
    {
        let boot = scheduler.now;
        scheduler.announce(number, AnnouncedState::InService { boot }, environment);
        scheduler.after(lasts, move |scheduler, environment| {
            scheduler.announce(number, AnnouncedState::Removed, environment);
        });
    }
}

/// Gives all servers a command with this fraction, and with 0 when the fault is over.
fn command_all(
    scheduler: &mut FaultScheduler,
    fraction: f64,
    lasts: f64,
    command: fn(f64) -> cache_server::ControlCommand,
    environment: &mut dyn FaultEnvironment,
) {
    for number in 0..scheduler.servers.len() {
        environment.command_server(number, command(fraction));
    }
    scheduler.after(lasts, move |scheduler, environment| {
        (0..scheduler.servers.len()).for_each(|n| environment.command_server(n, command(0.0)));
    });
}

/// Drains a server, ends it after the grace period, and starts a cold successor beside it.
fn replace(
    scheduler: &mut FaultScheduler,
    number: usize,
    grace: f64,
    environment: &mut dyn FaultEnvironment,
) {
    if !scheduler.servers[number].alive {
        return;
    }
    scheduler.announce(number, AnnouncedState::Draining, environment);
    // It rejects what still comes once nodes had time to stop sending.
    scheduler.after(2.0 + NOTICE_DELAY.0, move |_, environment| {
        environment.command_server(number, cache_server::ControlCommand::Drain);
    });
    let zone = scheduler.servers[number].zone;
    scheduler.start_successor(None, zone, environment);
    scheduler.after(grace + 2.0, move |scheduler, environment| {
        if std::mem::replace(&mut scheduler.servers[number].alive, false) {
            environment.kill_server(number);
            scheduler.announce(number, AnnouncedState::Removed, environment);
        }
    });
}
