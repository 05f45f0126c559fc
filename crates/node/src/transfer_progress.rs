//! Whether a transfer moves. What bounds a transfer is that it stops moving, not that it takes long; moving a byte in a while does
//! not count as moving. The module performs no I/O.

use sloewick_decision::api::Micros;

/// Bytes that have to be moved before a transfer counts as moving again.
const MIN_PROGRESS: usize = 1 << 10;

/// Since when a transfer has moved next to nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TransferProgress {
    /// When [`MIN_PROGRESS`] bytes had last been moved, or the wait began; None while no bytes are awaited.
    since: Option<Micros>,
    /// Bytes that have been moved since then.
    moved: usize,
}

impl TransferProgress {
    /// Records that bytes are awaited, if none were before.
    pub(crate) fn begin(&mut self, now: Micros) {
        self.since.get_or_insert(now);
    }

    /// Records that so many bytes have been moved.
    pub(crate) fn record(&mut self, now: Micros, bytes: usize) {
        self.moved += bytes;
        if self.moved >= MIN_PROGRESS {
            self.restart(now);
        }
    }

    /// Records that bytes are awaited from now on.
    pub(crate) fn restart(&mut self, now: Micros) {
        *self = TransferProgress {
            since: Some(now),
            moved: 0,
        };
    }

    /// Records that no bytes are awaited.
    pub(crate) fn end(&mut self) {
        *self = TransferProgress::default();
    }

    /// Since when next to nothing has been moved; None while no bytes are awaited.
    pub(crate) fn since(&self) -> Option<Micros> {
        self.since
    }

    /// Whether next to nothing has been moved for `limit`.
    pub(crate) fn has_stalled(&self, now: Micros, limit: Micros) -> bool {
        self.since.is_some_and(|since| now - since >= limit)
    }
}

#[cfg(test)]
#[path = "transfer_progress_tests.rs"]
mod tests;
