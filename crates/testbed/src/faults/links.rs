//! Faults of the links between nodes and servers.

use sloewick_decision::api::Micros;

use super::environment::FaultEnvironment;
use super::scenario::Fault;
use super::schedule::{micros, FaultScheduler};

/// `partition`: the way between all nodes and some boxes is cut in one direction or both.
pub(super) fn partition(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let lasts = fault.number("for");
    let count = fault.number("count") as usize;
    let way = fault.word("way");
    for number in scheduler.pick_servers(count) {
        for from_server in [true, false] {
            if way == "both" || (way == "from-boxes") == from_server {
                environment.cut_link(number, from_server, true);
                scheduler.after(lasts, move |_, environment| {
                    environment.cut_link(number, from_server, false);
                });
            }
        }
    }
}

/// `resets`: each tenth of a second a part of the connections between nodes and boxes is reset.
pub(super) fn reset_connections(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let lasts = fault.number("for");
    reset(
        scheduler,
        fraction,
        scheduler.now + micros(lasts),
        environment,
    );
}

/// `refuse-boxes`: boxes refuse new connections and serve those they have.
pub(super) fn refuse_connections(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let lasts = fault.number("for");
    let count = fault.number("count") as usize;
    for number in scheduler.pick_servers(count) {
        environment.set_refuses_connections(number, true);
        scheduler.after(lasts, move |_, environment| {
            environment.set_refuses_connections(number, false);
        });
    }
}

/// `partial`: a part of all writes takes only some of its bytes, or none for a while.
pub(super) fn write_partially(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let lasts = fault.number("for");
    environment.set_partial_writes(fraction);
    scheduler.after(lasts, |_, environment| environment.set_partial_writes(0.0));
}

/// Resets a fraction of the connections each tenth of a second.
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
