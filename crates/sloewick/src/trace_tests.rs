use super::*;

const ALL_SECONDS: Window = Window {
    from: 0.0,
    to: f64::INFINITY,
};

fn count(lines: &[&str], window: Window) -> Summary {
    let (mut summary, mut open) = (Summary::default(), OpenRequests::default());
    for line in lines {
        summary.add_line(line, window, &mut open);
    }
    summary
}

const LOG: [&str; 7] = [
    "0.500 trace t=10 request id=a class=0 write=0",
    "0.500 trace t=11 send id=a server=s1",
    "0.500 trace t=12 conn server=s1 step=Open",
    "1.600 trace t=1100010 send id=a server=s2",
    "1.610 trace t=1100020 outcome id=a n=0 server=s1 us=1100000 how=Timeout",
    "1.700 trace t=1200000 end id=a how=refused why=time",
    "outlier: s1 has lost most of its keys",
];

#[test]
fn events_are_counted_in_the_second_of_the_collectors_time() {
    let summary = count(&LOG, ALL_SECONDS);
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
    assert_eq!(summary.worst_servers(1)[0].0, "s1");
    let ratios: HashMap<_, _> = summary.ratios().into_iter().collect();
    assert_eq!(ratios["second and later attempts over first ones"], 1.0);
    assert_eq!(ratios["requests refused, of all"], 1.0);
}

#[test]
fn events_outside_the_window_are_not_counted_and_the_nodes_time_is_used_without_the_collectors() {
    let late = count(&LOG, Window { from: 1.0, to: 2.0 });
    assert_eq!(late.seconds.keys().copied().collect::<Vec<_>>(), [1]);
    // The first attempt was before the window; the second one is still counted as the second.
    assert_eq!(late.seconds[&1]["attempts, second"], 1);
    let own = count(&["trace t=3000000 ask watch=1"], ALL_SECONDS);
    assert_eq!(own.seconds[&3]["calls to discovery"], 1);
}

#[test]
fn unreadable_lines_are_counted_separately_from_events() {
    let invalid = [
        "trace t=",
        "trace t=x send id=a",
        "1 trace t=1 unknown",
        "9e9 trace t=1 ask watch=1",
    ];
    let summary = count(&invalid, ALL_SECONDS);
    assert_eq!((summary.unreadable_lines, summary.seconds.len()), (4, 0));
    assert!(summary.ratios().iter().all(|(_, ratio)| *ratio == 0.0));
}
