//! What the cap on repeats costs each gateway, by members and by shards.

use peer::PeerName;
use repeats::message::{CapMessage, LeaseRequest, ShardObservation};
use repeats::{Cap, CapOptions, Input, ONE_TOKEN};

use crate::coming::{CONTROL_BYTES, GATEWAYS, NODES, REQUESTS, SHARD_NODES};
use crate::{Ask, MeasureError, Role, Row};

use super::notes::{Company, Counted, LIFE, STEPS, Unserved, name, options};
use super::timing::{median, micros, sizes, timed_many};

const MEMBERS: [usize; 4] = [10, 40, 160, 640];
pub(super) const SHARDS: [usize; 4] = [30, 300, 2_100, 7_000];
/// Shards of a cap where members are counted.
const FEW_SHARDS: u32 = 30;
/// One request of so many ends unserved where nothing is in trouble.
const ONE_IN: u32 = 100;
/// A part of what nodes bear is asked of them: what is left bounds the free sends.
const LOAD: f64 = 0.6;
/// `share` by default.
const SHARE: f64 = 0.1;
/// Windows that are timed.
const WINDOWS: usize = 5;

/// What one shard bears of sends beyond its first ones in a window, by the rule of docs/fleet/cap.md.
fn free() -> f64 {
    let load = f64::from(REQUESTS) * (GATEWAYS * SHARD_NODES) as f64 / NODES as f64;
    (load / LOAD - load - SHARE * load).floor()
}

/// A window in which these end unserved, after one and a quarter in which all are served (a new life has no rights for so long) and a
/// half in which that began.
fn window(members: usize, unserved: Unserved, seed: u64) -> Counted {
    let mut company = Company::new(members, FEW_SHARDS, seed);
    (0..STEPS + STEPS / 4).for_each(|_| company.step());
    company.unserved = unserved;
    (0..STEPS / 2).for_each(|_| company.step());
    company.count_anew();
    (0..STEPS).for_each(|_| company.step());
    company.count_anew()
}

/// Gateways that have one whole right of the even part between them, with as many free sends as one shard bears.
fn for_one_right(members: usize, seed: u64) -> f64 {
    let options = CapOptions { free: free(), ..options(0, members, 1) };
    let durations = options.durations();
    let mut cap = Cap::new(options, LIFE, 0, seed);
    let (mut now, mut out) = (0, Vec::new());
    while now <= 2 * durations.empty_period() {
        now += durations.step;
        cap.handle(now, Input::Tick, &mut out);
    }
    let left = cap.snapshot(now).first().map_or(0.0, |look| look.available);
    1.0 / left
}

/// By members: notes out, what a tick and what hearing takes, and the even part.
pub(super) fn members(ask: &Ask) -> Result<Vec<Row>, MeasureError> {
    let mut points: [Vec<(f64, f64)>; 6] = Default::default();
    for &members in sizes(&MEMBERS, ask.look) {
        let usual = window(members, Unserved::OneIn(ONE_IN), ask.seed);
        let trouble = window(members, Unserved::ShardZero, ask.seed);
        let each = |sum: f64| sum / members as f64;
        let costs = [
            each(usual.bytes as f64),
            each(trouble.bytes as f64),
            median(usual.slices),
            each(micros(usual.heard)),
            each(micros(trouble.heard)),
            for_one_right(members, ask.seed),
        ];
        for (points, cost) in points.iter_mut().zip(costs) {
            points.push((members as f64, cost));
        }
    }
    let play = format!(
        "Package `repeats` in virtual time, defaults of its options (window 1 s), {FEW_SHARDS} shards, all members up and played, each with \
         {REQUESTS} requests a second drawn evenly over the shards; one window, after a half in which it was so."
    );
    let usual = format!("{play} One request of {ONE_IN} ends unserved, nothing is in trouble.");
    let trouble = format!(
        "{play} All requests to one shard end unserved; each is sent again if there is a right to it."
    );
    let even = format!(
        "A cap with `free` {}: what one shard bears beside its load (docs/fleet/cap.md: free / W + share x load < capacity - load), calculated \
         for {} requests a second at a shard of {SHARD_NODES} nodes that are loaded to {LOAD}, an assumption. What `Cap::snapshot` tells as left of a rested cap, and its \
         inverse. Beyond 1 no gateway has a whole right by its even part; rights are kept in {} parts, whole ones are allowed.",
        free(),
        (f64::from(REQUESTS) * (GATEWAYS * SHARD_NODES) as f64 / NODES as f64).round(),
        ONE_TOKEN
    );
    let row = |name, cost, points, budget, how: &str| Row {
        name,
        role: Role::GatewayControl,
        of: "members of the fleet",
        cost,
        points,
        at: GATEWAYS as f64,
        budget,
        how: how.to_owned(),
    };
    let [a, b, c, d, e, f] = points;
    let control = Some(CONTROL_BYTES);
    let notes = "bytes of notes out for each member and window of 1 s";
    let heard = "processor time of hearing peers' notes for each member and window of 1 s, us";
    Ok(vec![
        row("repeats_notes", notes, a, control, &usual),
        row("repeats_notes_trouble", notes, b, control, &trouble),
        row(
            "repeats_tick",
            "processor time of a tick that ends a slice and tells all peers, us",
            c,
            None,
            &usual,
        ),
        row("repeats_hearing", heard, d, None, &usual),
        row("repeats_hearing_trouble", heard, e, None, &trouble),
        row(
            "repeats_even",
            "gateways that have one right of the even part between them",
            f,
            Some(1.0),
            &even,
        ),
    ])
}

/// By shards: what the ticks of a second, a request and asking when it is due take.
pub(super) fn shards(ask: &Ask) -> Result<Vec<Row>, MeasureError> {
    let mut points: [Vec<(f64, f64)>; 3] = Default::default();
    for &shards in sizes(&SHARDS, ask.look) {
        let mut company = Company::alone(shards as u32, ask.seed);
        (0..2 * STEPS).for_each(|_| company.step());
        company.count_anew();
        let (mut ticks, mut requests, mut due) = (Vec::new(), Vec::new(), Vec::new());
        for _ in 0..WINDOWS {
            (0..STEPS).for_each(|_| company.step());
            let counted = company.count_anew();
            ticks.push(micros(counted.ticks));
            requests.push(micros(counted.events) / counted.requests as f64);
            for cap in company.caps() {
                due.push(timed_many(|| {
                    std::hint::black_box(cap.next_due());
                }));
            }
        }
        for (points, of) in points.iter_mut().zip([ticks, requests, due]) {
            points.push((shards as f64, median(of)));
        }
    }
    let row = |name, cost, points, what: &str| Row {
        name,
        role: Role::GatewayControl,
        of: "shards",
        cost,
        points,
        at: (NODES / SHARD_NODES) as f64,
        budget: None,
        how: format!(
            "Package `repeats` in virtual time, one member of 160, {REQUESTS} requests a second drawn evenly over the shards, all served at \
             their first send; median of {WINDOWS} windows of 1 s. {what}"
        ),
    };
    let [a, b, c] = points;
    Ok(vec![
        row(
            "repeats_shards_ticks",
            "processor time of the ticks of a second, us",
            a,
            "64 ticks, one for each of the cap's steps, 16 of which end a slice.",
        ),
        row(
            "repeats_shards_request",
            "processor time of one request, us",
            b,
            "Two events: sent, and ended served.",
        ),
        row(
            "repeats_shards_due",
            "processor time of asking when it is due, us",
            c,
            "One question of `next_due`, which the engine asks after each batch of messages.",
        ),
    ])
}

/// A cap of 30 shards that every peer has told of one shard in trouble and asked for rights to it.
pub(super) fn heard_from_all(members: usize, seed: u64) -> Cap {
    let options = options(0, members, FEW_SHARDS);
    let now = 2 * options.durations().empty_period();
    let mut cap = Cap::new(options, LIFE, 0, seed);
    let peers: Vec<PeerName> = (0..members).map(name).collect();
    let mut out = Vec::new();
    cap.handle(now, Input::PeersChanged(peers.clone()), &mut out);
    let want = LeaseRequest { number: 1, shard: Some(0), amount: ONE_TOKEN, worth: 1.0, life: LIFE };
    let fact = ShardObservation { shard: 0, seen: true, served: 0, bad: 8 };
    let body =
        peer::wire::encode(&CapMessage { wants: vec![want], facts: vec![fact], ..CapMessage::default() });
    for from in peers.into_iter().skip(1) {
        cap.handle(now, Input::MessageReceived { from, life: LIFE, body: body.clone() }, &mut out);
        out.clear();
    }
    cap
}
