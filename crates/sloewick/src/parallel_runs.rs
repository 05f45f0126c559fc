//! Runs on all cores: which run is next, the order in which results are reported, and an early end.
//!
//! Results are reported in the order of the seeds, whichever run ends first, so that the same runs print the same. A
//! run that has begun is completed; after an interrupt none is begun.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use crate::exit_code;

/// Runs that may be ahead of the first unfinished one, for each worker: their results are buffered until then.
const MAX_RUNS_AHEAD: u64 = 16;

/// What a worker has to do next.
#[derive(Debug, PartialEq)]
enum NextRun {
    Start(u64),
    /// Too far ahead of the first run that is not reported yet.
    Wait,
    Finished,
}

/// Numbers of runs, given out in order.
#[derive(Debug)]
struct RunQueue {
    next: u64,
    end: u64,
    reported: u64,
    max_ahead: u64,
}

impl RunQueue {
    fn new(end: u64, max_ahead: u64) -> RunQueue {
        RunQueue {
            next: 0,
            end,
            reported: 0,
            max_ahead,
        }
    }

    fn take(&mut self) -> NextRun {
        if self.next == self.end {
            return NextRun::Finished;
        }
        if self.next >= self.reported + self.max_ahead {
            return NextRun::Wait;
        }
        self.next += 1;
        NextRun::Start(self.next - 1)
    }
}

/// A flag that is set by the first SIGINT or SIGTERM. The second one ends the process at once.
pub(crate) fn interrupt_flag() -> Arc<AtomicBool> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // The order counts: at the first signal the conditional shutdown has to find the flag unset.
        let _ = signal_hook::flag::register_conditional_shutdown(
            signal,
            i32::from(exit_code::INTERRUPTED),
            interrupted.clone(),
        );
        let _ = signal_hook::flag::register(signal, interrupted.clone());
    }
    interrupted
}

/// Runs `run` for 0 to `runs` - 1 on `jobs` threads and passes each result to `report`, in order. Returns how many were
/// reported: fewer than `runs` if `stop` was set. `report` returns whether a rule was broken.
pub(crate) fn run_all<T: Send>(
    runs: u64,
    jobs: usize,
    stop: &AtomicBool,
    run: impl Fn(u64) -> T + Sync,
    mut report: impl FnMut(T) -> bool,
) -> u64 {
    let bar = progress(runs);
    let queue = Mutex::new(RunQueue::new(runs, MAX_RUNS_AHEAD * jobs.max(1) as u64));
    let reported_more = Condvar::new();
    let (sender, receiver) = mpsc::channel();
    let mut reported = 0;
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            let (sender, run, queue, reported_more) =
                (sender.clone(), &run, &queue, &reported_more);
            scope.spawn(move || {
                let _guard = StopOnPanic {
                    stop,
                    queue,
                    reported_more,
                };
                while let Some(number) = next_run(queue, reported_more, stop) {
                    if sender.send((number, run(number))).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        let (mut waiting, mut broken) = (BTreeMap::new(), 0u64);
        for (number, result) in receiver {
            waiting.insert(number, result);
            while let Some(result) = waiting.remove(&reported) {
                broken += u64::from(bar.suspend(|| report(result)));
                reported += 1;
            }
            if let Ok(mut queue) = queue.lock() {
                queue.reported = reported;
            }
            reported_more.notify_all();
            bar.set_position(reported);
            bar.set_message(format!("{broken} with a broken rule"));
        }
    });
    bar.finish_and_clear();
    reported
}

/// Ends the other workers when a run panics: they would wait for its result for ever.
struct StopOnPanic<'a> {
    stop: &'a AtomicBool,
    queue: &'a Mutex<RunQueue>,
    reported_more: &'a Condvar,
}

impl Drop for StopOnPanic<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Under the lock: no worker is between its look at the flag and its wait.
            let _guard = self.queue.lock();
            self.stop.store(true, Ordering::Relaxed);
            self.reported_more.notify_all();
        }
    }
}

/// Waits for the number of the next run; none if all have begun or `stop` is set.
fn next_run(queue: &Mutex<RunQueue>, reported_more: &Condvar, stop: &AtomicBool) -> Option<u64> {
    let mut queue = queue.lock().ok()?;
    loop {
        if stop.load(Ordering::Relaxed) {
            return None;
        }
        match queue.take() {
            NextRun::Start(number) => return Some(number),
            NextRun::Finished => return None,
            // Notified after each report; the run that all wait for is in progress.
            NextRun::Wait => queue = reported_more.wait(queue).ok()?,
        }
    }
}

/// The progress bar, drawn on a terminal only.
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
#[path = "parallel_runs_tests.rs"]
mod tests;
