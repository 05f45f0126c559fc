//! Leases are numbers issued by a receiver, which enable it to reject messages that are delivered too late.
//!
//! Guarantee: a message with a lease is admitted only within the time to live of the lease, counted on the receiver's
//! clock from the issue, and only by the incarnation of the receiver that issued it. A sender can therefore compute
//! from its own clock alone when no message that it sent with a lease can be admitted any more. The clocks need not
//! show the same time; their rates must not differ by more than [`MAX_CLOCK_DRIFT_PPM`].
//!
//! The receiver's [`LeaseIssuer`] holds at most [`MAX_ISSUED_LEASES`] leases, the sender's [`LeaseHolder`] one.

use std::collections::VecDeque;

use sloewick_decision::api::Micros;
use thiserror::Error;

/// Maximum difference between the rates of two clocks, in parts per million; that of quartz clocks is within 100.
pub const MAX_CLOCK_DRIFT_PPM: Micros = 500;
/// Maximum number of unexpired leases of an issuer.
pub const MAX_ISSUED_LEASES: usize = 1024;

/// A lease, which a sender attaches to its messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The incarnation of the receiver that issued it.
    pub epoch: u64,
    /// Its number within the epoch, counted from 0.
    pub number: u64,
}

/// Why a message is not admitted. The receiver has executed no part of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum LeaseError {
    /// Another incarnation of the receiver issued the lease.
    #[error("the lease was issued by another incarnation of the receiver")]
    OtherIncarnation,
    /// The time to live of the lease is over.
    #[error("the lease has expired")]
    Expired,
    /// The lease was never issued.
    #[error("the lease was never issued")]
    NeverIssued,
}

/// An unexpired lease of an issuer.
#[derive(Debug)]
struct IssuedLease {
    number: u64,
    issued_at: Micros,
}

/// The receiver's side: issues leases and checks the leases of messages.
#[derive(Debug)]
pub struct LeaseIssuer {
    epoch: u64,
    ttl: Micros,
    next_number: u64,
    /// Leases that may be unexpired, the oldest first.
    issued: VecDeque<IssuedLease>,
}

impl LeaseIssuer {
    /// Creates an issuer without leases. `epoch` must differ from those of all other incarnations of any receiver;
    /// `ttl` is the time to live of a lease, in microseconds.
    pub fn new(epoch: u64, ttl: Micros) -> LeaseIssuer {
        LeaseIssuer {
            epoch,
            ttl,
            next_number: 0,
            issued: VecDeque::new(),
        }
    }

    fn remove_expired(&mut self, now: Micros) {
        while self
            .issued
            .front()
            .is_some_and(|lease| now - lease.issued_at >= self.ttl)
        {
            self.issued.pop_front();
        }
    }

    /// Issues a lease. `None` if [`MAX_ISSUED_LEASES`] leases are unexpired.
    pub fn issue(&mut self, now: Micros) -> Option<Lease> {
        self.remove_expired(now);
        if self.issued.len() >= MAX_ISSUED_LEASES {
            return None;
        }
        let number = self.next_number;
        self.next_number += 1;
        self.issued.push_back(IssuedLease {
            number,
            issued_at: now,
        });
        Some(Lease {
            epoch: self.epoch,
            number,
        })
    }

    /// Checks whether a message with this lease may be executed now.
    ///
    /// # Errors
    /// [`LeaseError`] if another incarnation issued the lease, it has expired, or it was never issued.
    pub fn admit(&mut self, now: Micros, lease: Lease) -> Result<(), LeaseError> {
        if lease.epoch != self.epoch {
            return Err(LeaseError::OtherIncarnation);
        }
        if lease.number >= self.next_number {
            return Err(LeaseError::NeverIssued);
        }
        self.remove_expired(now);
        // Leases are issued in the order of their numbers: those with smaller numbers have expired and been removed.
        match self.issued.front() {
            Some(oldest) if lease.number >= oldest.number => Ok(()),
            _ => Err(LeaseError::Expired),
        }
    }
}

/// A lease and the time at which the sender of messages received it.
#[derive(Clone, Copy, Debug)]
struct ReceivedLease {
    lease: Lease,
    received_at: Micros,
}

/// A lease to send a message with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CurrentLease {
    /// The lease.
    pub lease: Lease,
    /// Time from which no message sent with the lease can be admitted any more, on the sender's clock.
    pub expires_at: Micros,
}

/// The sender's side: holds the newest lease that it has received.
#[derive(Debug)]
pub struct LeaseHolder {
    ttl: Micros,
    newest: Option<ReceivedLease>,
}

impl LeaseHolder {
    /// Creates a holder without a lease. `ttl` is the time to live of the receiver's leases, in microseconds.
    pub fn new(ttl: Micros) -> LeaseHolder {
        LeaseHolder { ttl, newest: None }
    }

    /// Records a lease that has arrived, unless it is older than the newest one.
    pub fn receive(&mut self, now: Micros, lease: Lease) {
        let superseded = self.newest.is_some_and(|newest| {
            newest.lease.epoch == lease.epoch && newest.lease.number >= lease.number
        });
        if !superseded {
            self.newest = Some(ReceivedLease {
                lease,
                received_at: now,
            });
        }
    }

    /// Drops the lease, because the link broke or the receiver restarted.
    pub fn invalidate(&mut self) {
        self.newest = None;
    }

    /// Returns the lease to send a message with. `None` if there is none, or a message that arrives after
    /// `one_way_delay` (in microseconds) would no longer be admitted.
    pub fn current(&self, now: Micros, one_way_delay: Micros) -> Option<CurrentLease> {
        let newest = self.newest?;
        if now + one_way_delay >= newest.received_at + self.ttl {
            return None;
        }
        Some(CurrentLease {
            lease: newest.lease,
            expires_at: expires_at(newest.received_at, self.ttl),
        })
    }
}

/// Returns the time from which no message sent with a lease can be admitted any more, on the sender's clock. It is
/// counted from the receipt of the lease, since the lease was issued before that, and includes the clock drift, since
/// the receiver's clock may be the slower one.
fn expires_at(received_at: Micros, ttl: Micros) -> Micros {
    received_at + ttl + ttl * MAX_CLOCK_DRIFT_PPM / 1_000_000 + 1
}

#[cfg(test)]
#[path = "leases_tests.rs"]
mod tests;
