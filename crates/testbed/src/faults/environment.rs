//! What the fault scheduler acts on: the servers, services, clients and nodes of a run.
//!
//! Implemented on the virtual network and on real sockets and processes.

use sloewick_decision::api::Micros;

use crate::checker::observations::AnnouncedState;
use crate::emulators::discovery::Listed;
use crate::emulators::{cache_server, clients, discovery, origin};

/// Carries out what the fault scheduler begins and ends.
pub trait FaultEnvironment {
    /// Starts a server at address number `place`, which a server that ended may have had.
    fn start_server(&mut self, number: usize, place: usize, zone: usize, cold: bool);
    /// Ends a server's process.
    fn kill_server(&mut self, number: usize);
    /// Gives a server a command.
    fn command_server(&mut self, number: usize, command: cache_server::ControlCommand);
    /// A server's entry in the endpoint list; start times count from the beginning of the run.
    fn listed(&self, number: usize, place: usize, zone: usize, state: AnnouncedState) -> Listed;
    /// Gives discovery a command.
    fn command_discovery(&mut self, command: discovery::ControlCommand);
    /// Gives the origin a command.
    fn command_origin(&mut self, command: origin::ControlCommand);
    /// Gives the clients a command.
    fn command_clients(&mut self, command: clients::ControlCommand);
    /// So many misbehaving clients a second.
    fn set_misbehaving_client_rate(&mut self, rate: f64);
    /// Kills a node's process.
    fn kill_node(&mut self, node: usize);
    /// Begins the graceful shutdown of a node.
    fn stop_node(&mut self, node: usize);
    /// Starts a node's process.
    fn start_node(&mut self, node: usize);
    /// Stops a node's process by a signal until it is resumed.
    fn pause_node(&mut self, node: usize);
    /// Lets a paused node's process go on.
    fn resume_node(&mut self, node: usize);
    /// Discovery is at another address from now on; the nodes' configuration says so.
    fn move_discovery(&mut self);
    /// Ends discovery; connections to it break.
    fn kill_discovery(&mut self);
    /// Starts discovery again, with this list; its versions go on, or are counted anew.
    fn start_discovery(&mut self, list: Vec<Listed>, anew: bool);
    /// Adds a line to the run's log.
    fn log(&mut self, text: String);

    /// The machine of a server falls silent; its connections stay open.
    fn isolate_server(&mut self, number: usize);
    /// Cuts the link between all nodes and a server in one direction, or restores it.
    fn cut_link(&mut self, number: usize, from_server: bool, cut: bool);
    /// A server refuses new connections, or accepts them again.
    fn set_refuses_connections(&mut self, number: usize, refuses: bool);

    // Only a virtual network can do the following.

    /// Resets a fraction of the connections between nodes and servers.
    fn reset_connections(&mut self, _fraction: f64) {}
    /// A fraction of all writes takes only some of its bytes.
    fn set_partial_writes(&mut self, _fraction: f64) {}
    /// Sets a node's clock off.
    fn skew_clock(&mut self, _node: usize, _by: Micros) {}
    /// So many clients hold an idle connection to each node, after one request.
    fn set_idle_clients(&mut self, _count: usize) {}
}
