//! Checks a configuration without using it. All problems are reported, not only the first; each names the field, its value,
//! what is wrong and a value that would do.

mod rules;

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Value;

use crate::config;
use rules::{
    Expected, FieldRule, CLASS, GUARDED, KNOWN, LIMITS, POLICY, POLLING_RULES, REALM, RULES,
    SETTINGS, TARGET, TOP,
};

/// A problem or an oddity in a configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Path of the field, like `settings.classes[1].window`.
    pub field: String,
    /// Its value; `missing` if there is none.
    pub value: String,
    /// What is wrong.
    pub why: String,
    /// A value that would do.
    pub example: String,
    /// The configuration cannot be used; otherwise a note.
    pub fatal: bool,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.fatal { "problem" } else { "note" };
        write!(
            f,
            "{kind}: {}: {}: {}; for example {}",
            self.field, self.value, self.why, self.example
        )
    }
}

/// Longest value that is quoted, in characters.
const MAX_QUOTED: usize = 60;

/// All that is wrong with a configuration, and notes on what is odd.
pub fn check(text: &str) -> Vec<Finding> {
    let mut checker = Checker {
        findings: Vec::new(),
    };
    match serde_json::from_str(text) {
        Ok(root) => {
            checker.check_objects(&root);
            checker.check_classes(&root);
            checker.check_tenants_and_rules(&root);
            checker.check_addresses(&root);
            checker.check_by_parsing(text);
        }
        Err(e) => checker.problem(
            "(file)",
            None,
            format!("is not JSON: {e}"),
            "{\"listen\": \"10.0.0.4:6379\", ...}",
        ),
    }
    checker.findings
}

/// The value at a path.
fn at<'a>(root: &'a Value, path: &[&str]) -> Option<&'a Value> {
    path.iter().try_fold(root, |value, name| value.get(name))
}

fn items(list: Option<&Value>) -> impl Iterator<Item = (usize, &Value)> {
    list.and_then(Value::as_array)
        .into_iter()
        .flatten()
        .enumerate()
}

fn quote(value: &Value) -> String {
    let text = value.to_string();
    let start: String = text.chars().take(MAX_QUOTED).collect();
    if start.len() < text.len() {
        start + "..."
    } else {
        start
    }
}

struct Checker {
    findings: Vec<Finding>,
}

impl Checker {
    fn add(
        &mut self,
        field: &str,
        value: Option<&Value>,
        why: impl Into<String>,
        example: impl Into<String>,
        fatal: bool,
    ) {
        self.findings.push(Finding {
            field: field.to_string(),
            value: value.map_or("missing".to_string(), quote),
            why: why.into(),
            example: example.into(),
            fatal,
        });
    }

    /// The configuration cannot be used.
    fn problem(
        &mut self,
        field: &str,
        value: Option<&Value>,
        why: impl Into<String>,
        example: impl Into<String>,
    ) {
        self.add(field, value, why, example, true);
    }

    fn note(
        &mut self,
        field: &str,
        value: Option<&Value>,
        why: impl Into<String>,
        example: impl Into<String>,
    ) {
        self.add(field, value, why, example, false);
    }

    /// Checks the fields of an object.
    fn object(&mut self, path: &str, value: &Value, rules: &[FieldRule]) {
        if !value.is_object() {
            let expected = Expected::Object;
            return self.problem(path, Some(value), expected.problem(), expected.example());
        }
        for rule in rules {
            let field = if path.is_empty() {
                rule.name.to_string()
            } else {
                format!("{path}.{}", rule.name)
            };
            let expected = rule.expected;
            match value.get(rule.name).filter(|v| !v.is_null()) {
                None if rule.is_optional => {}
                None => self.problem(&field, None, "has to be there", expected.example()),
                Some(v) if !expected.matches(v) => {
                    self.problem(&field, Some(v), expected.problem(), expected.example());
                }
                Some(_) => {}
            }
        }
    }

    /// Checks the objects of an array.
    fn each(&mut self, path: &str, list: Option<&Value>, rules: &[FieldRule]) {
        for (i, item) in items(list) {
            self.object(&format!("{path}[{i}]"), item, rules);
        }
    }

    /// Checks that no two objects of an array have the same value in a field.
    fn unique(&mut self, path: &str, list: Option<&Value>, name: &str) {
        let mut seen = BTreeSet::new();
        for (i, item) in items(list) {
            let Some(value) = item.get(name) else {
                continue;
            };
            if !seen.insert(value.to_string()) {
                let field = format!("{path}[{i}].{name}");
                self.problem(&field, Some(value), "stands there twice", "another name");
            }
        }
    }

    fn check_objects(&mut self, root: &Value) {
        self.object("", root, TOP);
        for (name, rules) in [("limits", LIMITS), ("known", KNOWN), ("settings", SETTINGS)] {
            if let Some(value) = at(root, &[name]).filter(|v| v.is_object()) {
                self.object(name, value, rules);
            }
        }
        let targets = at(root, &["known", "targets"]);
        self.each("known.targets", targets, TARGET);
        self.unique("known.targets", targets, "uid");
    }

    fn check_classes(&mut self, root: &Value) {
        let classes = at(root, &["settings", "classes"]);
        self.each("settings.classes", classes, CLASS);
        self.unique("settings.classes", classes, "name");
        let list = classes.and_then(Value::as_array);
        if list.is_some_and(Vec::is_empty) {
            let why = "there must be one at least";
            self.problem("settings.classes", classes, why, "[{...}]");
        }
        for (i, class) in items(classes) {
            let path = format!("settings.classes[{i}]");
            if class.get("repeat").and_then(Value::as_str) == Some("guarded") {
                self.object(&path, class, GUARDED);
            }
            self.check_latency_objective(&path, class);
        }
    }

    fn check_latency_objective(&mut self, path: &str, class: &Value) {
        let number = |name: &str| class.get(name).and_then(Value::as_f64);
        if let (Some(latency_objective), Some(deadline)) = (number("aim"), number("deadline")) {
            if latency_objective > deadline {
                let why = format!("lies beyond the deadline, {deadline}: nobody waits so long");
                let field = format!("{path}.aim");
                self.note(&field, class.get("aim"), why, format!("{deadline}"));
            }
        }
    }

    fn check_tenants_and_rules(&mut self, root: &Value) {
        let tenants = at(root, &["settings", "realms"]);
        self.each("settings.realms", tenants, REALM);
        self.unique("settings.realms", tenants, "name");
        for (name, rules) in [("policy_limits", POLICY), ("rules", RULES)] {
            if let Some(value) = at(root, &["settings", name]).filter(|v| v.is_object()) {
                self.object(&format!("settings.{name}"), value, rules);
            }
        }
        if at(root, &["settings", "discovery"]).and_then(Value::as_str) == Some("ask") {
            let rules = at(root, &["settings", "rules"]).filter(|v| v.is_object());
            if let Some(rules) = rules {
                self.object("settings.rules", rules, POLLING_RULES);
            }
        }
    }

    /// Checks that the node's own addresses differ from each other and from discovery's.
    fn check_addresses(&mut self, root: &Value) {
        let address = |name| at(root, &[name]);
        if let (Some(listen), Some(discovery)) = (address("listen"), address("discovery")) {
            if listen == discovery && Expected::Address.matches(listen) {
                let why = "is the address of this node itself";
                self.problem("discovery", Some(discovery), why, "\"10.2.0.1:8500\"");
            }
        }
        for name in ["listen", "discovery"] {
            if let (Some(ops), Some(other)) = (address("ops"), address(name)) {
                if ops == other && Expected::Address.matches(ops) {
                    let why = format!("is the address that {name} has");
                    self.problem("ops", Some(ops), why, "\"127.0.0.1:15000\"");
                }
            }
        }
    }

    /// Reports what the node itself would reject, in its words, if nothing was found before.
    fn check_by_parsing(&mut self, text: &str) {
        if self.findings.iter().any(|finding| finding.fatal) {
            return;
        }
        if let Err(error) = config::parse(text) {
            let example = "a value of the kind that the message names";
            self.problem("(file)", None, error.to_string(), example);
        }
    }
}
