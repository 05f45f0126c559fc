//! What a schedule tells a stand-in to do, from another thread or from the run that holds it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};

/// A queue of orders that a stand-in takes up at its next step.
#[derive(Debug)]
pub struct Orders<T>(Arc<Mutex<VecDeque<T>>>);

impl<T> Clone for Orders<T> {
    fn clone(&self) -> Orders<T> {
        Orders(self.0.clone())
    }
}

impl<T> Default for Orders<T> {
    fn default() -> Orders<T> {
        Orders(Arc::new(Mutex::new(VecDeque::new())))
    }
}

impl<T> Orders<T> {
    pub fn give(&self, order: T) {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push_back(order);
    }

    pub fn take(&self) -> Option<T> {
        self.0
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .pop_front()
    }
}
