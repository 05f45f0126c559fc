//! The endpoint list: requests to discovery, watches, failures and reloads.

use std::time::{Duration, Instant};

use crate::support::*;
use serde_json::json;

#[test]
fn each_discovery_failure_is_retried_and_the_next_valid_list_is_applied() {
    let (old, new) = (listener(), listener());
    let node = Node::before(&old).settings(polling_settings()).start();
    // After a start and after each failure a watch has a short wait, so that a missing response is noticed soon.
    let assert_short_watch = |path: &str, rev: i64| {
        assert_eq!(path, format!("/api/targets?since={rev}&timeout_ms=500"));
    };
    let invalid: [&[u8]; 7] = [
        b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
        b"",
        b"SSH-2.0-x\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\n{\"rev\":42",
        b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlist",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 33\r\n\r\n{\"rev\":43,\"all\":true,\"targets\":7}",
    ];
    for response in invalid {
        let (path, mut peer) = node.accept_discovery();
        assert_short_watch(&path, 41);
        peer.send(response);
    }
    // A lower revision is ignored until a complete list confirms it.
    let (_, mut peer) = node.accept_discovery();
    peer.send_http_json(&endpoint_list(7, false, &[]));
    let (path, mut peer) = node.accept_discovery();
    assert_eq!(path, "/api/targets");
    let body = endpoint_list(9, true, &[target("s-2", &new)]).to_string();
    let (first, second) = body.split_at(20);
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    peer.send(format!(
        "{head}{:x}\r\n{first}\r\n{:x}\r\n{second}\r\n0\r\n\r\n",
        first.len(),
        second.len()
    ));
    // After a response the watch has the constant wait of this node.
    let mut waits = std::collections::BTreeSet::new();
    for _ in 0..3 {
        let (path, mut peer) = node.accept_discovery();
        let wait = path
            .strip_prefix("/api/targets?since=9&timeout_ms=")
            .expect(&path);
        waits.insert(wait.parse::<u32>().unwrap());
        peer.send_http_json(&endpoint_list(9, false, &[]));
    }
    assert!(
        waits.len() == 1 && waits.iter().all(|wait| (12_000..=20_000).contains(wait)),
        "{waits:?}"
    );
    node.client().send_get("r1");
    accept(&new).read_command();
}

#[test]
fn watch_continues_at_once_and_an_endpoint_may_change_its_address() {
    let (old, new) = (listener(), listener());
    let node = Node::before(&old).settings(polling_settings()).start();
    let mut client = node.client();
    let mut conn = exchange(&mut client, &old, "r1");
    let (_, mut peer) = node.accept_discovery();
    peer.send_http_json(&endpoint_list(42, false, &[target("s-1", &new)]));
    let (path, _peer) = node.accept_discovery();
    assert!(path.contains("since=42&"), "{path}");
    assert_eq!(conn.read_to_end(), "");
    exchange(&mut client, &new, "r2");
}

#[test]
fn discovery_request_without_a_response_times_out() {
    let server = listener();
    let node = Node::before(&server).settings(polling_settings()).start();
    let (_, mut peer) = node.accept_discovery();
    peer.send_http_json(&endpoint_list(7, false, &[]));
    let (path, mut silent) = node.accept_discovery();
    assert_eq!(path, "/api/targets");
    // The protocol counts the list as observed after 6 s; the node must have sent its next request by then.
    let started = Instant::now();
    assert_eq!(silent.read_to_end(), "");
    assert!(started.elapsed() < Duration::from_secs(15));
    node.accept_discovery();
}

#[test]
fn pushed_list_is_watched_again_after_a_failure() {
    let server = listener();
    let node = Node::builder().start();
    let (_, peer) = node.accept_discovery();
    peer.reset();
    let (_, mut peer) = node.accept_discovery();
    peer.send_http_json(&endpoint_list(42, true, &[target("s-1", &server)]));
    node.client().send_get("r1");
    accept(&server).read_command();
}

#[test]
fn reload_switches_to_the_new_discovery_and_loses_no_request() {
    let (old, new, new_discovery) = (listener(), listener(), listener());
    let node = Node::before(&old).settings(polling_settings()).start();
    let mut client = node.client();
    client.send_get("r1");
    let mut conn = accept_request(&old, "r1");
    let (_, mut watch) = node.accept_discovery();
    // An invalid file changes nothing.
    let valid_config = node.config();
    node.reload("{");
    client.send(command(&[b"PING"]));
    let mut config: serde_json::Value = serde_json::from_str(&valid_config).unwrap();
    config["discovery"] = json!(new_discovery.local_addr().unwrap().to_string());
    node.reload(&config.to_string());
    // Its revisions are unrelated to those of the previous discovery.
    let mut peer = accept(&new_discovery);
    assert!(peer.read_line().starts_with("GET /api/targets HTTP"));
    peer.send_http_json(&endpoint_list(7, true, &[target("s-2", &new)]));
    assert_eq!(watch.read_to_end(), "");
    let line = accept(&new_discovery).read_line();
    assert!(line.starts_with("GET /api/targets?since=7&"), "{line}");
    conn.send(hit_reply(b"one"));
    assert_eq!(
        (client.read_bulk(), client.read_line().as_str()),
        (b"one".to_vec(), "+PONG")
    );
    exchange(&mut client, &new, "r2");
}

#[test]
fn silent_push_watch_is_requested_again_within_the_grace_period() {
    for grace in [1000.0, 2000.0] {
        let (old, new) = (listener(), listener());
        let mut settings = settings();
        settings["rules"]["stop_sending_within"] = json!(grace);
        let node = Node::before(&old).settings(settings).start();
        let (path, silent) = node.accept_discovery();
        let started = Instant::now();
        assert!(path.contains("since=41&timeout_ms="), "{path}");
        let (path, mut watch) = node.accept_discovery();
        // The agent's list counts as observed whether the node has received it or not.
        assert!(
            started.elapsed() < Duration::from_secs_f64(grace / 1000.0),
            "{:?} of {grace} ms",
            started.elapsed()
        );
        assert!(path.contains("since=41&"), "{path}");
        watch.send_http_json(&endpoint_list(42, true, &[target("s-2", &new)]));
        node.accept_discovery();
        node.client().send_get("r1");
        accept(&new).read_command();
        drop(silent);
    }
}

#[test]
fn silent_watch_is_requested_again_before_its_list_counts_as_observed() {
    let server = listener();
    let mut settings = polling_settings();
    settings["rules"]["stop_sending_within"] = json!(500.0);
    settings["rules"]["ask_within"] = json!(10_000.0);
    // The node with the shortest watch timeout of all nodes.
    settings["me"] = json!(55);
    let node = Node::before(&server).settings(settings).start();
    // The first two watches after a start have short waits.
    for wait_ms in [500, 2000] {
        let (path, mut peer) = node.accept_discovery();
        assert!(path.ends_with(&format!("timeout_ms={wait_ms}")), "{path}");
        peer.send_http_json(&endpoint_list(41, false, &[]));
    }
    let (path, silent) = node.accept_discovery();
    let started = Instant::now();
    let wait: u64 = path.rsplit_once("timeout_ms=").unwrap().1.parse().unwrap();
    assert!((12_000..12_500).contains(&wait), "{path}");
    // Discovery rejects the first requests; the usual backoff would be too long.
    let observed_after = Duration::from_millis(wait + 2000);
    for _ in 0..3 {
        let (path, mut peer) = node.accept_discovery();
        assert!(
            started.elapsed() < observed_after + Duration::from_millis(500),
            "{:?} of {observed_after:?}",
            started.elapsed()
        );
        assert!(path.contains("since=41&"), "{path}");
        peer.send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
    }
    let (_, mut watch) = node.accept_discovery();
    assert!(
        started.elapsed() < observed_after + Duration::from_millis(500),
        "{:?} of {observed_after:?}",
        started.elapsed()
    );
    watch.send_http_json(&endpoint_list(42, false, &[]));
    drop(silent);
}

#[test]
fn service_that_answers_watches_at_once_with_the_known_list_is_polled_at_a_limited_rate() {
    let server = listener();
    let node = Node::before(&server).settings(polling_settings()).start();
    let started = Instant::now();
    let mut requests = 0;
    while started.elapsed() < Duration::from_secs(3) {
        let (_, mut peer) = node.accept_discovery();
        peer.send_http_json(&endpoint_list(41, true, &[target("s-1", &server)]));
        requests += 1;
    }
    assert!(requests <= 12, "{requests} requests in 3 s");
}
