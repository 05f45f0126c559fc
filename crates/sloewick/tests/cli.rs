//! The command line as a user meets it: what it prints, and what it says to input that can't be used.

use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

fn sloewick(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_sloewick"))
        .args(args)
        .output()
        .unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

fn file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

fn example() -> String {
    std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/node.json"
    ))
    .unwrap()
}

#[test]
fn help_has_examples_and_the_version_is_told() {
    for args in [
        vec!["--help"],
        vec!["demo", "--help"],
        vec!["play", "--help"],
        vec!["check", "--help"],
        vec!["trace", "--help"],
    ] {
        let out = sloewick(&args);
        assert!(
            out.status.success() && text(&out.stdout).contains("Examples:"),
            "{args:?}"
        );
    }
    assert!(text(&sloewick(&["--version"]).stdout).contains(env!("CARGO_PKG_VERSION")));
    assert_eq!(sloewick(&["fly"]).status.code(), Some(2));
}

#[test]
fn traces_of_a_folder_are_counted_and_other_input_is_refused() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().to_str().unwrap();
    let none = sloewick(&["trace", path]);
    assert_eq!(none.status.code(), Some(2));
    assert!(
        text(&none.stderr).contains("no line of a trace in 0 files"),
        "{}",
        text(&none.stderr)
    );
    for node in ["n0.log", "n1.log"] {
        let lines =
            "trace t=5 request id=a class=0 write=0\ntrace t=9 end id=a how=refused why=budget\n";
        std::fs::write(folder.path().join(node), lines).unwrap();
    }
    std::fs::write(folder.path().join("noise"), vec![0xff; 100_000]).unwrap();
    let out = sloewick(&["trace", path, "--json"]);
    let counted: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(counted["all"]["ended, refused by budget"], 2);
    assert!(text(&sloewick(&["trace", path]).stdout).contains("requests refused, of all: 1.000"));
    for wrong in [
        vec!["trace", "/nowhere/at/all"],
        vec!["trace", path, "--from", "3", "--to", "2"],
    ] {
        let out = sloewick(&wrong);
        assert_eq!(out.status.code(), Some(2), "{wrong:?}");
        assert!(!out.stderr.is_empty());
    }
}

#[test]
fn the_example_configuration_can_be_used() {
    let path = file("good.json", &example());
    let out = sloewick(&["check", path.to_str().unwrap()]);
    assert!(
        out.status.success(),
        "{}{}",
        text(&out.stdout),
        text(&out.stderr)
    );
}

#[test]
fn each_problem_of_a_configuration_is_told_with_field_value_reason_and_example() {
    let mut v: serde_json::Value = serde_json::from_str(&example()).unwrap();
    v["listen"] = "here".into();
    v["seed"] = 7.into();
    v["limits"]["memory_mb"] = 4.into();
    v["known"]["targets"][0]["state"] = "asleep".into();
    v["settings"]["classes"][1]["window"] = (-1).into();
    v["settings"]["classes"][0]["repeat"] = "always".into();
    v["settings"]["rules"]["cold_from"] = 1.5.into();
    v["settings"]["policy_limits"]
        .as_object_mut()
        .unwrap()
        .remove("try_limit");
    let path = file("bad.json", &v.to_string());
    let out = sloewick(&["check", path.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    let said = text(&out.stdout);
    for line in [
        "listen: \"here\": is no address with a port; for example \"10.0.0.4:6379\"",
        "seed: 7: is not 64 bits in hex",
        "limits.memory_mb: 4: is not a whole number from 32",
        "known.targets[0].state: \"asleep\": is none of in_service, terminating, terminated",
        "settings.classes[1].window: -1: is not a number above 0",
        "settings.classes[0].repeat: \"always\": is none of free, guarded, single_shot",
        "settings.rules.cold_from: 1.5: is not a number from 0.000001 to 1",
        "settings.policy_limits.try_limit: missing: has to be there",
    ] {
        assert!(said.contains(line), "{line:?} not in:\n{said}");
    }
    assert!(
        text(&out.stderr).contains("8 problem(s)"),
        "{}",
        text(&out.stderr)
    );
    // The node refuses the same file.
    let run = Command::new(env!("CARGO_BIN_EXE_sloewick"))
        .arg("run")
        .env("BALANCER_CONFIG", &path)
        .output()
        .unwrap();
    assert_eq!(run.status.code(), Some(2));
}

#[test]
fn what_is_no_configuration_at_all_is_said() {
    let path = file("cut.json", "{\"listen\": ");
    let out = sloewick(&["check", path.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    assert!(
        text(&out.stdout).contains("is not JSON: EOF while parsing"),
        "{}",
        text(&out.stdout)
    );
    assert_eq!(
        sloewick(&["check", "/nowhere/node.json"]).status.code(),
        Some(2)
    );
}

#[test]
fn a_scenario_that_cannot_be_played_is_told_by_file_and_line() {
    let path = file(
        "bad.toml",
        "name = \"x\"\nseconds = 5\n[[fault]]\nkind = \"flood\"\nat = -1\n",
    );
    let out = sloewick(&["play", path.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    let said = text(&out.stderr);
    assert!(
        said.contains("bad.toml:4: unknown fault \"flood\"; allowed: crash-boxes"),
        "{said}"
    );
    let none = sloewick(&["play", "no-such-thing"]);
    assert_eq!(none.status.code(), Some(2));
    assert!(text(&none.stderr).contains("rolling-deploy"));
    assert_eq!(sloewick(&["play"]).status.code(), Some(2));
}

#[test]
fn one_seed_is_one_run_in_two_processes_too() {
    let path = file(
        "short.toml",
        "name = \"short\"\nseconds = 3\nboxes = 5\nrate = 80\n[[fault]]\nkind = \"crash-boxes\"\nat = 1\n",
    );
    let play = || {
        let out = sloewick(&["play", path.to_str().unwrap(), "--seed", "5", "--log"]);
        assert!(out.status.success(), "{}", text(&out.stderr));
        // The speed is of this machine.
        let lines: Vec<String> = text(&out.stdout).lines().map(str::to_string).collect();
        lines
            .into_iter()
            .filter(|l| !l.contains("fleet-seconds"))
            .collect::<Vec<_>>()
    };
    let first = play();
    assert!(
        first.len() > 500 && first.iter().any(|l| l.contains("crash-boxes begins")),
        "{}",
        first.len()
    );
    assert!(first == play());
}

/// Runs on several threads say the same, in the order of their seeds.
#[test]
fn many_runs_are_told_in_order_however_many_go_side_by_side() {
    let path = file(
        "many.toml",
        "name = \"many\"\nseconds = 2\nboxes = 4\nnodes = 1\nrate = 40\n",
    );
    let play = |jobs: &str| {
        let out = sloewick(&[
            "play",
            path.to_str().unwrap(),
            "--runs",
            "12",
            "--jobs",
            jobs,
            "--json",
        ]);
        assert!(out.status.success(), "{}", text(&out.stderr));
        let (out, err) = (text(&out.stdout), text(&out.stderr));
        assert_eq!(err, "", "no progress where nobody looks");
        let (runs, summary) = out.trim_end().rsplit_once('\n').unwrap();
        assert!(
            summary.starts_with("12 runs, 0 with a broken rule; "),
            "{summary}"
        );
        runs.to_string()
    };
    let one = play("1");
    let seeds: Vec<u64> = one
        .lines()
        .map(|line| {
            serde_json::from_str::<serde_json::Value>(line).unwrap()["seed"]
                .as_u64()
                .unwrap()
        })
        .collect();
    assert_eq!(seeds, (1..=12).collect::<Vec<_>>());
    assert!(one == play("5"));
    assert_eq!(
        sloewick(&["play", "swarm", "--jobs", "0"]).status.code(),
        Some(2)
    );
}

/// An interrupt ends the runs, and what was seen is told.
#[test]
fn an_interrupt_tells_what_was_played() {
    let mut play = Command::new(env!("CARGO_BIN_EXE_sloewick"));
    play.args(["play", "swarm", "--runs", "1000000", "--json"])
        .stdout(Stdio::piped());
    let mut child = play.spawn().unwrap();
    let mut out = BufReader::new(child.stdout.take().unwrap());
    let mut line = String::new();
    out.read_line(&mut line).unwrap();
    assert!(line.contains("\"seed\":1"), "{line}");
    let kill = Command::new("kill")
        .args(["-INT", &child.id().to_string()])
        .status()
        .unwrap();
    assert!(kill.success());
    let last = out.lines().map_while(Result::ok).last().unwrap();
    assert!(
        last.starts_with("interrupted: ") && last.contains(" not played, from seed "),
        "{last}"
    );
    assert_eq!(child.wait().unwrap().code(), Some(130));
}

#[test]
fn shown_scenarios_can_be_played_again() {
    let shown = text(&sloewick(&["play", "swarm", "--seed", "9", "--show"]).stdout);
    let path = file("shown.toml", &shown);
    let again = text(&sloewick(&["play", path.to_str().unwrap(), "--show"]).stdout);
    assert_eq!(shown, again);
}

#[test]
fn the_demo_serves_and_ends_and_names_its_faults() {
    let out = sloewick(&[
        "demo",
        "--seconds",
        "4",
        "--boxes",
        "6",
        "--nodes",
        "1",
        "--rate",
        "60",
        "--json",
    ]);
    let said = text(&out.stdout);
    let last: serde_json::Value = serde_json::from_str(said.lines().last().unwrap()).unwrap();
    assert_eq!(last["summary"], true);
    assert!(last["served"].as_u64().unwrap() > 50, "{said}");
    let bad = sloewick(&["demo", "--fault", "skew"]);
    assert_eq!(bad.status.code(), Some(2));
    assert!(
        text(&bad.stderr).contains("allowed: crash-boxes"),
        "{}",
        text(&bad.stderr)
    );
    assert_eq!(sloewick(&["demo", "--seconds", "0"]).status.code(), Some(2));
}

#[test]
fn a_memcached_file_is_judged_beside_the_configuration_and_run_refuses_a_bad_one() {
    let node = file("mc-node.json", &example());
    let shipped = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/memcached.toml");
    let out = sloewick(&["check", node.to_str().unwrap(), "--memcached", shipped]);
    assert!(
        out.status.success(),
        "{}{}",
        text(&out.stdout),
        text(&out.stderr)
    );
    let bad = "listen = \"127.0.0.1:6379\"\n[[route]]\noperation = \"set\"\nkeys = \"*\"\nclass = \"trace-read\"\n";
    let path = file("mc-bad.toml", bad);
    let out = sloewick(&[
        "check",
        node.to_str().unwrap(),
        "--memcached",
        path.to_str().unwrap(),
    ]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stdout).contains("line 5: route[0].class: a write must not be of a class"));
    let path = file("mc-same.toml", "listen = \"127.0.0.1:6379\"\n[[route]]\noperation = \"get\"\nkeys = \"*\"\nclass = \"trace-read\"\n");
    let out = sloewick(&[
        "check",
        node.to_str().unwrap(),
        "--memcached",
        path.to_str().unwrap(),
    ]);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stdout).contains("is the address of the node's own listener"));
    // A node does not start with what check refuses.
    let mut run = Command::new(env!("CARGO_BIN_EXE_sloewick"));
    // A long path must not push the reason out of the message.
    let bad = file(
        &format!("mc-bad2-{}.toml", "long".repeat(40)),
        "listn = \"127.0.0.1:0\"\n",
    );
    run.args(["run", "--memcached", bad.to_str().unwrap()])
        .env("BALANCER_CONFIG", &node);
    let out = run.output().unwrap();
    assert_eq!(out.status.code(), Some(2));
    assert!(
        text(&out.stderr).contains("line 1: listn: is no known field; listen?"),
        "{}",
        text(&out.stderr)
    );
}

#[test]
fn fleets_that_speak_memcached_are_played() {
    let args = [
        "play", "calm", "--front", "both", "--cache", "mixed", "--seed", "4",
    ];
    let out = sloewick(&args);
    assert!(
        out.status.success(),
        "{}{}",
        text(&out.stdout),
        text(&out.stderr)
    );
    let said = text(&out.stdout);
    let service = said
        .split("service ")
        .nth(1)
        .and_then(|rest| rest.split(' ').next());
    let service: f64 = service
        .and_then(|n| n.parse().ok())
        .expect("the report tells the service");
    assert!((0.9..=1.0).contains(&service), "{said}");
    assert_eq!(
        sloewick(&["play", "calm", "--front", "text"]).status.code(),
        Some(2)
    );
}
