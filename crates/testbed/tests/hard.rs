//! Cases that need one exact order of events: the node between scripted peers on virtual time.

mod support;

use support::*;

use sloewick_node::transport::PendingSignals;
use sloewick_testbed::network::hosts::Hosts;
use sloewick_testbed::network::HostId;

const NODE: (u8, u16) = (100, 6379);

struct Scene {
    hosts: Hosts,
    node: HostId,
    client: Peer,
    cache: Peer,
    discovery: Peer,
}

/// A node, one box, a client connected; the box's address is (1, 80).
fn scene() -> Scene {
    let mut hosts = hosts();
    let cache = Peer::new(&mut hosts, "box", Some(address(1, 80)));
    let discovery = Peer::new(&mut hosts, "discovery", Some(address(2, 80)));
    let known = [listed(0, address(1, 80))];
    let node = node(&mut hosts, address(NODE.0, NODE.1), address(2, 80), &known);
    let client = Peer::new(&mut hosts, "client", None);
    client.connect(&mut hosts, address(NODE.0, NODE.1));
    hosts.play_to(20 * WAY);
    assert_eq!(client.seen(), [(0, Seen::Up)]);
    // Whoever says nothing is closed.
    client.send(&mut hosts, 0, command(&["PING"]));
    hosts.play_to(30 * WAY);
    assert_eq!(client.text(), "+PONG\r\n");
    client.script.borrow_mut().seen.clear();
    Scene {
        hosts,
        node,
        client,
        cache,
        discovery,
    }
}

impl Scene {
    fn after(&mut self, time: i64) {
        let now = self.hosts.now();
        self.hosts.play_to(now + time);
    }

    /// The client asks; the box has the attempt.
    fn ask(&mut self, text: String) {
        let before = self.cache.text().len();
        self.client.send(&mut self.hosts, 0, text);
        self.after(10 * WAY);
        assert!(self.cache.text().len() > before, "the box was sent nothing");
    }
}

#[test]
fn an_answer_in_the_same_instant_as_the_time_out_is_one_answer() {
    // The time-out of the attempt falls at some microsecond of this span; the answer comes at each of them.
    // Asked at t, it is at the node at t + way; the module gives it up at its aim less twice its tick.
    let aim = 500_000 - 2 * 2_000;
    let mut answers = Vec::new();
    for early in -3..=3 {
        let mut s = scene();
        let asked = s.hosts.now();
        s.ask(set("r1", "alarm-ack", 2000, None));
        let due = asked + WAY + aim;
        s.hosts.play_to(due - WAY + early);
        s.cache.send(&mut s.hosts, 0, served("r1|value"));
        s.after(100 * WAY);
        let text = s.client.text();
        assert!(
            text == "$8\r\nr1|value\r\n" || text == "-ERR failed\r\n",
            "{early}: {text:?}"
        );
        answers.push(text.starts_with('$'));
    }
    // In time it is served, after it it has failed; the instant itself falls to the answer.
    assert_eq!(answers, [true, true, true, true, false, false, false]);
}

#[test]
fn a_break_after_the_last_byte_of_what_may_not_be_repeated_fails() {
    let mut s = scene();
    s.ask(set("r1", "alarm-ack", 2000, None));
    s.cache.close(&mut s.hosts, 0);
    s.after(2_500_000);
    assert_eq!(s.client.text(), "-ERR failed\r\n");
    assert_eq!(s.cache.text().matches("r1").count(), 1, "sent once");
}

#[test]
fn a_break_after_the_last_byte_of_a_read_is_tried_again() {
    let mut s = scene();
    s.ask(get("r1", "trace-read", 400));
    s.cache.close(&mut s.hosts, 0);
    s.after(500_000);
    // One box is all there is: asked again, or refused since trying again is harmless.
    let (sent, told) = (s.cache.text().matches("r1").count(), s.client.text());
    assert!(sent == 2 || told.starts_with("-BUSY"), "{sent} {told:?}");
}

#[test]
fn a_stop_with_half_a_command_read_answers_what_is_whole_and_ends() {
    let mut s = scene();
    s.ask(get("r1", "trace-read", 400));
    let second = get("r2", "trace-read", 400);
    s.client.send(&mut s.hosts, 0, &second[..second.len() / 2]);
    s.after(5 * WAY);
    s.hosts.world.borrow_mut().signal(
        s.node,
        PendingSignals {
            reload: false,
            stop: true,
        },
    );
    s.after(50 * WAY);
    s.cache.send(&mut s.hosts, 0, served("r1|value"));
    // By now nothing new is accepted, and idle connections have been ended.
    s.after(700_000);
    assert_eq!(s.client.text(), "$8\r\nr1|value\r\n");
    // Within the time that it has, the rest still comes and is served.
    s.client.send(&mut s.hosts, 0, &second[second.len() / 2..]);
    s.after(20 * WAY);
    assert_eq!(s.cache.text().matches("r2").count(), 1);
    let conn = s
        .cache
        .seen()
        .iter()
        .rev()
        .find(|(_, seen)| matches!(seen, Seen::Bytes(_)))
        .unwrap()
        .0;
    s.cache.send(&mut s.hosts, conn, served("r2|value"));
    s.after(3_000_000);
    assert_eq!(s.client.text(), "$8\r\nr1|value\r\n$8\r\nr2|value\r\n");
    assert!(!s.hosts.has(s.node), "it has ended");
    assert_eq!(s.hosts.world.borrow().descriptors(s.node).0, 0);
}

#[test]
fn a_stop_with_half_a_command_that_is_never_finished_ends_in_time() {
    let mut s = scene();
    let command = get("r1", "trace-read", 400);
    s.client.send(&mut s.hosts, 0, &command[..20]);
    s.after(5 * WAY);
    s.hosts.world.borrow_mut().signal(
        s.node,
        PendingSignals {
            reload: false,
            stop: true,
        },
    );
    // The longest deadline and 0.7 s.
    s.after(2_700_000);
    assert!(!s.hosts.has(s.node), "it has ended");
}

#[test]
fn a_box_back_at_its_address_under_a_new_id_while_an_attempt_is_out() {
    let mut s = scene();
    s.ask(set("r1", "alarm-ack", 2000, None));
    // Its process dies: the attempt may have run. The next one is another box.
    let host = s.cache.host;
    s.hosts.end(host);
    s.hosts.world.borrow_mut().restart_host(host);
    let reborn = Peer::on(&mut s.hosts, host, Some(address(1, 80)));
    s.after(50 * WAY);
    let list = format!(
        r#"{{"rev":42,"all":false,"targets":[{{"uid":"s-9","endpoint":"{}","az":"ops-center","model":"std-box","pod_group":0,"state":"in_service","capacity_hint":1.0,"boot_ms":1900000000030}}]}}"#,
        address(1, 80)
    );
    answer_discovery(&mut s, &list);
    s.after(2_500_000);
    assert_eq!(s.client.text(), "-ERR failed\r\n");
    assert!(!reborn.text().contains("r1"), "{}", reborn.text());
    // The dead one's id is not another, warm server at the same place: what goes there is bounded as for a cold
    // box, though the list still names both.
    for n in 0..40 {
        let fields = "c=trace-read,t=distribution,d=400";
        let ask = command(&["C.GET", &format!("logger/{n}"), &format!("q{n:02}"), fields]);
        s.client.send(&mut s.hosts, 0, ask);
        s.after(20 * WAY);
    }
    s.after(1_000_000);
    let sent = reborn.text().matches("C.GET").count();
    // The bound for a cold box lets about half through at this age; to a warm one all would go.
    assert!(
        (1..=30).contains(&sent),
        "{sent} of 40 went to a box that has just started"
    );
}

/// Answers the call that waits at discovery.
fn answer_discovery(s: &mut Scene, body: &str) {
    let conn = s
        .discovery
        .seen()
        .iter()
        .rev()
        .find(|(_, seen)| *seen == Seen::Opened)
        .map(|(conn, _)| *conn);
    // Lists are asked for by the node's own clock; give it time for that.
    let conn = conn.unwrap_or_else(|| {
        s.after(6_000_000);
        s.discovery
            .seen()
            .iter()
            .rev()
            .find(|(_, seen)| *seen == Seen::Opened)
            .unwrap()
            .0
    });
    let text = format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    s.discovery.send(&mut s.hosts, conn, text);
    s.after(5 * WAY);
}

#[test]
fn a_list_that_names_a_gone_box_again_is_believed_and_its_drain_is_kept() {
    let mut s = scene();
    let entry = |state: &str| {
        format!(
            r#"{{"uid":"s-0","endpoint":"{}","az":"ops-center","model":"std-box","pod_group":0,"state":"{state}","capacity_hint":1.0,"boot_ms":0}}"#,
            address(1, 80)
        )
    };
    let list = |rev: u32, state: &str| {
        format!(
            r#"{{"rev":{rev},"all":false,"targets":[{}]}}"#,
            entry(state)
        )
    };
    answer_discovery(&mut s, &list(42, "terminating"));
    answer_discovery(&mut s, &list(43, "terminated"));
    s.after(2_100_000);
    let before = s.cache.text().matches("C.GET").count();
    s.client.send(&mut s.hosts, 0, get("r1", "trace-read", 400));
    s.after(500_000);
    assert_eq!(
        s.cache.text().matches("C.GET").count(),
        before,
        "nothing new to what has gone"
    );
    assert_eq!(
        s.client.text().matches('\n').count(),
        1,
        "answered all the same: {}",
        s.client.text()
    );
    answer_discovery(&mut s, &list(44, "in_service"));
    s.client.send(&mut s.hosts, 0, get("r2", "trace-read", 400));
    s.after(50 * WAY);
    assert_eq!(s.cache.text().matches("r2").count(), 1, "it is back");
}

#[test]
fn drains_of_a_list_that_counts_anew_are_obeyed_and_the_whole_list_is_asked_for() {
    // Seed 278 of the swarm.
    let mut s = scene();
    let list = |all: bool| {
        format!(
            r#"{{"rev":1,"all":{all},"targets":[{{"uid":"s-0","endpoint":"{}","az":"ops-center","model":"std-box","pod_group":0,"state":"terminating","capacity_hint":1.0,"boot_ms":0}}]}}"#,
            address(1, 80)
        )
    };
    // Known is version 41.
    answer_discovery(&mut s, &list(true));
    let opened = |s: &Scene| {
        s.discovery
            .seen()
            .iter()
            .filter(|(_, seen)| *seen == Seen::Opened)
            .count()
    };
    let calls = opened(&s);
    s.after(600_000);
    assert_eq!(opened(&s), calls + 1, "asked again at once");
    s.after(1_400_000);
    s.client.send(&mut s.hosts, 0, get("r1", "trace-read", 400));
    s.after(500_000);
    assert_eq!(s.cache.text().matches("r1").count(), 0, "it drains");
}

#[test]
fn a_node_killed_between_taking_a_request_and_sending_it_sends_nothing() {
    let mut s = scene();
    s.client
        .send(&mut s.hosts, 0, set("r1", "alarm-ack", 2000, None));
    // It is at the node after one way; the process dies in that instant, before it acts.
    let now = s.hosts.now();
    s.hosts.play_to(now + WAY - 1);
    s.hosts.end(s.node);
    s.after(1_000_000);
    assert!(s.client.saw(&Seen::Broke { refused: false }));
    assert!(!s.cache.text().contains("r1"));
    // Started again it knows nothing of it, and serves.
    s.hosts.world.borrow_mut().restart_host(s.node);
    let known = [listed(0, address(1, 80))];
    start_node(
        &mut s.hosts,
        s.node,
        address(NODE.0, NODE.1),
        address(2, 80),
        &known,
    );
    s.client.connect(&mut s.hosts, address(NODE.0, NODE.1));
    s.after(10 * WAY);
    let conn = s
        .client
        .seen()
        .iter()
        .rev()
        .find(|(_, seen)| *seen == Seen::Up)
        .unwrap()
        .0;
    s.client
        .send(&mut s.hosts, conn, get("r2", "trace-read", 400));
    s.after(10 * WAY);
    assert_eq!(s.cache.text().matches("r2").count(), 1);
    assert!(!s.cache.text().contains("r1"));
}

#[test]
fn a_machine_that_falls_silent_costs_no_request_its_answer() {
    let mut s = scene();
    s.ask(get("r1", "trace-read", 400));
    s.hosts.isolate(s.cache.host);
    s.client.send(&mut s.hosts, 0, get("r2", "trace-read", 300));
    s.client
        .send(&mut s.hosts, 0, set("w1", "alarm-ack", 1000, None));
    s.after(2_000_000);
    assert_eq!(
        s.client.text().matches("\r\n").count(),
        3,
        "{:?}",
        s.client.text()
    );
    // The last of them was written to a connection that never came up, or may have run.
    assert!(!s.client.text().contains('$'));
}

#[test]
fn two_resets_in_a_row_move_no_key_where_connections_break_all_the_time() {
    let mut hosts = hosts();
    let boxes = [1, 3].map(|n| Peer::new(&mut hosts, "box", Some(address(n, 80))));
    let _discovery = Peer::new(&mut hosts, "discovery", Some(address(2, 80)));
    let known = [listed(0, address(1, 80)), listed(1, address(3, 80))];
    node(&mut hosts, address(NODE.0, NODE.1), address(2, 80), &known);
    let client = Peer::new(&mut hosts, "client", None);
    client.connect(&mut hosts, address(NODE.0, NODE.1));
    hosts.play_to(20 * WAY);
    // Which box gets it, and what the client is told.
    let mut serve = |id: &str, key: &str, breaks: bool| {
        let fields = "c=alarm-ack,t=distribution,d=2000";
        client.send(&mut hosts, 0, command(&["C.SET", key, id, fields, "value"]));
        let now = hosts.now();
        hosts.play_to(now + 6 * WAY);
        let got = |peer: &Peer| {
            let script = peer.script.borrow();
            let found = script
                .seen
                .iter()
                .find(|(_, _, s)| matches!(s, Seen::Bytes(text) if text.contains(id)));
            found.map(|(_, conn, _)| *conn)
        };
        let (at, conn) = boxes
            .iter()
            .enumerate()
            .find_map(|(n, peer)| Some((n, got(peer)?)))
            .expect(id);
        let before = client.text().len();
        if breaks {
            boxes[at].close(&mut hosts, conn);
        } else {
            boxes[at].send(&mut hosts, conn, served(&format!("{id}|x")));
        }
        let now = hosts.now();
        hosts.play_to(now + 4 * WAY);
        if !breaks {
            // The node has seen the end of this connection before the next request.
            boxes[at].close(&mut hosts, conn);
        }
        let now = hosts.now();
        hosts.play_to(now + 4 * WAY);
        let told = client.text()[before..].to_string();
        assert_eq!(told.starts_with("-ERR failed"), breaks, "{id}: {told:?}");
        at
    };
    for i in 0..40 {
        serve(&format!("r{i:02}"), &format!("k{i}"), i % 2 == 0);
    }
    let home = serve("first", "key", false);
    assert_eq!(serve("second", "key", true), home);
    assert_eq!(serve("third", "key", true), home);
    assert_eq!(serve("last", "key", false), home);
}
