//! Start of a node: readiness while discovery is down or misbehaves, addresses in use, and invalid configuration.

mod support;

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::process::{Child, Command};
use std::time::{Duration, Instant};

use serde_json::{json, Value};
use support::*;

/// A restarted process has to be ready within this time. The requirement is met if nine in ten processes are; the test
/// expects it of all.
const READY_LIMIT: Duration = Duration::from_secs(10);

const BEHAVIORS: [DiscoveryBehavior; 8] = DiscoveryBehavior::ALL;

/// Waits until a process is ready and returns whether it was ready within [`READY_LIMIT`] of `started`.
fn ready_in_time(admin: SocketAddr, started: Instant) -> bool {
    while !listens_and_is_ready(admin) {
        if started.elapsed() > WAIT_LIMIT {
            return false;
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    started.elapsed() < READY_LIMIT
}

#[test]
fn killed_processes_that_restart_at_once_are_ready_although_discovery_misbehaves() {
    // All servers in the endpoint list of the configuration are down.
    let unused_address = free_address();
    let target_that_is_down = |uid: &str| target_at(uid, &unused_address.to_string());
    let targets = [target_that_is_down("s-1"), target_that_is_down("s-2")];
    let late = std::thread::scope(|scope| {
        let restart_node = |n: usize| {
            let (targets, behavior) = (&targets, BEHAVIORS[n % BEHAVIORS.len()]);
            move || {
                let (address, admin) = (free_address(), free_address());
                let start = || {
                    let polls = (n / BEHAVIORS.len()).is_multiple_of(2);
                    Node::builder()
                        .settings(if polls {
                            polling_settings()
                        } else {
                            settings()
                        })
                        .targets(targets)
                        .listen(address)
                        .admin(admin)
                        .set("/discovery", behavior.spawn().to_string())
                        .start()
                };
                let first = start();
                assert!(ready_in_time(admin, Instant::now()), "{behavior:?}");
                // The process is killed with open connections, which still use its addresses; it restarts there.
                let mut client = first.client();
                client.send(command(&[b"PING"]));
                assert_eq!(client.read_line(), "+PONG");
                drop(first);
                let started = Instant::now();
                let second = start();
                let in_time = ready_in_time(admin, started);
                let mut client = second.client();
                client.send(command(&[b"PING"]));
                assert_eq!(client.read_line(), "+PONG", "{behavior:?}");
                (!in_time).then_some(behavior)
            }
        };
        let threads: Vec<_> = (0..64).map(|n| scope.spawn(restart_node(n))).collect();
        threads
            .into_iter()
            .filter_map(|thread| thread.join().unwrap())
            .collect::<Vec<DiscoveryBehavior>>()
    });
    assert!(
        late.is_empty(),
        "not ready within {READY_LIMIT:?} with discovery as follows: {late:?}"
    );
}

// The predecessor still has the listener and a pending response when the next process starts.
#[test]
fn process_waits_for_an_address_that_its_predecessor_is_about_to_release() {
    std::thread::scope(|scope| {
        for _ in 0..8 {
            scope.spawn(|| {
                let server = listener();
                let (address, admin) = (free_address(), free_address());
                let builder = || Node::before(&server).listen(address);
                let mut first = builder().start();
                let mut client = first.client();
                client.send_get("r1");
                let mut conn = accept_request(&server, "r1");
                first.signal("TERM");
                let started = Instant::now();
                let second = builder().admin(admin).start();
                assert!(ready_in_time(admin, started));
                conn.send(hit_reply(b"one"));
                assert_eq!(client.read_bulk(), b"one");
                assert!(first.wait().success());
                let mut next = second.client();
                exchange(&mut next, &server, "r2");
            });
        }
    });
}

#[test]
fn process_whose_address_stays_in_use_exits_with_the_reason() {
    let in_use = listener();
    let discovery = listener();
    let config = json!({
        "name": "n1", "listen": in_use.local_addr().unwrap().to_string(),
        "discovery": discovery.local_addr().unwrap().to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": endpoint_list(41, true, &[]), "settings": settings(),
    });
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), config.to_string()).unwrap();
    let out = program()
        .env("BALANCER_CONFIG", file.path())
        .output()
        .unwrap();
    let text = String::from_utf8(out.stderr).unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(text.contains("Address already in use"), "{text}");
}

/// Starts a node with an invalid configuration, asserts exit code 2 and one line on standard error, and returns the line.
fn rejection_of(config_text: &str) -> String {
    let file = tempfile::NamedTempFile::new().unwrap();
    std::fs::write(file.path(), config_text).unwrap();
    let out = program()
        .env("BALANCER_CONFIG", file.path())
        .output()
        .unwrap();
    assert_eq!(out.status.code(), Some(2), "{config_text}");
    let stderr = String::from_utf8(out.stderr).unwrap();
    assert_eq!(stderr.lines().count(), 1, "{stderr}");
    stderr
}

/// A valid configuration, with which a node would start if its addresses were free.
fn valid_config() -> Value {
    json!({
        "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": "1f",
        "limits": {"memory_mb": 192, "sockets": 1024}, "known": endpoint_list(1, true, &[]),
        "settings": settings(),
    })
}

#[test]
fn invalid_configuration_is_reported_in_one_line() {
    for (field, value, reported_field) in [
        ("listen", json!("here"), "listen"),
        ("discovery", json!(null), "discovery"),
        ("seed", json!("x"), "seed"),
        ("limits", json!({"memory_mb": 192, "sockets": 3}), "sockets"),
        ("known", json!({"rev": 1, "all": true}), "targets"),
        ("settings", json!({"classes": []}), "policy_limits"),
    ] {
        let mut invalid = valid_config();
        invalid[field] = value;
        let stderr = rejection_of(&invalid.to_string());
        assert!(
            stderr.contains(&format!("field {reported_field}: ")),
            "{field}: {stderr}"
        );
    }
    rejection_of("not json");
}

#[test]
fn value_out_of_range_is_reported_with_the_allowed_range() {
    let (zero, above_0) = (json!(0.0), "above 0");
    for (path, value, allowed) in [
        ("/settings/classes/0/aim", zero.clone(), above_0),
        ("/settings/classes/1/deadline", json!(-5.0), above_0),
        ("/settings/classes/1/repeat", json!("twice"), "repeat"),
        ("/settings/policy_limits/connect_timeout", zero, above_0),
        (
            "/settings/policy_limits/try_limit",
            json!(0),
            "whole number from 1",
        ),
        (
            "/settings/policy_limits/second_copies",
            json!("no"),
            "neither true nor false",
        ),
        ("/settings/rules/cold_from", json!(7.0), "to 1"),
        (
            "/settings/rules/stop_sending_within",
            json!(1e300),
            "from 0 to 3000000000",
        ),
        ("/settings/rules/fall", json!(null), "missing"),
        ("/limits/memory_mb", json!(0), "below 32"),
    ] {
        let mut invalid = valid_config();
        *invalid.pointer_mut(path).unwrap() = value;
        let stderr = rejection_of(&invalid.to_string());
        let field = path.rsplit_once('/').unwrap().1;
        assert!(
            stderr.contains(field) && stderr.contains(allowed),
            "{path}: {stderr}"
        );
    }
}

#[test]
fn missing_configuration_variable_and_address_in_use_are_reported() {
    let out = program().env_remove("BALANCER_CONFIG").output().unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(String::from_utf8(out.stderr)
        .unwrap()
        .contains("BALANCER_CONFIG"));
    let in_use = listener();
    let mut config = valid_config();
    config["listen"] = json!(in_use.local_addr().unwrap().to_string());
    assert!(rejection_of(&config.to_string()).contains("listen"));
    assert!(TcpStream::connect(in_use.local_addr().unwrap()).is_ok());
}

#[test]
fn unusable_descriptor_or_address_is_reported() {
    let error_with = |name: &str, value: &str| {
        let node = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples/node.json");
        let out = program()
            .env("BALANCER_CONFIG", node)
            .env(name, value)
            .output()
            .unwrap();
        assert_eq!(out.status.code(), Some(2), "{name}={value}");
        String::from_utf8(out.stderr).unwrap()
    };
    assert!(
        error_with("BALANCER_ACCEPT_FD", "three").contains("\"three\" is no descriptor above 2")
    );
    assert!(error_with("BALANCER_ACCEPT_FD", "1").contains("is no descriptor above 2"));
    assert!(error_with("BALANCER_ACCEPT_FD", "987")
        .contains("inherited descriptor 987: Bad file descriptor"));
    assert!(error_with("BALANCER_OPS", "here").contains("\"here\" is no address and port"));
}

/// A process that reads its configuration from a named pipe, and the end of the pipe to which that is written.
fn process_that_reads_its_configuration(folder: &tempfile::TempDir) -> (Child, File) {
    let path = folder.path().join("node.json");
    assert!(Command::new("mkfifo")
        .arg(&path)
        .status()
        .unwrap()
        .success());
    let process = program().env("BALANCER_CONFIG", &path).spawn().unwrap();
    // Waits until the process has opened the pipe.
    let pipe = OpenOptions::new().write(true).open(&path).unwrap();
    std::fs::remove_file(path).unwrap();
    (process, pipe)
}

#[test]
fn signal_while_a_process_reads_its_configuration_does_not_kill_it() {
    for signal in ["HUP", "TERM"] {
        let folder = tempfile::tempdir().unwrap();
        let (mut process, mut pipe) = process_that_reads_its_configuration(&folder);
        let address = free_address();
        let mut config = valid_config();
        config["listen"] = json!(address.to_string());
        // What a reload reads.
        std::fs::write(folder.path().join("node.json"), config.to_string()).unwrap();
        send_signal(process.id(), signal);
        pipe.write_all(config.to_string().as_bytes()).unwrap();
        drop(pipe);
        if signal == "HUP" {
            wait_until("the process listens", || {
                let has_ended = process.try_wait().unwrap();
                assert_eq!(has_ended, None, "SIGHUP while it reads its configuration");
                TcpStream::connect(address).is_ok()
            });
            send_signal(process.id(), "TERM");
        }
        assert_eq!(process.wait().unwrap().code(), Some(0), "SIG{signal}");
    }
}
