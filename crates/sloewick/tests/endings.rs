//! What ends, and who answers what was still owed: the built node over loopback, in the orders that break it. The test
//! holds the peers and lets each go when it has seen the step before. Each fails without what it guards.

mod support;

use std::time::{Duration, Instant};

use serde_json::json;
use support::*;

// ---- the list ----

#[test]
fn a_pushed_list_that_falls_silent_is_asked_for_again_within_the_grace() {
    for grace in [400.0, 2000.0] {
        let (old, new) = (listener(), listener());
        let mut set = settings();
        set["rules"]["stop_sending_within"] = json!(grace);
        let node = Node::start(set, &[target("s-1", &old)], |_| {});
        let (path, silent) = node.call();
        let begun = Instant::now();
        assert!(path.contains("since=41&timeout_ms="), "{path}");
        let (path, mut watch) = node.call();
        // What the agent has counts as told whether it is heard or not.
        assert!(
            begun.elapsed() < Duration::from_secs_f64(grace / 1000.0),
            "{:?} of {grace} ms",
            begun.elapsed()
        );
        assert!(path.contains("since=41&"), "{path}");
        watch.answer_http(&list(42, true, &[target("s-2", &new)]));
        node.call();
        node.client().get("r1");
        accept(&new).command();
        drop(silent);
    }
}

#[test]
fn a_watch_that_falls_silent_is_asked_for_again_before_it_counts_as_told() {
    let server = listener();
    let mut set = settings();
    set["discovery"] = json!("ask");
    set["rules"]["stop_sending_within"] = json!(500.0);
    set["rules"]["ask_within"] = json!(10_000.0);
    // The node whose turn is the shortest wait of all.
    set["me"] = json!(55);
    let node = Node::start(set, &[target("s-1", &server)], |_| {});
    let (path, silent) = node.call();
    let begun = Instant::now();
    let wait: u64 = path.rsplit_once("timeout_ms=").unwrap().1.parse().unwrap();
    assert!((12_000..12_500).contains(&wait), "{path}");
    // Discovery turns the first calls away: silence is no excuse, and the module's own pause would be too long.
    let told = Duration::from_millis(wait + 2000);
    for _ in 0..3 {
        let (path, mut peer) = node.call();
        assert!(begun.elapsed() < told + Duration::from_millis(500), "{:?} of {told:?}", begun.elapsed());
        assert!(path.contains("since=41&"), "{path}");
        peer.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    let (_, mut watch) = node.call();
    assert!(begun.elapsed() < told + Duration::from_millis(500), "{:?} of {told:?}", begun.elapsed());
    watch.answer_http(&list(42, false, &[]));
    drop(silent);
}
