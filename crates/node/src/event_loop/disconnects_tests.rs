//! Tests a node whose clock advances each time it is read. This simulates a node with a small share of a CPU core, on which
//! rounds take long.

use std::cell::RefCell;
use std::io::{self, ErrorKind, IoSlice};
use std::net::SocketAddr;
use std::rc::Rc;

use sloewick_codec::resp2::{write_bulk, write_header};

use super::*;
use crate::config;
use crate::test_support::{config_text, connected, input_ended, DISCOVERY_ADDRESS};
use crate::transport::{PendingSignals, Stream};

/// The time after a disconnect within which attempts for the client may still start.
const MAX_DELAY: Micros = 100_000;
const REQUESTS: usize = 100;

/// The state of the simulated network: the actions of the one client, and the attempts and responses that followed.
#[derive(Default)]
struct NetworkState {
    now: Micros,
    /// How far the clock advances each time it is read.
    clock_step: Micros,
    /// The client's connection is waiting to be accepted.
    connection_pending: bool,
    /// Token of the client's connection; `None` until it is accepted.
    client: Option<Token>,
    commands: Vec<u8>,
    disconnects_at: Micros,
    resets: bool,
    end_is_reported: bool,
    /// Connections to servers that the next poll reports as established.
    connecting: Vec<Token>,
    /// When attempts started.
    attempt_times: Vec<Micros>,
    responses: Vec<u8>,
}

#[derive(Clone)]
struct SlowTransport(Rc<RefCell<NetworkState>>);

struct SlowConnection {
    network: Rc<RefCell<NetworkState>>,
    is_client: bool,
    is_established: Rc<RefCell<bool>>,
}

impl Stream for SlowConnection {
    fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        let mut state = self.network.borrow_mut();
        if self.is_client && !state.commands.is_empty() {
            let n = into.len().min(state.commands.len());
            into[..n].copy_from_slice(&state.commands[..n]);
            state.commands.drain(..n);
            return Ok(n);
        }
        match self.is_client && state.now >= state.disconnects_at {
            true if state.resets => Err(ErrorKind::ConnectionReset.into()),
            true => Ok(0),
            false => Err(ErrorKind::WouldBlock.into()),
        }
    }

    fn write(&mut self, chunks: &[IoSlice<'_>]) -> io::Result<usize> {
        let mut state = self.network.borrow_mut();
        if self.is_client {
            for chunk in chunks {
                state.responses.extend_from_slice(chunk);
            }
        } else {
            let now = state.now;
            state.attempt_times.push(now);
        }
        Ok(chunks.iter().map(|chunk| chunk.len()).sum())
    }

    fn has_no_input(&self) -> bool {
        !self.is_client
    }

    fn take_error(&self) -> io::Result<Option<io::Error>> {
        let state = self.network.borrow();
        let broken = self.is_client && state.resets && state.now >= state.disconnects_at;
        Ok(broken.then(|| ErrorKind::ConnectionReset.into()))
    }

    fn check_connected(&self) -> io::Result<()> {
        let is_established = *self.is_established.borrow();
        is_established
            .then_some(())
            .ok_or_else(|| ErrorKind::NotConnected.into())
    }

    fn shutdown_write(&mut self) -> io::Result<()> {
        Ok(())
    }

    fn set_reset_on_close(&mut self, _reset: bool) {}

    fn limit_send_buffer(&mut self, _bytes: usize) {}
}

impl Transport for SlowTransport {
    type Stream = SlowConnection;
    type Listener = ();

    fn now(&self) -> Micros {
        let mut state = self.0.borrow_mut();
        state.now += state.clock_step;
        state.now
    }

    fn monotonic_time(&self) -> Micros {
        self.now()
    }

    fn boot_id(&self) -> String {
        String::new()
    }

    fn unix_time_at_start(&self) -> Micros {
        1_700_000_000_000_000
    }

    fn listen(&mut self, _at: SocketAddr, _token: Token) -> io::Result<()> {
        Ok(())
    }

    fn accept(&mut self, _listener: &mut (), token: Token) -> io::Result<SlowConnection> {
        let mut state = self.0.borrow_mut();
        if !std::mem::take(&mut state.connection_pending) {
            return Err(ErrorKind::WouldBlock.into());
        }
        state.client = Some(token);
        Ok(SlowConnection {
            network: self.0.clone(),
            is_client: true,
            is_established: Rc::default(),
        })
    }

    fn connect(&mut self, to: SocketAddr, token: Token) -> io::Result<SlowConnection> {
        if to.to_string() == DISCOVERY_ADDRESS {
            return Err(ErrorKind::ConnectionRefused.into());
        }
        self.0.borrow_mut().connecting.push(token);
        Ok(SlowConnection {
            network: self.0.clone(),
            is_client: false,
            is_established: Rc::new(RefCell::new(true)),
        })
    }

    fn poll(&mut self, ready: &mut Vec<ReadyEvent>, wait: Micros) -> io::Result<()> {
        ready.clear();
        let mut state = self.0.borrow_mut();
        ready.extend(
            std::mem::take(&mut state.connecting)
                .into_iter()
                .map(connected),
        );
        if let Some(token) = state
            .client
            .filter(|_| state.now >= state.disconnects_at && !state.end_is_reported)
        {
            state.end_is_reported = true;
            ready.push(ReadyEvent {
                error: state.resets,
                ..input_ended(token)
            });
        }
        if ready.is_empty() {
            state.now += wait;
        }
        Ok(())
    }

    fn take_signals(&mut self) -> PendingSignals {
        PendingSignals::default()
    }

    fn log(&mut self, _line: &str) {}
}

/// [`REQUESTS`] encoded requests for values.
fn requests() -> Vec<u8> {
    let mut out = Vec::new();
    for n in 0..REQUESTS {
        let (key, id, fields) = (format!("k{n}"), format!("r{n}"), "c=read,t=acme,d=20000");
        write_header(&mut out, b'*', 4);
        for word in ["C.GET", &key, &id, fields] {
            write_bulk(&mut out, word.as_bytes());
        }
    }
    out
}

/// Runs a node for a client that sends [`REQUESTS`] requests at once and disconnects `disconnects_after` microseconds later.
/// Returns the state of the network, with the times at which attempts started, and the time of the disconnect.
fn attempt_times(
    clock_step: Micros,
    disconnects_after: Micros,
    resets: bool,
) -> (Rc<RefCell<NetworkState>>, Micros) {
    let network = Rc::new(RefCell::new(NetworkState {
        disconnects_at: Micros::MAX,
        ..NetworkState::default()
    }));
    let config = || config::parse(&config_text());
    let mut node = Node::new(
        config().unwrap(),
        SlowTransport(network.clone()),
        Box::new(config),
    )
    .unwrap();
    let run_round = |node: &mut Node<SlowTransport>| {
        let due = node.process_pending().unwrap();
        let wait = (due - network.borrow().now).clamp(0, 1000);
        node.run_once(wait).unwrap();
    };
    for _ in 0..50 {
        run_round(&mut node);
    }
    let disconnects_at = {
        let mut state = network.borrow_mut();
        state.commands = requests();
        state.disconnects_at = state.now + disconnects_after;
        (state.connection_pending, state.resets, state.clock_step) = (true, resets, clock_step);
        state.disconnects_at
    };
    for listener in &mut node.frontends.listeners {
        listener.has_pending_connections = true;
    }
    for _ in 0..200 {
        run_round(&mut node);
    }
    (network, disconnects_at)
}

#[test]
fn no_attempt_starts_late_for_a_client_that_disconnects_within_a_long_round() {
    for clock_step in [100, 300, 1_000] {
        let (baseline, never) = attempt_times(clock_step, 1 << 50, false);
        let baseline: Vec<Micros> = baseline
            .borrow()
            .attempt_times
            .iter()
            .map(|at| at - (never - (1 << 50)))
            .collect();
        assert!(
            baseline.len() >= REQUESTS,
            "all requests of a client that stays connected are forwarded"
        );
        for resets in [false, true] {
            for disconnects_after in [
                0,
                baseline[0],
                baseline[10],
                baseline[30],
                baseline[60],
                baseline[REQUESTS - 10],
            ] {
                let (network, disconnects_at) =
                    attempt_times(clock_step, disconnects_after, resets);
                let attempt_times = &network.borrow().attempt_times;
                let last = attempt_times
                    .iter()
                    .max()
                    .map_or(0, |at| at - disconnects_at);
                assert!(
                    last < MAX_DELAY / 2,
                    "{clock_step} {disconnects_after} {resets}: {last} of {}",
                    attempt_times.len()
                );
            }
        }
    }
}
