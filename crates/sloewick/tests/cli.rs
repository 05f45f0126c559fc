//! The command line: output, exit codes, and errors for invalid input.

use std::io::{BufRead, BufReader};
use std::path::{Path, PathBuf};
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

/// Writes a file for a test and returns its path.
fn write_file(name: &str, content: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, content).unwrap();
    path
}

/// The example configuration of a node.
fn example_config() -> String {
    std::fs::read_to_string(concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../examples/node.json"
    ))
    .unwrap()
}

#[test]
fn help_has_examples_and_version_is_printed() {
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
fn traces_in_a_folder_are_counted_and_other_input_is_rejected() {
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
    for args in [
        vec!["trace", "/nowhere/at/all"],
        vec!["trace", path, "--from", "3", "--to", "2"],
    ] {
        let out = sloewick(&args);
        assert_eq!(out.status.code(), Some(2), "{args:?}");
        assert!(!out.stderr.is_empty());
    }
}

/// Lines of the event trace and of the log as the previous version wrote them. The log collector has put a time in seconds
/// before each line.
const LOG_OF_PREVIOUS_VERSION: &str = "\
14.141 trace t=14126395 request id=c90dc84a76dc11b6 class=2 write=1
14.141 trace t=14126422 send id=c90dc84a76dc11b6 server=s-28553951
14.142 trace t=14127001 conn server=s-28553951 step=Open
14.150 sick: s-28553951 paused 750 ms after silence
14.150 list: revision 42, 15 servers
15.640 trace t=15625004 send id=c90dc84a76dc11b6 server=s-28553952
15.700 trace t=15685000 outcome id=c90dc84a76dc11b6 n=1 server=s-28553952 us=59996 how=Timeout
15.710 trace t=15695000 list kind=Delta
15.710 trace t=15695010 ask watch=1
15.711 trace t=15696000 probed server=s-28553951 how=Served
15.712 trace t=15697000 left id=c90dc84a76dc11b6
15.714 trace t=15699637 end id=c90dc84a76dc11b6 how=refused why=time
";

#[test]
fn trace_reads_logs_of_the_previous_version() {
    let folder = tempfile::tempdir().unwrap();
    std::fs::write(folder.path().join("n0.log"), LOG_OF_PREVIOUS_VERSION).unwrap();
    let out = sloewick(&["trace", folder.path().to_str().unwrap(), "--json"]);
    assert_eq!(out.status.code(), Some(0));
    let counted: serde_json::Value = serde_json::from_slice(&out.stdout).unwrap();
    assert_eq!(counted["unread"], 0);
    let expected = serde_json::json!({
        "14": {"requests of class 2": 1, "attempts, first": 1, "connections, Open": 1},
        "15": {"attempts, second": 1, "outcomes, Timeout": 1, "lists, Delta": 1, "calls to discovery": 1,
               "probes, Served": 1, "clients that left": 1, "ended, refused by time": 1},
    });
    assert_eq!(counted["seconds"], expected);
    assert_eq!(counted["ratios"]["requests refused, of all"], 1.0);
}

#[test]
fn example_configuration_passes_the_check() {
    let path = write_file("good.json", &example_config());
    let out = sloewick(&["check", path.to_str().unwrap()]);
    assert!(
        out.status.success(),
        "{}{}",
        text(&out.stdout),
        text(&out.stderr)
    );
}

#[test]
fn each_configuration_problem_is_reported_with_field_value_reason_and_example() {
    let mut config: serde_json::Value = serde_json::from_str(&example_config()).unwrap();
    config["listen"] = "here".into();
    config["seed"] = 7.into();
    config["limits"]["memory_mb"] = 4.into();
    config["known"]["targets"][0]["state"] = "asleep".into();
    config["settings"]["classes"][1]["window"] = (-1).into();
    config["settings"]["classes"][0]["repeat"] = "always".into();
    config["settings"]["rules"]["cold_from"] = 1.5.into();
    config["settings"]["policy_limits"]
        .as_object_mut()
        .unwrap()
        .remove("try_limit");
    let path = write_file("bad.json", &config.to_string());
    let out = sloewick(&["check", path.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    let output = text(&out.stdout);
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
        assert!(output.contains(line), "{line:?} not in:\n{output}");
    }
    assert!(
        text(&out.stderr).contains("8 problem(s)"),
        "{}",
        text(&out.stderr)
    );
    // The node rejects the same file.
    let run = Command::new(env!("CARGO_BIN_EXE_sloewick"))
        .arg("run")
        .env("BALANCER_CONFIG", &path)
        .output()
        .unwrap();
    assert_eq!(run.status.code(), Some(2));
}

#[test]
fn input_that_is_not_a_configuration_is_reported() {
    let path = write_file("cut.json", "{\"listen\": ");
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
fn invalid_scenario_is_reported_with_file_and_line() {
    let path = write_file(
        "bad.toml",
        "name = \"x\"\nseconds = 5\n[[fault]]\nkind = \"flood\"\nat = -1\n",
    );
    let out = sloewick(&["play", path.to_str().unwrap()]);
    assert_eq!(out.status.code(), Some(2));
    let output = text(&out.stderr);
    assert!(
        output.contains("bad.toml:4: unknown fault \"flood\"; allowed: crash-boxes"),
        "{output}"
    );
    let none = sloewick(&["play", "no-such-thing"]);
    assert_eq!(none.status.code(), Some(2));
    assert!(text(&none.stderr).contains("rolling-deploy"));
    assert_eq!(sloewick(&["play"]).status.code(), Some(2));
}

#[test]
fn same_seed_gives_the_same_run_in_two_processes() {
    let path = write_file(
        "short.toml",
        "name = \"short\"\nseconds = 3\nboxes = 5\nrate = 80\n[[fault]]\nkind = \"crash-boxes\"\nat = 1\n",
    );
    let play = || {
        let out = sloewick(&["play", path.to_str().unwrap(), "--seed", "5", "--log"]);
        assert!(out.status.success(), "{}", text(&out.stderr));
        // The line with the speed differs between runs.
        let lines: Vec<String> = text(&out.stdout).lines().map(str::to_string).collect();
        lines
            .into_iter()
            .filter(|line| !line.contains("fleet-seconds"))
            .collect::<Vec<_>>()
    };
    let first = play();
    assert!(
        first.len() > 500 && first.iter().any(|line| line.contains("crash-boxes begins")),
        "{}",
        first.len()
    );
    assert!(first == play());
}

/// Runs on several threads print the same output as on one thread, in the order of their seeds.
#[test]
fn parallel_runs_are_printed_in_the_order_of_their_seeds() {
    let path = write_file(
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
        assert_eq!(
            err, "",
            "progress is shown although standard error is not a terminal"
        );
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

#[test]
fn interrupt_ends_the_runs_and_prints_the_summary() {
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
fn scenario_printed_by_show_can_be_played() {
    let shown = text(&sloewick(&["play", "swarm", "--seed", "9", "--show"]).stdout);
    let path = write_file("shown.toml", &shown);
    let again = text(&sloewick(&["play", path.to_str().unwrap(), "--show"]).stdout);
    assert_eq!(shown, again);
}

#[test]
fn demo_prints_a_summary_and_rejects_invalid_options() {
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
    let output = text(&out.stdout);
    let last: serde_json::Value = serde_json::from_str(output.lines().last().unwrap()).unwrap();
    assert_eq!(last["summary"], true);
    assert!(last["served"].as_u64().unwrap() > 50, "{output}");
    let invalid = sloewick(&["demo", "--fault", "skew"]);
    assert_eq!(invalid.status.code(), Some(2));
    assert!(
        text(&invalid.stderr).contains("allowed: crash-boxes"),
        "{}",
        text(&invalid.stderr)
    );
    assert_eq!(sloewick(&["demo", "--seconds", "0"]).status.code(), Some(2));
}

/// Runs `sloewick check` on a node's configuration together with this memcached file.
fn check_with_memcached(node: &Path, file: &Path) -> Output {
    let (node, file) = (node.to_str().unwrap(), file.to_str().unwrap());
    sloewick(&["check", node, "--memcached", file])
}

#[test]
fn invalid_memcached_file_is_rejected_by_check_and_by_run() {
    let node = write_file("mc-node.json", &example_config());
    let shipped = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/memcached.toml");
    let out = check_with_memcached(&node, &shipped);
    assert!(
        out.status.success(),
        "{}{}",
        text(&out.stdout),
        text(&out.stderr)
    );
    let invalid = "listen = \"127.0.0.1:6379\"\n[[route]]\noperation = \"set\"\nkeys = \"*\"\nclass = \"trace-read\"\n";
    let path = write_file("mc-bad.toml", invalid);
    let out = check_with_memcached(&node, &path);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stdout).contains("line 5: route[0].class: a write must not be of a class"));
    let path = write_file("mc-same.toml", "listen = \"127.0.0.1:6379\"\n[[route]]\noperation = \"get\"\nkeys = \"*\"\nclass = \"trace-read\"\n");
    let out = check_with_memcached(&node, &path);
    assert_eq!(out.status.code(), Some(2));
    assert!(text(&out.stdout).contains("is the address of the node's own listener"));
    // A node does not start with a file that the check rejects.
    let mut run = Command::new(env!("CARGO_BIN_EXE_sloewick"));
    // A long path must not truncate the reason.
    let invalid = write_file(
        &format!("mc-bad2-{}.toml", "long".repeat(40)),
        "listn = \"127.0.0.1:0\"\n",
    );
    run.args(["run", "--memcached", invalid.to_str().unwrap()])
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
fn scenario_runs_with_memcached_clients_and_servers() {
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
    let output = text(&out.stdout);
    let service = output
        .split("service ")
        .nth(1)
        .and_then(|rest| rest.split(' ').next());
    let service: f64 = service
        .and_then(|n| n.parse().ok())
        .expect("the report contains the service figure");
    assert!((0.9..=1.0).contains(&service), "{output}");
    assert_eq!(
        sloewick(&["play", "calm", "--front", "text"]).status.code(),
        Some(2)
    );
}
