//! Many runs on all cores: which seed is next, in which order the results are told, when to end early.
//!
//! Results are told in the order of the seeds, whichever run ends first, so that the same runs print the same. A
//! run that has begun is finished; after an interrupt none is begun.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Mutex};

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

/// Runs that may be ahead of the first one that is not finished, for each worker: what they came to is kept until
/// then.
const AHEAD: u64 = 16;

/// Numbers given out one after the other, none too far ahead of the first that is not told yet.
#[derive(Debug)]
struct Turns {
    next: u64,
    end: u64,
    told: u64,
    ahead: u64,
}

impl Turns {
    fn new(end: u64, ahead: u64) -> Turns {
        Turns {
            next: 0,
            end,
            told: 0,
            ahead,
        }
    }

    /// The next number; `Ok(None)`: none is left; `Err`: not yet.
    fn take(&mut self) -> Result<Option<u64>, ()> {
        if self.next == self.end {
            return Ok(None);
        }
        if self.next >= self.told + self.ahead {
            return Err(());
        }
        self.next += 1;
        Ok(Some(self.next - 1))
    }
}

/// Tells when the program is interrupted: at the first SIGINT or SIGTERM. The second ends it at once.
pub fn interrupted() -> Arc<AtomicBool> {
    let told = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // The order counts: the first one finds it false.
        let _ = signal_hook::flag::register_conditional_shutdown(signal, 130, told.clone());
        let _ = signal_hook::flag::register(signal, told.clone());
    }
    told
}

/// Makes `runs` runs on so many threads, and gives what each came to to `tell`, in order. Returns how many were
/// told: fewer than `runs` if `stop` came true. `tell` says whether it found something worth showing.
pub fn all<T: Send>(
    runs: u64,
    jobs: usize,
    stop: &AtomicBool,
    run: impl Fn(u64) -> T + Sync,
    mut tell: impl FnMut(T) -> bool,
) -> u64 {
    let bar = progress(runs);
    let turns = Mutex::new(Turns::new(runs, AHEAD * jobs.max(1) as u64));
    let room = std::sync::Condvar::new();
    let (to, from) = mpsc::channel();
    let mut told = 0;
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            let (to, run, turns, room) = (to.clone(), &run, &turns, &room);
            scope.spawn(move || {
                let _ends = EndsAll { stop, turns, room };
                while let Some(turn) = wait_for_turn(turns, room, stop) {
                    if to.send((turn, run(turn))).is_err() {
                        return;
                    }
                }
            });
        }
        drop(to);
        let (mut waiting, mut found) = (BTreeMap::new(), 0u64);
        for (turn, result) in from {
            waiting.insert(turn, result);
            while let Some(result) = waiting.remove(&told) {
                found += u64::from(bar.suspend(|| tell(result)));
                told += 1;
            }
            if let Ok(mut turns) = turns.lock() {
                turns.told = told;
            }
            room.notify_all();
            bar.set_position(told);
            bar.set_message(format!("{found} with a broken rule"));
        }
    });
    bar.finish_and_clear();
    told
}

/// A run that panics ends the others: they would wait for it for ever.
struct EndsAll<'a> {
    stop: &'a AtomicBool,
    turns: &'a Mutex<Turns>,
    room: &'a std::sync::Condvar,
}

impl Drop for EndsAll<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Under the lock: nobody is between looking and waiting.
            let _held = self.turns.lock();
            self.stop.store(true, Ordering::Relaxed);
            self.room.notify_all();
        }
    }
}

fn wait_for_turn(
    turns: &Mutex<Turns>,
    room: &std::sync::Condvar,
    stop: &AtomicBool,
) -> Option<u64> {
    let mut turns = turns.lock().ok()?;
    loop {
        if stop.load(Ordering::Relaxed) {
            return None;
        }
        match turns.take() {
            Ok(turn) => return turn,
            // Whoever tells a result says so; the one that all wait for is being played.
            Err(()) => turns = room.wait(turns).ok()?,
        }
    }
}

/// Shown on a terminal alone.
fn progress(runs: u64) -> ProgressBar {
    let target = if runs > 1 {
        ProgressDrawTarget::stderr()
    } else {
        ProgressDrawTarget::hidden()
    };
    let bar = ProgressBar::with_draw_target(Some(runs), target);
    let style = "{pos} of {len} runs, {msg}, {elapsed} so far, {eta} left";
    if let Ok(style) = ProgressStyle::with_template(style) {
        bar.set_style(style);
    }
    bar.set_message("0 with a broken rule");
    bar
}

#[cfg(test)]
#[path = "runs_tests.rs"]
mod tests;
