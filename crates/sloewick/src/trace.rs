//! `sloewick trace`: counts the events in the traces of a fleet's nodes, for each second.
//!
//! Reads logs written by this version and by the previous one. Memory use is bounded for any content of the files.

use std::collections::{BTreeMap, HashMap};
use std::fmt::Write;
use std::fs::File;
use std::io::{BufRead, BufReader, Read};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use thiserror::Error;

use crate::output::{print_line, reject_input};

/// Arguments of `sloewick trace`.
#[derive(clap::Args)]
#[command(after_help = "\
Examples:
  sloewick trace logs
  sloewick trace logs --from 5 --to 12 --servers 10
  sloewick trace logs --json

Each file in the folder is the log of one node, written by `sloewick run --trace`. If a line starts with a number of
seconds, as added by a log collector, this is the time of its event on the fleet's clock; otherwise the node's own time
is used.

Exit codes: 0 success, 2 unusable input.")]
pub(crate) struct Args {
    /// The folder with the nodes' logs
    folder: PathBuf,
    /// Count events from this second on
    #[arg(long, value_name = "SECONDS", default_value_t = 0.0)]
    from: f64,
    /// Count events before this second
    #[arg(long, value_name = "SECONDS")]
    to: Option<f64>,
    /// Also list this many cache servers, those with the most failed attempts first
    #[arg(long, value_name = "N", default_value_t = 0)]
    servers: usize,
    /// Print the counts as JSON
    #[arg(long)]
    json: bool,
}

/// Maximum number of bytes read as one line. Nodes write lines of at most 400 characters.
const MAX_LINE_BYTES: u64 = 4096;
/// Events from this second on are not counted, but reported as unreadable lines.
const MAX_SECONDS: u64 = 100_000;
/// Maximum number of servers that are counted separately; events of further servers count in the totals only.
const MAX_SERVERS: usize = 10_000;
/// Maximum number of open requests tracked for one node; when it is reached, all tracked requests are dropped.
const MAX_OPEN_REQUESTS: usize = 100_000;

/// Start of an event in a line; the collector's time may precede it.
const TRACE_MARKER: &str = "trace t=";
/// Value reported for a field that a line does not have.
const MISSING_FIELD: &str = "untold";

/// Number of events by the name of their row in the table.
type Counts = BTreeMap<String, u64>;

/// Errors that keep traces from being counted.
#[derive(Debug, Error)]
enum TraceError {
    #[error("--from, --to: must be seconds of at least 0, and --to must be greater than --from")]
    Window,
    #[error("{path}: {error}")]
    Unreadable { path: String, error: std::io::Error },
    #[error("{folder}: no line of a trace in {files} files; is `run --trace` on?")]
    NoTrace { folder: String, files: usize },
}

/// The period in which events are counted, in seconds: from `from` (inclusive) to `to` (exclusive).
#[derive(Clone, Copy)]
struct Window {
    from: f64,
    to: f64,
}

impl Window {
    fn new(from: f64, to: f64) -> Result<Window, TraceError> {
        if from.is_nan() || from < 0.0 || to.is_nan() || to <= from {
            return Err(TraceError::Window);
        }
        Ok(Window { from, to })
    }

    fn contains(self, second: f64) -> bool {
        second >= self.from && second < self.to
    }
}

/// An event, parsed from a line of the trace.
struct Event<'a> {
    /// Time in seconds: the collector's time if the line starts with it, otherwise the node's own.
    second: f64,
    kind: &'a str,
    fields: HashMap<&'a str, &'a str>,
}

impl<'a> Event<'a> {
    /// Parses an event from the text before and after [`TRACE_MARKER`] in a line.
    fn parse(prefix: &str, trace: &'a str) -> Option<Event<'a>> {
        let mut words = trace.split_whitespace();
        let node_time = words.next()?.parse::<u64>().ok()?;
        let kind = words.next()?;
        let collector_time = prefix
            .trim()
            .parse::<f64>()
            .ok()
            .filter(|seconds| seconds.is_finite() && *seconds >= 0.0);
        Some(Event {
            second: collector_time.unwrap_or(node_time as f64 / 1e6),
            kind,
            fields: words.filter_map(|word| word.split_once('=')).collect(),
        })
    }

    fn field(&self, name: &str) -> &'a str {
        self.fields.get(name).copied().unwrap_or(MISSING_FIELD)
    }
}

/// Number of attempts so far, by id, for each open request of one node.
#[derive(Default)]
struct OpenRequests(HashMap<String, u32>);

impl OpenRequests {
    fn begin(&mut self, id: &str) {
        if self.0.len() >= MAX_OPEN_REQUESTS {
            self.0.clear();
        }
        self.0.insert(id.to_string(), 0);
    }

    /// Counts an attempt and returns its ordinal.
    fn attempt(&mut self, id: &str) -> &'static str {
        let attempts = self.0.entry(id.to_string()).or_default();
        *attempts += 1;
        match *attempts {
            1 => "first",
            2 => "second",
            _ => "later",
        }
    }

    fn end(&mut self, id: &str) {
        self.0.remove(id);
    }

    /// Updates the open requests and returns the row that counts this event, or None for an unknown kind.
    fn row(&mut self, event: &Event<'_>) -> Option<String> {
        let field = |name: &str| event.field(name);
        Some(match event.kind {
            "request" => {
                self.begin(field("id"));
                format!("requests of class {}", field("class"))
            }
            "send" => format!("attempts, {}", self.attempt(field("id"))),
            "outcome" => format!("outcomes, {}", field("how")),
            "end" => {
                self.end(field("id"));
                format!("ended, {} by {}", field("how"), field("why"))
            }
            "conn" => format!("connections, {}", field("step")),
            "list" => format!("lists, {}", field("kind")),
            "ask" => "calls to discovery".to_string(),
            "probed" => format!("probes, {}", field("how")),
            "left" => "clients that left".to_string(),
            _ => return None,
        })
    }
}

/// Counts over all nodes.
#[derive(Default)]
struct Summary {
    seconds: BTreeMap<u64, Counts>,
    servers: HashMap<String, Counts>,
    /// Trace lines that could not be parsed, or whose time is [`MAX_SECONDS`] or later.
    unreadable_lines: u64,
}

impl Summary {
    /// Counts the event in a line of a log; skips lines without an event.
    fn add_line(&mut self, line: &str, window: Window, open: &mut OpenRequests) {
        let Some((prefix, trace)) = line.split_once(TRACE_MARKER) else {
            return;
        };
        let event = Event::parse(prefix, trace);
        let row = event.as_ref().and_then(|event| open.row(event));
        let (Some(event), Some(row)) = (event, row) else {
            self.unreadable_lines += 1;
            return;
        };
        if !window.contains(event.second) {
            return;
        }
        if event.second >= MAX_SECONDS as f64 {
            self.unreadable_lines += 1;
            return;
        }
        self.count_server(&event, &row);
        let counts = self.seconds.entry(event.second as u64).or_default();
        *counts.entry(row).or_default() += 1;
    }

    fn count_server(&mut self, event: &Event<'_>, row: &str) {
        let ("outcome" | "conn", Some(server)) = (event.kind, event.fields.get("server")) else {
            return;
        };
        if self.servers.len() < MAX_SERVERS || self.servers.contains_key(*server) {
            let counts = self.servers.entry((*server).to_string()).or_default();
            *counts.entry(row.to_string()).or_default() += 1;
        }
    }

    fn total(&self) -> Counts {
        let mut total = Counts::new();
        for (key, n) in self.seconds.values().flatten() {
            *total.entry(key.clone()).or_default() += n;
        }
        total
    }

    /// Names and values of ratios over all seconds.
    fn ratios(&self) -> Vec<(&'static str, f64)> {
        let total = self.total();
        let sum = |prefix: &str| -> f64 {
            total
                .iter()
                .filter(|(key, _)| key.starts_with(prefix))
                .map(|(_, n)| *n)
                .sum::<u64>() as f64
        };
        let fraction = |part: f64, whole: f64| if whole > 0.0 { part / whole } else { 0.0 };
        let (requests, first_attempts) = (sum("requests"), sum("attempts, first"));
        vec![
            (
                "connections opened for 1,000 requests",
                1000.0 * fraction(sum("connections, Open"), requests),
            ),
            (
                "connections that never came up, of those opened",
                fraction(sum("connections, Refused"), sum("connections, Open")),
            ),
            (
                "second and later attempts over first ones",
                fraction(sum("attempts") - first_attempts, first_attempts),
            ),
            (
                "attempts that timed out, of all that ended",
                fraction(sum("outcomes, Timeout"), sum("outcomes")),
            ),
            (
                "requests refused, of all",
                fraction(sum("ended, refused"), requests),
            ),
            (
                "requests failed, of all",
                fraction(sum("ended, failed"), requests),
            ),
        ]
    }

    /// At most `max` servers, sorted by the number of failed attempts, highest first.
    fn worst_servers(&self, max: usize) -> Vec<(&String, &Counts)> {
        let failed_attempts = |counts: &Counts| -> u64 {
            let count = |key: &str| counts.get(key).copied().unwrap_or(0);
            count("outcomes, Timeout") + count("outcomes, ConnectFailed") + count("outcomes, Error")
        };
        let mut all: Vec<_> = self.servers.iter().collect();
        all.sort_by(|a, b| {
            failed_attempts(b.1)
                .cmp(&failed_attempts(a.1))
                .then_with(|| a.0.cmp(b.0))
        });
        all.truncate(max);
        all
    }
}

/// Counts the events in one node's log.
fn read_log(path: &Path, window: Window, summary: &mut Summary) -> std::io::Result<()> {
    let mut reader = BufReader::new(File::open(path)?);
    let mut open = OpenRequests::default();
    let mut line = Vec::new();
    loop {
        line.clear();
        // Limits the buffer, since a file that is not a log may have no line ends.
        if (&mut reader)
            .take(MAX_LINE_BYTES)
            .read_until(b'\n', &mut line)?
            == 0
        {
            return Ok(());
        }
        summary.add_line(&String::from_utf8_lossy(&line), window, &mut open);
    }
}

/// Counts over all logs in a folder.
struct FolderSummary {
    counts: Summary,
    nodes: usize,
}

fn read_folder(args: &Args) -> Result<FolderSummary, TraceError> {
    let window = Window::new(args.from, args.to.unwrap_or(f64::INFINITY))?;
    let unreadable = |path: &Path, error| TraceError::Unreadable {
        path: path.display().to_string(),
        error,
    };
    let entries =
        std::fs::read_dir(&args.folder).map_err(|error| unreadable(&args.folder, error))?;
    let mut files: Vec<PathBuf> = entries
        .filter_map(|entry| Some(entry.ok()?.path()))
        .collect();
    files.retain(|path| path.is_file());
    files.sort();
    let mut counts = Summary::default();
    for path in &files {
        read_log(path, window, &mut counts).map_err(|error| unreadable(path, error))?;
    }
    if counts.seconds.is_empty() {
        return Err(TraceError::NoTrace {
            folder: args.folder.display().to_string(),
            files: files.len(),
        });
    }
    Ok(FolderSummary {
        counts,
        nodes: files.len(),
    })
}

fn print_table(folder: &FolderSummary, servers: usize) {
    let (summary, nodes) = (&folder.counts, folder.nodes);
    print_line(format!(
        "{nodes} nodes; seconds across, counts over all nodes"
    ));
    let mut header = String::new();
    for second in summary.seconds.keys() {
        let _ = write!(header, "{second:>6}");
    }
    print_line(format!("{:<34}{header}{:>8}", "", "all"));
    for (key, all) in summary.total() {
        let mut row = String::new();
        for counts in summary.seconds.values() {
            let _ = write!(row, "{:>6}", counts.get(&key).unwrap_or(&0));
        }
        print_line(format!("{key:<34}{row}{all:>8}"));
    }
    for (name, ratio) in summary.ratios() {
        print_line(format!("{name}: {ratio:.3}"));
    }
    for (server, counts) in summary.worst_servers(servers) {
        let text: Vec<String> = counts.iter().map(|(key, n)| format!("{key} {n}")).collect();
        print_line(format!("{server}: {}", text.join("; ")));
    }
    if summary.unreadable_lines > 0 {
        print_line(format!(
            "{} lines of the trace could not be read",
            summary.unreadable_lines
        ));
    }
}

fn print_json(folder: &FolderSummary, servers: usize) {
    let summary = &folder.counts;
    let ratios: BTreeMap<_, _> = summary.ratios().into_iter().collect();
    let servers: BTreeMap<_, _> = summary.worst_servers(servers).into_iter().collect();
    let json = serde_json::json!({
        "nodes": folder.nodes, "seconds": summary.seconds, "all": summary.total(),
        "ratios": ratios, "servers": servers, "unread": summary.unreadable_lines,
    });
    print_line(json.to_string());
}

/// Counts the events in a folder of traces and prints the counts.
pub(crate) fn trace(args: &Args) -> ExitCode {
    let folder = match read_folder(args) {
        Ok(folder) => folder,
        Err(error) => return reject_input(&error),
    };
    if args.json {
        print_json(&folder, args.servers);
    } else {
        print_table(&folder, args.servers);
    }
    ExitCode::SUCCESS
}

#[cfg(test)]
#[path = "trace_tests.rs"]
mod tests;
