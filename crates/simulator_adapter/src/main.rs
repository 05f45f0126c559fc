//! Adapter between the bench's wire and the decision module: one JSON line in, one out.
//! It holds no decision; each instance has a `Balancer` of its own.

mod wire;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::Arc;

use serde_json::Value;
use sloewick_decision::api::{Action, Event};
use sloewick_decision::settings::{self, Fields, Names, RawEndpoint, SettingsError};
use sloewick_decision::Balancer;

/// One node: its module and the names it was given.
struct Instance {
    balancer: Option<Balancer>,
    names: Names,
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<i64, Instance>,
    registers: BTreeMap<i64, Arc<[RawEndpoint]>>,
    unknown: BTreeSet<String>,
    actions: Vec<Action>,
}

impl Host {
    /// Handles one batch; the reply is appended to `out`.
    fn batch(&mut self, line: &str, out: &mut String) -> Result<(), SettingsError> {
        let value: Value = serde_json::from_str(line)
            .map_err(|e| SettingsError::new("line", format!("is not JSON: {e}")))?;
        let fields = Fields::of(&value, "line")?;
        let now = fields.micros("ts")?;
        let items = fields.array("items")?;
        out.push_str("{\"do\":[");
        let mut first = true;
        for (i, item) in items.iter().enumerate() {
            self.item(now, item, out, &mut first)
                .map_err(|bad| bad.at(i))?;
        }
        out.push_str("]}\n");
        Ok(())
    }

    fn item(
        &mut self,
        now: i64,
        item: &Value,
        out: &mut String,
        first: &mut bool,
    ) -> Result<(), SettingsError> {
        let f = Fields::of(item, "items")?;
        let t = f.text("t")?;
        if t == "REGISTER" {
            let id = f.int("roster_id")?;
            let list = f.array("elements")?;
            let entries = list
                .iter()
                .map(wire::raw_entry)
                .collect::<Result<Vec<_>, _>>()?;
            self.registers.insert(id, entries.into());
            return Ok(());
        }
        if !wire::KNOWN.contains(&t) {
            if self.unknown.insert(t.to_string()) {
                eprintln!("unknown event {t:?} skipped");
            }
            return Ok(());
        }
        let node = f.int("node")?;
        if t == "CREATE" {
            let seed = f.seed("random_seed")?;
            let options = Fields::of(f.get("options")?, "options")?;
            let (settings, names) = settings::parse(&options)?;
            let balancer = Balancer::new(settings, seed, now)
                .map_err(|e| SettingsError::new("options", format!("cannot be used: {e}")))?;
            self.instances.insert(
                node,
                Instance {
                    balancer: Some(balancer),
                    names,
                },
            );
            return Ok(());
        }
        let Some(instance) = self.instances.get_mut(&node) else {
            return Err(SettingsError::new(
                "node",
                format!("instance {node} was never created"),
            ));
        };
        if t == "KILL" {
            self.instances.remove(&node);
            return Ok(());
        }
        let event = if t == "MEMBERSHIP" {
            let mode = f.text("mode")?;
            match wire::list_kind(mode)? {
                None => Event::EndpointListFailed,
                Some(kind) => {
                    let id = f.int("roster_id")?;
                    let Some(raw) = self.registers.get(&id) else {
                        return Err(SettingsError::new(
                            "roster_id",
                            format!("register {id} was never declared"),
                        ));
                    };
                    Event::EndpointList(kind, raw.iter().map(|e| instance.names.entry(e)).collect())
                }
            }
        } else {
            wire::event(t, &f, &instance.names)?
        };
        let Some(balancer) = instance.balancer.as_mut() else {
            return Ok(());
        };
        self.actions.clear();
        let actions = &mut self.actions;
        let outcome = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
        if let Err(panic) = outcome {
            let text = panic
                .downcast_ref::<String>()
                .cloned()
                .or_else(|| panic.downcast_ref::<&str>().map(|s| s.to_string()))
                .unwrap_or_else(|| "panic".to_string());
            wire::separator(out, first);
            wire::bug(out, node, &text);
            instance.balancer = None;
            return Ok(());
        }
        for action in self.actions.drain(..) {
            wire::separator(out, first);
            wire::action(out, node, &action);
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    let stdin = std::io::stdin();
    let mut input = std::io::BufReader::with_capacity(1 << 20, stdin.lock());
    let stdout = std::io::stdout();
    let mut output = stdout.lock();
    let mut host = Host::default();
    let (mut line, mut reply, mut number) = (Vec::new(), String::new(), 0u64);
    loop {
        line.clear();
        number += 1;
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(e) => {
                eprintln!("input line {number}: cannot be read: {e}");
                return ExitCode::from(2);
            }
        }
        reply.clear();
        let done = std::str::from_utf8(&line)
            .map_err(|e| SettingsError::new("line", format!("is not UTF-8: {e}")))
            .and_then(|text| host.batch(text, &mut reply));
        if let Err(bad) = done {
            eprintln!("input line {number}: {bad}");
            return ExitCode::from(2);
        }
        if output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush())
            .is_err()
        {
            return ExitCode::from(3);
        }
    }
}
