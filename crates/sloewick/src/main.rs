//! The sloewick command line.

use std::process::ExitCode;

use sloewick_decision::settings::Bad;
use sloewick_node::{config, net, node};

fn run() -> Result<(), Bad> {
    let path = std::env::var("BALANCER_CONFIG").map_err(|_| Bad::new("BALANCER_CONFIG", "is not set"))?;
    let config = config::read(&path)?;
    let listen = config.listen;
    let node = node::Node::new(config, path).map_err(|e| Bad::new("listen", format!("{listen}: {e}")))?;
    node.run().map_err(|e| Bad::new("poll", e.to_string()))
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(bad) => {
            net::Log::new().line(0, &bad.to_string());
            ExitCode::from(2)
        }
    }
}
