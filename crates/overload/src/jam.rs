//! Whether the origin jams: hardly a fetch is answered in time any more, at whatever server.
//!
//! An origin that is asked for more than it can do, or that is slower for a while, answers everything late. A node that
//! gives late requests up and closes their connections has their fetches dropped; then no cache is filled, every request
//! becomes a fetch, and the jam outlives its cause. So a node has to know that it is in one, and one server or one key
//! tells it nothing: it meets each server once in some seconds. The evidence is pooled over all servers.
//!
//! It has to be told from servers that are short of work time, where just the opposite is right. There, hits and fetches are late
//! alike, and of those that are answered as many are fetches as ever. In a jam hits are answered as fast as ever, and
//! fetches and writes hardly at all. So answered fetches weigh most, answered hits tell that none was among them, and a read that was
//! not answered, which may have waited for a server, tells little.
//!
//! The test is a cumulative sum of log likelihood ratios (Page, "Continuous inspection schemes", Biometrika 41, 1954)
//! of "one fetch in [`LEFT`] is still answered" against what is usual here, which is learned while there is no jam.
//!
//! Guarantees: nothing but failures and hits begins a jam, at least four outcomes are needed; answered fetches end it within
//! three; with no outcomes, a jam is forgotten within three times [`FADE`]. Bounded state.

/// Microseconds.
pub type Micros = i64;

/// Of the fetches that are usually answered in time, one in so many is in a jam.
const LEFT: f64 = 10.0;
/// The sum at which a jam is on, and below which it is over. Between them it stays what it was. Runs of hits and time-outs come by
/// chance: at 3.5 a third of all nodes believed in a jam at some time of a calm day, for 1.8% of their requests.
const ON: f64 = 6.0;
const OVER: f64 = 0.0;
/// Bounds of the sum: a long calm must not hide a jam for long, nor a long jam its end.
const LEAST: f64 = -1.0;
const MOST: f64 = 6.9;
/// What a failed write says at most, and what a failed read does: a server may be why it failed.
const WRITE_MOST: f64 = 1.5;
const READ_MOST: f64 = 0.3;
/// What an answer says of which nobody knows whether it was fetched.
const UNTOLD: f64 = -0.5;
/// The time in which what was seen fades to 1/e.
const FADE: Micros = 10_000_000;
/// Outcomes over which the usual shares are averaged.
const SPAN: f64 = 128.0;

/// What came of an attempt that may have needed the origin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sign {
    /// A read was answered in time from what its server kept.
    Hit,
    /// A read was answered in time, and fetched for it.
    Fetched,
    /// A read was answered in time; nobody tells how.
    Answered,
    /// A read that may have had to be fetched was not answered in time, or turned away by a server that held too many.
    Unfetched,
    /// A write was answered.
    Written,
    /// A write was not.
    Unwritten,
}

/// A share among outcomes, learned from some.
#[derive(Clone, Debug)]
struct Share(f64);

impl Share {
    fn note(&mut self, is: bool) {
        self.0 += (f64::from(u8::from(is)) - self.0) / SPAN;
    }

    fn within(&self, least: f64, most: f64) -> f64 {
        self.0.clamp(least, most)
    }
}

/// What a node knows of the origin.
#[derive(Clone, Debug)]
pub struct Jam {
    sum: f64,
    at: Micros,
    on: bool,
    /// Usual shares: fetches among told answers, failures among reads in doubt, failures among writes.
    fetched: Share,
    unfetched: Share,
    unwritten: Share,
}

impl Jam {
    /// A node that has just started. It knows of no jam, and of a little less calm than one that has seen some.
    pub fn new(now: Micros) -> Jam {
        Jam {
            sum: 0.0,
            at: now,
            on: false,
            fetched: Share(0.2),
            unfetched: Share(0.3),
            unwritten: Share(0.05),
        }
    }

    /// Whether there is one.
    pub fn on(&self, now: Micros) -> bool {
        self.on && self.faded(now) > ON / 10.0
    }

    fn faded(&self, now: Micros) -> f64 {
        self.sum * (-((now - self.at).max(0) as f64) / FADE as f64).exp()
    }

    /// An attempt ended.
    pub fn note(&mut self, now: Micros, sign: Sign) {
        let on = self.on(now);
        let (fetched, unfetched) = (self.fetched.within(0.02, 0.6), self.unfetched.within(0.05, 0.9));
        let unwritten = self.unwritten.within(0.01, 0.5);
        let tells = match sign {
            Sign::Hit => ((1.0 - fetched / LEFT) / (1.0 - fetched)).ln(),
            Sign::Fetched => -LEFT.ln(),
            Sign::Answered => UNTOLD,
            Sign::Unfetched => ((1.0 - (1.0 - unfetched) / LEFT) / unfetched).ln().min(READ_MOST),
            Sign::Written => -LEFT.ln(),
            Sign::Unwritten => ((1.0 - (1.0 - unwritten) / LEFT) / unwritten).ln().min(WRITE_MOST),
        };
        self.sum = (self.faded(now) + tells).clamp(LEAST, MOST);
        self.at = self.at.max(now);
        self.on = if on { self.sum > OVER } else { self.sum >= ON };
        if !self.on {
            match sign {
                Sign::Hit | Sign::Fetched => self.fetched.note(sign == Sign::Fetched),
                Sign::Written | Sign::Unwritten => self.unwritten.note(sign == Sign::Unwritten),
                Sign::Unfetched | Sign::Answered => {}
            }
            if matches!(sign, Sign::Fetched | Sign::Unfetched | Sign::Answered) {
                self.unfetched.note(sign == Sign::Unfetched);
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    /// A node with 17 requests a second: of ten, what comes of them, in turn.
    fn play(jam: &mut Jam, from: Micros, seconds: i64, of_ten: &[Sign]) -> Option<Micros> {
        let mut changed = None;
        let before = jam.on(from);
        for n in 0..seconds * 17 {
            let now = from + n * 1_000_000 / 17;
            jam.note(now, of_ten[n as usize % of_ten.len()]);
            if jam.on(now) != before {
                changed.get_or_insert(now - from);
            }
        }
        changed
    }

    use Sign::*;
    const CALM: [Sign; 10] = [Hit, Hit, Fetched, Hit, Hit, Unfetched, Hit, Hit, Written, Hit];
    /// Servers short of time: all is late alike.
    const BUSY: [Sign; 10] =
        [Hit, Unfetched, Fetched, Unfetched, Hit, Unfetched, Hit, Unfetched, Written, Unfetched];
    /// Half of the servers say nothing.
    const HALF: [Sign; 10] =
        [Hit, Unfetched, Fetched, Unfetched, Unwritten, Unfetched, Hit, Unfetched, Written, Unfetched];
    const JAM: [Sign; 10] =
        [Hit, Unfetched, Hit, Unfetched, Hit, Unfetched, Unwritten, Unfetched, Hit, Unfetched];
    const LATE_JAM: [Sign; 5] = [Unfetched, Unfetched, Unfetched, Unwritten, Unfetched];

    #[test]
    fn a_jam_is_known_within_two_seconds_and_its_end_too() {
        for calm in [0, 5, 120] {
            let mut jam = Jam::new(0);
            assert_eq!(play(&mut jam, 0, calm, &CALM), None);
            let now = calm * 1_000_000;
            let known = play(&mut jam, now, 10, &JAM).expect("known");
            assert!(known < 2_000_000, "after {known} us, {calm} s of calm before");
            assert_eq!(play(&mut jam, now + 10_000_000, 30, &LATE_JAM), None, "it goes on");
            let over = play(&mut jam, now + 40_000_000, 5, &CALM).expect("over");
            assert!(over < 2_000_000, "after {over} us");
        }
    }

    #[test]
    fn busy_servers_and_a_lost_zone_are_no_jam() {
        for trouble in [BUSY, HALF] {
            for calm in [0, 60] {
                let mut jam = Jam::new(0);
                play(&mut jam, 0, calm, &CALM);
                assert_eq!(play(&mut jam, calm * 1_000_000, 60, &trouble), None);
            }
        }
    }

    #[test]
    fn four_failed_writes_at_least_make_a_jam_and_any_jam_ends_with_the_third_fetch() {
        let mut jam = Jam::new(0);
        let known = (1..100).find(|n| {
            jam.note(*n, Unwritten);
            jam.on(*n)
        });
        assert!(known.is_some_and(|n| (4..=6).contains(&n)), "{known:?}");
        (100..300).for_each(|n| jam.note(n, Unwritten));
        let over = (1..10).find(|n| {
            jam.note(300 + n, Fetched);
            !jam.on(300 + n)
        });
        assert_eq!(over, Some(3));
    }

    #[test]
    fn two_failures_are_no_jam_and_one_that_nothing_is_heard_of_is_forgotten() {
        let mut jam = Jam::new(0);
        (0..2).for_each(|n| jam.note(n, Unwritten));
        assert!(!jam.on(2));
        (2..9).for_each(|n| jam.note(n, Unwritten));
        assert!(jam.on(9));
        // Guards a process that was stopped and wakes with the past.
        assert!(!jam.on(9 + 3 * FADE));
        jam.note(9 + 3 * FADE, Unfetched);
        assert!(!jam.on(9 + 3 * FADE));
    }

    proptest! {
        #[test]
        fn three_answered_fetches_end_any_jam(signs in proptest::collection::vec((0..6usize, 0..3_000_000i64), 0..400)) {
            let all = [Hit, Fetched, Answered, Unfetched, Written, Unwritten];
            let (mut jam, mut now) = (Jam::new(0), 0);
            for (sign, after) in signs {
                now += after;
                jam.note(now, all[sign]);
                prop_assert!((LEAST..=MOST).contains(&jam.sum));
            }
            (0..3).for_each(|_| jam.note(now, Fetched));
            prop_assert!(!jam.on(now));
        }
    }
}
