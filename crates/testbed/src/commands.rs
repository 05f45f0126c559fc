//! Queues of commands to the emulators, from another thread or from the run that owns them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

/// A queue of commands that an emulator executes at its next step.
#[derive(Debug)]
pub struct CommandQueue<T>(Arc<Mutex<VecDeque<T>>>);

impl<T> Clone for CommandQueue<T> {
    fn clone(&self) -> CommandQueue<T> {
        CommandQueue(self.0.clone())
    }
}

impl<T> Default for CommandQueue<T> {
    fn default() -> CommandQueue<T> {
        CommandQueue(Arc::new(Mutex::new(VecDeque::new())))
    }
}

impl<T> CommandQueue<T> {
    /// Appends a command.
    pub fn push(&self, command: T) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push_back(command);
    }

    /// Removes and returns the oldest command; None if there is none.
    pub fn pop(&self) -> Option<T> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front()
    }
}
