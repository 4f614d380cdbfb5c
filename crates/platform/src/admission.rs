//! Admission of a client's request: the form that the decision module takes, and the form that storage nodes
//! receive.

use bytes::Bytes;
use decisions::{KeyId, Micros, Request as DecisionRequest, RequestId, Settings, ShardId, VolumeId};
use http1::Request;
use profile::Service;

/// Maximum length of a request id or idempotency key, in bytes.
const MAX_ID_LENGTH: usize = 128;

/// Why a request is rejected before it reaches the decision module. The status never tells the client that a
/// repeat is harmless.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The path is not of the form `/CLASS/VOLUME/OBJECT`.
    #[error("the path must be /CLASS/VOLUME/OBJECT, with 16 hexadecimal digits each for volume and object")]
    Path,
    /// The method is not allowed for the class.
    #[error("this class takes GET without a body where it reads, PUT where it writes")]
    Method,
    /// The class is missing or unknown, or path and header name different ones.
    #[error("X-Priority-Class must name a class of the settings, the same as the path")]
    Class,
    /// The plan is missing or unknown.
    #[error("X-Plan must name a plan of the settings")]
    Plan,
    /// The id is missing, repeated or can't be forwarded.
    #[error("X-Request-ID must be given once, as up to 128 visible characters")]
    Id,
    /// Another open request has the same id.
    #[error("a request with this X-Request-ID is open")]
    IdOpen,
    /// A request with this id was sent to a node before its client left, and may have run.
    #[error("a request with this X-Request-ID was sent on before its client left")]
    IdDeparted,
    /// The idempotency key is missing on a class that requires one, or can't be forwarded.
    #[error("Idempotency-Key must be given once on this class, as up to 128 visible characters")]
    Key,
    /// The timeout is not a positive whole number of milliseconds.
    #[error("X-Timeout-Ms must be a whole number of milliseconds above 0")]
    Timeout,
    /// Size, shard or hosts are missing or out of range.
    #[error("X-IO must be units=N,shard=N,hosts=N within the settings")]
    IoHeader,
}

impl Rejection {
    /// Returns the HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Rejection::Path => 404,
            Rejection::Method => 405,
            Rejection::IdOpen | Rejection::IdDeparted => 409,
            _ => 400,
        }
    }
}

/// A request that passed all checks.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// The request as the decision module takes it; the dispatcher assigns its id.
    pub request: DecisionRequest,
    /// The client's id for the request.
    pub id: String,
    /// The idempotency key.
    pub key: Option<String>,
    /// HTTP method.
    pub method: String,
    /// Path and query of the request.
    pub target: String,
    /// Request body.
    pub body: Bytes,
    /// The client keeps its connection open after the response.
    pub keep: bool,
}

impl AdmittedRequest {
    /// Encodes the request for a storage node, without its body. `wait`: how long this gateway will wait for
    /// the response.
    pub fn forward_head(&self, host: &str, wait: Micros) -> Bytes {
        self.encode(host, wait, |method, target, fields| {
            http1::encode_request_head(method, target, fields, self.body.len())
        })
    }

    /// Encodes the request for a storage node. `wait`: how long this gateway will wait for the response.
    pub fn forward(&self, host: &str, wait: Micros) -> Bytes {
        self.encode(host, wait, |method, target, fields| {
            http1::encode_request(method, target, fields, &self.body)
        })
    }

    fn encode(
        &self,
        host: &str,
        wait: Micros,
        encode: impl FnOnce(&str, &str, &[(&str, &str)]) -> Bytes,
    ) -> Bytes {
        let wait = (wait / 1000).max(1).to_string();
        let mut fields =
            vec![("Host", host), ("X-Request-ID", self.id.as_str()), ("X-Timeout-Ms", wait.as_str())];
        fields.extend(self.key.as_deref().map(|key| ("Idempotency-Key", key)));
        encode(&self.method, &self.target, &fields)
    }
}

/// Checks a request against the settings. `waited`: time since its last byte arrived.
///
/// # Errors
/// The request can't be admitted; the client gets the rejection.
pub fn admit(
    request: Request,
    service: &Service,
    settings: &Settings,
    waited: Micros,
) -> Result<AdmittedRequest, Rejection> {
    let fields = &request.fields;
    let path = request.target.split('?').next().unwrap_or_default();
    let mut parts = path.strip_prefix('/').ok_or(Rejection::Path)?.split('/');
    let (Some(class), Some(volume), Some(object), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(Rejection::Path);
    };
    let (volume, object) = (parse_hex(volume)?, parse_hex(object)?);
    let header_class =
        field_text(fields.unique("x-priority-class"), Rejection::Class)?.ok_or(Rejection::Class)?;
    let index = service.classes.iter().position(|c| c.name == class).ok_or(Rejection::Class)?;
    if header_class != class {
        return Err(Rejection::Class);
    }
    let rules = &service.classes[index];
    let is_valid = match request.method.as_str() {
        "PUT" => rules.writes,
        "GET" => !rules.writes && request.body.is_empty(),
        _ => false,
    };
    if !is_valid {
        return Err(Rejection::Method);
    }
    let plan = field_text(fields.unique("x-plan"), Rejection::Plan)?.ok_or(Rejection::Plan)?;
    let plan = service.plans.iter().position(|p| p == plan).ok_or(Rejection::Plan)?;
    let id = visible_text(
        field_text(fields.unique("x-request-id"), Rejection::Id)?.ok_or(Rejection::Id)?,
        Rejection::Id,
    )?;
    let key = field_text(fields.unique("idempotency-key"), Rejection::Key)?;
    let key = key.map(|k| visible_text(k, Rejection::Key)).transpose()?;
    if rules.keyed && key.is_none() {
        return Err(Rejection::Key);
    }
    let timeout = field_text(fields.unique("x-timeout-ms"), Rejection::Timeout)?.ok_or(Rejection::Timeout)?;
    let timeout = parse_number(timeout).filter(|&ms| ms > 0).ok_or(Rejection::Timeout)?;
    // No client waits longer than the longest configured deadline, so a longer stated timeout holds nothing
    // beyond that.
    let timeout_us = if service.longest_deadline > 0 {
        (timeout.saturating_mul(1000)).min(service.longest_deadline)
    } else {
        timeout * 1000
    };
    let io_header = field_text(fields.unique("x-io"), Rejection::IoHeader)?.ok_or(Rejection::IoHeader)?;
    let (units, shard, hosts) = parse_io_header(io_header, service, settings).ok_or(Rejection::IoHeader)?;
    let retry = field_text(fields.unique("x-retried"), Rejection::IoHeader)? == Some("1");
    let request_for_decisions = DecisionRequest {
        id: RequestId(0),
        class: index,
        plan,
        volume: VolumeId(volume),
        key: Some(KeyId(object)),
        shard,
        units,
        hosts,
        timeout: (timeout_us - waited).max(0),
        is_retry: retry,
        // A connection doesn't identify a client: the platform's clients come back on other connections.
        client: None,
    };
    Ok(AdmittedRequest {
        request: request_for_decisions,
        id,
        key,
        method: request.method,
        target: request.target,
        body: request.body,
        keep: request.keep_alive,
    })
}

fn parse_hex(text: &str) -> Result<u64, Rejection> {
    if text.len() != 16 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Rejection::Path);
    }
    u64::from_str_radix(text, 16).map_err(|_| Rejection::Path)
}

fn field_text(
    value: Result<Option<&[u8]>, http1::RepeatedField>,
    rejection: Rejection,
) -> Result<Option<&str>, Rejection> {
    let value = value.map_err(|_| rejection)?;
    value.map(|v| std::str::from_utf8(v).map(str::trim).map_err(|_| rejection)).transpose()
}

fn visible_text(text: &str, rejection: Rejection) -> Result<String, Rejection> {
    let is_valid = (1..=MAX_ID_LENGTH).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
    if is_valid { Ok(text.to_owned()) } else { Err(rejection) }
}

/// Parses an unsigned whole number of at most 12 digits.
fn parse_number(text: &str) -> Option<i64> {
    let is_valid = (1..=12).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    is_valid.then(|| text.parse().ok()).flatten()
}

/// Parses units, shard and hosts. Unknown fields are ignored.
fn parse_io_header(
    text: &str,
    service: &Service,
    settings: &Settings,
) -> Option<(f64, Option<ShardId>, u32)> {
    let (mut units, mut shard, mut hosts) = (None, None, None);
    for item in text.split(',') {
        let (name, value) = item.trim().split_once('=')?;
        let slot = match name {
            "units" => &mut units,
            "shard" => &mut shard,
            "hosts" => &mut hosts,
            _ => continue,
        };
        if slot.replace(value).is_some() {
            return None;
        }
    }
    let units: f64 = units?.parse().ok()?;
    if !units.is_finite() || units <= 0.0 || units > settings.max_request_units.max(1.0) {
        return None;
    }
    let shard = match shard? {
        "-1" => None,
        number => Some(u32::try_from(parse_number(number)?).ok()?),
    };
    if shard.is_some_and(|s| service.shards.is_some_and(|most| s >= most)) {
        return None;
    }
    let hosts = u32::try_from(parse_number(hosts?)?).ok().filter(|&h| h > 0)?;
    Some((units, shard.map(ShardId), hosts))
}
