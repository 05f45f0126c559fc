//! The event trace of a node, read from its standard error while it runs.

use std::io::{BufRead, BufReader};
use std::process::{ChildStderr, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Instant;

use super::{program, Node, NodeBuilder, WAIT_LIMIT};

/// Lines that a node writes to standard error.
pub(crate) struct Trace(Receiver<String>);

impl Trace {
    fn new(stderr: ChildStderr) -> Trace {
        let (sender, receiver) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                // Sending fails once the test has dropped the receiver.
                let _ = sender.send(line);
            }
        });
        Trace(receiver)
    }

    /// Waits for a line that contains `part`; discards the lines before it.
    pub(crate) fn wait_for(&mut self, part: &str) {
        let started = Instant::now();
        while let Some(remaining) = WAIT_LIMIT.checked_sub(started.elapsed()) {
            match self.0.recv_timeout(remaining) {
                Ok(line) if line.contains(part) => return,
                Ok(_) => {}
                Err(_) => break,
            }
        }
        panic!("no line with {part:?} on the node's standard error");
    }
}

impl NodeBuilder {
    /// Starts the node with `--trace` and returns it with its trace.
    pub(crate) fn start_traced(self) -> (Node, Trace) {
        let mut command = program();
        command.arg("--trace").stderr(Stdio::piped());
        let mut node = self.command(command).start();
        let trace = Trace::new(node.stderr());
        (node, trace)
    }
}
