//! Faults of nodes.

use crate::emulators::clients;

use super::environment::FaultEnvironment;
use super::scenario::Fault;
use super::schedule::{micros, FaultScheduler};

/// Time after SIGTERM for which the load balancer still sends new connections to a node.
const LOAD_BALANCER_NOTICE_SECONDS: f64 = 0.3;

/// Time after SIGTERM until a node is started again; longer than the longest deadline.
const MAX_SHUTDOWN_SECONDS: f64 = 3.0;

/// `kill-nodes`: kills a fraction of the nodes and restarts them with their last list; the load balancer notices late.
pub(super) fn kill(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let (restart_delay, notice_delay) = (fault.number("back"), fault.number("notice"));
    for node in scheduler.pick_nodes_leaving_one(fraction) {
        scheduler.running_nodes[node] = false;
        environment.kill_node(node);
        scheduler.after(notice_delay, move |_, environment| {
            environment.command_clients(clients::ControlCommand::Down(node));
        });
        scheduler.after(
            restart_delay.max(notice_delay),
            move |scheduler, environment| {
                scheduler.start_node(node, environment);
            },
        );
    }
}

/// `restart-nodes`: shuts nodes down gracefully, one after another, and starts them again.
pub(super) fn restart(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    _environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let period = fault.number("over");
    let picked = scheduler.pick_running_nodes(fraction);
    let step = period / picked.len().max(1) as f64;
    for (i, node) in picked.into_iter().enumerate() {
        scheduler.after(step * i as f64, move |scheduler, environment| {
            if !std::mem::replace(&mut scheduler.running_nodes[node], false) {
                return;
            }
            environment.stop_node(node);
            scheduler.after(LOAD_BALANCER_NOTICE_SECONDS, move |_, environment| {
                environment.command_clients(clients::ControlCommand::Down(node));
            });
            scheduler.after(MAX_SHUTDOWN_SECONDS, move |scheduler, environment| {
                scheduler.start_node(node, environment);
            });
        });
    }
}

/// `pause-nodes`: suspends a fraction of the nodes (SIGSTOP) and resumes them later, with their state from before.
pub(super) fn pause(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let duration = fault.number("for");
    for node in scheduler.pick_nodes_leaving_one(fraction) {
        scheduler.running_nodes[node] = false;
        environment.pause_node(node);
        scheduler.after(duration, move |scheduler, environment| {
            scheduler.running_nodes[node] = true;
            environment.resume_node(node);
        });
    }
}

/// `skew`: kills a node and restarts it with a clock that is off.
pub(super) fn skew_clock(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let by = micros(fault.number("by"));
    if let Some(node) = scheduler.pick_nodes_leaving_one(0.25).first().copied() {
        scheduler.running_nodes[node] = false;
        environment.kill_node(node);
        environment.skew_clock(node, by);
        scheduler.after(1.0, move |_, environment| {
            environment.command_clients(clients::ControlCommand::Down(node));
        });
        scheduler.after(1.5, move |scheduler, environment| {
            scheduler.start_node(node, environment);
        });
    }
}
