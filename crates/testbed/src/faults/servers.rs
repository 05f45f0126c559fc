//! Faults of cache servers.

use crate::checker::observations::AnnouncedState;
use crate::emulators::cache_server;

use super::environment::FaultEnvironment;
use super::scenario::Fault;
use super::schedule::{micros, FaultScheduler, Server, NOTICE_DELAY};

/// `crash-boxes`: crashes cache servers; a cold successor with a new id starts later.
pub(super) fn crash(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let count = fault.number("count") as usize;
    let restart_delay = fault.number("back");
    for number in scheduler.pick_servers(count) {
        let zone = scheduler.servers[number].zone;
        scheduler.crash(number, environment);
        scheduler.after(restart_delay, move |scheduler, environment| {
            scheduler.start_successor(None, zone, environment);
        });
    }
}

/// `reborn-boxes`: crashes cache servers and restarts them at once at the same address, cold and with a new id.
pub(super) fn restart_at_same_address(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let count = fault.number("count") as usize;
    for number in scheduler.pick_servers(count) {
        let (address, zone) = (
            scheduler.servers[number].address,
            scheduler.servers[number].zone,
        );
        scheduler.crash(number, environment);
        scheduler.start_successor(Some(address), zone, environment);
    }
}

/// `vanish-boxes`: stops all traffic of machines; their connections stay open; the server returns cold later.
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

/// `lose-zone`: stops all traffic of the cache servers of a zone; they return cold later.
pub(super) fn lose_zone(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let zone = scheduler.rng.below(2);
    let in_zone = |server: &Server| server.zone == zone && server.alive && !server.excluded;
    let lost: Vec<usize> = (0..scheduler.servers.len())
        .filter(|i| in_zone(&scheduler.servers[*i]))
        .collect();
    for number in lost {
        scheduler.isolate(number, fault.number("back"), environment);
    }
}

/// `bad-boxes`: makes some cache servers answer a fraction of their attempts with an error after execution.
pub(super) fn fail_attempts(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let duration = fault.number("for");
    let count = fault.number("count") as usize;
    for number in scheduler.pick_servers(count) {
        environment.command_server(number, cache_server::ControlCommand::Errors(fraction));
        scheduler.after(duration, move |_, environment| {
            environment.command_server(number, cache_server::ControlCommand::Errors(0.0));
        });
    }
}

/// `stall-boxes`: stalls cache servers for a while; they do their queued work later.
pub(super) fn stall(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let duration = fault.number("for");
    let count = fault.number("count") as usize;
    for number in scheduler.pick_servers(count) {
        environment.command_server(
            number,
            cache_server::ControlCommand::Stall(micros(duration)),
        );
    }
}

/// `slow-boxes`: slows cache servers down.
pub(super) fn slow_down(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let factor = fault.number("times");
    let duration = fault.number("for");
    let count = fault.number("count") as usize;
    for number in scheduler.pick_servers(count) {
        environment.command_server(number, cache_server::ControlCommand::Slow(factor));
        scheduler.after(duration, move |_, environment| {
            environment.command_server(number, cache_server::ControlCommand::Slow(1.0));
        });
    }
}

/// `spoil`: corrupts a fraction of the responses of all cache servers.
pub(super) fn corrupt_responses(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    command_all(
        scheduler,
        fault,
        cache_server::ControlCommand::Spoil,
        environment,
    );
}

/// `surplus`: appends surplus bytes to a fraction of the responses of all cache servers.
pub(super) fn append_surplus_bytes(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    command_all(
        scheduler,
        fault,
        cache_server::ControlCommand::Surplus,
        environment,
    );
}

/// `late-surplus`: sends a fraction of the responses of all cache servers twice, the second time some milliseconds late.
pub(super) fn repeat_responses_late(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    command_all(
        scheduler,
        fault,
        cache_server::ControlCommand::LateSurplus,
        environment,
    );
}

/// `errors`: makes all cache servers answer a fraction of the attempts with an error after execution.
pub(super) fn fail_attempts_everywhere(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    command_all(
        scheduler,
        fault,
        cache_server::ControlCommand::Errors,
        environment,
    );
}

/// `deploy`: replaces a fraction of the cache servers one by one: drains it, ends it, starts a cold successor.
pub(super) fn deploy(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    _environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let (period, grace) = (fault.number("over"), fault.number("grace"));
    let count = (fraction * scheduler.servers.len() as f64).ceil() as usize;
    let mut replaced = scheduler.pick_servers(count);
    replaced.sort_unstable();
    let step = period / replaced.len().max(1) as f64;
    for (i, number) in replaced.into_iter().enumerate() {
        scheduler.servers[number].excluded = true;
        scheduler.after(step * i as f64, move |scheduler, environment| {
            replace(scheduler, number, grace, environment);
        });
    }
}

/// `relist`: puts the last ended cache server into the endpoint list again for a while.
pub(super) fn list_ended_server_again(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let duration = fault.number("for");
    let ended = (0..scheduler.servers.len()).rfind(|i| !scheduler.servers[*i].alive);
    if let Some(number) =
        ended.filter(|i| scheduler.servers[*i].announced == AnnouncedState::Removed)
    {
        let boot = scheduler.now;
        scheduler.announce(number, AnnouncedState::InService { boot }, environment);
        scheduler.after(duration, move |scheduler, environment| {
            scheduler.announce(number, AnnouncedState::Removed, environment);
        });
    }
}

/// Sends all servers a command with this fraction, and with 0 at the end of the fault.
fn command_all(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    command: fn(f64) -> cache_server::ControlCommand,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let duration = fault.number("for");
    for number in 0..scheduler.servers.len() {
        environment.command_server(number, command(fraction));
    }
    scheduler.after(duration, move |scheduler, environment| {
        (0..scheduler.servers.len()).for_each(|n| environment.command_server(n, command(0.0)));
    });
}

/// Starts a cold successor of a server, drains the server, and ends it after the grace period.
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
    // The server rejects new requests once the nodes have had time to stop sending them.
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
