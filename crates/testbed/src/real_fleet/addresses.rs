//! Addresses on loopback for the listeners of a fleet.

use std::collections::BTreeSet;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// Addresses on loopback that nobody listens on, none given out twice.
pub(crate) struct FreeAddresses {
    pub(super) on: Ipv4Addr,
    pub(super) given: BTreeSet<u16>,
}

/// How often a port that was given out before may come up in a row.
const MAX_REPEATED_PORTS: usize = 100;

impl FreeAddresses {
    pub(crate) fn one(&mut self) -> io::Result<SocketAddr> {
        for _ in 0..MAX_REPEATED_PORTS {
            let at = TcpListener::bind((IpAddr::V4(self.on), 0))?.local_addr()?;
            if self.given.insert(at.port()) {
                return Ok(at);
            }
        }
        Err(io::ErrorKind::AddrInUse.into())
    }

    pub(crate) fn some(&mut self, count: usize) -> io::Result<Vec<SocketAddr>> {
        (0..count).map(|_| self.one()).collect()
    }
}

/// Where a fleet of processes lives: a loopback address of its own, so that no port of another one, or of what connects
/// meanwhile, is taken before a process listens on it.
pub(crate) fn own_address() -> Ipv4Addr {
    static TAKEN: AtomicU32 = AtomicU32::new(0);
    let (pid, n) = (std::process::id(), TAKEN.fetch_add(1, Ordering::Relaxed));
    Ipv4Addr::new(
        127,
        201 + (n % 50) as u8,
        1 + (pid / 250 % 250) as u8,
        1 + (pid % 250) as u8,
    )
}
