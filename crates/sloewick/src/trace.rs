//! `sloewick trace`: counts the traces of a fleet's nodes together, second by second.

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args as ClapArgs;

use crate::out;

#[derive(ClapArgs)]
#[command(after_help = "\
Examples:
  sloewick trace logs
  sloewick trace logs --from 5 --to 12 --servers 10
  sloewick trace logs --json

Each file of the folder is one node's log, written by `sloewick run --trace`. A number of seconds in front of a line,
as a collector of logs may put it, is the fleet's time; without it the node's own time counts.

Exit codes: 0 done, 2 input that can't be used.")]
pub struct Args {
    /// The folder with the nodes' logs
    folder: PathBuf,
    /// Count from this second on
    #[arg(long, value_name = "SECONDS", default_value_t = 0.0)]
    from: f64,
    /// Count until this second
    #[arg(long, value_name = "SECONDS")]
    to: Option<f64>,
    /// Also list so many servers, those with the most attempts not answered first
    #[arg(long, value_name = "N", default_value_t = 0)]
    servers: usize,
    /// Print the counts as JSON
    #[arg(long)]
    json: bool,
}

/// Longest line that is read; the node writes none over 400 characters.
const LINE_MOST: u64 = 4096;
/// Seconds, and servers, that are told apart at the most; what lies beyond is left out and said.
const SECONDS_MOST: u64 = 100_000;
const SERVERS_MOST: usize = 10_000;
/// Requests of one node that are followed at a time.
const REQUESTS_MOST: usize = 100_000;

type Counts = BTreeMap<String, u64>;

/// What was counted.
#[derive(Default)]
struct Summary {
    seconds: BTreeMap<u64, Counts>,
    servers: HashMap<String, Counts>,
    /// Lines of the trace that could not be read, or lay beyond the bounds.
    unread: u64,
}

/// Sends so far of each of a node's open requests.
#[derive(Default)]
struct Open(HashMap<String, u32>);

impl Summary {
    /// Takes up a line; those that are no trace are passed over.
    fn line(&mut self, line: &str, window: (f64, f64), open: &mut Open) {
        let Some((before, trace)) = line.split_once("trace t=") else {
            return;
        };
        let mut words = trace.split_whitespace();
        let own = words.next().and_then(|t| t.parse::<u64>().ok());
        let (Some(own), Some(what)) = (own, words.next()) else {
            self.unread += 1;
            return;
        };
        let fields: HashMap<&str, &str> = words.filter_map(|word| word.split_once('=')).collect();
        let field = |name: &str| fields.get(name).copied().unwrap_or("untold");
        let key = match what {
            "request" => {
                if open.0.len() >= REQUESTS_MOST {
                    open.0.clear();
                }
                open.0.insert(field("id").to_string(), 0);
                format!("requests of class {}", field("class"))
            }
            "send" => {
                let sends = open.0.entry(field("id").to_string()).or_default();
                *sends += 1;
                format!(
                    "attempts, {}",
                    ["first", "second"]
                        .get(*sends as usize - 1)
                        .unwrap_or(&"later")
                )
            }
            "outcome" => format!("outcomes, {}", field("how")),
            "end" => {
                open.0.remove(field("id"));
                format!("ended, {} by {}", field("how"), field("why"))
            }
            "conn" => format!("connections, {}", field("step")),
            "list" => format!("lists, {}", field("kind")),
            "ask" => "calls to discovery".to_string(),
            "probed" => format!("probes, {}", field("how")),
            "left" => "clients that left".to_string(),
            _ => {
                self.unread += 1;
                return;
            }
        };
        let at = before
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|t| t.is_finite() && *t >= 0.0);
        let at = at.unwrap_or(own as f64 / 1e6);
        if at < window.0 || at >= window.1 {
            return;
        }
        if at >= SECONDS_MOST as f64 {
            self.unread += 1;
            return;
        }
        if let ("outcome" | "conn", Some(server)) = (what, fields.get("server")) {
            if self.servers.len() < SERVERS_MOST || self.servers.contains_key(*server) {
                let counts = self.servers.entry((*server).to_string()).or_default();
                *counts.entry(key.clone()).or_default() += 1;
            }
        }
        *self
            .seconds
            .entry(at as u64)
            .or_default()
            .entry(key)
            .or_default() += 1;
    }

    fn total(&self) -> Counts {
        let mut total = Counts::new();
        for (key, n) in self.seconds.values().flatten() {
            *total.entry(key.clone()).or_default() += n;
        }
        total
    }

    /// Figures beside each other, over the whole.
    fn ratios(&self) -> Vec<(&'static str, f64)> {
        let total = self.total();
        let sum = |start: &str| -> f64 {
            total
                .iter()
                .filter(|(key, _)| key.starts_with(start))
                .map(|(_, n)| *n)
                .sum::<u64>() as f64
        };
        let part = |of: f64, all: f64| if all > 0.0 { of / all } else { 0.0 };
        let (requests, first) = (sum("requests"), sum("attempts, first"));
        vec![
            (
                "connections opened for 1,000 requests",
                1000.0 * part(sum("connections, Open"), requests),
            ),
            (
                "connections that never came up, of those opened",
                part(sum("connections, Refused"), sum("connections, Open")),
            ),
            (
                "second and later attempts over first ones",
                part(sum("attempts") - first, first),
            ),
            (
                "attempts that timed out, of all that ended",
                part(sum("outcomes, Timeout"), sum("outcomes")),
            ),
            (
                "requests refused, of all",
                part(sum("ended, refused"), requests),
            ),
            (
                "requests failed, of all",
                part(sum("ended, failed"), requests),
            ),
        ]
    }

    /// Servers with the most attempts that were not answered first.
    fn worst(&self, most: usize) -> Vec<(&String, &Counts)> {
        let lost = |counts: &Counts| -> u64 {
            let count = |key: &str| counts.get(key).copied().unwrap_or(0);
            count("outcomes, Timeout") + count("outcomes, ConnectFailed") + count("outcomes, Error")
        };
        let mut all: Vec<_> = self.servers.iter().collect();
        all.sort_by(|a, b| lost(b.1).cmp(&lost(a.1)).then_with(|| a.0.cmp(b.0)));
        all.truncate(most);
        all
    }
}

/// Counts one node's log.
fn file(path: &Path, window: (f64, f64), summary: &mut Summary) -> std::io::Result<()> {
    let (mut reader, mut open, mut line) = (
        BufReader::new(File::open(path)?),
        Open::default(),
        Vec::new(),
    );
    loop {
        line.clear();
        // Guards against a file that is no log and has no end of line: it is read in pieces.
        if (&mut reader).take(LINE_MOST).read_until(b'\n', &mut line)? == 0 {
            return Ok(());
        }
        summary.line(&String::from_utf8_lossy(&line), window, &mut open);
    }
}

fn folder(args: &Args) -> Result<(Summary, usize), String> {
    let name = args.folder.display();
    let window = (args.from, args.to.unwrap_or(f64::INFINITY));
    if window.0.is_nan() || window.0 < 0.0 || window.1.is_nan() || window.1 <= window.0 {
        return Err(
            "--from, --to: must be seconds from 0 on, the second beyond the first".to_string(),
        );
    }
    let read = std::fs::read_dir(&args.folder).map_err(|e| format!("{name}: {e}"))?;
    let mut files: Vec<PathBuf> = read.filter_map(|entry| Some(entry.ok()?.path())).collect();
    files.retain(|path| path.is_file());
    files.sort();
    let mut summary = Summary::default();
    for path in &files {
        file(path, window, &mut summary).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    if summary.seconds.is_empty() {
        return Err(format!(
            "{name}: no line of a trace in {} files; is `run --trace` on?",
            files.len()
        ));
    }
    Ok((summary, files.len()))
}

fn table(summary: &Summary, nodes: usize, servers: usize) {
    out::line(format!(
        "{nodes} nodes; seconds across, counts over all nodes"
    ));
    let head: String = summary.seconds.keys().map(|s| format!("{s:>6}")).collect();
    out::line(format!("{:<34}{head}{:>8}", "", "all"));
    for (key, all) in summary.total() {
        let row: String = summary
            .seconds
            .values()
            .map(|c| format!("{:>6}", c.get(&key).unwrap_or(&0)))
            .collect();
        out::line(format!("{key:<34}{row}{all:>8}"));
    }
    for (what, ratio) in summary.ratios() {
        out::line(format!("{what}: {ratio:.3}"));
    }
    for (server, counts) in summary.worst(servers) {
        let text: Vec<String> = counts.iter().map(|(key, n)| format!("{key} {n}")).collect();
        out::line(format!("{server}: {}", text.join("; ")));
    }
    if summary.unread > 0 {
        out::line(format!(
            "{} lines of the trace could not be read",
            summary.unread
        ));
    }
}

pub fn trace(args: &Args) -> ExitCode {
    match folder(args) {
        Ok((summary, nodes)) if args.json => {
            let ratios: BTreeMap<_, _> = summary.ratios().into_iter().collect();
            let servers: BTreeMap<_, _> = summary.worst(args.servers).into_iter().collect();
            let all = serde_json::json!({
                "nodes": nodes, "seconds": summary.seconds, "all": summary.total(),
                "ratios": ratios, "servers": servers, "unread": summary.unread,
            });
            out::line(all.to_string());
            ExitCode::SUCCESS
        }
        Ok((summary, nodes)) => {
            table(&summary, nodes, args.servers);
            ExitCode::SUCCESS
        }
        Err(why) => {
            eprintln!("{why}");
            ExitCode::from(2)
        }
    }
}

#[cfg(test)]
#[path = "trace_tests.rs"]
mod tests;
