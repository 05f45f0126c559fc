//! Adapter between the simulator and the decision code: the program `sloewick-simhost`.
//!
//! Each line of standard input is a batch of events in JSON; each line of standard output contains the actions that
//! one batch caused. The adapter makes no decisions: every instance has its own `Balancer`, and instances share only
//! the endpoint lists that the simulator has registered. If the input cannot be read or is invalid, the program exits
//! with status 2 and a message that names the line and the field; if the output cannot be written, with status 3.

mod messages;

use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::io::{BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use std::sync::Arc;

use serde_json::Value;
use sloewick_decision::api::{Action, Event};
use sloewick_decision::settings::{self, Fields, Names, RawEndpoint, SettingsError};
use sloewick_decision::Balancer;

use crate::messages::Reply;

/// Size of the buffer for standard input.
const INPUT_BUFFER_BYTES: usize = 1 << 20;
/// Exit status if the input cannot be read or is invalid.
const EXIT_INVALID_INPUT: u8 = 2;
/// Exit status if the output cannot be written.
const EXIT_OUTPUT_FAILED: u8 = 3;

/// One simulated node: its decision code and the names in its settings.
struct Instance {
    /// `None` after a panic: the instance ignores all further events.
    balancer: Option<Balancer>,
    names: Names,
}

/// All instances of this process, and the endpoint lists that `MEMBERSHIP` events refer to.
#[derive(Default)]
struct Host {
    /// Instances by the simulator's number of the node.
    instances: BTreeMap<i64, Instance>,
    /// Endpoint lists by `roster_id`.
    registered_lists: BTreeMap<i64, Arc<[RawEndpoint]>>,
    /// Unknown kinds of events that were skipped; each kind is reported once.
    reported_unknown_kinds: BTreeSet<String>,
    /// Buffer for the actions of one event, reused to avoid allocations.
    actions: Vec<Action>,
}

impl Host {
    /// Handles one batch of events and appends the reply to `out`.
    fn handle_batch(&mut self, line: &str, out: &mut String) -> Result<(), SettingsError> {
        let value: Value = serde_json::from_str(line)
            .map_err(|e| SettingsError::new("line", format!("is not JSON: {e}")))?;
        let fields = Fields::from_value(&value, "line")?;
        let now = fields.micros("ts")?;
        let items = fields.array("items")?;
        let mut reply = Reply::begin(out);
        for (index, item) in items.iter().enumerate() {
            self.handle_item(now, item, &mut reply)
                .map_err(|error| error.at_item(index))?;
        }
        reply.end();
        Ok(())
    }

    /// Handles one event of a batch at the time `now`, in microseconds.
    fn handle_item(
        &mut self,
        now: i64,
        item: &Value,
        reply: &mut Reply<'_>,
    ) -> Result<(), SettingsError> {
        let fields = Fields::from_value(item, "items")?;
        let kind = fields.text("t")?;
        if kind == "REGISTER" {
            return self.register_endpoint_list(&fields);
        }
        if !messages::EVENT_KINDS.contains(&kind) {
            if self.reported_unknown_kinds.insert(kind.to_string()) {
                eprintln!(
                    "event of unknown kind {kind:?} skipped; others of this kind are not reported"
                );
            }
            return Ok(());
        }
        let node = fields.int("node")?;
        if kind == "CREATE" {
            return self.create_instance(now, node, &fields);
        }
        let Some(instance) = self.instances.get_mut(&node) else {
            let reason = format!("instance {node} does not exist");
            return Err(SettingsError::new("node", reason));
        };
        if kind == "KILL" {
            self.instances.remove(&node);
            return Ok(());
        }
        let event = if kind == "MEMBERSHIP" {
            endpoint_list_event(&fields, &self.registered_lists, &instance.names)?
        } else {
            messages::event(kind, &fields, &instance.names)?
        };
        dispatch_event(now, node, instance, event, &mut self.actions, reply);
        Ok(())
    }

    fn register_endpoint_list(&mut self, fields: &Fields<'_>) -> Result<(), SettingsError> {
        let id = fields.int("roster_id")?;
        let endpoints = fields
            .array("elements")?
            .iter()
            .map(messages::raw_endpoint)
            .collect::<Result<Vec<_>, _>>()?;
        self.registered_lists.insert(id, endpoints.into());
        Ok(())
    }

    fn create_instance(
        &mut self,
        now: i64,
        node: i64,
        fields: &Fields<'_>,
    ) -> Result<(), SettingsError> {
        let seed = fields.u64_bits("random_seed")?;
        let options = Fields::from_value(fields.get("options")?, "options")?;
        let (settings, names) = settings::parse(&options)?;
        let balancer = Balancer::new(settings, seed, now)
            .map_err(|e| SettingsError::new("options", format!("cannot be used: {e}")))?;
        let instance = Instance {
            balancer: Some(balancer),
            names,
        };
        self.instances.insert(node, instance);
        Ok(())
    }
}

/// Reads a `MEMBERSHIP` event: a registered endpoint list, or the failure to fetch one.
fn endpoint_list_event(
    fields: &Fields<'_>,
    registered_lists: &BTreeMap<i64, Arc<[RawEndpoint]>>,
    names: &Names,
) -> Result<Event, SettingsError> {
    let Some(kind) = messages::endpoint_list_kind(fields.text("mode")?)? else {
        return Ok(Event::EndpointListFailed);
    };
    let id = fields.int("roster_id")?;
    let Some(endpoints) = registered_lists.get(&id) else {
        let reason = format!("no endpoint list is registered with id {id}");
        return Err(SettingsError::new("roster_id", reason));
    };
    let endpoints = endpoints.iter().map(|raw| names.endpoint(raw)).collect();
    Ok(Event::EndpointList(kind, endpoints))
}

/// Passes an event to an instance and appends the resulting actions to the reply. A panic is reported instead of the
/// actions and ends this instance only, not the process: the simulator counts it against this instance alone.
fn dispatch_event(
    now: i64,
    node: i64,
    instance: &mut Instance,
    event: Event,
    actions: &mut Vec<Action>,
    reply: &mut Reply<'_>,
) {
    let Some(balancer) = instance.balancer.as_mut() else {
        return;
    };
    actions.clear();
    let outcome = catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions)));
    if let Err(panic) = outcome {
        reply.add_panic(node, &panic_message(panic.as_ref()));
        instance.balancer = None;
        return;
    }
    for action in actions.drain(..) {
        reply.add_action(node, &action);
    }
}

/// The message in a panic's payload, which [`std::panic::catch_unwind`] returns; "panic" if it is not text.
fn panic_message(panic: &(dyn Any + Send)) -> String {
    panic
        .downcast_ref::<String>()
        .cloned()
        .or_else(|| panic.downcast_ref::<&str>().map(ToString::to_string))
        .unwrap_or_else(|| "panic".to_string())
}

fn main() -> ExitCode {
    let stdin = std::io::stdin();
    let mut input = std::io::BufReader::with_capacity(INPUT_BUFFER_BYTES, stdin.lock());
    let stdout = std::io::stdout();
    let mut output = stdout.lock();
    let mut host = Host::default();
    let mut line = Vec::new();
    let mut reply = String::new();
    let mut line_number = 0u64;
    loop {
        line.clear();
        line_number += 1;
        match input.read_until(b'\n', &mut line) {
            Ok(0) => return ExitCode::SUCCESS,
            Ok(_) => {}
            Err(e) => {
                eprintln!("input line {line_number}: cannot be read: {e}");
                return ExitCode::from(EXIT_INVALID_INPUT);
            }
        }
        reply.clear();
        let handled = std::str::from_utf8(&line)
            .map_err(|e| SettingsError::new("line", format!("is not UTF-8: {e}")))
            .and_then(|text| host.handle_batch(text, &mut reply));
        if let Err(error) = handled {
            eprintln!("input line {line_number}: {error}");
            return ExitCode::from(EXIT_INVALID_INPUT);
        }
        let written = output
            .write_all(reply.as_bytes())
            .and_then(|()| output.flush());
        if written.is_err() {
            return ExitCode::from(EXIT_OUTPUT_FAILED);
        }
    }
}
