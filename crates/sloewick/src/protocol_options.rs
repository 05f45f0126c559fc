//! Command-line options that select the protocols of an emulated fleet's clients and cache servers.

use clap::{Args, ValueEnum};
use sloewick_testbed::site::{Clients, ProtocolOptions, ServerProtocols};

#[derive(Clone, Copy, ValueEnum)]
enum ClientProtocol {
    /// RESP2
    Resp,
    /// The memcached binary protocol
    Memcached,
    /// Alternates between the two protocols
    Both,
    /// RESP2, restricted to the information that a memcached client can send
    RespByKey,
}

#[derive(Clone, Copy, ValueEnum)]
enum CacheProtocol {
    /// RESP2
    Resp,
    /// The memcached binary protocol
    Memcached,
    /// RESP2, and the memcached binary protocol for every second cache server
    Mixed,
    /// RESP2, and the memcached binary protocol for cache servers that are started during the run
    Later,
}

/// The options `--front` and `--cache`.
#[derive(Args)]
pub(crate) struct ProtocolArgs {
    /// Protocol of the clients
    #[arg(long, value_enum, default_value = "resp")]
    front: ClientProtocol,
    /// Protocol of the cache servers
    #[arg(long, value_enum, default_value = "resp")]
    cache: CacheProtocol,
}

impl ProtocolArgs {
    /// Converts the options to the testbed's type.
    pub(crate) fn for_testbed(&self) -> ProtocolOptions {
        ProtocolOptions {
            clients: match self.front {
                ClientProtocol::Resp => Clients::Resp,
                ClientProtocol::Memcached => Clients::Memcached,
                ClientProtocol::Both => Clients::Both,
                ClientProtocol::RespByKey => Clients::RespByKey,
            },
            servers: match self.cache {
                CacheProtocol::Resp => ServerProtocols::Resp,
                CacheProtocol::Memcached => ServerProtocols::Memcached,
                CacheProtocol::Mixed => ServerProtocols::Mixed,
                CacheProtocol::Later => ServerProtocols::Later,
            },
        }
    }

    /// The options as text for a command line that replays a run; options with their default value are left out.
    pub(crate) fn command_line(&self) -> String {
        let mut text = String::new();
        if !matches!(self.front, ClientProtocol::Resp) {
            text += " --front ";
            text += &option_value(&self.front);
        }
        if !matches!(self.cache, CacheProtocol::Resp) {
            text += " --cache ";
            text += &option_value(&self.cache);
        }
        text
    }
}

fn option_value(value: &impl ValueEnum) -> String {
    value
        .to_possible_value()
        .map_or_else(String::new, |value| value.get_name().to_string())
}
