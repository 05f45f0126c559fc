//! Helpers of the tests that run the built node on loopback between scripted peers.
//!
//! Every wait ends when its condition holds, or fails the test after [`WAIT_LIMIT`].
// Each test program uses only some of the helpers.
#![allow(dead_code, unused_imports)]

mod admin;
mod cache_server;
mod client;
mod config;
mod crowd;
mod discovery;
mod discovery_service;
mod draw;
mod paced_server;
mod peer;
mod preload;
mod process;
mod scripted_discovery;
mod slow_client;
mod trace;
mod traffic;
mod upgraded_node;

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

pub(crate) use admin::*;
pub(crate) use cache_server::*;
pub(crate) use client::*;
pub(crate) use config::*;
pub(crate) use crowd::*;
pub(crate) use discovery::*;
pub(crate) use discovery_service::*;
pub(crate) use draw::*;
pub(crate) use paced_server::*;
pub(crate) use peer::*;
pub(crate) use preload::*;
pub(crate) use process::*;
pub(crate) use scripted_discovery::*;
pub(crate) use slow_client::*;
pub(crate) use trace::*;
pub(crate) use traffic::*;
pub(crate) use upgraded_node::*;

/// Longest time that a test waits for a condition.
pub(crate) const WAIT_LIMIT: Duration = Duration::from_secs(30);

/// Response to a request that was rejected and cannot have run.
pub(crate) const BUSY: &str = "-BUSY";
/// Response to a request that failed and may have run.
pub(crate) const FAILED: &str = "-ERR failed";

/// Number of loopback addresses handed out by this process.
static ADDRESSES_USED: AtomicU32 = AtomicU32::new(0);

/// An IP address of its own for each listener, so that tests running in parallel do not share addresses.
fn unique_loopback_ip() -> IpAddr {
    let number = ADDRESSES_USED.fetch_add(1, Ordering::Relaxed);
    let pid = std::process::id();
    Ipv4Addr::new(
        127,
        1 + (pid % 200) as u8,
        1 + (pid / 200 % 200) as u8,
        1 + (number % 250) as u8,
    )
    .into()
}

/// A listener on a free port of a new loopback address.
pub(crate) fn listener() -> TcpListener {
    TcpListener::bind((unique_loopback_ip(), 0)).unwrap()
}

/// Closes a listener, waits until its address refuses connections and returns the address. The wait is necessary since
/// a process that another test is starting holds a copy of the descriptor until it executes its program.
pub(crate) fn close_listener(listener: TcpListener) -> SocketAddr {
    let address = listener.local_addr().unwrap();
    drop(listener);
    let started = Instant::now();
    while TcpStream::connect(address).is_ok() {
        assert!(
            started.elapsed() < WAIT_LIMIT,
            "{address} still accepts connections"
        );
    }
    address
}

/// An address without a listener.
pub(crate) fn free_address() -> SocketAddr {
    close_listener(listener())
}

/// Waits until `condition` holds; `what` describes it if it does not.
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < WAIT_LIMIT, "waited too long: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}
