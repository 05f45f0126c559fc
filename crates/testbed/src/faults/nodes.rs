//! Faults of nodes.

use crate::emulators::clients;

use super::environment::FaultEnvironment;
use super::scenario::Fault;
use super::schedule::{micros, FaultScheduler};

/// How long after SIGTERM the load balancer still sends new connections.
const LOAD_BALANCER_NOTICE_SECONDS: f64 = 0.3;

/// When a node that was shut down is started again: later than the longest deadline.
const MAX_SHUTDOWN_SECONDS: f64 = 3.0;

/// `kill-nodes`: a part of the nodes dies and comes back with its last list; the front notices late.
pub(super) fn kill(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let (back, notice) = (fault.number("back"), fault.number("notice"));
    for node in scheduler.pick_all_but_one(fraction) {
        scheduler.running_nodes[node] = false;
        environment.kill_node(node);
        scheduler.after(notice, move |_, environment| {
            environment.command_clients(clients::ControlCommand::Down(node));
        });
        scheduler.after(back.max(notice), move |scheduler, environment| {
            scheduler.start_node(node, environment);
        });
    }
}

/// `restart-nodes`: nodes are stopped as planned, one after another, and started again.
pub(super) fn restart(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    _environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let over = fault.number("over");
    let picked = scheduler.pick_running_nodes(fraction);
    let step = over / picked.len().max(1) as f64;
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

/// `pause-nodes`: a part of the nodes is stopped where it stands (SIGSTOP) and goes on later, with what it believed.
pub(super) fn pause(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let fraction = fault.number("part");
    let lasts = fault.number("for");
    for node in scheduler.pick_all_but_one(fraction) {
        scheduler.running_nodes[node] = false;
        environment.pause_node(node);
        scheduler.after(lasts, move |scheduler, environment| {
            scheduler.running_nodes[node] = true;
            environment.resume_node(node);
        });
    }
}

/// `skew`: a node dies and comes back with a clock that is off.
pub(super) fn skew_clock(
    scheduler: &mut FaultScheduler,
    fault: &Fault,
    environment: &mut dyn FaultEnvironment,
) {
    let by = micros(fault.number("by"));
    if let Some(node) = scheduler.pick_all_but_one(0.25).first().copied() {
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
