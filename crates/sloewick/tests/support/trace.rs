//! The node's trace, read from its standard error while it runs.

use std::io::{BufRead, BufReader};
use std::process::{ChildStderr, Stdio};
use std::sync::mpsc::{channel, Receiver};
use std::time::Instant;

use super::{program, Node, NodeBuilder, WAIT_LIMIT};

pub(crate) struct Trace(Receiver<String>);

impl Trace {
    fn new(stderr: ChildStderr) -> Trace {
        let (sender, receiver) = channel();
        std::thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                // The test may be over.
                let _ = sender.send(line);
            }
        });
        Trace(receiver)
    }

    /// Waits for a line that contains `part`.
    pub(crate) fn wait_for(&mut self, part: &str) {
        let begun = Instant::now();
        while let Some(left) = WAIT_LIMIT.checked_sub(begun.elapsed()) {
            match self.0.recv_timeout(left) {
                Ok(line) if line.contains(part) => return,
                Ok(_) => {}
                Err(_) => break,
            }
        }
        panic!("the node does not say {part:?}");
    }
}

impl NodeBuilder {
    /// Starts the node with `--trace`.
    pub(crate) fn start_traced(self) -> (Node, Trace) {
        let mut command = program();
        command.arg("--trace").stderr(Stdio::piped());
        let mut node = self.command(command).start();
        let trace = Trace::new(node.stderr());
        (node, trace)
    }
}
