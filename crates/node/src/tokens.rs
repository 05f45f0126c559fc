//! The tokens under which the node registers its sockets with the [`Transport`](crate::transport::Transport).
//!
//! Listeners, the connection to discovery and signals have fixed tokens, and admin clients a fixed range. The tokens of other
//! connections begin at [`FIRST_CONNECTION`]: client connections have even tokens, upstream connections odd ones.

use crate::admin::server::MAX_ADMIN_CLIENTS;
use crate::transport::{Token, SIGNALS_TOKEN};

/// The listener for RESP2 clients.
pub(crate) const RESP2_LISTENER: Token = 0;
/// The connection to discovery.
pub(crate) const DISCOVERY: Token = 2;
/// The listener for memcached clients.
pub(crate) const MEMCACHED_LISTENER: Token = 3;
/// The listener of the admin interface.
pub(crate) const ADMIN_LISTENER: Token = 4;
const FIRST_ADMIN_CLIENT: Token = 5;
const FIRST_CONNECTION: Token = 32;
const _: () = assert!(
    FIRST_ADMIN_CLIENT + MAX_ADMIN_CLIENTS <= FIRST_CONNECTION
        && FIRST_CONNECTION.is_multiple_of(2)
);

/// The socket or signal source that a token stands for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum TokenOwner {
    /// One of the listeners for clients.
    ClientListener,
    Signals,
    Discovery,
    AdminListener,
    /// The admin client with this key.
    AdminClient(usize),
    /// The client connection with this key.
    Client(usize),
    /// The upstream connection with this key.
    Upstream(usize),
}

impl TokenOwner {
    pub(crate) fn of(token: Token) -> TokenOwner {
        match token {
            RESP2_LISTENER | MEMCACHED_LISTENER => TokenOwner::ClientListener,
            SIGNALS_TOKEN => TokenOwner::Signals,
            DISCOVERY => TokenOwner::Discovery,
            ADMIN_LISTENER => TokenOwner::AdminListener,
            FIRST_ADMIN_CLIENT..FIRST_CONNECTION => {
                TokenOwner::AdminClient(token - FIRST_ADMIN_CLIENT)
            }
            _ if (token - FIRST_CONNECTION).is_multiple_of(2) => {
                TokenOwner::Client((token - FIRST_CONNECTION) / 2)
            }
            _ => TokenOwner::Upstream((token - FIRST_CONNECTION) / 2),
        }
    }
}

pub(crate) fn admin_client_token(key: usize) -> Token {
    FIRST_ADMIN_CLIENT + key
}

pub(crate) fn client_token(key: usize) -> Token {
    FIRST_CONNECTION + 2 * key
}

pub(crate) fn upstream_token(key: usize) -> Token {
    FIRST_CONNECTION + 2 * key + 1
}

#[cfg(test)]
#[path = "tokens_tests.rs"]
mod tests;
