use super::*;

fn count(lines: &[&str], window: (f64, f64)) -> Summary {
    let (mut summary, mut open) = (Summary::default(), Open::default());
    lines
        .iter()
        .for_each(|line| summary.line(line, window, &mut open));
    summary
}

const DAY: [&str; 7] = [
    "0.500 trace t=10 request id=a class=0 write=0",
    "0.500 trace t=11 send id=a server=s1",
    "0.500 trace t=12 conn server=s1 step=Open",
    "1.600 trace t=1100010 send id=a server=s2",
    "1.610 trace t=1100020 outcome id=a n=0 server=s1 us=1100000 how=Timeout",
    "1.700 trace t=1200000 end id=a how=refused why=time",
    "sick: s1 paused 750 ms after silence",
];

#[test]
fn what_happened_is_counted_by_the_fleets_second() {
    let summary = count(&DAY, (0.0, f64::INFINITY));
    let at = |second: u64, key: &str| summary.seconds[&second].get(key).copied().unwrap_or(0);
    assert_eq!(
        (at(0, "requests of class 0"), at(0, "attempts, first")),
        (1, 1)
    );
    assert_eq!(
        (at(1, "attempts, second"), at(1, "outcomes, Timeout")),
        (1, 1)
    );
    assert_eq!(at(1, "ended, refused by time"), 1);
    assert_eq!(summary.worst(1)[0].0, "s1");
    let ratios: HashMap<_, _> = summary.ratios().into_iter().collect();
    assert_eq!(ratios["second and later attempts over first ones"], 1.0);
    assert_eq!(ratios["requests refused, of all"], 1.0);
}

#[test]
fn a_window_leaves_out_the_rest_and_the_nodes_own_time_serves_without_another() {
    let late = count(&DAY, (1.0, 2.0));
    assert_eq!(late.seconds.keys().copied().collect::<Vec<_>>(), [1]);
    // The first attempt was before the window, and still the second one is the second.
    assert_eq!(late.seconds[&1]["attempts, second"], 1);
    let own = count(&["trace t=3000000 ask watch=1"], (0.0, f64::INFINITY));
    assert_eq!(own.seconds[&3]["calls to discovery"], 1);
}

#[test]
fn lines_that_cannot_be_read_are_counted_and_change_nothing() {
    let bad = [
        "trace t=",
        "trace t=x send id=a",
        "1 trace t=1 dance",
        "9e9 trace t=1 ask watch=1",
    ];
    let summary = count(&bad, (0.0, f64::INFINITY));
    assert_eq!((summary.unread, summary.seconds.len()), (4, 0));
    assert!(summary.ratios().iter().all(|(_, ratio)| *ratio == 0.0));
}
