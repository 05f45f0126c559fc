//! Requests to discovery and the errors with which they may fail. The `Display` texts are written to the log.

use std::fmt;

use bytes::BytesMut;
use sloewick_codec::http1;
use sloewick_decision::api::Micros;
use thiserror::Error;

use crate::timers::{TimerEvent, Timers};
use crate::transport::WriteQueue;

/// The content of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DiscoveryRequest {
    /// The full endpoint list.
    FullList,
    /// The changes after revision `since`. If there are none, discovery responds with an empty list after `wait`.
    Watch { since: i64, wait: Micros },
}

impl DiscoveryRequest {
    /// The request target: path and query.
    pub(crate) fn path(self) -> String {
        match self {
            DiscoveryRequest::FullList => "/api/targets".to_string(),
            DiscoveryRequest::Watch { since, wait } => {
                let wait_ms = wait / 1000;
                format!("/api/targets?since={since}&timeout_ms={wait_ms}")
            }
        }
    }

    pub(crate) fn is_watch(self) -> bool {
        matches!(self, DiscoveryRequest::Watch { .. })
    }
}

impl fmt::Display for DiscoveryRequest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DiscoveryRequest::FullList => write!(f, "kind=full_list"),
            DiscoveryRequest::Watch { since, wait } => {
                let wait_ms = wait / 1000;
                write!(f, "kind=watch since={since} wait_ms={wait_ms}")
            }
        }
    }
}

/// The reason why a request has failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub(crate) enum DiscoveryError {
    #[error("cannot connect")]
    ConnectFailed,
    #[error("connect timeout")]
    ConnectTimeout,
    #[error("response timeout")]
    Timeout,
    #[error("response too long")]
    ResponseTooLong,
    #[error("connection lost")]
    ConnectionLost,
    /// The response is not valid HTTP/1.1, or its status is not 200.
    #[error(transparent)]
    Http(http1::ResponseError),
    #[error("response is not an endpoint list")]
    InvalidList,
    #[error("no request in flight")]
    NoPendingRequest,
    #[error("partial list in response to a request for the full list")]
    PartialList,
}

/// A request that has failed.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("error=\"{error}\" after_ms={}", .duration / 1000)]
pub(crate) struct RequestFailure {
    pub(crate) error: DiscoveryError,
    /// Time from the start of the request to its failure.
    pub(crate) duration: Micros,
}

/// Number of successive failed requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Failures {
    /// Requests that timed out.
    pub(crate) timeouts: u32,
    /// Requests that failed otherwise.
    pub(crate) errors: u32,
}

impl Failures {
    pub(crate) fn count(&mut self, error: &DiscoveryError) {
        let counter = match error {
            DiscoveryError::Timeout | DiscoveryError::ConnectTimeout => &mut self.timeouts,
            _ => &mut self.errors,
        };
        *counter = counter.saturating_add(1);
    }
}

/// A request in flight.
pub(super) struct PendingRequest<S> {
    pub(super) stream: S,
    pub(super) request: DiscoveryRequest,
    pub(super) write_queue: WriteQueue,
    pub(super) read_buffer: BytesMut,
    /// Identifies the request in timer events.
    pub(super) serial: u64,
    pub(super) started: Micros,
    /// The connection is established.
    pub(super) is_connected: bool,
    /// When the request times out unless it makes progress: the time by which the connection must be established, then
    /// `response_timeout_at`, then the time by which the response must be complete.
    pub(super) timeout_at: Micros,
    /// When the request times out after the connection is established and before the response starts.
    pub(super) response_timeout_at: Micros,
}

impl<S> PendingRequest<S> {
    /// Records that the connection is established, and extends the timeout to that of the response.
    pub(super) fn connected(&mut self, timers: &mut Timers) {
        if !self.is_connected {
            self.is_connected = true;
            self.timeout_at = self.response_timeout_at;
            let serial = self.serial;
            timers.set(self.timeout_at, TimerEvent::Discovery { serial });
        }
    }
}
