//! A client's request as the module takes it, and as storage nodes get it.

use bytes::Bytes;
use decisions::{KeyId, Micros, Request as ModuleRequest, RequestId, Settings, ShardId, VolumeId};
use http1::Request;
use profile::Service;

/// Bytes of an id at most.
const ID: usize = 128;

/// Why a request is turned down before the module hears of it. Never with an answer that promises a harmless repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Rejection {
    /// The path is not one of a request.
    #[error("the path must be /CLASS/VOLUME/OBJECT, with 16 hexadecimal digits each for volume and object")]
    Path,
    /// The method does not fit the class.
    #[error("this class takes GET without a body where it reads, PUT where it writes")]
    Method,
    /// No such class, or path and header name different ones.
    #[error("X-Priority-Class must name a class of the settings, the same as the path")]
    Class,
    /// No such plan.
    #[error("X-Plan must name a plan of the settings")]
    Plan,
    /// No id, more than one, or one that cannot be passed on.
    #[error("X-Request-ID must be given once, as up to 128 visible characters")]
    Id,
    /// The id of a request that is open.
    #[error("a request with this X-Request-ID is open")]
    IdOpen,
    /// No key on a class that needs one, or one that cannot be passed on.
    #[error("Idempotency-Key must be given once on this class, as up to 128 visible characters")]
    Key,
    /// Not a whole number of milliseconds.
    #[error("X-Timeout-Ms must be a whole number of milliseconds above 0")]
    Timeout,
    /// Size, shard or hosts are wrong.
    #[error("X-IO must be units=N,shard=N,hosts=N within the settings")]
    Extras,
}

impl Rejection {
    /// The status that tells a client.
    pub fn status(self) -> u16 {
        match self {
            Rejection::Path => 404,
            Rejection::Method => 405,
            Rejection::IdOpen => 409,
            _ => 400,
        }
    }
}

/// A request that is fit to be taken.
#[derive(Clone, Debug)]
pub struct Ask {
    /// As the module takes it; its id is given by the dispatcher.
    pub request: ModuleRequest,
    /// The client's id for it.
    pub id: String,
    /// Its idempotency key.
    pub key: Option<String>,
    /// Method.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Body.
    pub body: Bytes,
    /// The client keeps its connection.
    pub keep: bool,
}

impl Ask {
    /// The request as a storage node gets it. `wait`: how long this gateway will wait.
    pub fn forward(&self, host: &str, wait: Micros) -> Bytes {
        let wait = (wait / 1000).max(1).to_string();
        let mut fields =
            vec![("Host", host), ("X-Request-ID", self.id.as_str()), ("X-Timeout-Ms", wait.as_str())];
        fields.extend(self.key.as_deref().map(|key| ("Idempotency-Key", key)));
        http1::request(&self.method, &self.target, &fields, &self.body)
    }
}

/// Holds a request against the settings. `waited`: time since its last byte came.
///
/// # Errors
/// It cannot be taken; the client is to be told.
pub fn admit(
    request: Request,
    service: &Service,
    settings: &Settings,
    waited: Micros,
) -> Result<Ask, Rejection> {
    let fields = &request.fields;
    let path = request.target.split('?').next().unwrap_or_default();
    let mut parts = path.strip_prefix('/').ok_or(Rejection::Path)?.split('/');
    let (Some(class), Some(volume), Some(object), None) =
        (parts.next(), parts.next(), parts.next(), parts.next())
    else {
        return Err(Rejection::Path);
    };
    let (volume, object) = (hex(volume)?, hex(object)?);
    let named = text(fields.only("x-priority-class"), Rejection::Class)?.ok_or(Rejection::Class)?;
    let index = service.classes.iter().position(|c| c.name == class).ok_or(Rejection::Class)?;
    if named != class {
        return Err(Rejection::Class);
    }
    let rules = &service.classes[index];
    let fits = match request.method.as_str() {
        "PUT" => rules.writes,
        "GET" => !rules.writes && request.body.is_empty(),
        _ => false,
    };
    if !fits {
        return Err(Rejection::Method);
    }
    let plan = text(fields.only("x-plan"), Rejection::Plan)?.ok_or(Rejection::Plan)?;
    let plan = service.plans.iter().position(|p| p == plan).ok_or(Rejection::Plan)?;
    let id = visible(text(fields.only("x-request-id"), Rejection::Id)?.ok_or(Rejection::Id)?, Rejection::Id)?;
    let key = text(fields.only("idempotency-key"), Rejection::Key)?;
    let key = key.map(|k| visible(k, Rejection::Key)).transpose()?;
    if rules.keyed && key.is_none() {
        return Err(Rejection::Key);
    }
    let timeout = text(fields.only("x-timeout-ms"), Rejection::Timeout)?.ok_or(Rejection::Timeout)?;
    let timeout = whole(timeout).filter(|&ms| ms > 0).ok_or(Rejection::Timeout)?;
    // Nobody waits longer than the longest deadline there is: no more is held for a client that says so.
    let stated = if service.longest > 0 {
        (timeout.saturating_mul(1000)).min(service.longest)
    } else {
        timeout * 1000
    };
    let extras = text(fields.only("x-io"), Rejection::Extras)?.ok_or(Rejection::Extras)?;
    let (units, shard, hosts) = extras_of(extras, service, settings).ok_or(Rejection::Extras)?;
    let retry = text(fields.only("x-retried"), Rejection::Extras)? == Some("1");
    let ask = ModuleRequest {
        id: RequestId(0),
        class: index,
        plan,
        volume: VolumeId(volume),
        key: Some(KeyId(object)),
        shard,
        units,
        hosts,
        timeout: (stated - waited).max(0),
        is_retry: retry,
        // A connection is no client: the platform's clients come again on another one.
        client: None,
    };
    Ok(Ask {
        request: ask,
        id,
        key,
        method: request.method,
        target: request.target,
        body: request.body,
        keep: request.keep,
    })
}

fn hex(text: &str) -> Result<u64, Rejection> {
    if text.len() != 16 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Err(Rejection::Path);
    }
    u64::from_str_radix(text, 16).map_err(|_| Rejection::Path)
}

fn text(value: Result<Option<&[u8]>, http1::Repeated>, wrong: Rejection) -> Result<Option<&str>, Rejection> {
    let value = value.map_err(|_| wrong)?;
    value.map(|v| std::str::from_utf8(v).map(str::trim).map_err(|_| wrong)).transpose()
}

fn visible(text: &str, wrong: Rejection) -> Result<String, Rejection> {
    let fits = (1..=ID).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic());
    if fits { Ok(text.to_owned()) } else { Err(wrong) }
}

/// A whole number without a sign, of at most 12 digits.
fn whole(text: &str) -> Option<i64> {
    let fits = (1..=12).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_digit());
    fits.then(|| text.parse().ok()).flatten()
}

/// Units, shard and hosts. Fields that are not known are passed over.
fn extras_of(text: &str, service: &Service, settings: &Settings) -> Option<(f64, Option<ShardId>, u32)> {
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
        number => Some(u32::try_from(whole(number)?).ok()?),
    };
    if shard.is_some_and(|s| service.shards.is_some_and(|most| s >= most)) {
        return None;
    }
    let hosts = u32::try_from(whole(hosts?)?).ok().filter(|&h| h > 0)?;
    Some((units, shard.map(ShardId), hosts))
}
