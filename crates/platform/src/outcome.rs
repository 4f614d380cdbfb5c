//! What a storage node's response says about the attempt.

use decisions::Outcome;
use http1::Response;

/// Returns how an attempt ended, from its response. Only the node's own statement proves that it never ran.
pub fn attempt_outcome(answer: &Response) -> Outcome {
    let says_not_processed =
        answer.fields.unique("x-not-processed").ok().flatten().is_some_and(|v| v.trim_ascii() == b"1");
    match answer.status {
        200 => Outcome::Served,
        503 | 504 if says_not_processed => Outcome::Full,
        _ => Outcome::Error,
    }
}

/// Returns the number of requests that the node holds, if its load report can be read.
pub fn reported_load(answer: &Response) -> Option<u32> {
    let report = answer.fields.unique("x-server-load").ok()??;
    let report = std::str::from_utf8(report).ok()?.trim();
    let fields = report.strip_prefix("TEXT ")?;
    // The protocol's page names the field `inflight`; nodes that follow the settings were seen to send
    // `active`.
    let held = |f: &str| f.strip_prefix("inflight=").or(f.strip_prefix("active="))?.parse().ok();
    fields.split(',').find_map(|f| held(f.trim()))
}
