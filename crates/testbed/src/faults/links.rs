//! Faults of the links between nodes and servers.

use sloewick_decision::api::Micros;

use super::environment::FaultEnvironment;
use super::scenario::Fault;
use super::schedule::{micros, FaultScheduler};

/// `partition`: cuts the links between all nodes and some cache servers in one direction or both.
pub(super) fn partition(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let duration = fault.number("for");
    let count = fault.number("count") as usize;
    let direction = fault.word("way");
    for number in scheduler.pick_servers(count) {
        for from_server in [true, false] {
            if direction == "both" || (direction == "from-boxes") == from_server {
                environment.cut_link(number, from_server, true);
                scheduler.after(duration, move |_, environment| {
                    environment.cut_link(number, from_server, false);
                });
            }
        }
    }
}

/// `resets`: resets a fraction of the connections between nodes and cache servers each tenth of a second.
pub(super) fn reset_connections(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let duration = fault.number("for");
    reset(
        scheduler,
        fraction,
        scheduler.now + micros(duration),
        environment,
    );
}

/// `refuse-boxes`: makes cache servers refuse new connections and serve the open ones.
pub(super) fn refuse_connections(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let duration = fault.number("for");
    let count = fault.number("count") as usize;
    for number in scheduler.pick_servers(count) {
        environment.set_refuses_connections(number, true);
        scheduler.after(duration, move |_, environment| {
            environment.set_refuses_connections(number, false);
        });
    }
}

/// `partial`: makes a fraction of all socket writes accept only some bytes, or none for a while.
pub(super) fn write_partially(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let duration = fault.number("for");
    environment.set_partial_writes(fraction);
    scheduler.after(duration, |_, environment| {
        environment.set_partial_writes(0.0);
    });
}

/// Resets a fraction of the connections now and each tenth of a second until this time.
fn reset(
    scheduler: &mut FaultScheduler,
    fraction: f64,
    until: Micros,
    environment: &mut dyn FaultEnvironment,
) {
    environment.reset_connections(fraction);
    if scheduler.now < until {
        scheduler.after(0.1, move |scheduler, environment| {
            reset(scheduler, fraction, until, environment);
        });
    }
}
