//! Judges a configuration without using it. It does not stop at the first problem; each names the field, its
//! value, what is wrong and a value that would do.

use std::fmt;
use std::net::SocketAddr;

use serde_json::Value;

use crate::config;

/// Something found in a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Found {
    /// Path of the field, like `settings.classes[1].window`.
    pub field: String,
    /// What stands there; `missing` if nothing does.
    pub value: String,
    pub why: String,
    pub example: String,
    /// It cannot be used; otherwise a note.
    pub fatal: bool,
}

impl fmt::Display for Found {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.fatal { "problem" } else { "note" };
        write!(
            f,
            "{kind}: {}: {}: {}; for example {}",
            self.field, self.value, self.why, self.example
        )
    }
}

/// Longest value that is quoted.
const QUOTED_MOST: usize = 60;

#[derive(Clone, Copy)]
enum Want {
    Text,
    Address,
    Seed,
    Flag,
    Object,
    /// At least, at most.
    Number(f64, f64),
    /// Above zero.
    Positive,
    Whole(i64),
    Word(&'static [&'static str]),
    Array,
}

impl Want {
    fn fits(self, v: &Value) -> bool {
        match self {
            Want::Text => v.as_str().is_some_and(|t| !t.is_empty()),
            Want::Address => v.as_str().is_some_and(|t| t.parse::<SocketAddr>().is_ok()),
            Want::Seed => v
                .as_str()
                .is_some_and(|t| u64::from_str_radix(t, 16).is_ok()),
            Want::Flag => v.is_boolean(),
            Want::Object => v.is_object(),
            Want::Number(low, high) => v.as_f64().is_some_and(|n| (low..=high).contains(&n)),
            Want::Positive => v.as_f64().is_some_and(|n| n > 0.0 && n <= TIME_MOST),
            Want::Whole(least) => v.as_i64().is_some_and(|n| n >= least),
            Want::Word(words) => v.as_str().is_some_and(|t| words.contains(&t)),
            Want::Array => v.is_array(),
        }
    }

    fn words(self) -> String {
        match self {
            Want::Text => "is not a text".to_string(),
            Want::Address => "is no address with a port".to_string(),
            Want::Seed => "is not 64 bits in hex".to_string(),
            Want::Flag => "is neither true nor false".to_string(),
            Want::Object => "is not an object".to_string(),
            Want::Number(low, high) => format!("is not a number from {low} to {high}"),
            Want::Positive => format!("is not a number above 0, up to {TIME_MOST}"),
            Want::Whole(least) => format!("is not a whole number from {least}"),
            Want::Word(words) => format!("is none of {}", words.join(", ")),
            Want::Array => "is not an array".to_string(),
        }
    }

    fn example(self) -> String {
        match self {
            Want::Text => "\"n3\"".to_string(),
            Want::Address => "\"10.0.0.4:6379\"".to_string(),
            Want::Seed => "\"8c1f30d27a5be964\"".to_string(),
            Want::Flag => "true".to_string(),
            Want::Object => "{}".to_string(),
            Want::Number(low, high) => format!(
                "{}",
                if high <= 1.0 {
                    high / 2.0
                } else {
                    low.max(1.0)
                }
            ),
            Want::Positive => "150.0".to_string(),
            Want::Whole(least) => format!("{}", least.max(1)),
            Want::Word(words) => format!("{:?}", words.first().unwrap_or(&"")),
            Want::Array => "[]".to_string(),
        }
    }
}

/// Longest time or largest number that means anything here, in milliseconds: over a month.
const TIME_MOST: f64 = 3e9;
const ANY: Want = Want::Number(0.0, TIME_MOST);

/// Field, what it must be, whether it may be absent.
type Rule = (&'static str, Want, bool);

const TOP: &[Rule] = &[
    ("listen", Want::Address, false),
    ("discovery", Want::Address, false),
    ("ops", Want::Address, true),
    ("seed", Want::Seed, false),
    ("limits", Want::Object, false),
    ("known", Want::Object, false),
    ("settings", Want::Object, false),
];
const LIMITS: &[Rule] = &[
    ("memory_mb", Want::Whole(32), false),
    ("sockets", Want::Whole(64), false),
];
const KNOWN: &[Rule] = &[
    ("rev", Want::Whole(i64::MIN), false),
    ("all", Want::Flag, false),
    ("targets", Want::Array, false),
];
const TARGET: &[Rule] = &[
    ("uid", Want::Text, false),
    ("endpoint", Want::Address, false),
    (
        "state",
        Want::Word(&["in_service", "terminating", "terminated"]),
        false,
    ),
    ("capacity_hint", ANY, true),
    ("az", Want::Text, true),
    ("model", Want::Text, true),
    ("boot_ms", Want::Whole(0), true),
];
const SETTINGS: &[Rule] = &[
    ("classes", Want::Array, false),
    ("discovery", Want::Word(&["ask", "push"]), false),
    ("replicas_of_me", Want::Whole(1), false),
    ("policy_limits", Want::Object, false),
    ("rules", Want::Object, false),
    ("realms", Want::Array, true),
    ("zones", Want::Array, true),
    ("kinds", Want::Array, true),
    ("period", ANY, true),
    ("over_share_worth", ANY, true),
];
const CLASS: &[Rule] = &[
    ("name", Want::Text, false),
    ("aim", Want::Positive, false),
    ("deadline", Want::Positive, false),
    (
        "repeat",
        Want::Word(&["free", "guarded", "single_shot"]),
        false,
    ),
    ("worth", ANY, true),
    ("late_share", Want::Number(0.0, 1.0), true),
    ("stream", Want::Flag, true),
];
const GUARDED: &[Rule] = &[
    ("window", Want::Positive, false),
    ("dedup_scope", Want::Word(&["all", "zone", "cell"]), false),
];
const REALM: &[Rule] = &[
    ("name", Want::Text, false),
    ("share", ANY, true),
    ("quota_per_s", ANY, true),
];
const POLICY: &[Rule] = &[
    ("try_limit", Want::Whole(1), false),
    ("second_copies", Want::Flag, false),
    ("cancel", Want::Flag, true),
    ("probes", Want::Flag, true),
    ("retry_after", Want::Flag, true),
    ("max_retry_after", ANY, true),
    ("connect_timeout", Want::Positive, true),
    ("conn_idle", Want::Positive, true),
    ("max_open", Want::Whole(1), true),
];
const RULES: &[Rule] = &[
    ("stop_sending_within", ANY, false),
    ("cold_from", Want::Number(0.000_001, 1.0), false),
    ("cold", ANY, false),
    ("fall_multiple", ANY, false),
    ("fall", ANY, false),
    ("grace_to_answer", ANY, false),
];

struct Checker {
    found: Vec<Found>,
}

impl Checker {
    fn add(
        &mut self,
        field: &str,
        value: Option<&Value>,
        why: impl Into<String>,
        example: String,
        fatal: bool,
    ) {
        let value = value.map_or("missing".to_string(), |v| {
            let text = v.to_string();
            let cut: String = text.chars().take(QUOTED_MOST).collect();
            if cut.len() < text.len() {
                cut + "..."
            } else {
                cut
            }
        });
        self.found.push(Found {
            field: field.to_string(),
            value,
            why: why.into(),
            example,
            fatal,
        });
    }

    fn object(&mut self, path: &str, value: &Value, rules: &[Rule]) {
        if !value.is_object() {
            return self.add(
                path,
                Some(value),
                Want::Object.words(),
                Want::Object.example(),
                true,
            );
        }
        for (name, want, optional) in rules {
            let field = if path.is_empty() {
                name.to_string()
            } else {
                format!("{path}.{name}")
            };
            match value.get(name).filter(|v| !v.is_null()) {
                None if *optional => {}
                None => self.add(&field, None, "has to be there", want.example(), true),
                Some(v) if !want.fits(v) => {
                    self.add(&field, Some(v), want.words(), want.example(), true)
                }
                Some(_) => {}
            }
        }
    }

    fn each(&mut self, path: &str, list: Option<&Value>, rules: &[Rule]) {
        for (i, item) in list
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
            .enumerate()
        {
            self.object(&format!("{path}[{i}]"), item, rules);
        }
    }

    fn twice(&mut self, path: &str, list: Option<&Value>, name: &str) {
        let mut seen = std::collections::BTreeSet::new();
        for (i, item) in list
            .and_then(Value::as_array)
            .into_iter()
            .flatten()
            .enumerate()
        {
            if let Some(v) = item.get(name) {
                if !seen.insert(v.to_string()) {
                    let field = format!("{path}[{i}].{name}");
                    self.add(
                        &field,
                        Some(v),
                        "stands there twice",
                        "another name".to_string(),
                        true,
                    );
                }
            }
        }
    }
}

/// All that is wrong with a configuration, and notes on what is odd.
pub fn check(text: &str) -> Vec<Found> {
    let mut c = Checker { found: Vec::new() };
    let value: Value = match serde_json::from_str(text) {
        Ok(value) => value,
        Err(e) => {
            c.add(
                "(file)",
                None,
                format!("is not JSON: {e}"),
                "{\"listen\": \"10.0.0.4:6379\", ...}".into(),
                true,
            );
            return c.found;
        }
    };
    c.object("", &value, TOP);
    let at = |path: &[&str]| path.iter().try_fold(&value, |v, name| v.get(name));
    for (path, rules) in [("limits", LIMITS), ("known", KNOWN), ("settings", SETTINGS)] {
        if let Some(v) = at(&[path]).filter(|v| v.is_object()) {
            c.object(path, v, rules);
        }
    }
    let targets = at(&["known", "targets"]);
    c.each("known.targets", targets, TARGET);
    c.twice("known.targets", targets, "uid");
    let classes = at(&["settings", "classes"]);
    c.each("settings.classes", classes, CLASS);
    c.twice("settings.classes", classes, "name");
    if classes
        .and_then(Value::as_array)
        .is_some_and(|list| list.is_empty())
    {
        c.add(
            "settings.classes",
            classes,
            "there must be one at least",
            "[{...}]".into(),
            true,
        );
    }
    for (i, class) in classes
        .and_then(Value::as_array)
        .into_iter()
        .flatten()
        .enumerate()
    {
        let path = format!("settings.classes[{i}]");
        if class.get("repeat").and_then(Value::as_str) == Some("guarded") {
            c.object(&path, class, GUARDED);
        }
        let number = |name: &str| class.get(name).and_then(Value::as_f64);
        if let (Some(latency_objective), Some(deadline)) = (number("aim"), number("deadline")) {
            if latency_objective > deadline {
                let why = format!("lies beyond the deadline, {deadline}: nobody waits so long");
                c.add(
                    &format!("{path}.aim"),
                    class.get("aim"),
                    why,
                    format!("{deadline}"),
                    false,
                );
            }
        }
    }
    c.each("settings.realms", at(&["settings", "realms"]), REALM);
    c.twice("settings.realms", at(&["settings", "realms"]), "name");
    for (name, rules) in [("policy_limits", POLICY), ("rules", RULES)] {
        if let Some(v) = at(&["settings", name]).filter(|v| v.is_object()) {
            c.object(&format!("settings.{name}"), v, rules);
        }
    }
    if at(&["settings", "discovery"]).and_then(Value::as_str) == Some("ask") {
        let rules = at(&["settings", "rules"]).filter(|v| v.is_object());
        if let Some(rules) = rules {
            c.object(
                "settings.rules",
                rules,
                &[("ask_within", Want::Positive, false)],
            );
        }
    }
    if let (Some(listen), Some(discovery)) = (at(&["listen"]), at(&["discovery"])) {
        if listen == discovery && Want::Address.fits(listen) {
            let why = "is the address of this node itself";
            c.add(
                "discovery",
                Some(discovery),
                why,
                "\"10.2.0.1:8500\"".into(),
                true,
            );
        }
    }
    for name in ["listen", "discovery"] {
        if let (Some(ops), Some(other)) = (at(&["ops"]), at(&[name])) {
            if ops == other && Want::Address.fits(ops) {
                let why = format!("is the address that {name} has");
                c.add("ops", Some(ops), why, "\"127.0.0.1:15000\"".into(), true);
            }
        }
    }
    if !c.found.iter().any(|f| f.fatal) {
        // What the node itself would refuse, in its words.
        if let Err(bad) = config::parse(text) {
            c.add(
                "(file)",
                None,
                bad.to_string(),
                "a value of the kind that the message names".into(),
                true,
            );
        }
    }
    c.found
}
