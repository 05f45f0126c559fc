//! Cases that need an exact order of events: a node between scripted peers in virtual time.

mod support;

use support::*;

use sloewick_node::transport::PendingSignals;
use sloewick_testbed::network::hosts::Hosts;
use sloewick_testbed::network::HostId;

const NODE: (u8, u16) = (100, 6379);

struct Environment {
    hosts: Hosts,
    node: HostId,
    client: Peer,
    cache: Peer,
    discovery: Peer,
}

/// Starts a node, one cache server at address (1, 80) and a discovery peer, and connects a client to the node.
fn environment() -> Environment {
    let mut hosts = hosts();
    let cache = Peer::new(&mut hosts, "box", Some(address(1, 80)));
    let discovery = Peer::new(&mut hosts, "discovery", Some(address(2, 80)));
    let known = [listed(0, address(1, 80))];
    let node = node(&mut hosts, address(NODE.0, NODE.1), address(2, 80), &known);
    let client = Peer::new(&mut hosts, "client", None);
    client.connect(&mut hosts, address(NODE.0, NODE.1));
    hosts.play_to(20 * WAY);
    assert_eq!(client.seen(), [(0, Seen::Up)]);
    // The node closes connections that send nothing.
    client.send(&mut hosts, 0, command(&["PING"]));
    hosts.play_to(30 * WAY);
    assert_eq!(client.text(), "+PONG\r\n");
    client.script.borrow_mut().seen.clear();
    Environment {
        hosts,
        node,
        client,
        cache,
        discovery,
    }
}

impl Environment {
    fn advance(&mut self, time: i64) {
        let now = self.hosts.now();
        self.hosts.play_to(now + time);
    }

    /// Sends a request from the client and waits until the cache server has received the attempt.
    fn request(&mut self, text: String) {
        let before = self.cache.text().len();
        self.client.send(&mut self.hosts, 0, text);
        self.advance(10 * WAY);
        assert!(
            self.cache.text().len() > before,
            "the cache server received no attempt"
        );
    }
}

#[test]
fn response_at_the_instant_of_the_timeout_gives_one_final_response() {
    // The attempt times out within this span of microseconds; the response arrives at each of them in turn. A request
    // sent at t reaches the node at t + one way; the node gives the attempt up at its latency objective less two ticks.
    let attempt_timeout = 500_000 - 2 * 2_000;
    let mut served_in_time = Vec::new();
    for early in -3..=3 {
        let mut s = environment();
        let sent_at = s.hosts.now();
        s.request(set("r1", "alarm-ack", 2000, None));
        let due = sent_at + WAY + attempt_timeout;
        s.hosts.play_to(due - WAY + early);
        s.cache.send(&mut s.hosts, 0, served("r1|value"));
        s.advance(100 * WAY);
        let text = s.client.text();
        assert!(
            text == "$8\r\nr1|value\r\n" || text == "-ERR failed\r\n",
            "{early}: {text:?}"
        );
        served_in_time.push(text.starts_with('$'));
    }
    // Before the timeout the request is served, after it it fails; at the same instant the response wins.
    assert_eq!(
        served_in_time,
        [true, true, true, true, false, false, false]
    );
}

#[test]
fn connection_break_after_the_last_byte_of_a_non_repeatable_write_fails_it() {
    let mut s = environment();
    s.request(set("r1", "alarm-ack", 2000, None));
    s.cache.close(&mut s.hosts, 0);
    s.advance(2_500_000);
    assert_eq!(s.client.text(), "-ERR failed\r\n");
    assert_eq!(s.cache.text().matches("r1").count(), 1, "sent once");
}

#[test]
fn connection_break_after_the_last_byte_of_a_read_is_retried_or_rejected() {
    let mut s = environment();
    s.request(get("r1", "trace-read", 400));
    s.cache.close(&mut s.hosts, 0);
    s.advance(500_000);
    // There is only one cache server: the node retries there, or rejects the request, since a retry is harmless.
    let (sent, reply) = (s.cache.text().matches("r1").count(), s.client.text());
    assert!(sent == 2 || reply.starts_with("-BUSY"), "{sent} {reply:?}");
}

#[test]
fn stop_with_half_a_command_read_answers_complete_commands_and_ends() {
    let mut s = environment();
    s.request(get("r1", "trace-read", 400));
    let second = get("r2", "trace-read", 400);
    s.client.send(&mut s.hosts, 0, &second[..second.len() / 2]);
    s.advance(5 * WAY);
    s.hosts.world.borrow_mut().signal(
        s.node,
        PendingSignals {
            reload: false,
            stop: true,
        },
    );
    s.advance(50 * WAY);
    s.cache.send(&mut s.hosts, 0, served("r1|value"));
    // By now the node accepts nothing new and has closed idle connections.
    s.advance(700_000);
    assert_eq!(s.client.text(), "$8\r\nr1|value\r\n");
    // The rest of the command arrives within the shutdown time and is served.
    s.client.send(&mut s.hosts, 0, &second[second.len() / 2..]);
    s.advance(20 * WAY);
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
    s.advance(3_000_000);
    assert_eq!(s.client.text(), "$8\r\nr1|value\r\n$8\r\nr2|value\r\n");
    assert!(!s.hosts.has(s.node), "the node has stopped");
    assert_eq!(s.hosts.world.borrow().descriptors(s.node).0, 0);
}

#[test]
fn stop_with_a_command_that_is_never_completed_ends_in_time() {
    let mut s = environment();
    let command = get("r1", "trace-read", 400);
    s.client.send(&mut s.hosts, 0, &command[..20]);
    s.advance(5 * WAY);
    s.hosts.world.borrow_mut().signal(
        s.node,
        PendingSignals {
            reload: false,
            stop: true,
        },
    );
    // The longest deadline plus 0.7 s.
    s.advance(2_700_000);
    assert!(!s.hosts.has(s.node), "the node has stopped");
}

#[test]
fn server_replaced_at_its_address_during_an_attempt_is_treated_as_cold() {
    let mut s = environment();
    s.request(set("r1", "alarm-ack", 2000, None));
    // The server's process dies, so the attempt may have run. The next process at the address is another cache server.
    let host = s.cache.host;
    s.hosts.end(host);
    s.hosts.world.borrow_mut().restart_host(host);
    let reborn = Peer::on(&mut s.hosts, host, Some(address(1, 80)));
    s.advance(50 * WAY);
    let list = format!(
        r#"{{"rev":42,"all":false,"targets":[{{"uid":"s-9","endpoint":"{}","az":"ops-center","model":"std-box","pod_group":0,"state":"in_service","capacity_hint":1.0,"boot_ms":1900000000030}}]}}"#,
        address(1, 80)
    );
    answer_discovery(&mut s, &list);
    s.advance(2_500_000);
    assert_eq!(s.client.text(), "-ERR failed\r\n");
    assert!(!reborn.text().contains("r1"), "{}", reborn.text());
    // The dead server's id does not count as another, warm server at the same address: attempts there are bounded as
    // for a cold server, although the list still names both.
    for n in 0..40 {
        let fields = "c=trace-read,t=distribution,d=400";
        let ask = command(&["C.GET", &format!("logger/{n}"), &format!("q{n:02}"), fields]);
        s.client.send(&mut s.hosts, 0, ask);
        s.advance(20 * WAY);
    }
    s.advance(1_000_000);
    let sent = reborn.text().matches("C.GET").count();
    // The bound for a cold server admits about half of them at this age; a warm server would get all.
    assert!(
        (1..=30).contains(&sent),
        "{sent} of 40 were sent to a server that has just started"
    );
}

/// Answers the request that is pending at discovery.
fn answer_discovery(s: &mut Environment, body: &str) {
    let conn = s
        .discovery
        .seen()
        .iter()
        .rev()
        .find(|(_, seen)| *seen == Seen::Opened)
        .map(|(conn, _)| *conn);
    // The node requests lists on its own schedule: wait for the next request.
    let conn = conn.unwrap_or_else(|| {
        s.advance(6_000_000);
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
    s.advance(5 * WAY);
}

#[test]
fn removed_server_gets_no_attempts_until_a_list_names_it_again() {
    let mut s = environment();
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
    s.advance(2_100_000);
    let before = s.cache.text().matches("C.GET").count();
    s.client.send(&mut s.hosts, 0, get("r1", "trace-read", 400));
    s.advance(500_000);
    assert_eq!(
        s.cache.text().matches("C.GET").count(),
        before,
        "no new attempt to a removed server"
    );
    assert_eq!(
        s.client.text().matches('\n').count(),
        1,
        "the request is still answered: {}",
        s.client.text()
    );
    answer_discovery(&mut s, &list(44, "in_service"));
    s.client.send(&mut s.hosts, 0, get("r2", "trace-read", 400));
    s.advance(50 * WAY);
    assert_eq!(
        s.cache.text().matches("r2").count(),
        1,
        "the server is in service again"
    );
}

#[test]
fn list_with_restarted_revisions_has_its_drains_obeyed_and_is_requested_in_full() {
    // Found by swarm seed 278.
    let mut s = environment();
    let list = |all: bool| {
        format!(
            r#"{{"rev":1,"all":{all},"targets":[{{"uid":"s-0","endpoint":"{}","az":"ops-center","model":"std-box","pod_group":0,"state":"terminating","capacity_hint":1.0,"boot_ms":0}}]}}"#,
            address(1, 80)
        )
    };
    // The node's list has revision 41.
    answer_discovery(&mut s, &list(true));
    let opened = |s: &Environment| {
        s.discovery
            .seen()
            .iter()
            .filter(|(_, seen)| *seen == Seen::Opened)
            .count()
    };
    let connections = opened(&s);
    s.advance(600_000);
    assert_eq!(opened(&s), connections + 1, "requested again at once");
    s.advance(1_400_000);
    s.client.send(&mut s.hosts, 0, get("r1", "trace-read", 400));
    s.advance(500_000);
    assert_eq!(
        s.cache.text().matches("r1").count(),
        0,
        "the server is draining"
    );
}

#[test]
fn node_killed_between_receiving_and_forwarding_a_request_sends_nothing() {
    let mut s = environment();
    s.client
        .send(&mut s.hosts, 0, set("r1", "alarm-ack", 2000, None));
    // The request reaches the node after the one-way delay; the process dies at that instant, before it handles it.
    let now = s.hosts.now();
    s.hosts.play_to(now + WAY - 1);
    s.hosts.end(s.node);
    s.advance(1_000_000);
    assert!(s.client.saw(&Seen::Broke { refused: false }));
    assert!(!s.cache.text().contains("r1"));
    // The restarted process does not know the request, and serves others.
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
    s.advance(10 * WAY);
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
    s.advance(10 * WAY);
    assert_eq!(s.cache.text().matches("r2").count(), 1);
    assert!(!s.cache.text().contains("r1"));
}

#[test]
fn requests_to_a_host_that_becomes_silent_are_all_answered() {
    let mut s = environment();
    s.request(get("r1", "trace-read", 400));
    s.hosts.isolate(s.cache.host);
    s.client.send(&mut s.hosts, 0, get("r2", "trace-read", 300));
    s.client
        .send(&mut s.hosts, 0, set("w1", "alarm-ack", 1000, None));
    s.advance(2_000_000);
    assert_eq!(
        s.client.text().matches("\r\n").count(),
        3,
        "{:?}",
        s.client.text()
    );
    // The last request was written to a connection that never came up, or may have run.
    assert!(!s.client.text().contains('$'));
}

#[test]
fn two_resets_in_a_row_move_no_key_when_connections_break_constantly() {
    let mut hosts = hosts();
    let servers = [1, 3].map(|n| Peer::new(&mut hosts, "box", Some(address(n, 80))));
    let _discovery = Peer::new(&mut hosts, "discovery", Some(address(2, 80)));
    let known = [listed(0, address(1, 80)), listed(1, address(3, 80))];
    node(&mut hosts, address(NODE.0, NODE.1), address(2, 80), &known);
    let client = Peer::new(&mut hosts, "client", None);
    client.connect(&mut hosts, address(NODE.0, NODE.1));
    hosts.play_to(20 * WAY);
    // Sends one request and returns the index of the cache server that received it. `breaks`: that server closes the
    // connection instead of responding, and the client gets an error.
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
        let (at, conn) = servers
            .iter()
            .enumerate()
            .find_map(|(n, peer)| Some((n, got(peer)?)))
            .expect(id);
        let before = client.text().len();
        if breaks {
            servers[at].close(&mut hosts, conn);
        } else {
            servers[at].send(&mut hosts, conn, served(&format!("{id}|x")));
        }
        let now = hosts.now();
        hosts.play_to(now + 4 * WAY);
        if !breaks {
            // The node detects the end of this connection before the next request.
            servers[at].close(&mut hosts, conn);
        }
        let now = hosts.now();
        hosts.play_to(now + 4 * WAY);
        let reply = client.text()[before..].to_string();
        assert_eq!(reply.starts_with("-ERR failed"), breaks, "{id}: {reply:?}");
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
