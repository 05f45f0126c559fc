//! Encodes requests for cache servers in RESP2 or the memcached binary protocol. The module holds no state.

use bytes::Bytes;
use sloewick_codec::memcached::{self, write_request, Opcode, HEADER_BYTES, MAX_KEY_BYTES};
use sloewick_codec::resp2::{write_bulk, write_header, MAX_ARGUMENT_BYTES};
use sloewick_decision::api::Micros;

use crate::frontend::response::RequestProtocol;
use crate::request_table::PendingRequest;
use crate::upstream::connection::EncodedRequest;
use crate::upstream::response_reader::RequestTag;

/// Replaces the idempotency key in a memcached write that has none.
const NO_IDEMPOTENCY_KEY: &[u8] = b"-";

/// Encodes a request in RESP2, as the client sent it except for the deadline: it becomes `timeout`, the time that this node
/// waits for the response.
pub(crate) fn encode_resp2(request: &PendingRequest, timeout: Micros) -> EncodedRequest {
    let fields = fields_with_deadline(&request.fields, timeout);
    let mut out = Vec::with_capacity(128 + request.cache_key.len() + fields.len());
    let (arguments, name): (usize, &[u8]) = if request.value.is_some() {
        (5, b"C.SET")
    } else {
        (4, b"C.GET")
    };
    write_header(&mut out, b'*', arguments);
    for argument in [name, &request.cache_key, request.id.as_bytes(), &fields] {
        write_bulk(&mut out, argument);
    }
    let chunks = match &request.value {
        None => vec![out.into()],
        Some(value) if value.len() <= MAX_ARGUMENT_BYTES => {
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
        write: request.write,
    }
}

/// Copies the fields and sets the deadline field `d` to the timeout, rounded up to whole milliseconds.
fn fields_with_deadline(fields: &[u8], timeout: Micros) -> Vec<u8> {
    let timeout_ms = (timeout + 999) / 1000;
    let mut out = Vec::with_capacity(fields.len() + 8);
    for field in fields.split(|b| *b == b',') {
        if !out.is_empty() {
            out.push(b',');
        }
        if field.starts_with(b"d=") {
            out.extend_from_slice(format!("d={timeout_ms}").as_bytes());
        } else {
            out.extend_from_slice(field);
        }
    }
    out
}

/// Whether a request can be encoded in the memcached binary protocol. Its key must be short enough. An idempotency key,
/// which is written before the value, must not be empty, contain the separator or equal the placeholder: the server would
/// read a shorter key or none, and a duplicate could take effect.
pub(crate) fn fits_memcached(request: &PendingRequest) -> bool {
    let is_encodable =
        |key: &[u8]| !key.is_empty() && key != NO_IDEMPOTENCY_KEY && !key.contains(&b':');
    request.cache_key.len() <= MAX_KEY_BYTES && idempotency_key(request).is_none_or(is_encodable)
}

/// The idempotency key in the fields of a request; None if it has none.
fn idempotency_key(request: &PendingRequest) -> Option<&[u8]> {
    request
        .fields
        .split(|b| *b == b',')
        .find_map(|field| field.strip_prefix(b"k="))
}

/// Encodes a request in the memcached binary protocol. `sequence`: number of the request among those of this node in that
/// protocol.
///
/// The body of a write is its idempotency key (a hyphen if it has none), a colon and the value. The protocol has no field
/// for the key, and the server needs it to deduplicate.
pub(crate) fn encode_memcached(request: &PendingRequest, sequence: u16) -> EncodedRequest {
    let opaque = opaque(request, sequence);
    match &request.value {
        None => encode_memcached_get(request, opaque),
        Some(value) => encode_memcached_set(request, value, opaque),
    }
}

fn encode_memcached_get(request: &PendingRequest, opaque: u32) -> EncodedRequest {
    let opcode = Opcode::Get as u8;
    let mut out = Vec::with_capacity(HEADER_BYTES + request.cache_key.len());
    write_request(
        &mut out,
        &memcached::Request {
            opcode,
            opaque,
            key: request.cache_key.clone(),
            ..memcached::Request::default()
        },
    );
    EncodedRequest {
        chunks: vec![out.into()],
        tag: RequestTag { opcode, opaque },
        write: false,
    }
}

fn encode_memcached_set(request: &PendingRequest, value: &Bytes, opaque: u32) -> EncodedRequest {
    let idempotency_key = idempotency_key(request).unwrap_or(NO_IDEMPOTENCY_KEY);
    let opcode = Opcode::Set as u8;
    let header = memcached::Request {
        opcode,
        opaque,
        extras: Bytes::from_static(&[0; 8]),
        key: request.cache_key.clone(),
        ..memcached::Request::default()
    };
    let prefix = idempotency_key.len() + 1;
    let mut out = Vec::with_capacity(HEADER_BYTES + 8 + request.cache_key.len() + prefix);
    memcached::write_request_header(&mut out, &header, prefix + value.len());
    out.extend_from_slice(idempotency_key);
    out.push(b':');
    let chunks = if value.len() <= MAX_ARGUMENT_BYTES {
        out.extend_from_slice(value);
        vec![out.into()]
    } else {
        vec![out.into(), value.clone()]
    };
    EncodedRequest {
        chunks,
        tag: RequestTag { opcode, opaque },
        write: true,
    }
}

/// The opaque field of a memcached request. Its upper 16 bits are the sequence number, so that a late response to an
/// earlier request is recognised however clients choose their own opaques (some always send 0). Its lower 16 bits are those
/// of the client's opaque, or of a hash of the request's id, so that the request can be found in the log of a server.
fn opaque(request: &PendingRequest, sequence: u16) -> u32 {
    let lower = match request.protocol {
        RequestProtocol::Memcached { opaque, .. } => opaque,
        RequestProtocol::Resp2 => fnv1a(request.id.as_bytes()),
    };
    u32::from(sequence) << 16 | (lower & 0xffff)
}

/// The 32-bit FNV-1a hash.
fn fnv1a(bytes: &[u8]) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u32::from(*byte)).wrapping_mul(PRIME)
    })
}

/// Encodes a probe request in RESP2. `with_load`: the probe requests a load report.
pub(crate) fn encode_resp2_probe(with_load: bool) -> EncodedRequest {
    let arguments: &[&[u8]] = if with_load {
        &[b"INFO", b"load"]
    } else {
        &[b"PING"]
    };
    let mut out = Vec::new();
    write_header(&mut out, b'*', arguments.len());
    for argument in arguments {
        write_bulk(&mut out, argument);
    }
    EncodedRequest {
        chunks: vec![out.into()],
        tag: RequestTag::default(),
        write: false,
    }
}

/// Encodes a probe request in the memcached binary protocol; its opaque is the lower half of `serial`.
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
        write: false,
    }
}
