//! What a process tells the next one of its node, where the two share the clients' socket: once a second the
//! module's memory is kept as a snapshot, and a new process takes up the last one before it serves.

use std::net::SocketAddr;

use sloewick_decision::api::Micros;
use sloewick_decision::settings::Names;
use sloewick_decision::Checkpoint;
use sloewick_snapshot::{decode, encode, Requirements, Snapshot};

use super::{DecisionEngine, Node};
use crate::transport::{SnapshotSave, Transport};

/// Version of what is kept. It changes with [`Checkpoint`] and with the meaning of anything in it.
const VERSION: u16 = 1;
/// How often it is kept.
const EVERY: Micros = 1_000_000;
/// The oldest that is believed: what a process that was killed has left serves its successor a moment later,
/// not one that starts after a pause.
const AGE_MOST: Micros = 10_000_000;

/// See the module.
pub(super) struct Handover {
    owner: String,
    next: Micros,
}

impl Handover {
    pub(super) fn new(listen: SocketAddr, names: &Names, classes: usize) -> Handover {
        let classes: Vec<&str> = (0..classes).map(|class| names.class_name(class)).collect();
        Handover {
            owner: format!("node {listen} classes {}", classes.join(" ")),
            next: EVERY,
        }
    }
}

/// The memory in a snapshot and its age, or why it is not to be believed.
fn unpack(owner: &str, unix: Micros, snapshot: &[u8]) -> Result<(Checkpoint, Micros), String> {
    let expected = Requirements {
        owner,
        version: VERSION,
        max_age: AGE_MOST,
    };
    let Snapshot { payload, age } =
        decode(&expected, unix, snapshot).map_err(|refused| refused.to_string())?;
    let memory: Checkpoint =
        postcard::from_bytes(payload).map_err(|e| format!("cannot be read: {e}"))?;
    let memory = memory.checked().ok_or("holds what no node remembers")?;
    Ok((memory, age))
}

impl<N: Transport, M: DecisionEngine> Node<N, M> {
    /// Takes up what the process before this one knew, if that is there and to be believed.
    pub(super) fn take_over(&mut self) {
        let Some(handover) = &self.handover else {
            return;
        };
        let now = self.net.now();
        let unix = self.net.unix_time_at_start() + now;
        let told = match self.net.kept() {
            Ok(None) => return,
            Ok(Some(snapshot)) => unpack(&handover.owner, unix, &snapshot),
            Err(e) => Err(e.to_string()),
        };
        let line = match told {
            Ok((memory, age)) => {
                let (servers, window) = memory.size();
                self.module.restore(now, age, memory);
                let ms = age / 1000;
                format!("handover: {servers} servers, {window} positions, {ms} ms old")
            }
            Err(why) => format!("handover: not taken up: {why}"),
        };
        self.log.line(&mut self.net, &line);
    }

    /// Keeps what the next process needs, when it is time and there is something to tell.
    pub(super) fn hand_over(&mut self, now: Micros) {
        let Some(handover) = self.handover.as_mut().filter(|h| now >= h.next) else {
            return;
        };
        if !self.life.tells(now) {
            return;
        }
        handover.next = now + EVERY;
        let Some(memory) = self.module.checkpoint(now) else {
            return;
        };
        let Ok(payload) = postcard::to_stdvec(&memory) else {
            return;
        };
        let unix = self.net.unix_time_at_start() + now;
        let Ok(snapshot) = encode(&handover.owner, VERSION, unix, &payload) else {
            return;
        };
        if let SnapshotSave::Failed(why) = self.net.keep(snapshot) {
            self.log
                .line(&mut self.net, &format!("handover: not kept: {why}"));
        }
    }
}

#[cfg(test)]
#[path = "handover_tests.rs"]
mod tests;
