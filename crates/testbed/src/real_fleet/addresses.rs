//! Loopback addresses for the listeners of a fleet.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Allocates loopback addresses that no process listens on, each of them once.
pub(crate) struct FreeAddresses {
    /// The IP address of all of them.
    pub(super) ip: Ipv4Addr,
    /// The ports that were allocated.
    pub(super) allocated: BTreeSet<u16>,
}

/// How many times in a row the system may return a port that was allocated before.
const MAX_REPEATED_PORTS: usize = 100;

impl FreeAddresses {
    /// Allocates one address.
    pub(crate) fn allocate(&mut self) -> io::Result<SocketAddr> {
        for _ in 0..MAX_REPEATED_PORTS {
            let at = TcpListener::bind((IpAddr::V4(self.ip), 0))?.local_addr()?;
            if self.allocated.insert(at.port()) {
                return Ok(at);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    /// Allocates this many addresses.
    pub(crate) fn allocate_many(&mut self, count: usize) -> io::Result<Vec<SocketAddr>> {
        (0..count).map(|_| self.allocate()).collect()
    }
}

/// Returns a loopback IP address for one fleet of processes. With an address of its own, another fleet or an outgoing
/// connection cannot take a port of the fleet before a process listens on it.
pub(crate) fn own_address() -> Ipv4Addr {
    static FLEETS: AtomicU32 = AtomicU32::new(0);
    let (pid, n) = (std::process::id(), FLEETS.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(
        127,
        201 + (n % 50) as u8,
        1 + (pid / 250 % 250) as u8,
        1 + (pid % 250) as u8,
    )
}
