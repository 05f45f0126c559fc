//! Parses scenarios from TOML. Parsing does not stop at the first error; each error names its line and the allowed values.

use toml::de::{DeArray, DeTable, DeValue};
use toml::Spanned;

use super::kinds::{allowed_values, fault_spec, FaultSpec, FieldKind, FAULTS};
use super::scenario::{Fault, FieldValue, Scenario};

/// Fields of a scenario and the values that each allows.
const SCENARIO_FIELDS: &[(&str, &str)] = &[
    ("name", "text"),
    ("about", "text"),
    ("seconds", "a number from 1 to 3600"),
    ("nodes", "a whole number from 1 to 32"),
    ("boxes", "a whole number from 1 to 200"),
    ("rate", "requests a second, a number from 1 to 20000"),
    ("fault", "tables, [[fault]]"),
];

/// Latest begin of a fault, in seconds since the run began.
const MAX_BEGIN_SECONDS: f64 = 3600.0;

/// An error in a scenario's text.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("{line}: {why}")]
pub struct ScenarioError {
    /// Line of the text, counted from 1.
    pub line: usize,
    /// Description of the error, with the allowed values.
    pub why: String,
}

/// Parses a scenario.
///
/// # Errors
/// All errors in the text, each with its line.
pub fn parse(text: &str) -> Result<Scenario, Vec<ScenarioError>> {
    let mut errors = Errors {
        text,
        found: Vec::new(),
    };
    let table = match DeTable::parse(text) {
        Ok(table) => table,
        Err(e) => {
            let at = e.span().map_or(0, |s| s.start);
            errors.add(at, format!("is not TOML: {}", e.message()));
            return Err(errors.found);
        }
    };
    let mut scenario = read_scenario(table.get_ref(), &mut errors);
    check_required_fields(table.get_ref(), &mut errors);
    check_fault_times(table.get_ref(), scenario.seconds, &mut errors);
    errors.found.sort_by_key(|e| e.line);
    if !errors.found.is_empty() {
        return Err(errors.found);
    }
    scenario.faults.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(scenario)
}

/// Collects the errors of a text.
struct Errors<'a> {
    text: &'a str,
    found: Vec<ScenarioError>,
}

impl Errors<'_> {
    /// Adds an error at this byte offset of the text.
    fn add(&mut self, at: usize, why: String) {
        let before = &self.text[..at.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        self.found.push(ScenarioError { line, why });
    }
}

fn number(value: &Spanned<DeValue<'_>>) -> Option<f64> {
    sloewick_toml_config::finite_number(value.get_ref())
}

fn display(value: &Spanned<DeValue<'_>>) -> String {
    sloewick_toml_config::display_value(value.get_ref())
}

fn number_within(value: &Spanned<DeValue<'_>>, low: f64, high: f64) -> Option<f64> {
    number(value).filter(|n| (low..=high).contains(n))
}

fn whole_number_within(value: &Spanned<DeValue<'_>>, low: f64, high: f64) -> Option<usize> {
    number_within(value, low, high)
        .filter(|n| n.fract() == 0.0)
        .map(|n| n as usize)
}

fn read_scenario(table: &DeTable<'_>, errors: &mut Errors<'_>) -> Scenario {
    let mut scenario = Scenario {
        name: String::new(),
        about: String::new(),
        seconds: 0.0,
        nodes: 4,
        servers: 15,
        rate: 400.0,
        faults: Vec::new(),
    };
    for (key, value) in table {
        let at = key.span().start;
        let name: &str = key.get_ref();
        let Some((_, allowed)) = SCENARIO_FIELDS.iter().find(|(field, _)| *field == name) else {
            let known: Vec<&str> = SCENARIO_FIELDS.iter().map(|(field, _)| *field).collect();
            let known = known.join(", ");
            errors.add(at, format!("unknown field {name:?}; allowed: {known}"));
            continue;
        };
        if read_field(name, value, &mut scenario, errors).is_none() {
            let why = format!("{name}: is {}; allowed: {allowed}", display(value));
            errors.add(at, why);
        }
    }
    scenario
}

/// Reads one field of a scenario; None if its value is not allowed.
fn read_field(
    name: &str,
    value: &Spanned<DeValue<'_>>,
    scenario: &mut Scenario,
    errors: &mut Errors<'_>,
) -> Option<()> {
    let text = || value.get_ref().as_str().map(str::to_string);
    match name {
        "name" => scenario.name = text()?,
        "about" => scenario.about = text()?,
        "seconds" => scenario.seconds = number_within(value, 1.0, 3600.0)?,
        "rate" => scenario.rate = number_within(value, 1.0, 20_000.0)?,
        "nodes" => scenario.nodes = whole_number_within(value, 1.0, 32.0)?,
        "boxes" => scenario.servers = whole_number_within(value, 1.0, 200.0)?,
        _ => read_faults(value.get_ref().as_array()?, scenario, errors),
    }
    Some(())
}

fn read_faults(faults: &DeArray<'_>, scenario: &mut Scenario, errors: &mut Errors<'_>) {
    for item in faults {
        let start = item.span().start;
        match item.get_ref().as_table() {
            Some(table) => scenario.faults.extend(read_fault(start, table, errors)),
            None => errors.add(start, "a fault is a table: [[fault]]".to_string()),
        }
    }
}

fn check_required_fields(table: &DeTable<'_>, errors: &mut Errors<'_>) {
    for field in ["name", "seconds"] {
        if table.iter().any(|(key, _)| key.get_ref() == field) {
            continue;
        }
        let known = SCENARIO_FIELDS.iter().find(|(name, _)| *name == field);
        let allowed = known.map_or("", |(_, allowed)| *allowed);
        errors.add(0, format!("field {field} is missing; allowed: {allowed}"));
    }
}

/// Adds an error for each fault that begins after the end of the scenario.
fn check_fault_times(table: &DeTable<'_>, seconds: f64, errors: &mut Errors<'_>) {
    if seconds <= 0.0 {
        return;
    }
    let faults = field(table, "fault").and_then(|(_, value)| value.get_ref().as_array());
    for item in faults.into_iter().flatten() {
        let fault = item.get_ref().as_table();
        let Some((key, value)) = fault.and_then(|table| field(table, "at")) else {
            continue;
        };
        if number(value).is_some_and(|at| at > seconds) {
            let at = display(value);
            let why = format!("at is {at}; the scenario ends after {seconds} seconds");
            errors.add(key.span().start, why);
        }
    }
}

type Field<'a, 'text> = (
    &'a Spanned<std::borrow::Cow<'text, str>>,
    &'a Spanned<DeValue<'text>>,
);

fn field<'a, 'text>(table: &'a DeTable<'text>, name: &str) -> Option<Field<'a, 'text>> {
    table.iter().find(|(key, _)| key.get_ref() == name)
}

fn read_fault(start: usize, table: &DeTable<'_>, errors: &mut Errors<'_>) -> Option<Fault> {
    let names = || FAULTS.iter().map(|s| s.name).collect::<Vec<_>>().join(", ");
    let Some((key, value)) = field(table, "kind") else {
        let why = format!("a fault's field kind is missing; allowed: {}", names());
        errors.add(start, why);
        return None;
    };
    let Some(spec) = value.get_ref().as_str().and_then(fault_spec) else {
        let why = format!("unknown fault {}; allowed: {}", display(value), names());
        errors.add(key.span().start, why);
        return None;
    };
    let mut fault = Fault {
        at: read_begin(start, table, spec, errors),
        name: spec.name,
        values: Vec::new(),
    };
    for (key, value) in table {
        let name: &str = key.get_ref();
        if ["kind", "at"].contains(&name) {
            continue;
        }
        match read_value(name, value, spec) {
            Ok(value) => fault.values.push(value),
            Err(why) => errors.add(key.span().start, why),
        }
    }
    fault.values.sort_by_key(|(name, _)| *name);
    Some(fault)
}

/// Begin of a fault in seconds; adds an error and returns 0 if it is missing or not allowed.
fn read_begin(start: usize, table: &DeTable<'_>, spec: &FaultSpec, errors: &mut Errors<'_>) -> f64 {
    let name = spec.name;
    let Some((key, value)) = field(table, "at") else {
        let why = format!("fault {name}: field at is missing; allowed: seconds from 0");
        errors.add(start, why);
        return 0.0;
    };
    number_within(value, 0.0, MAX_BEGIN_SECONDS).unwrap_or_else(|| {
        let at = display(value);
        let why =
            format!("fault {name}: at is {at}; allowed: seconds from 0 to {MAX_BEGIN_SECONDS}");
        errors.add(key.span().start, why);
        0.0
    })
}

/// Reads a field of a fault; the error is a description of what is wrong with it.
fn read_value(
    name: &str,
    value: &Spanned<DeValue<'_>>,
    spec: &FaultSpec,
) -> Result<(&'static str, FieldValue), String> {
    let Some((name, kind)) = spec.fields.iter().find(|(field, _)| *field == name) else {
        let mut known = vec!["kind", "at"];
        known.extend(spec.fields.iter().map(|(field, _)| *field));
        let (fault, known) = (spec.name, known.join(", "));
        return Err(format!(
            "fault {fault}: unknown field {name:?}; allowed: {known}"
        ));
    };
    let read = match kind {
        FieldKind::Number { low, high, .. } => {
            number_within(value, *low, *high).map(FieldValue::Number)
        }
        FieldKind::Word(words) => {
            let word = value.get_ref().as_str();
            let known = words.iter().find(|w| Some(**w) == word);
            known.map(|w| FieldValue::Word(w))
        }
    };
    read.map(|read| (*name, read)).ok_or_else(|| {
        let (fault, is, allowed) = (spec.name, display(value), allowed_values(kind));
        format!("fault {fault}: {name} is {is}; allowed: {allowed}")
    })
}
