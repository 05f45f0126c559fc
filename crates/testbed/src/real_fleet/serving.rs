//! Concurrent execution: an actor on a thread of its own, and a node as a thread or as a process.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use sloewick_decision::api::Micros;
use sloewick_node::mio_transport::SignalFlags;
use sloewick_node::transport::PendingSignals as Signals;

use crate::port::Actor;
use crate::process_fleet::Process;

/// Longest time until an emulator checks for commands.
pub(crate) const COMMAND_INTERVAL: Micros = 20_000;

/// A thread that runs an actor until the thread is stopped or the actor ends.
pub(crate) struct ServingThread {
    stop: Arc<AtomicBool>,
    paused: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl ServingThread {
    /// Starts a thread and waits until it has created its actor.
    ///
    /// # Errors
    /// The thread cannot be started, or `make` fails.
    pub(crate) fn start(
        name: &str,
        make: impl FnOnce() -> io::Result<Box<dyn Actor>> + Send + 'static,
    ) -> io::Result<ServingThread> {
        let stop = Arc::new(AtomicBool::new(false));
        let paused = Arc::new(AtomicBool::new(false));
        let (is_stopped, is_paused) = (stop.clone(), paused.clone());
        let (ready, created): (Sender<io::Result<()>>, _) = channel();
        let thread = std::thread::Builder::new()
            .name(name.to_string())
            .spawn(move || {
                // The actor's own clock starts a moment later, so the wait computed from this one is never too long.
                let started_at = Instant::now();
                let mut actor = match make() {
                    Ok(actor) => actor,
                    Err(e) => return drop(ready.send(Err(e))),
                };
                let _ = ready.send(Ok(()));
                while !is_stopped.load(Ordering::Relaxed) {
                    if is_paused.load(Ordering::Relaxed) {
                        std::thread::sleep(Duration::from_micros(COMMAND_INTERVAL as u64));
                        continue;
                    }
                    let Some(due) = actor.prepare() else { return };
                    let wait = (due - started_at.elapsed().as_micros() as Micros)
                        .clamp(0, COMMAND_INTERVAL);
                    if actor.turn(wait).is_err() {
                        return;
                    }
                }
            })?;
        let serving = ServingThread {
            stop,
            paused,
            thread: Some(thread),
        };
        match created.recv() {
            Ok(result) => result.map(|()| serving),
            Err(_) => Err(io::Error::other(format!(
                "thread {name:?} ended before it created its actor"
            ))),
        }
    }
}

impl Drop for ServingThread {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// A running node.
pub(crate) enum RunningNode {
    Thread(ServingThread, Arc<SignalFlags>),
    Process(Process),
}

impl RunningNode {
    /// Sends signals to the node. Errors are not reported: a signal that is lost shows in what the node does not do.
    pub(crate) fn send_signals(&mut self, signals: Signals) {
        match self {
            RunningNode::Thread(_, remote) => remote.send(signals),
            RunningNode::Process(process) => {
                if signals.reload {
                    process.signal(Signal::HUP);
                }
                if signals.stop {
                    process.signal(Signal::TERM);
                }
            }
        }
    }

    /// Suspends the node or lets it continue.
    pub(crate) fn pause(&self, paused: bool) {
        match self {
            RunningNode::Thread(thread, _) => thread.paused.store(paused, Ordering::Relaxed),
            RunningNode::Process(process) => {
                process.signal(if paused { Signal::STOP } else { Signal::CONT });
            }
        }
    }
}
