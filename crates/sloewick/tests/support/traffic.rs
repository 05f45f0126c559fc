//! A client that sends requests at a steady rate.

use std::time::{Duration, Instant};

use super::{command, Node, Peer};

/// Default time between two requests of the client.
const REQUEST_INTERVAL: Duration = Duration::from_millis(50);

/// A client of the node that sends one request at a time, each for a new key.
pub(crate) struct Traffic {
    client: Peer,
    /// Number of requests sent.
    sent: usize,
    /// When the last request was sent.
    last_sent: Instant,
    interval: Duration,
}

impl Traffic {
    pub(crate) fn to(node: &Node) -> Traffic {
        Traffic {
            client: node.client(),
            sent: 0,
            last_sent: Instant::now(),
            interval: REQUEST_INTERVAL,
        }
    }

    /// The same client with this time between two requests.
    pub(crate) fn every(self, interval: Duration) -> Traffic {
        Traffic { interval, ..self }
    }

    /// Sends the next request if the interval is over and the previous response has arrived.
    pub(crate) fn step(&mut self) {
        if self.last_sent.elapsed() < self.interval || self.sent > 0 && !self.client.has_data() {
            return;
        }
        if self.sent > 0 {
            self.client.read_available();
        }
        self.sent += 1;
        self.last_sent = Instant::now();
        let (key, id) = (format!("key-{}", self.sent), format!("r{}", self.sent));
        let fields = b"c=read,t=acme,d=20000";
        self.client
            .send(command(&[b"C.GET", key.as_bytes(), id.as_bytes(), fields]));
    }
}
