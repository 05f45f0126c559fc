//! Leases: numbers that a receiver issues, by which it can refuse what is delivered too late.
//!
//! It guarantees that a message with a lease is admitted only within the life of that lease, counted on the receiver's
//! own clock from its issue, and only by the start of the receiver that issued it. A sender therefore knows, from its
//! own clock alone, when nothing that it sent with a lease can begin any more. The clocks need not show like time;
//! they must not run apart by more than [`DRIFT_MOST`] over the life of a lease.

use std::collections::VecDeque;

use sloewick_decision::api::Micros;

/// How far two clocks may run apart, in parts of a million; quartz keeps within 100.
pub const DRIFT_MOST: Micros = 500;
/// Leases that are held as issued at once; more are not issued.
const ISSUED_MOST: usize = 1024;

/// One lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The start of the receiver that issued it.
    pub epoch: u64,
    pub number: u64,
}

/// Why a message is not admitted. Nothing of it has run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Late {
    /// Another start of the receiver issued it.
    OtherStart,
    /// Its life is over.
    Over,
    /// It was never issued.
    Unknown,
}

/// The receiver's side.
#[derive(Debug)]
pub struct Issuer {
    epoch: u64,
    life: Micros,
    next: u64,
    /// When each that may still be good was issued, the oldest first.
    issued: VecDeque<(u64, Micros)>,
}

impl Issuer {
    /// `epoch`: of no other start of any receiver. `life`: how long a lease is good.
    pub fn new(epoch: u64, life: Micros) -> Issuer {
        Issuer {
            epoch,
            life,
            next: 0,
            issued: VecDeque::new(),
        }
    }

    fn forget(&mut self, now: Micros) {
        while self
            .issued
            .front()
            .is_some_and(|(_, at)| now - at >= self.life)
        {
            self.issued.pop_front();
        }
    }

    /// A new lease; none if too many are out.
    pub fn issue(&mut self, now: Micros) -> Option<Lease> {
        self.forget(now);
        if self.issued.len() >= ISSUED_MOST {
            return None;
        }
        let number = self.next;
        self.next += 1;
        self.issued.push_back((number, now));
        Some(Lease {
            epoch: self.epoch,
            number,
        })
    }

    /// Whether a message with this lease may begin now.
    ///
    /// # Errors
    /// Why not.
    pub fn admit(&mut self, now: Micros, lease: Lease) -> Result<(), Late> {
        if lease.epoch != self.epoch {
            return Err(Late::OtherStart);
        }
        if lease.number >= self.next {
            return Err(Late::Unknown);
        }
        self.forget(now);
        // Numbers are issued in order: whatever is older than the first has been forgotten.
        match self.issued.front() {
            Some((first, _)) if lease.number >= *first => Ok(()),
            _ => Err(Late::Over),
        }
    }
}

/// The sender's side.
#[derive(Debug)]
pub struct Holder {
    life: Micros,
    newest: Option<(Lease, Micros)>,
}

impl Holder {
    pub fn new(life: Micros) -> Holder {
        Holder { life, newest: None }
    }

    /// A lease has come. One that is older than what is held is of no use.
    pub fn got(&mut self, now: Micros, lease: Lease) {
        match self.newest {
            Some((held, _)) if held.epoch == lease.epoch && held.number >= lease.number => {}
            _ => self.newest = Some((lease, now)),
        }
    }

    /// The link broke, or the receiver has started again.
    pub fn lost(&mut self) {
        self.newest = None;
    }

    /// The lease to send with, if what takes `way` to get there would still be admitted, and when nothing sent with it
    /// can begin any more.
    pub fn current(&self, now: Micros, way: Micros) -> Option<(Lease, Micros)> {
        let (lease, got) = self.newest?;
        (now + way < got + self.life).then(|| (lease, over(got, self.life)))
    }
}

/// When nothing sent with a lease that came at `got` can begin any more, on the sender's clock: it was issued before it
/// came, and the receiver's clock may be the slower one.
fn over(got: Micros, life: Micros) -> Micros {
    got + life + life * DRIFT_MOST / 1_000_000 + 1
}

#[cfg(test)]
#[path = "leases_tests.rs"]
mod tests;
