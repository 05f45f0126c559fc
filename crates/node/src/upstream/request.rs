//! Encodes requests for cache servers, in RESP2 or the memcached binary protocol. No state.

use bytes::Bytes;
use sloewick_codec::memcached::{self, write_request, Opcode, HEADER, MAX_KEY};
use sloewick_codec::resp2::{write_bulk, write_header, MAX_ARGUMENT};
use sloewick_decision::api::Micros;

use crate::frontend::response::RequestProtocol;
use crate::request_table::PendingRequest;
use crate::upstream::connection::EncodedRequest;
use crate::upstream::response_reader::RequestTag;

/// Written in place of the idempotency key of a write that has none.
const NO_IDEMPOTENCY_KEY: &[u8] = b"-";

/// The request in RESP2: as it came, except for the deadline, which is the time that this node will wait.
pub(crate) fn encode_resp2(request: &PendingRequest, wait: Micros) -> EncodedRequest {
    let fields = fields_with_deadline(&request.fields, wait);
    let mut out = Vec::with_capacity(128 + request.key.len() + fields.len());
    let (words, name): (usize, &[u8]) = if request.value.is_some() {
        (5, b"C.SET")
    } else {
        (4, b"C.GET")
    };
    write_header(&mut out, b'*', words);
    for word in [name, &request.key, request.id.as_bytes(), &fields] {
        write_bulk(&mut out, word);
    }
    let chunks = match &request.value {
        None => vec![out.into()],
        Some(value) if value.len() <= MAX_ARGUMENT => {
            write_bulk(&mut out, value);
            vec![out.into()]
        }
        Some(value) => {
            write_header(&mut out, b'$', value.len());
            vec![out.into(), value.clone(), Bytes::from_static(b"\r\n")]
        }
    };
    EncodedRequest {
        chunks,
        tag: RequestTag::default(),
    }
}

fn fields_with_deadline(fields: &[u8], wait: Micros) -> Vec<u8> {
    let wait_ms = (wait + 999) / 1000;
    let mut out = Vec::with_capacity(fields.len() + 8);
    for field in fields.split(|b| *b == b',') {
        if !out.is_empty() {
            out.push(b',');
        }
        if field.starts_with(b"d=") {
            out.extend_from_slice(format!("d={wait_ms}").as_bytes());
        } else {
            out.extend_from_slice(field);
        }
    }
    out
}

/// Whether a request can be encoded in the memcached binary protocol: its key is short enough, and an idempotency key that
/// precedes the value neither ends early nor looks like none, which would let a duplicate take effect.
pub(crate) fn fits_memcached(request: &PendingRequest) -> bool {
    let is_encodable =
        |key: &[u8]| !key.is_empty() && key != NO_IDEMPOTENCY_KEY && !key.contains(&b':');
    request.key.len() <= MAX_KEY && idempotency_key(request).is_none_or(is_encodable)
}

fn idempotency_key(request: &PendingRequest) -> Option<&[u8]> {
    request
        .fields
        .split(|b| *b == b',')
        .find_map(|field| field.strip_prefix(b"k="))
}

/// The request in the memcached binary protocol; `sequence` counts the requests of this node in that protocol.
///
/// The value of a write follows its idempotency key (a hyphen where it has none) and a colon: the protocol has no field for
/// the key, and the server needs it to deduplicate.
pub(crate) fn encode_memcached(request: &PendingRequest, sequence: u16) -> EncodedRequest {
    let opaque = opaque(request, sequence);
    match &request.value {
        None => encode_memcached_get(request, opaque),
        Some(value) => encode_memcached_set(request, value, opaque),
    }
}

fn encode_memcached_get(request: &PendingRequest, opaque: u32) -> EncodedRequest {
    let opcode = Opcode::Get as u8;
    let mut out = Vec::with_capacity(HEADER + request.key.len());
    write_request(
        &mut out,
        &memcached::Request {
            opcode,
            opaque,
            key: request.key.clone(),
            ..memcached::Request::default()
        },
    );
    EncodedRequest {
        chunks: vec![out.into()],
        tag: RequestTag { opcode, opaque },
    }
}

fn encode_memcached_set(request: &PendingRequest, value: &Bytes, opaque: u32) -> EncodedRequest {
    let idempotency_key = idempotency_key(request).unwrap_or(NO_IDEMPOTENCY_KEY);
    let opcode = Opcode::Set as u8;
    let header = memcached::Request {
        opcode,
        opaque,
        extras: Bytes::from_static(&[0; 8]),
        key: request.key.clone(),
        ..memcached::Request::default()
    };
    let prefix = idempotency_key.len() + 1;
    let mut out = Vec::with_capacity(HEADER + 8 + request.key.len() + prefix);
    memcached::write_request_header(&mut out, &header, prefix + value.len());
    out.extend_from_slice(idempotency_key);
    out.push(b':');
    let chunks = if value.len() <= MAX_ARGUMENT {
        out.extend_from_slice(value);
        vec![out.into()]
    } else {
        vec![out.into(), value.clone()]
    };
    EncodedRequest {
        chunks,
        tag: RequestTag { opcode, opaque },
    }
}

/// The opaque of a memcached request. Its upper half counts the requests of this node, so that a late response to an earlier
/// one is recognised whatever a client makes of its own opaques (some are always 0). Its lower half is that of the client, or
/// a hash of the request's id, so that the request can be found in the log of a server.
fn opaque(request: &PendingRequest, sequence: u16) -> u32 {
    let lower = match request.protocol {
        RequestProtocol::Memcached { opaque, .. } => opaque,
        RequestProtocol::Resp2 => fnv1a(request.id.as_bytes()),
    };
    u32::from(sequence) << 16 | (lower & 0xffff)
}

/// FNV-1a of 32 bits.
fn fnv1a(bytes: &[u8]) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(PRIME)
    })
}

/// A probe request in RESP2; `with_load`: it asks for a load report.
pub(crate) fn encode_resp2_probe(with_load: bool) -> EncodedRequest {
    let words: &[&[u8]] = if with_load {
        &[b"INFO", b"load"]
    } else {
        &[b"PING"]
    };
    let mut out = Vec::new();
    write_header(&mut out, b'*', words.len());
    for word in words {
        write_bulk(&mut out, word);
    }
    EncodedRequest {
        chunks: vec![out.into()],
        tag: RequestTag::default(),
    }
}

/// A probe request in the memcached binary protocol.
pub(crate) fn encode_memcached_probe(serial: u64) -> EncodedRequest {
    let (opcode, opaque) = (Opcode::Noop as u8, serial as u32);
    let mut out = Vec::new();
    write_request(
        &mut out,
        &memcached::Request {
            opcode,
            opaque,
            ..memcached::Request::default()
        },
    );
    EncodedRequest {
        chunks: vec![out.into()],
        tag: RequestTag { opcode, opaque },
    }
}
