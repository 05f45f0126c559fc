//! Options that say which protocols a fleet's clients and boxes speak.

use clap::{Args, ValueEnum};
use sloewick_testbed::site::{Boxes, Clients, Speech};

#[derive(Clone, Copy, ValueEnum)]
enum Front {
    /// RESP2
    Resp,
    /// The memcached binary protocol
    Memcached,
    /// Each request in turn by one and the other
    Both,
    /// RESP2 by clients that tell no more than memcached clients can
    RespByKey,
}

#[derive(Clone, Copy, ValueEnum)]
enum Kind {
    /// RESP2
    Resp,
    /// The memcached binary protocol
    Memcached,
    /// Every second box the memcached binary protocol
    Mixed,
    /// Boxes that are started during the run the memcached binary protocol
    Later,
}

#[derive(Args)]
pub struct SpeechArgs {
    /// What clients speak
    #[arg(long, value_enum, default_value = "resp")]
    front: Front,
    /// What cache boxes speak
    #[arg(long, value_enum, default_value = "resp")]
    cache: Kind,
}

impl SpeechArgs {
    pub fn speech(&self) -> Speech {
        Speech {
            clients: match self.front {
                Front::Resp => Clients::Resp,
                Front::Memcached => Clients::Memcached,
                Front::Both => Clients::Both,
                Front::RespByKey => Clients::RespByKey,
            },
            boxes: match self.cache {
                Kind::Resp => Boxes::Resp,
                Kind::Memcached => Boxes::Memcached,
                Kind::Mixed => Boxes::Mixed,
                Kind::Later => Boxes::Later,
            },
        }
    }

    /// The options as they were given, for a line that repeats a run.
    pub fn words(&self) -> String {
        let word = |value: Option<clap::builder::PossibleValue>| {
            value.map_or(String::new(), |v| v.get_name().to_string())
        };
        let mut words = String::new();
        if !matches!(self.front, Front::Resp) {
            words += &format!(" --front {}", word(self.front.to_possible_value()));
        }
        if !matches!(self.cache, Kind::Resp) {
            words += &format!(" --cache {}", word(self.cache.to_possible_value()));
        }
        words
    }
}
