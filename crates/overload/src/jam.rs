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
//! of "one fetch in [`LEFT`] is still answered" against what is usual here, for each need by itself: learned soon in calm, and slowly in a jam.
//!
//! Guarantees: nothing but failures and hits begins a jam, at least four outcomes are needed; answered fetches end it within
//! two; with no outcomes, a jam is forgotten within three times [`FADE`]. Bounded state.

/// Microseconds.
pub type Micros = i64;

/// Of the fetches that are usually answered in time, one in so many is in a jam.
const LEFT: f64 = 10.0;
/// The sum at which a jam is on, and below which it is over. Between them it stays what it was. Runs of hits and time-outs come by
/// chance: at 3.5 a third of all nodes believed in a jam at some time of a calm day, for 1.8% of their requests.
const ON: f64 = 6.0;
const NEAR: f64 = 2.0;
const OVER: f64 = 0.0;
/// Bounds of the sum: a long calm must not hide a jam for long, nor a long jam its end.
const LEAST: f64 = -1.0;
const MOST: f64 = 6.9;
/// What an answer of the origin says in a jam: its queue is short again, or this one would not have come in time. Two end any jam.
const ENDS: f64 = -MOST / 2.0;
/// What a failed write says at most, and what a failed read does: a server may be why it failed.
const WRITE_MOST: f64 = 1.5;
const READ_MOST: f64 = 0.3;
/// What an answer says of which nobody knows whether it was fetched.
const UNTOLD: f64 = -0.5;
/// Bounds of what is usual: shares near one would make any outcome of the other kind decide alone.
const LOST_MOST: f64 = 0.6;
const LATE_MOST: f64 = 0.9;
/// The time in which what was seen fades to 1/e.
const FADE: Micros = 10_000_000;
/// Outcomes over which the usual shares are averaged, and those that what is assumed before the first one counts for.
const SPAN: f64 = 128.0;
const ASSUMED: f64 = 16.0;
/// The same in a jam: what is taken for one for a minute or more may be what is usual here.
const SPAN_JAMMED: f64 = 1024.0;

/// What was asked of the origin, as far as the node can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Need {
    /// A read of what was served lately: fetched only where a write or time has voided the copy.
    Known,
    /// A read that may have to be fetched.
    Doubtful,
    /// A write, which always goes there.
    Write,
}

/// What came of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Came {
    /// Answered in time from what the server kept.
    Kept,
    /// Answered in time by the origin.
    Fetched,
    /// Answered in time; nobody tells how.
    Answered,
    /// Not answered in time, or turned away by a server that held too many.
    Late,
}

/// A share among outcomes, learned from some: soon from the first ones, or a node that has just started would judge by what
/// is usual elsewhere.
#[derive(Clone, Debug)]
struct Share {
    share: f64,
    seen: f64,
}

impl Share {
    fn new(share: f64) -> Share {
        Share { share, seen: ASSUMED }
    }

    fn note(&mut self, is: bool, jammed: bool) {
        let span = if jammed { SPAN_JAMMED } else { self.seen };
        self.seen = (self.seen + 1.0).min(SPAN);
        self.share += (f64::from(u8::from(is)) - self.share) / span;
    }
}

/// What is usual for one need.
#[derive(Clone, Debug)]
struct Usual {
    /// Fetches among told answers, as far as some were seen; and what is assumed of them until then.
    fetched: Share,
    needed: Share,
    /// Those not answered in time, and the least part of them that is taken for usual.
    late: Share,
    least: f64,
}

impl Usual {
    fn new(needed: f64, late: f64, least: f64) -> Usual {
        Usual { fetched: Share::new(0.0), needed: Share::new(needed), late: Share::new(late), least }
    }

    /// What this outcome says for a jam: the logarithm of its odds.
    fn tells(&self, came: Came, most: f64) -> f64 {
        let lost = |fetched: &Share| fetched.share * (1.0 - 1.0 / LEFT);
        match came {
            // Of those that are answered: so late answers, which servers may be to blame for, do not count twice. Nothing is
            // missed among hits where nothing was fetched before.
            Came::Kept => -(1.0 - lost(&self.fetched).min(LOST_MOST)).ln(),
            Came::Fetched => -LEFT.ln(),
            Came::Answered => UNTOLD,
            // As far as such requests need the origin: where caches hold all, servers are what is late.
            Came::Late => {
                let late = self.late.share.clamp(self.least, LATE_MOST);
                ((late + (1.0 - late) * lost(&self.needed)) / late).ln().min(most)
            }
        }
    }

    fn note(&mut self, came: Came, jammed: bool) {
        if matches!(came, Came::Kept | Came::Fetched) {
            self.fetched.note(came == Came::Fetched, jammed);
            self.needed.note(came == Came::Fetched, jammed);
        }
        self.late.note(came == Came::Late, jammed);
    }
}

/// What a node knows of the origin.
#[derive(Clone, Debug)]
pub struct Jam {
    sum: f64,
    at: Micros,
    on: bool,
    /// Reads of what was served lately, reads in doubt, writes.
    usual: [Usual; 3],
}

impl Jam {
    /// A node that has just started. It knows of no jam, and of a little less calm than one that has seen some.
    pub fn new(now: Micros) -> Jam {
        let usual = [Usual::new(0.01, 0.05, 0.02), Usual::new(0.7, 0.3, 0.05), Usual::new(1.0, 0.05, 0.01)];
        Jam { sum: 0.0, at: now, on: false, usual }
    }

    /// Whether there is one.
    pub fn on(&self, now: Micros) -> bool {
        self.on && self.faded(now) > ON / 10.0
    }

    /// Whether there is one or may be: enough to leave out what is done for good measure, too little to refuse anything.
    pub fn near(&self, now: Micros) -> bool {
        self.on(now) || self.faded(now) >= NEAR
    }

    fn faded(&self, now: Micros) -> f64 {
        self.sum * (-((now - self.at).max(0) as f64) / FADE as f64).exp()
    }

    /// An attempt ended.
    pub fn note(&mut self, now: Micros, need: Need, came: Came) {
        let on = self.on(now);
        let usual = &mut self.usual[need as usize];
        let tells = usual.tells(came, if need == Need::Write { WRITE_MOST } else { READ_MOST });
        let tells = if on && came == Came::Fetched { tells.min(ENDS) } else { tells };
        self.sum = (self.faded(now) + tells).clamp(LEAST, MOST);
        self.at = self.at.max(now);
        self.on = if on { self.sum > OVER } else { self.sum >= ON };
        self.usual[need as usize].note(came, self.on);
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
            let (need, came) = of_ten[n as usize % of_ten.len()];
            jam.note(now, need, came);
            if jam.on(now) != before {
                changed.get_or_insert(now - from);
            }
        }
        changed
    }

    type Sign = (Need, Came);
    const HIT: Sign = (Need::Known, Came::Kept);
    const KEPT: Sign = (Need::Doubtful, Came::Kept);
    const FETCHED: Sign = (Need::Doubtful, Came::Fetched);
    const UNFETCHED: Sign = (Need::Doubtful, Came::Late);
    const UNKEPT: Sign = (Need::Known, Came::Late);
    const WRITTEN: Sign = (Need::Write, Came::Fetched);
    const UNWRITTEN: Sign = (Need::Write, Came::Late);
    const CALM: [Sign; 10] = [HIT, KEPT, FETCHED, HIT, KEPT, UNFETCHED, HIT, HIT, WRITTEN, HIT];
    /// Servers short of time: all is late alike.
    const BUSY: [Sign; 10] =
        [HIT, UNFETCHED, FETCHED, UNKEPT, HIT, UNFETCHED, HIT, UNKEPT, WRITTEN, UNFETCHED];
    /// Half of the servers say nothing.
    const HALF: [Sign; 10] =
        [HIT, UNFETCHED, FETCHED, UNKEPT, UNWRITTEN, UNFETCHED, HIT, UNKEPT, WRITTEN, UNFETCHED];
    const JAM: [Sign; 10] =
        [HIT, UNFETCHED, HIT, UNFETCHED, HIT, UNFETCHED, UNWRITTEN, UNKEPT, HIT, UNFETCHED];
    const LATE_JAM: [Sign; 5] = [UNFETCHED, UNFETCHED, UNFETCHED, UNWRITTEN, UNFETCHED];
    /// Caches hold all, nothing is written, and servers are so busy that a tenth is late.
    const KEPT_ALL: [Sign; 10] = [HIT, KEPT, HIT, HIT, UNKEPT, HIT, KEPT, HIT, HIT, HIT];

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

    // Guards against hits alone that make a jam for ever: nothing is fetched that could end it.
    #[test]
    fn where_nothing_is_fetched_there_is_no_jam() {
        for trouble in [KEPT_ALL, [HIT; 10], [KEPT; 10]] {
            assert_eq!(play(&mut Jam::new(0), 0, 120, &trouble), None, "{trouble:?}");
        }
    }

    // A trouble that never ends is what is usual here: nothing is kept up by what was usual long ago.
    #[test]
    fn what_is_taken_for_a_jam_for_minutes_ends_it() {
        let mut jam = Jam::new(0);
        play(&mut jam, 0, 60, &CALM);
        assert!(play(&mut jam, 60_000_000, 5, &JAM).is_some());
        let hits = [KEPT, KEPT, KEPT, KEPT, KEPT, KEPT, KEPT, KEPT, KEPT, UNKEPT];
        assert!(
            play(&mut jam, 65_000_000, 300, &hits).is_some(),
            "over though nothing is fetched any more"
        );
    }

    #[test]
    fn four_failed_writes_at_least_make_a_jam_and_any_jam_ends_with_the_second_fetch() {
        let mut jam = Jam::new(0);
        let known = (1..100).find(|n| {
            jam.note(*n, Need::Write, Came::Late);
            jam.on(*n)
        });
        assert!(known.is_some_and(|n| (4..=6).contains(&n)), "{known:?}");
        (100..300).for_each(|n| jam.note(n, Need::Write, Came::Late));
        let over = (1..10).find(|n| {
            jam.note(300 + n, Need::Doubtful, Came::Fetched);
            !jam.on(300 + n)
        });
        assert_eq!(over, Some(2));
    }

    #[test]
    fn two_failures_are_no_jam_and_one_that_nothing_is_heard_of_is_forgotten() {
        let mut jam = Jam::new(0);
        (0..2).for_each(|n| jam.note(n, Need::Write, Came::Late));
        assert!(!jam.on(2));
        (2..9).for_each(|n| jam.note(n, Need::Write, Came::Late));
        assert!(jam.on(9));
        // Guards a process that was stopped and wakes with the past.
        assert!(!jam.on(9 + 3 * FADE));
        jam.note(9 + 3 * FADE, Need::Doubtful, Came::Late);
        assert!(!jam.on(9 + 3 * FADE));
    }

    proptest! {
        #[test]
        fn two_answered_fetches_end_any_jam(signs in proptest::collection::vec((0..3usize, 0..4usize, 0..3_000_000i64), 0..400)) {
            let needs = [Need::Known, Need::Doubtful, Need::Write];
            let all = [Came::Kept, Came::Fetched, Came::Answered, Came::Late];
            let (mut jam, mut now) = (Jam::new(0), 0);
            for (need, came, after) in signs {
                now += after;
                jam.note(now, needs[need], all[came]);
                prop_assert!((LEAST..=MOST).contains(&jam.sum));
                prop_assert!(jam.near(now) || !jam.on(now));
            }
            (0..2).for_each(|_| jam.note(now, Need::Doubtful, Came::Fetched));
            prop_assert!(!jam.on(now));
        }
    }
}
