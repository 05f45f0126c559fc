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
        for from_box in [true, false] {
            if way == "both" || (way == "from-boxes") == from_box {
                environment.cut(number, from_box, true);
                scheduler.after(lasts, move |_, environment| {
                    environment.cut(number, from_box, false);
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
    let part = fault.number("part");
    let lasts = fault.number("for");
    reset(scheduler, part, scheduler.now + micros(lasts), environment);
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
        environment.refuse(number, true);
        scheduler.after(lasts, move |_, environment| {
            environment.refuse(number, false);
        });
    }
}

/// `partial`: a part of all writes takes only some of its bytes, or none for a while.
pub(super) fn write_partially(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let part = fault.number("part");
    let lasts = fault.number("for");
    environment.partial(part);
    scheduler.after(lasts, |_, environment| environment.partial(0.0));
}

/// Resets a fraction of the connections each tenth of a second.
fn reset(
    scheduler: &mut FaultScheduler,
    part: f64,
    until: Micros,
    environment: &mut dyn FaultEnvironment,
) {
    environment.reset_connections(part);
    if scheduler.now < until {
        scheduler.after(0.1, move |scheduler, environment| {
            reset(scheduler, part, until, environment);
        });
    }
}
