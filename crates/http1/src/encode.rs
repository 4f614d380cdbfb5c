//! Encoding of messages.

use std::fmt::Write;

use bytes::{Bytes, BytesMut};

/// Encodes a response with its content length. `fields` are names and values of further header fields.
pub fn encode_response(status: u16, fields: &[(&str, &str)], body: &[u8], keep_alive: bool) -> Bytes {
    let mut out = BytesMut::with_capacity(160 + body.len());
    write_status_and_length(&mut out, status, body.len());
    finish(out, fields, body, keep_alive)
}

/// Encodes the head of a response whose body of `length` bytes is sent separately.
pub fn encode_response_head(status: u16, fields: &[(&str, &str)], length: usize, keep_alive: bool) -> Bytes {
    let mut out = BytesMut::with_capacity(160);
    write_status_and_length(&mut out, status, length);
    finish(out, fields, &[], keep_alive)
}

/// Writes the status line and the content length.
fn write_status_and_length(out: &mut BytesMut, status: u16, length: usize) {
    // Writing to memory cannot fail.
    let _ = write!(out, "HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n", reason_phrase(status));
}

/// Encodes a request. The content length is left out if the body is empty and the method is neither PUT nor
/// POST.
pub fn encode_request(method: &str, target: &str, fields: &[(&str, &str)], body: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(256 + body.len());
    write_request_line_and_length(&mut out, method, target, body.len());
    finish(out, fields, body, true)
}

/// Encodes the head of a request whose body of `length` bytes is sent separately.
pub fn encode_request_head(method: &str, target: &str, fields: &[(&str, &str)], length: usize) -> Bytes {
    let mut out = BytesMut::with_capacity(256);
    write_request_line_and_length(&mut out, method, target, length);
    finish(out, fields, &[], true)
}

/// Writes the request line and, where the request has one, the content length.
fn write_request_line_and_length(out: &mut BytesMut, method: &str, target: &str, length: usize) {
    let _ = write!(out, "{method} {target} HTTP/1.1\r\n");
    if length > 0 || method == "PUT" || method == "POST" {
        let _ = write!(out, "Content-Length: {length}\r\n");
    }
}

/// Appends the header fields, the end of the head and the body.
fn finish(mut out: BytesMut, fields: &[(&str, &str)], body: &[u8], keep_alive: bool) -> Bytes {
    for (name, value) in fields {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    out.extend_from_slice(if keep_alive { b"\r\n" } else { b"Connection: close\r\n\r\n" });
    out.extend_from_slice(body);
    out.freeze()
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        417 => "Expectation Failed",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        505 => "HTTP Version Not Supported",
        // Clients ignore the phrase.
        _ => "Answer",
    }
}
