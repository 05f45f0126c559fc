//! Reloads the configuration on SIGHUP. A file that cannot be read or used when the signal arrives may be usable a moment
//! later, so a failed reload is retried for a while.

use sloewick_decision::api::Micros;
use sloewick_decision::settings::SettingsError;

use crate::config::Config;
use crate::timers::{TimerEvent, Timers};

/// How long after a signal a failed reload is retried.
const MAX_RETRY_TIME: Micros = 5_000_000;
/// Time between two retries.
const RETRY_INTERVAL: Micros = 100_000;

/// Reads the configuration again, for a reload.
pub type ConfigSource = Box<dyn FnMut() -> Result<Config, SettingsError>>;

/// The result of a reload.
pub(crate) enum ReloadOutcome {
    /// The configuration was read and can be used.
    Done(Box<Config>),
    /// The first read after a signal failed; it is retried.
    Failed(SettingsError),
    /// A retry failed; there will be another one.
    StillFailing,
    /// The last retry failed; the configuration is not read again until the next signal.
    GivenUp(SettingsError),
}

/// The source of the configuration, and the state of the retries.
pub(crate) struct Reload {
    source: ConfigSource,
    /// When the retries end; 0: the last reload has succeeded, or there was none.
    retry_until: Micros,
    /// Whether the timer for the next retry is set.
    is_scheduled: bool,
}

impl Reload {
    pub(crate) fn new(source: ConfigSource) -> Reload {
        Reload {
            source,
            retry_until: 0,
            is_scheduled: false,
        }
    }

    /// Handles SIGHUP: reads the configuration, and schedules a retry if that fails.
    pub(crate) fn handle_signal(&mut self, now: Micros, timers: &mut Timers) -> ReloadOutcome {
        self.retry_until = now + MAX_RETRY_TIME;
        match (self.source)() {
            Ok(config) => self.done(config),
            Err(error) => {
                self.schedule(now, timers);
                ReloadOutcome::Failed(error)
            }
        }
    }

    /// Handles the expiry of the retry timer. Returns None if a reload has succeeded since the timer was set.
    pub(crate) fn timer_expired(
        &mut self,
        now: Micros,
        timers: &mut Timers,
    ) -> Option<ReloadOutcome> {
        self.is_scheduled = false;
        if self.retry_until == 0 {
            return None;
        }
        let outcome = match (self.source)() {
            Ok(config) => self.done(config),
            Err(error) if now >= self.retry_until => ReloadOutcome::GivenUp(error),
            Err(_) => {
                self.schedule(now, timers);
                ReloadOutcome::StillFailing
            }
        };
        Some(outcome)
    }

    fn done(&mut self, config: Config) -> ReloadOutcome {
        self.retry_until = 0;
        ReloadOutcome::Done(Box::new(config))
    }

    fn schedule(&mut self, now: Micros, timers: &mut Timers) {
        if !self.is_scheduled {
            self.is_scheduled = true;
            timers.set(now + RETRY_INTERVAL, TimerEvent::Reload);
        }
    }
}

#[cfg(test)]
#[path = "reload_tests.rs"]
mod tests;
