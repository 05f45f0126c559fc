//! Validates a configuration without applying it. Reports every problem, with the field, its value, the reason and an example
//! of a valid value.

mod rules;

use std::collections::BTreeSet;
use std::fmt;

use serde_json::Value;

use crate::config;
use rules::{
    Expected, FieldRule, CLASS, ENDPOINT, ENDPOINT_LIST, GUARDED_CLASS, LIMITS, POLICY_LIMITS,
    POLLING_RULES, ROOT, RULES, SETTINGS, TENANT,
};

/// A problem in a configuration, or a note on a valid but unusual value.
#[derive(Clone, Debug, PartialEq)]
pub struct Finding {
    /// Path of the field, such as `settings.classes[1].window`.
    pub field: String,
    /// The field's value as JSON, possibly truncated; `missing` if there is none.
    pub value: String,
    /// What is wrong with the value.
    pub reason: String,
    /// An example of a valid value.
    pub example: String,
    /// Whether the configuration cannot be used because of this; false for a note.
    pub is_fatal: bool,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = if self.is_fatal { "problem" } else { "note" };
        write!(
            f,
            "{kind}: {}: {}: {}; for example {}",
            self.field, self.value, self.reason, self.example
        )
    }
}

/// Length to which quoted values are truncated, in characters.
const MAX_QUOTED_CHARS: usize = 60;

/// Returns all problems in a configuration, and notes on unusual values.
pub fn check(text: &str) -> Vec<Finding> {
    let mut checker = Checker {
        findings: Vec::new(),
    };
    match serde_json::from_str(text) {
        Ok(root) => {
            checker.check_top_level(&root);
            checker.check_classes(&root);
            checker.check_tenants_and_rules(&root);
            checker.check_addresses(&root);
            checker.check_by_parsing(text);
        }
        Err(e) => checker.add_problem(
            "(file)",
            None,
            format!("is not JSON: {e}"),
            "{\"listen\": \"10.0.0.4:6379\", ...}",
        ),
    }
    checker.findings
}

/// The value at a path.
fn value_at<'a>(root: &'a Value, path: &[&str]) -> Option<&'a Value> {
    path.iter().try_fold(root, |value, name| value.get(name))
}

/// The items of an array with their indices; none if it is not an array.
fn array_items(list: Option<&Value>) -> impl Iterator<Item = (usize, &Value)> {
    list.and_then(Value::as_array)
        .into_iter()
        .flatten()
        .enumerate()
}

fn quote(value: &Value) -> String {
    let text = value.to_string();
    let start: String = text.chars().take(MAX_QUOTED_CHARS).collect();
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
            reason: why.into(),
            example: example.into(),
            is_fatal: fatal,
        });
    }

    /// Adds a problem that makes the configuration unusable.
    fn add_problem(
        &mut self,
        field: &str,
        value: Option<&Value>,
        why: impl Into<String>,
        example: impl Into<String>,
    ) {
        self.add(field, value, why, example, true);
    }

    fn add_note(
        &mut self,
        field: &str,
        value: Option<&Value>,
        why: impl Into<String>,
        example: impl Into<String>,
    ) {
        self.add(field, value, why, example, false);
    }

    /// Checks the fields of an object; `path` is empty for the root object.
    fn check_fields(&mut self, path: &str, value: &Value, rules: &[FieldRule]) {
        if !value.is_object() {
            let expected = Expected::Object;
            return self.add_problem(path, Some(value), expected.mismatch(), expected.example());
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
                None => self.add_problem(&field, None, "has to be there", expected.example()),
                Some(v) if !expected.matches(v) => {
                    self.add_problem(&field, Some(v), expected.mismatch(), expected.example());
                }
                Some(_) => {}
            }
        }
    }

    /// Checks the fields of each object in an array.
    fn check_each(&mut self, path: &str, list: Option<&Value>, rules: &[FieldRule]) {
        for (i, item) in array_items(list) {
            self.check_fields(&format!("{path}[{i}]"), item, rules);
        }
    }

    /// Checks that no two objects in an array have the same value in a field.
    fn check_unique(&mut self, path: &str, list: Option<&Value>, name: &str) {
        let mut seen = BTreeSet::new();
        for (i, item) in array_items(list) {
            let Some(value) = item.get(name) else {
                continue;
            };
            if !seen.insert(value.to_string()) {
                let field = format!("{path}[{i}].{name}");
                self.add_problem(
                    &field,
                    Some(value),
                    "occurs more than once",
                    "a unique name",
                );
            }
        }
    }

    /// Checks the root object, its objects `limits`, `known` and `settings`, and the endpoint list.
    fn check_top_level(&mut self, root: &Value) {
        self.check_fields("", root, ROOT);
        for (name, rules) in [
            ("limits", LIMITS),
            ("known", ENDPOINT_LIST),
            ("settings", SETTINGS),
        ] {
            if let Some(value) = value_at(root, &[name]).filter(|v| v.is_object()) {
                self.check_fields(name, value, rules);
            }
        }
        let targets = value_at(root, &["known", "targets"]);
        self.check_each("known.targets", targets, ENDPOINT);
        self.check_unique("known.targets", targets, "uid");
    }

    fn check_classes(&mut self, root: &Value) {
        let classes = value_at(root, &["settings", "classes"]);
        self.check_each("settings.classes", classes, CLASS);
        self.check_unique("settings.classes", classes, "name");
        let list = classes.and_then(Value::as_array);
        if list.is_some_and(Vec::is_empty) {
            let why = "must contain at least one class";
            self.add_problem("settings.classes", classes, why, "[{...}]");
        }
        for (i, class) in array_items(classes) {
            let path = format!("settings.classes[{i}]");
            if class.get("repeat").and_then(Value::as_str) == Some("guarded") {
                self.check_fields(&path, class, GUARDED_CLASS);
            }
            self.check_latency_objective(&path, class);
        }
    }

    fn check_latency_objective(&mut self, path: &str, class: &Value) {
        let number = |name: &str| class.get(name).and_then(Value::as_f64);
        if let (Some(latency_objective), Some(deadline)) = (number("aim"), number("deadline")) {
            if latency_objective > deadline {
                let why =
                    format!("exceeds the deadline of {deadline} ms, after which no client waits");
                let field = format!("{path}.aim");
                self.add_note(&field, class.get("aim"), why, format!("{deadline}"));
            }
        }
    }

    fn check_tenants_and_rules(&mut self, root: &Value) {
        let tenants = value_at(root, &["settings", "realms"]);
        self.check_each("settings.realms", tenants, TENANT);
        self.check_unique("settings.realms", tenants, "name");
        for (name, rules) in [("policy_limits", POLICY_LIMITS), ("rules", RULES)] {
            if let Some(value) = value_at(root, &["settings", name]).filter(|v| v.is_object()) {
                self.check_fields(&format!("settings.{name}"), value, rules);
            }
        }
        if value_at(root, &["settings", "discovery"]).and_then(Value::as_str) == Some("ask") {
            let rules = value_at(root, &["settings", "rules"]).filter(|v| v.is_object());
            if let Some(rules) = rules {
                self.check_fields("settings.rules", rules, POLLING_RULES);
            }
        }
    }

    /// Checks that the addresses of the client listener, the admin listener and discovery differ.
    fn check_addresses(&mut self, root: &Value) {
        let address = |name| value_at(root, &[name]);
        if let (Some(listen), Some(discovery)) = (address("listen"), address("discovery")) {
            if listen == discovery && Expected::Address.matches(listen) {
                let why = "is the address that this node listens on";
                self.add_problem("discovery", Some(discovery), why, "\"10.2.0.1:8500\"");
            }
        }
        for name in ["listen", "discovery"] {
            if let (Some(ops), Some(other)) = (address("ops"), address(name)) {
                if ops == other && Expected::Address.matches(ops) {
                    let why = format!("is the same address as {name}");
                    self.add_problem("ops", Some(ops), why, "\"127.0.0.1:15000\"");
                }
            }
        }
    }

    /// Parses the configuration as the node does and reports its error, unless a problem was found before.
    fn check_by_parsing(&mut self, text: &str) {
        if self.findings.iter().any(|finding| finding.is_fatal) {
            return;
        }
        if let Err(error) = config::parse(text) {
            let example = "a value that the message allows";
            self.add_problem("(file)", None, error.to_string(), example);
        }
    }
}
