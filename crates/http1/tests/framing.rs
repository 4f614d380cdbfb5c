//! Which messages are accepted and which are rejected, and that neither depends on how the input is split.

use http1::*;
use proptest::prelude::*;

const LIMITS: Limits = Limits { head: 2048, body: 4096, informational: 3 };

/// Feeds the chunks to a decoder; returns everything that it decodes, and the error that ends it.
fn decode<D, T>(
    mut decoder: D,
    chunks: &[&[u8]],
    receive: fn(&mut D, &[u8]),
    poll: fn(&mut D) -> Result<Option<T>, DecodeError>,
) -> (Vec<T>, Option<DecodeError>) {
    let mut decoded = Vec::new();
    for chunk in chunks {
        receive(&mut decoder, chunk);
        loop {
            match poll(&mut decoder) {
                Ok(Some(item)) => decoded.push(item),
                Ok(None) => break,
                Err(error) => return (decoded, Some(error)),
            }
        }
    }
    (decoded, None)
}

fn requests(chunks: &[&[u8]]) -> (Vec<Request>, Option<DecodeError>) {
    let (events, error) =
        decode(RequestDecoder::new(LIMITS), chunks, RequestDecoder::receive, RequestDecoder::poll);
    let complete = |event| match event {
        RequestEvent::Complete(request) => Some(request),
        RequestEvent::ExpectsContinue => None,
    };
    (events.into_iter().filter_map(complete).collect(), error)
}

fn responses(chunks: &[&[u8]]) -> (Vec<Response>, Option<DecodeError>) {
    decode(ResponseDecoder::new(LIMITS), chunks, ResponseDecoder::receive, ResponseDecoder::poll)
}

/// The concatenated data of a stream.
fn streamed(chunks: &[&[u8]]) -> (Vec<u8>, Option<DecodeError>) {
    let (pieces, error) =
        decode(StreamDecoder::new(LIMITS), chunks, StreamDecoder::receive, StreamDecoder::poll);
    (pieces.concat(), error)
}

fn request_error(text: &str) -> Option<DecodeError> {
    requests(&[text.as_bytes()]).1
}

fn response_error(text: &str) -> Option<DecodeError> {
    responses(&[text.as_bytes()]).1
}

#[test]
fn request_with_ambiguous_or_invalid_length_is_rejected() {
    let with = |fields: &str| request_error(&format!("PUT /a HTTP/1.1\r\n{fields}\r\n"));
    assert_eq!(with("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n"), Some(DecodeError::InvalidLength));
    assert_eq!(with("Content-Length: 2\r\nContent-Length: 2\r\n"), Some(DecodeError::InvalidLength));
    assert_eq!(with("Content-Length: +2\r\n"), Some(DecodeError::InvalidLength));
    assert_eq!(with("Content-Length: -2\r\n"), Some(DecodeError::InvalidLength));
    assert_eq!(with("Content-Length: 0x10\r\n"), Some(DecodeError::InvalidLength));
    assert_eq!(with("Content-Length: 2, 2\r\n"), Some(DecodeError::InvalidLength));
    assert_eq!(with("Content-Length: \r\n"), Some(DecodeError::InvalidLength));
    assert_eq!(
        with("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
        Some(DecodeError::InvalidLength)
    );
    assert_eq!(with("Transfer-Encoding: gzip, chunked\r\n"), Some(DecodeError::UnsupportedCoding));
    assert_eq!(with("Content-Length: 4097\r\n"), Some(DecodeError::BodyTooLong));
    assert_eq!(with("Content-Length: 99999999999999999999999999\r\n"), Some(DecodeError::BodyTooLong));
    assert_eq!(with("Content-Length: 4096\r\n"), None);
}

#[test]
fn malformed_and_endless_heads_are_rejected() {
    assert_eq!(request_error("\u{1}\u{2}\u{3}\u{4}\r\n\r\n"), Some(DecodeError::MalformedHead));
    assert_eq!(request_error("GET / HTTP/3.0\r\n\r\n"), Some(DecodeError::UnsupportedVersion));
    assert_eq!(request_error("GET / HTTP/1.1\r\nA : b\r\n\r\n"), Some(DecodeError::MalformedHead));
    assert_eq!(request_error("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\n"), Some(DecodeError::MalformedHead));
    let endless = format!("GET / HTTP/1.1\r\nA: {}", "b".repeat(LIMITS.head));
    assert_eq!(request_error(&endless), Some(DecodeError::HeadTooLong));
    let many: String = (0..=MAX_FIELDS).map(|n| format!("a{n}: b\r\n")).collect();
    assert_eq!(request_error(&format!("GET / HTTP/1.1\r\n{many}\r\n")), Some(DecodeError::HeadTooLong));
}

#[test]
fn expect_continue_is_reported_once_and_only_before_the_body() {
    let mut decoder = RequestDecoder::new(LIMITS);
    decoder.receive(b"PUT /a HTTP/1.1\r\nExpect: 100-Continue\r\nContent-Length: 3\r\n\r\n");
    assert_eq!(decoder.poll(), Ok(Some(RequestEvent::ExpectsContinue)));
    assert_eq!(decoder.poll(), Ok(None));
    decoder.receive(b"abc");
    assert!(matches!(decoder.poll(), Ok(Some(RequestEvent::Complete(r))) if &r.body[..] == b"abc"));
    decoder.receive(b"PUT /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 1\r\n\r\nx");
    assert!(matches!(decoder.poll(), Ok(Some(RequestEvent::Complete(_)))));
}

#[test]
fn keep_alive_follows_the_version_and_the_connection_field() {
    let keeps = |text: &str| requests(&[text.as_bytes()]).0[0].keep_alive;
    assert!(keeps("GET / HTTP/1.1\r\n\r\n"));
    assert!(!keeps("GET / HTTP/1.1\r\nConnection: foo, Close\r\n\r\n"));
    assert!(!keeps("GET / HTTP/1.0\r\n\r\n"));
    assert!(keeps("GET / HTTP/1.0\r\nconnection: Keep-Alive\r\n\r\n"));
}

#[test]
fn response_with_ambiguous_or_invalid_framing_is_rejected() {
    let both = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    assert_eq!(response_error(both), Some(DecodeError::InvalidLength));
    assert_eq!(
        response_error("HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n"),
        Some(DecodeError::BodyTooLong)
    );
    assert!(response_error("noise that is no head\r\n\r\n").is_some());
    for chunks in ["x\r\n", "5\r\nabcdeX\r\n", "fffffffff\r\n", "2\nab\r\n", "\r\n", "1;\r\nab"] {
        let text = format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}");
        assert!(response_error(&text).is_some(), "{chunks:?} is accepted");
    }
    let long = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfff\r\n".to_owned()
        + &"x".repeat(0xfff)
        + "\r\n2\r\n";
    assert_eq!(response_error(&long), Some(DecodeError::BodyTooLong));
}

#[test]
fn informational_responses_are_skipped_up_to_a_limit() {
    let informational = "HTTP/1.1 103 Early\r\nA: b\r\n\r\n";
    let text = informational.repeat(3) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let (whole, error) = responses(&[text.as_bytes()]);
    assert_eq!((whole.len(), whole[0].status, error), (1, 200, None));
    assert_eq!(response_error(&informational.repeat(4)), Some(DecodeError::TooManyInformational));
    assert_eq!(response_error("HTTP/1.1 101 Switching\r\n\r\n"), Some(DecodeError::TooManyInformational));
}

#[test]
fn input_after_a_response_is_detected() {
    let mut decoder = ResponseDecoder::new(LIMITS);
    decoder.receive(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokH");
    assert!(matches!(decoder.poll(), Ok(Some(_))));
    assert!(!decoder.is_idle());
}

#[test]
fn stream_returns_data_as_it_arrives_and_reports_its_end() {
    let text = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{a}\r\n4\r\n\n\r\nb\r\n1\r\n\n\r\n";
    let mut decoder = StreamDecoder::new(LIMITS);
    decoder.receive(text.as_bytes());
    assert_eq!(decoder.poll().expect("a piece").as_deref(), Some(&b"{a}\n\r\nb\n"[..]));
    assert_eq!((decoder.poll().expect("a stream"), decoder.is_complete()), (None, false));
    decoder.receive(b"2\r\nc");
    assert_eq!(
        decoder.poll().expect("a piece").as_deref(),
        Some(&b"c"[..]),
        "the received half of a chunk is returned"
    );
    decoder.receive(b"d\r\n0\r\n\r\n");
    assert_eq!(decoder.poll().expect("a piece").as_deref(), Some(&b"d"[..]));
    assert!(decoder.is_complete());
    assert_eq!(decoder.status(), Some(200));
    // The limit on the body length does not apply to streams.
    let endless = format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(LIMITS.body * 3));
    assert_eq!(streamed(&[endless.as_bytes()]), (vec![b'x'; LIMITS.body * 3], None));
    assert_eq!(
        streamed(&[b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"]).1,
        Some(DecodeError::MalformedChunk)
    );
}

#[test]
fn encoded_messages_are_decoded_unchanged() {
    let wire = encode_request("PUT", "/c/v/o?q=1", &[("Host", "h"), ("X-Request-ID", "7")], b"body");
    let (whole, error) = requests(&[&wire]);
    assert_eq!((error, whole.len()), (None, 1));
    assert_eq!((whole[0].method.as_str(), whole[0].target.as_str()), ("PUT", "/c/v/o?q=1"));
    assert_eq!(&whole[0].body[..], b"body");
    assert_eq!(whole[0].fields.unique("x-request-id"), Ok(Some(&b"7"[..])));
    let wire = encode_response(503, &[("Retry-After", "0.038")], b"no", false);
    let (whole, error) = responses(&[&wire]);
    assert_eq!((error, whole[0].status, whole[0].keep_alive), (None, 503, false));
    assert_eq!(whole[0].fields.unique("retry-after"), Ok(Some(&b"0.038"[..])));
}

/// Splits bytes at the given positions.
fn split_at<'a>(bytes: &'a [u8], positions: &[prop::sample::Index]) -> Vec<&'a [u8]> {
    let mut bounds: Vec<usize> = positions.iter().map(|p| p.index(bytes.len() + 1)).collect();
    bounds.extend([0, bytes.len()]);
    bounds.sort_unstable();
    bounds.windows(2).map(|w| &bytes[w[0]..w[1]]).collect()
}

fn positions() -> impl Strategy<Value = Vec<prop::sample::Index>> {
    prop::collection::vec(any::<prop::sample::Index>(), 0..12)
}

/// Encodes a body in chunks of `size` bytes, with a chunk extension and a trailer.
fn chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut out = Vec::new();
    for piece in body.chunks(size.max(1)) {
        out.extend(format!("{:x};e=1\r\n", piece.len()).bytes());
        out.extend_from_slice(piece);
        out.extend(b"\r\n");
    }
    out.extend(b"0\r\nTrailer: x\r\n\r\n");
    out
}

prop_compose! {
    /// The framing field and the body of a message as sent, in either framing, and the plain body.
    fn framed()(body in prop::collection::vec(any::<u8>(), 0..300), size in 0..40usize) -> (Vec<u8>, Vec<u8>) {
        let wire = match size {
            0 => [format!("Content-Length: {}\r\n\r\n", body.len()).into_bytes(), body.clone()].concat(),
            n => [b"Transfer-Encoding: chunked\r\n\r\n".to_vec(), chunked(&body, n)].concat(),
        };
        (wire, body)
    }
}

proptest! {
    #[test]
    fn decoded_requests_do_not_depend_on_how_the_input_is_split(
        parts in prop::collection::vec(framed(), 1..5),
        positions in positions(),
    ) {
        let head = |n: usize| format!("PUT /{n} HTTP/1.1\r\nHost: h\r\n").into_bytes();
        let wire: Vec<u8> = parts.iter().enumerate().flat_map(|(n, p)| [head(n), p.0.clone()].concat()).collect();
        let (whole, error) = requests(&split_at(&wire, &positions));
        prop_assert_eq!(error, None);
        prop_assert_eq!(whole.len(), parts.len());
        for (n, (request, part)) in whole.iter().zip(&parts).enumerate() {
            prop_assert_eq!(&request.target, &format!("/{n}"));
            prop_assert_eq!(&request.body[..], &part.1[..]);
        }
    }

    #[test]
    fn decoded_responses_do_not_depend_on_how_the_input_is_split(
        parts in prop::collection::vec((framed(), 0..3usize), 1..5),
        positions in positions(),
    ) {
        let mut wire = Vec::new();
        for ((framed, _), ahead) in &parts {
            wire.extend("HTTP/1.1 100 Continue\r\n\r\n".repeat(*ahead).bytes());
            wire.extend(b"HTTP/1.1 200 OK\r\n");
            wire.extend(framed);
        }
        let (whole, error) = responses(&split_at(&wire, &positions));
        prop_assert_eq!(error, None);
        let bodies: Vec<&[u8]> = whole.iter().map(|a| &a.body[..]).collect();
        let sent: Vec<&[u8]> = parts.iter().map(|((_, body), _)| &body[..]).collect();
        prop_assert_eq!(bodies, sent);
    }

    #[test]
    fn decoded_streams_do_not_depend_on_how_the_input_is_split(
        text in "[a-z\\n]{0,400}",
        size in 1..50usize,
        positions in positions(),
    ) {
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        let wire = [head, chunked(text.as_bytes(), size)].concat();
        prop_assert_eq!(streamed(&split_at(&wire, &positions)), (text.into_bytes(), None));
    }

    #[test]
    fn arbitrary_input_is_decoded_the_same_however_it_is_split(
        start in prop::sample::select(vec!["", "GET / HTTP/1.1\r\n", "HTTP/1.1 200 OK\r\n", "PUT / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"]),
        noise in prop::collection::vec(prop_oneof![any::<u8>(), prop::sample::select(b"\r\n :0123abc".to_vec())], 0..600),
        positions in positions(),
    ) {
        let wire = [start.as_bytes(), &noise].concat();
        let pieces = split_at(&wire, &positions);
        let (unsplit, error) = requests(&[&wire]);
        let (split, split_error) = requests(&pieces);
        prop_assert_eq!(unsplit, split);
        prop_assert_eq!(error.is_some(), split_error.is_some());
        let (unsplit, error) = responses(&[&wire]);
        let (split, split_error) = responses(&pieces);
        prop_assert_eq!(unsplit, split);
        prop_assert_eq!(error.is_some(), split_error.is_some());
        prop_assert_eq!(streamed(&[&wire]).0, streamed(&pieces).0);
        let mut decoder = RequestDecoder::new(LIMITS);
        for piece in pieces {
            decoder.receive(piece);
            if decoder.poll().is_err() {
                break;
            }
        }
    }
}

/// Decodes input that an orderly close of the connection follows.
fn decode_until_close(text: &str) -> Option<Response> {
    let mut decoder = ResponseDecoder::new(LIMITS);
    decoder.receive(text.as_bytes());
    match decoder.poll() {
        Ok(None) => decoder.end(),
        other => panic!("{text:?} ended before its connection: {other:?}"),
    }
}

#[test]
fn response_without_a_length_ends_with_the_connection() {
    let whole = decode_until_close("HTTP/1.1 200 OK\r\n\r\nall of it").expect("a response");
    assert_eq!((&whole.body[..], whole.keep_alive), (&b"all of it"[..], false));
    assert_eq!(decode_until_close("HTTP/1.1 200 OK\r\n\r\n").expect("an empty response").body.len(), 0);
    // The limit on the body length applies.
    let mut decoder = ResponseDecoder::new(LIMITS);
    decoder.receive(b"HTTP/1.1 200 OK\r\n\r\n");
    decoder.receive(&vec![b'x'; LIMITS.body + 1]);
    assert_eq!(decoder.poll(), Err(DecodeError::BodyTooLong));
}

#[test]
fn truncated_response_with_a_stated_length_is_discarded() {
    for whole in [
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\n3\r\nfgh\r\n0\r\nA: b\r\n\r\n",
    ] {
        for length in 0..whole.len() {
            assert_eq!(decode_until_close(&whole[..length]), None, "truncated to {length} bytes: {whole:?}");
        }
    }
}
