//! Distributes numbered runs to worker threads and reports their results in order.
//!
//! Results are reported in the order of the seeds, even if later runs end first, so that the same runs always print the
//! same output. A run that has started is completed; after an interrupt no further run starts.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{mpsc, Arc, Condvar, Mutex};

use indicatif::{ProgressBar, ProgressDrawTarget, ProgressStyle};

use crate::exit_code;

/// How far runs may be ahead of the first unreported one, in runs per worker: their results are buffered until then.
const MAX_RUNS_AHEAD: u64 = 16;

/// What a worker does next.
#[derive(Debug, PartialEq)]
enum NextRun {
    Start(u64),
    /// Wait: the next run would be too far ahead of the first unreported one.
    Wait,
    /// Exit: all runs have been started.
    Finished,
}

/// Hands out the numbers of runs in order.
#[derive(Debug)]
struct RunQueue {
    /// Number of the next run to start.
    next: u64,
    /// Number of runs in all.
    end: u64,
    /// Number of runs whose results have been reported.
    reported: u64,
    /// Maximum of `next` - `reported`.
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

/// Returns a flag that the first SIGINT or SIGTERM sets. The second one ends the process at once.
pub(crate) fn interrupt_flag() -> Arc<AtomicBool> {
    let interrupted = Arc::new(AtomicBool::new(false));
    for signal in [signal_hook::consts::SIGINT, signal_hook::consts::SIGTERM] {
        // Handlers run in the order of registration: at the first signal the conditional shutdown must find the flag unset.
        let _ = signal_hook::flag::register_conditional_shutdown(
            signal,
            i32::from(exit_code::INTERRUPTED),
            interrupted.clone(),
        );
        let _ = signal_hook::flag::register(signal, interrupted.clone());
    }
    interrupted
}

/// Calls `run` with 0 to `runs` - 1 on `jobs` threads and passes each result to `report`, in order. `report` returns
/// whether a rule was broken. Returns the number of reported results: fewer than `runs` if `stop` was set.
pub(crate) fn run_all<T: Send>(
    runs: u64,
    jobs: usize,
    stop: &AtomicBool,
    run: impl Fn(u64) -> T + Sync,
    mut report: impl FnMut(T) -> bool,
) -> u64 {
    let bar = progress_bar(runs);
    let queue = Mutex::new(RunQueue::new(runs, MAX_RUNS_AHEAD * jobs.max(1) as u64));
    let result_reported = Condvar::new();
    let (sender, receiver) = mpsc::channel();
    let mut reported = 0;
    std::thread::scope(|scope| {
        for _ in 0..jobs.max(1) {
            let (sender, run, queue, result_reported) =
                (sender.clone(), &run, &queue, &result_reported);
            scope.spawn(move || {
                let _guard = StopOnPanic {
                    stop,
                    queue,
                    result_reported,
                };
                while let Some(number) = next_run(queue, result_reported, stop) {
                    if sender.send((number, run(number))).is_err() {
                        return;
                    }
                }
            });
        }
        drop(sender);
        let (mut unreported, mut broken_runs) = (BTreeMap::new(), 0u64);
        for (number, result) in receiver {
            unreported.insert(number, result);
            while let Some(result) = unreported.remove(&reported) {
                broken_runs += u64::from(bar.suspend(|| report(result)));
                reported += 1;
            }
            if let Ok(mut queue) = queue.lock() {
                queue.reported = reported;
            }
            result_reported.notify_all();
            bar.set_position(reported);
            bar.set_message(format!("{broken_runs} with a broken rule"));
        }
    });
    bar.finish_and_clear();
    reported
}

/// Stops the other workers when a run panics; otherwise they would wait forever for its result to be reported.
struct StopOnPanic<'a> {
    stop: &'a AtomicBool,
    queue: &'a Mutex<RunQueue>,
    result_reported: &'a Condvar,
}

impl Drop for StopOnPanic<'_> {
    fn drop(&mut self) {
        if std::thread::panicking() {
            // Holding the lock ensures that no worker is between checking the flag and waiting, where it would miss the
            // notification.
            let _guard = self.queue.lock();
            self.stop.store(true, Ordering::Relaxed);
            self.result_reported.notify_all();
        }
    }
}

/// Waits for the number of the next run. Returns None if all runs have started or `stop` is set.
fn next_run(queue: &Mutex<RunQueue>, result_reported: &Condvar, stop: &AtomicBool) -> Option<u64> {
    let mut queue = queue.lock().ok()?;
    loop {
        if stop.load(Ordering::Relaxed) {
            return None;
        }
        match queue.take() {
            NextRun::Start(number) => return Some(number),
            NextRun::Finished => return None,
            // Notified after each report; the first unreported run is in progress, so a report will follow.
            NextRun::Wait => queue = result_reported.wait(queue).ok()?,
        }
    }
}

/// The progress bar on standard error, drawn only on a terminal and for more than one run.
fn progress_bar(runs: u64) -> ProgressBar {
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
