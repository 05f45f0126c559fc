//! The interface to the fleet that the fault scheduler acts on: servers, services, clients and nodes of a run.
//!
//! It is implemented for the virtual network and for real sockets and processes.

use sloewick_decision::api::Micros;

use crate::checker::observations::AnnouncedState;
use crate::emulators::discovery::Listed;
use crate::emulators::{cache_server, clients, discovery, origin};

/// Executes the commands of the fault scheduler.
pub trait FaultEnvironment {
    /// Starts a server at the address with this number, which an earlier server may have used.
    fn start_server(&mut self, number: usize, address: usize, zone: usize, cold: bool);
    /// Ends a server's process.
    fn kill_server(&mut self, number: usize);
    /// Gives a server a command.
    fn command_server(&mut self, number: usize, command: cache_server::ControlCommand);
    /// A server's entry in the endpoint list. The start time in `state` is in microseconds since the run began.
    fn listed(&self, number: usize, address: usize, zone: usize, state: AnnouncedState) -> Listed;
    /// Gives discovery a command.
    fn command_discovery(&mut self, command: discovery::ControlCommand);
    /// Gives the origin a command.
    fn command_origin(&mut self, command: origin::ControlCommand);
    /// Gives the clients a command.
    fn command_clients(&mut self, command: clients::ControlCommand);
    /// Sets the number of misbehaving clients that connect per second.
    fn set_misbehaving_client_rate(&mut self, rate: f64);
    /// Kills a node's process.
    fn kill_node(&mut self, node: usize);
    /// Begins the graceful shutdown of a node.
    fn stop_node(&mut self, node: usize);
    /// Starts a node's process.
    fn start_node(&mut self, node: usize);
    /// Suspends a node's process (SIGSTOP) until it is resumed.
    fn pause_node(&mut self, node: usize);
    /// Resumes a suspended node's process.
    fn resume_node(&mut self, node: usize);
    /// Moves discovery to another address and changes the nodes' configuration accordingly.
    fn move_discovery(&mut self);
    /// Ends discovery; its connections break.
    fn kill_discovery(&mut self);
    /// Starts discovery with this list. Its revisions continue, or start from the beginning if `reset_revisions` is set.
    fn start_discovery(&mut self, list: Vec<Listed>, reset_revisions: bool);
    /// Adds a line to the run's log.
    fn log(&mut self, text: String);

    /// Stops all traffic of a server's machine; its connections stay open.
    fn isolate_server(&mut self, number: usize);
    /// Cuts the links between all nodes and a server in one direction, or restores them.
    fn cut_link(&mut self, number: usize, from_server: bool, cut: bool);
    /// Makes a server refuse new connections, or accept them again.
    fn set_refuses_connections(&mut self, number: usize, refuses: bool);

    // Only the virtual network implements the following methods.

    /// Resets this fraction of the connections between nodes and servers.
    fn reset_connections(&mut self, _fraction: f64) {}
    /// Makes this fraction of all writes accept only some of their bytes.
    fn set_partial_writes(&mut self, _fraction: f64) {}
    /// Offsets a node's clock by `by`.
    fn skew_clock(&mut self, _node: usize, _by: Micros) {}
    /// Sets the number of clients that hold an idle connection to each node, after one request.
    fn set_idle_clients(&mut self, _count: usize) {}
}
