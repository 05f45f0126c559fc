//! The sloewick command line.

use std::process::ExitCode;

use sloewick_decision::settings::Bad;
use sloewick_node::net::Net;
use sloewick_node::node::Node;
use sloewick_node::{config, os::Os};

fn run() -> Result<(), Bad> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| Bad::new("BALANCER_CONFIG", "is not set"))?;
    let config = config::read(&path)?;
    let listen = config.listen;
    let os = Os::with_signals().map_err(|e| Bad::new("signals", e.to_string()))?;
    let node = Node::new(config, os, Box::new(move || config::read(&path)));
    let node = node.map_err(|e| Bad::new("listen", format!("{listen}: {e}")))?;
    node.run().map_err(|e| Bad::new("poll", e.to_string()))
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(bad) => {
            if let Ok(mut os) = Os::new() {
                os.log(&bad.to_string());
            }
            ExitCode::from(2)
        }
    }
}
