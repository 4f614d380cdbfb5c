//! Assignment of fleet-wide tokens to shards: the scheduler's allowances compared with the account, and
//! how soon a shard without tokens receives some.

use std::collections::BTreeMap;

use peer::{Incarnation, Life, Nonce, PeerName};
use repeats::message::{CapMessage, LeaseGrant};
use repeats::{Allowances, Cap, CapOptions, Input, Micros, ONE_TOKEN, Output};

const SECOND: Micros = 1_000_000;
const LIFE: Life = Life { incarnation: Incarnation(1), nonce: Nonce(1) };

/// A cap, the scheduler's own count, and the notifications between them.
struct Gateway {
    cap: Cap,
    allowances: Allowances,
    scheduler: BTreeMap<u32, u32>,
    outgoing: Vec<(PeerName, Vec<u8>)>,
    now: Micros,
}

impl Gateway {
    fn new(options: CapOptions) -> Self {
        let cap = Cap::new(options, LIFE, 0, 1);
        let (allowances, scheduler, outgoing) = (Allowances::default(), BTreeMap::new(), Vec::new());
        let mut gateway = Gateway { cap, allowances, scheduler, outgoing, now: 0 };
        gateway.handle_input(Input::Tick);
        gateway.notify();
        gateway
    }

    fn handle_input(&mut self, input: Input) {
        let mut out = Vec::new();
        self.cap.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Allow(allowance) => self.allowances.set(allowance),
                Output::Send { to, body } => self.outgoing.push((to, body)),
                _ => {}
            }
        }
    }

    fn notify(&mut self) {
        while let Some(allowance) = self.allowances.next_notification() {
            self.scheduler.insert(allowance.shard, allowance.retries);
        }
    }

    /// The scheduler sends a batch within its allowances; the cap then counts it attempt by attempt, and
    /// only after that is the scheduler notified.
    fn send_batch(&mut self, sends: &[u32]) {
        let may = |scheduler: &mut BTreeMap<u32, u32>, shard: u32| {
            let left = scheduler.get_mut(&shard).filter(|left| **left > 0)?;
            *left -= 1;
            Some(shard)
        };
        let sends: Vec<u32> = sends.iter().filter_map(|&shard| may(&mut self.scheduler, shard)).collect();
        for shard in sends {
            self.allowances.spend(shard);
            self.handle_input(Input::AttemptSent { shard, is_retry: true });
        }
        self.notify();
    }

    fn served(&mut self, shard: u32, times: u32) {
        (0..times)
            .for_each(|_| self.handle_input(Input::AttemptEnded { shard, served: true, refused: false }));
        self.notify();
    }

    fn advance(&mut self, time: Micros) {
        let end = self.now + time;
        while self.cap.next_due() <= end {
            self.now = self.now.max(self.cap.next_due());
            self.handle_input(Input::Tick);
            self.notify();
        }
        self.now = end;
    }

    fn left(&self, shard: Option<u32>) -> u32 {
        self.cap
            .snapshot(self.now)
            .iter()
            .find(|snapshot| snapshot.shard == shard)
            .map_or(0, |snapshot| snapshot.available as u32)
    }

    fn total_allowed(&self) -> u32 {
        self.scheduler.values().sum()
    }
}

fn options(shards: Vec<u32>, fleet_free: f64) -> CapOptions {
    CapOptions { fleet_free, ..CapOptions::new(PeerName("g0".into()), 1, shards) }
}

/// Guards against tokens that are assigned twice: a shard sends with its last token, and the tokens
/// reassigned to it are those that the other shard's attempts in the same batch have used.
#[test]
fn a_batch_to_two_shards_leaves_allowances_within_the_account() {
    let mut gateway = Gateway::new(options(vec![1, 2], 4.0));
    gateway.advance(2 * SECOND);
    let mut violations = Vec::new();
    for first in 0..=4_usize {
        let mut gateway = Gateway {
            cap: gateway.cap.clone(),
            allowances: gateway.allowances.clone(),
            scheduler: gateway.scheduler.clone(),
            outgoing: Vec::new(),
            now: gateway.now,
        };
        gateway.handle_input(Input::RetriesWaiting { shard: 1, waiting: 8, worth: 9.0 });
        gateway.notify();
        let before = (gateway.scheduler.clone(), gateway.left(None));
        let mut sends = vec![1; first];
        sends.extend([2; 4]);
        gateway.send_batch(&sends);
        let (total_allowed, left) = (gateway.total_allowed(), gateway.left(None));
        if total_allowed > left {
            violations.push((first, before, gateway.scheduler.clone(), left));
        }
    }
    assert!(
        violations.is_empty(),
        "attempts to shard 1 first, allowed and available before, allowed and available after: {violations:?}"
    );
}

/// The same over random runs: batches to three shards with pauses between them.
#[test]
fn random_batches_leave_allowances_within_the_account() {
    // Runs in which allowances exceeded the account, the largest excess after a batch, and the largest
    // after a pause.
    let (mut worst_after_batch, mut violating_runs, mut worst_after_pause) = (0, 0, 0);
    for seed in 0..400_u64 {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut random = move |n: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % n
        };
        let mut gateway = Gateway::new(options(vec![1, 2, 3], 6.0));
        gateway.advance(2 * SECOND);
        let mut worst_in_run = 0;
        for _ in 0..60 {
            let shard = 1 + random(3) as u32;
            gateway.served(shard, random(30) as u32);
            let waiting = random(6) as u32;
            gateway.handle_input(Input::RetriesWaiting { shard: 1 + random(3) as u32, waiting, worth: 1.0 });
            gateway.notify();
            let sends: Vec<u32> = (0..random(8)).map(|_| 1 + random(3) as u32).collect();
            gateway.send_batch(&sends);
            worst_in_run = worst_in_run.max(gateway.total_allowed().saturating_sub(gateway.left(None)));
            gateway.advance(1 + random(20_000) as Micros);
            worst_after_pause =
                worst_after_pause.max(gateway.total_allowed().saturating_sub(gateway.left(None)));
        }
        violating_runs += u32::from(worst_in_run > 0);
        worst_after_batch = worst_after_batch.max(worst_in_run);
    }
    assert_eq!((violating_runs, worst_after_batch, worst_after_pause), (0, 0, 0));
}

/// Guards against a fleet-wide token that stays unassigned while a shard with tokens of its own lacks
/// one, because a shard of higher worth has none of its own.
#[test]
fn unassigned_tokens_reach_a_waiting_shard() {
    let mut gateway = Gateway::new(CapOptions { fleet_share: 0.0, ..options(vec![1, 2], 4.0) });
    gateway.advance(2 * SECOND);
    // Shard 1 spends its own four tokens, and all fleet-wide ones with them.
    while gateway.scheduler[&1] > 0 {
        gateway.send_batch(&[1]);
        gateway.advance(16_000);
    }
    gateway.handle_input(Input::RetriesWaiting { shard: 1, waiting: 60, worth: 1e6 });
    gateway.handle_input(Input::RetriesWaiting { shard: 2, waiting: 1, worth: 1.0 });
    gateway.notify();
    let (mut longest, mut since) = (0, None::<Micros>);
    let end = gateway.now + 3 * SECOND;
    while gateway.now < end {
        gateway.advance(1_000);
        let is_short = gateway.left(None) > 0 && gateway.left(Some(2)) > 0 && gateway.scheduler[&2] == 0;
        since = since.filter(|_| is_short).or(is_short.then_some(gateway.now));
        longest = longest.max(since.map_or(0, |since| gateway.now - since));
        if gateway.scheduler[&1] > 0 {
            gateway.send_batch(&[1]);
            gateway.handle_input(Input::RetriesWaiting { shard: 1, waiting: 60, worth: 1e6 });
        }
    }
    assert!(longest <= 16_000, "shard 2 was allowed nothing for {longest} us with tokens available");
}

/// Guards against a borrowed token that stays unused until the end of the slice, when half of its
/// lifetime is over.
#[test]
fn a_borrowed_token_is_reported_on_arrival() {
    let peer = PeerName("g1".into());
    let mut gateway = Gateway::new(CapOptions {
        members: 2,
        free: 2.0,
        share: 0.0,
        recovering_share: 0.0,
        ..options(vec![1, 2], 16.0)
    });
    gateway.handle_input(Input::PeersChanged(vec![peer.clone()]));
    gateway.advance(2 * SECOND + 1_000);
    gateway.send_batch(&[1]);
    gateway.handle_input(Input::RetriesWaiting { shard: 1, waiting: 3, worth: 1.0 });
    gateway.notify();
    let mut request = None;
    for _ in 0..40 {
        gateway.advance(1_000);
        let messages = std::mem::take(&mut gateway.outgoing)
            .into_iter()
            .filter_map(|(_, body)| CapMessage::decode(&body).ok());
        request = messages.flat_map(|w| w.wants).find(|w| w.shard == Some(1));
        if request.is_some() {
            break;
        }
    }
    let request = request.expect("a lease request");
    let grant = LeaseGrant {
        number: request.number,
        shard: Some(1),
        parts: vec![(2 * ONE_TOKEN, 125_000)],
        life: request.life,
        recovering: false,
    };
    let body = peer::wire::encode(&CapMessage { grants: vec![grant], ..CapMessage::default() });
    let life = Life { incarnation: Incarnation(1), nonce: Nonce(2) };
    gateway.handle_input(Input::MessageReceived { from: peer, life, body });
    gateway.notify();
    let came = gateway.now;
    while gateway.scheduler[&1] == 0 && gateway.now < came + SECOND {
        gateway.advance(500);
    }
    let late = gateway.now - came;
    assert!(
        late <= 500,
        "reported {late} us after its arrival: {} of its own available, {} fleet-wide",
        gateway.left(Some(1)),
        gateway.left(None)
    );
}

/// The same where the shard of higher worth has spent its own tokens and others earn fleet-wide ones:
/// the waiting shard was passed over in every slice.
#[test]
fn a_waiting_shard_is_not_passed_over_for_one_without_tokens() {
    let mut gateway = Gateway::new(options(vec![1, 2, 3], 4.0));
    gateway.advance(2 * SECOND);
    gateway.send_batch(&[1]);
    gateway.advance(20_000);
    while gateway.left(None) > 0 {
        gateway.handle_input(Input::RetriesWaiting { shard: 1, waiting: 64, worth: 1.0 });
        gateway.notify();
        gateway.send_batch(&[1, 1, 1, 1]);
        gateway.advance(20_000);
    }
    assert_eq!((gateway.left(None), gateway.left(Some(1)), gateway.left(Some(2))), (0, 0, 4));
    gateway.handle_input(Input::RetriesWaiting { shard: 2, waiting: 1, worth: 1.0 });
    gateway.notify();
    let began = gateway.now;
    while gateway.scheduler[&2] == 0 && gateway.now < began + 600_000 {
        gateway.served(3, 5);
        gateway.advance(5_000);
    }
    let waited = gateway.now - began;
    let (own, all) = (gateway.left(Some(2)), gateway.left(None));
    assert!(
        waited <= 40_000,
        "it waited {waited} us with {own} tokens of its own and {all} fleet-wide ones available"
    );
}
