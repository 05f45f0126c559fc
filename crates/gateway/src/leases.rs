//! Leases: numbers that a receiver issues, by which it can refuse what is delivered too late.
//!
//! It guarantees that a message with a lease is admitted only within the life of that lease, counted on the receiver's
//! own clock from its issue, and only by the start of the receiver that issued it. A sender therefore knows, from its
//! own clock alone, when nothing that it sent with a lease can begin any more. The clocks need not show like time;
//! they must not run apart by more than [`DRIFT_MOST`] over the life of a lease.

use std::collections::VecDeque;

use sloewick_decision::interface::Micros;

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
        Issuer { epoch, life, next: 0, issued: VecDeque::new() }
    }

    fn forget(&mut self, now: Micros) {
        while self.issued.front().is_some_and(|(_, at)| now - at >= self.life) {
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
        Some(Lease { epoch: self.epoch, number })
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    const LIFE: Micros = 500_000;

    #[test]
    fn a_lease_is_good_for_its_life_and_one_start() {
        let mut far = Issuer::new(7, LIFE);
        let lease = far.issue(1_000).unwrap();
        assert_eq!(far.admit(1_000 + LIFE - 1, lease), Ok(()));
        assert_eq!(far.admit(1_000 + LIFE, lease), Err(Late::Over));
        assert_eq!(far.admit(1_000, Lease { number: 9, ..lease }), Err(Late::Unknown));
        assert_eq!(Issuer::new(8, LIFE).admit(1_000, lease), Err(Late::OtherStart));
        let newer = far.issue(400_000).unwrap();
        assert_eq!(far.admit(600_000, lease), Err(Late::Over));
        assert_eq!(far.admit(600_000, newer), Ok(()));
    }

    #[test]
    fn no_more_are_out_than_are_kept() {
        let mut far = Issuer::new(7, LIFE);
        assert_eq!((0..2_000).filter_map(|_| far.issue(0)).count(), ISSUED_MOST);
        assert!(far.issue(LIFE).is_some());
    }

    #[test]
    fn a_sender_without_a_new_lease_sends_nothing() {
        let mut near = Holder::new(LIFE);
        assert_eq!(near.current(0, 0), None);
        let lease = |number| Lease { epoch: 7, number };
        near.got(0, lease(4));
        near.got(10, lease(3));
        assert_eq!(near.current(0, 100).map(|(l, _)| l), Some(lease(4)));
        assert_eq!(near.current(LIFE - 100, 100), None);
        near.got(LIFE, Lease { epoch: 8, number: 0 });
        assert!(near.current(LIFE, 0).is_some(), "another start");
        near.lost();
        assert_eq!(near.current(LIFE, 0), None);
    }

    proptest! {
        /// Real time drives two clocks that run apart; messages take any time and overtake each other. What is admitted
        /// begins before the sender's own clock says that it can't.
        #[test]
        fn nothing_begins_after_the_sender_knows_that_it_can_not(
            near_offset in -1_000_000_000i64..1_000_000_000,
            near_ppm in -250i64..=250,
            far_ppm in -250i64..=250,
            steps in prop::collection::vec((0i64..200_000, 0i64..700_000, 0i64..2_000_000), 1..60),
        ) {
            let near_at = |t: Micros| near_offset + t + t * near_ppm / 1_000_000;
            let far_at = |t: Micros| t + t * far_ppm / 1_000_000;
            let mut far = Issuer::new(1, LIFE);
            // Real times: when leases arrive at the sender, and when messages arrive at the receiver.
            let (mut leases, mut messages) = (Vec::new(), Vec::new());
            let mut real = 0;
            for (pause, lease_way, message_way) in steps {
                real += pause;
                if let Some(lease) = far.issue(far_at(real)) {
                    leases.push((real + lease_way, lease));
                }
                messages.push((real, message_way));
            }
            leases.sort_by_key(|(at, _)| *at);
            let mut near = Holder::new(LIFE);
            let mut arriving = Vec::new();
            let mut come = leases.into_iter().peekable();
            for (at, way) in messages {
                while let Some((got, lease)) = come.next_if(|(got, _)| *got <= at) {
                    near.got(near_at(got), lease);
                }
                if let Some((lease, over)) = near.current(near_at(at), 0) {
                    arriving.push((at + way, lease, over));
                }
            }
            arriving.sort_by_key(|(at, ..)| *at);
            // The receiver's clock goes on from its last issue.
            for (at, lease, over) in arriving.into_iter().filter(|(at, ..)| *at >= real) {
                if far.admit(far_at(at), lease).is_ok() {
                    prop_assert!(near_at(at) < over, "began at {} of the sender, over at {over}", near_at(at));
                }
            }
        }
    }
}
