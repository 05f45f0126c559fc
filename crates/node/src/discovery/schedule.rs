//! The timing of requests to discovery: waits of watches, timeouts and retry delays. They follow from the settings; the
//! module holds no state.

use sloewick_decision::api::Micros;

use crate::discovery::request::{DiscoveryError, DiscoveryRequest, Failures};

/// Bounds of the wait of a watch at a service that all nodes share. A request is expensive for the service, and a missing
/// response is noticed only after the wait. Each node has its own wait within these bounds, so that a failure that hits all
/// of them at once does not make all of them send their next request at once. The upper bound is the example in the
/// protocol's specification. The lower bound leaves the time that such a service needs for one request from each node (at
/// most 8 s).
const MIN_SHARED_WAIT: Micros = 12_000_000;
const MAX_SHARED_WAIT: Micros = 20_000_000;
/// How long after its wait a watch at a shared service times out.
const SHARED_WAIT_MARGIN: Micros = 500_000;
/// Bounds of the wait of a watch at a local agent, for which requests are cheap. The wait is half of the drain grace
/// period, within these bounds.
const MIN_PUSHED_WAIT: Micros = 100_000;
const MAX_PUSHED_WAIT: Micros = 2_000_000;
/// Waits of the first two watches after a start; the first also holds after a failure.
const FIRST_WATCH_WAIT: Micros = 500_000;
const SECOND_WATCH_WAIT: Micros = 2_000_000;
/// How long after such a wait a watch times out: a working service may queue a request for 3 s before it rejects it.
const QUEUE_ALLOWANCE: Micros = 3_500_000;
/// Timeout for establishing a connection. It leaves time for one retransmission of a lost first packet, which is sent after
/// 1 s (RFC 6298, section 2).
const CONNECT_TIMEOUT: Micros = 1_500_000;
/// Timeout of a request for the full list.
const FULL_LIST_TIMEOUT: Micros = 4_000_000;
/// Shortest timeout of a full-list request, or of a watch with a short wait, after several requests that timed out, for a
/// service that takes longer. A service that works again is noticed within it.
const LONG_REQUEST_TIMEOUT: Micros = 5_500_000;
/// Timeout of a response, from its first byte to its last.
const RESPONSE_TIMEOUT: Micros = 1_500_000;
/// Timeout of a response after several requests that timed out.
const LONG_RESPONSE_TIMEOUT: Micros = 3_000_000;
/// Number of successive requests that timed out after which the long timeouts hold.
const TIMEOUTS_BEFORE_LONGER: u32 = 2;
/// Bounds of the pause before a pushed list is requested again after repeated failures, and after a response older than the
/// known list. Within these bounds it is a quarter of the drain grace period, within which a list must be applied.
const MIN_RETRY_PAUSE: Micros = 20_000;
const MAX_RETRY_PAUSE: Micros = 200_000;
/// Bounds of the pause after a first failed request to a shared service; the pause doubles with each further failure.
const MIN_INITIAL_BACKOFF: Micros = 150_000;
const MAX_INITIAL_BACKOFF: Micros = 250_000;
/// After this many doublings the pause exceeds its limit in any case; the bound prevents an overflow.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// Bounds of the longest pause between requests to a shared service. A change counts as announced 6 s after the service
/// could be reached, regardless of earlier failures: the upper bound leaves one second for the response.
const MIN_BACKOFF_LIMIT: Micros = 4_000_000;
const MAX_BACKOFF_LIMIT: Micros = 5_000_000;

/// What the node knows about the availability of discovery: the more, the longer a watch may wait, since during the wait a
/// lost request cannot be distinguished from one without changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WatchStage {
    /// No request has been answered yet. The list in the configuration may be old.
    Started,
    /// The first request has been answered, and none has failed.
    Answered,
    /// A request has failed: a change may have been missed, and counts as announced a bounded time after discovery had it.
    Recovering,
    /// Discovery answers requests; the longest wait is used.
    Steady,
}

impl WatchStage {
    /// The stage after a response. `brings_change`: the response contains a change, for which many nodes may be waiting, so
    /// that each should send no more requests than necessary.
    pub(crate) fn after_response(self, brings_change: bool) -> WatchStage {
        match self {
            WatchStage::Started if !brings_change => WatchStage::Answered,
            // A second short wait would overload a busy service, which rejects requests.
            _ => WatchStage::Steady,
        }
    }
}

/// The times of a node's requests to discovery.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PollSchedule {
    /// Lists are pushed to a local agent, which is always watched; otherwise all nodes share one service.
    pub(crate) is_pushed: bool,
    /// How long a watch waits in [`WatchStage::Steady`], and at an agent in each stage; whole milliseconds.
    pub(crate) steady_wait: Micros,
    /// How long after its wait such a watch times out.
    pub(crate) steady_wait_margin: Micros,
    /// Pause before a pushed list is requested again after repeated failures, and after a response older than the known
    /// list.
    pub(crate) retry_pause: Micros,
    /// Pause after a first failed request to a shared service.
    pub(crate) initial_backoff: Micros,
    /// Longest pause after a failed request to a shared service.
    pub(crate) backoff_limit: Micros,
}

impl PollSchedule {
    /// Derives the times from the settings. `polls`: all nodes share one service; otherwise each node has a local agent.
    /// `drain_grace`: the time within which a list must be applied. `phase`: this node's position, from 0 to 1, in times
    /// that are spread over all nodes, so that requests which failed at the same time are not repeated at the same time.
    pub(crate) fn new(polls: bool, drain_grace: Micros, phase: f64) -> PollSchedule {
        let by_phase = |min: Micros, max: Micros| {
            min + ((max - min) as f64 * (1.0 - phase.clamp(0.0, 1.0))) as Micros
        };
        let retry_pause = (drain_grace / 4).clamp(MIN_RETRY_PAUSE, MAX_RETRY_PAUSE);
        // A list counts as announced as soon as the agent has it, so it must be read within the drain grace period.
        let pushed_wait = whole_millis((drain_grace / 2).clamp(MIN_PUSHED_WAIT, MAX_PUSHED_WAIT));
        let shared_wait = whole_millis(by_phase(MIN_SHARED_WAIT, MAX_SHARED_WAIT));
        PollSchedule {
            is_pushed: !polls,
            steady_wait: if polls { shared_wait } else { pushed_wait },
            steady_wait_margin: if polls {
                SHARED_WAIT_MARGIN
            } else {
                retry_pause
            },
            retry_pause,
            initial_backoff: by_phase(MIN_INITIAL_BACKOFF, MAX_INITIAL_BACKOFF),
            backoff_limit: by_phase(MIN_BACKOFF_LIMIT, MAX_BACKOFF_LIMIT),
        }
    }

    /// How long a watch waits at this stage.
    pub(crate) fn watch_wait(&self, stage: WatchStage) -> Micros {
        match stage {
            _ if self.is_pushed => self.steady_wait,
            WatchStage::Started | WatchStage::Recovering => FIRST_WATCH_WAIT,
            WatchStage::Answered => SECOND_WATCH_WAIT,
            WatchStage::Steady => self.steady_wait,
        }
    }

    /// How long after its start a request times out. `failures`: those before it.
    pub(crate) fn timeout(&self, request: DiscoveryRequest, failures: Failures) -> Micros {
        let timeout = match request {
            DiscoveryRequest::Watch { wait, .. } if wait == self.steady_wait => {
                return wait + self.steady_wait_margin
            }
            DiscoveryRequest::Watch { wait, .. } => wait + QUEUE_ALLOWANCE,
            DiscoveryRequest::FullList => FULL_LIST_TIMEOUT,
        };
        if failures.timeouts < TIMEOUTS_BEFORE_LONGER {
            timeout
        } else {
            timeout.max(LONG_REQUEST_TIMEOUT)
        }
    }

    /// The delay of the next request after one that failed with `error`. `failures`: this failure and those before it.
    pub(crate) fn retry_delay(&self, error: &DiscoveryError, failures: Failures) -> Micros {
        // No further delay is needed: the node has already waited for the timeout.
        if matches!(
            error,
            DiscoveryError::Timeout | DiscoveryError::ConnectTimeout
        ) {
            return 0;
        }
        let doublings = failures.errors.saturating_sub(1);
        if !self.is_pushed {
            let pause = self.initial_backoff << doublings.min(MAX_BACKOFF_DOUBLINGS);
            return pause.min(self.backoff_limit);
        }
        // Requests to a local agent are cheap, so the first retry follows at once.
        if doublings == 0 {
            0
        } else {
            self.retry_pause
        }
    }
}

/// How long after its start a request times out if its connection is not established. `timeout`: that of the request.
pub(crate) fn connect_timeout(timeout: Micros) -> Micros {
    timeout.min(CONNECT_TIMEOUT)
}

/// How long after its first byte an incomplete response times out. `failures`: those before its request.
pub(crate) fn response_timeout(failures: Failures) -> Micros {
    if failures.timeouts < TIMEOUTS_BEFORE_LONGER {
        RESPONSE_TIMEOUT
    } else {
        LONG_RESPONSE_TIMEOUT
    }
}

fn whole_millis(time: Micros) -> Micros {
    time / 1000 * 1000
}

#[cfg(test)]
#[path = "schedule_tests.rs"]
mod tests;
