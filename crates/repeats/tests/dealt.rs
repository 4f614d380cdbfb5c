//! Rights over all shards as they are dealt to shards: what the module holds against the account, and what reaches a shard that is short.

use std::collections::BTreeMap;

use peer::{Incarnation, Life, Nonce, PeerName};
use repeats::message::{Grant, Word};
use repeats::{Allowances, Cap, CapOptions, Input, Micros, Output, RIGHT};

const SECOND: Micros = 1_000_000;
const LIFE: Life = Life { incarnation: Incarnation(1), nonce: Nonce(1) };

/// A cap, the module's own count, and what lies between them.
struct Gateway {
    cap: Cap,
    allowances: Allowances,
    module: BTreeMap<u32, u32>,
    notes: Vec<(PeerName, Vec<u8>)>,
    now: Micros,
}

impl Gateway {
    fn new(options: CapOptions) -> Self {
        let cap = Cap::new(options, LIFE, 0, 1);
        let (allowances, module, notes) = (Allowances::default(), BTreeMap::new(), Vec::new());
        let mut gateway = Gateway { cap, allowances, module, notes, now: 0 };
        gateway.hand(Input::Tick);
        gateway.tell();
        gateway
    }

    fn hand(&mut self, input: Input) {
        let mut out = Vec::new();
        self.cap.handle(self.now, input, &mut out);
        for output in out {
            match output {
                Output::Allow(allowance) => self.allowances.say(allowance),
                Output::Send { to, body } => self.notes.push((to, body)),
                _ => {}
            }
        }
    }

    fn tell(&mut self) {
        while let Some(allowance) = self.allowances.next_untold() {
            self.module.insert(allowance.shard, allowance.further);
        }
    }

    /// The module sends a batch, as far as it may; the cap counts it send by send, and only then is the module told.
    fn batch(&mut self, sends: &[u32]) {
        let may = |module: &mut BTreeMap<u32, u32>, shard: u32| {
            let left = module.get_mut(&shard).filter(|left| **left > 0)?;
            *left -= 1;
            Some(shard)
        };
        let sends: Vec<u32> = sends.iter().filter_map(|&shard| may(&mut self.module, shard)).collect();
        for shard in sends {
            self.allowances.spend(shard);
            self.hand(Input::Sent { shard, further: true });
        }
        self.tell();
    }

    fn served(&mut self, shard: u32, times: u32) {
        (0..times).for_each(|_| self.hand(Input::Ended { shard, served: true, refused: false }));
        self.tell();
    }

    fn pass(&mut self, time: Micros) {
        let end = self.now + time;
        while self.cap.next_due() <= end {
            self.now = self.now.max(self.cap.next_due());
            self.hand(Input::Tick);
            self.tell();
        }
        self.now = end;
    }

    fn left(&self, shard: Option<u32>) -> u32 {
        self.cap.look(self.now).iter().find(|look| look.shard == shard).map_or(0, |look| look.left as u32)
    }

    fn held(&self) -> u32 {
        self.module.values().sum()
    }
}

fn options(shards: Vec<u32>, fleet_free: f64) -> CapOptions {
    CapOptions { fleet_free, ..CapOptions::new(PeerName("g0".into()), 1, shards) }
}

/// Guards against rights that are dealt twice: in one batch a shard sends its last, and what is dealt anew for it is what the other
/// shard's sends of the same batch have taken.
#[test]
fn a_batch_to_two_shards_leaves_no_more_than_the_account() {
    let mut gateway = Gateway::new(options(vec![1, 2], 4.0));
    gateway.pass(2 * SECOND);
    let mut beyond = Vec::new();
    for first in 0..=4_usize {
        let mut gateway = Gateway {
            cap: gateway.cap.clone(),
            allowances: gateway.allowances.clone(),
            module: gateway.module.clone(),
            notes: Vec::new(),
            now: gateway.now,
        };
        gateway.hand(Input::Waiting { shard: 1, waiting: 8, worth: 9.0 });
        gateway.tell();
        let before = (gateway.module.clone(), gateway.left(None));
        let mut sends = vec![1; first];
        sends.extend([2; 4]);
        gateway.batch(&sends);
        let (held, left) = (gateway.held(), gateway.left(None));
        if held > left {
            beyond.push((first, before, gateway.module.clone(), left));
        }
    }
    assert!(
        beyond.is_empty(),
        "sends to shard 1 first, told and left before, told and left after: {beyond:?}"
    );
}

/// The same over drawn plays: two shards, drawn batches, time between them.
#[test]
fn no_drawn_batch_leaves_more_than_the_account() {
    // Plays with rights beyond the account, the most at once after a batch, and after time passed.
    let (mut worst, mut plays, mut beyond_account) = (0, 0, 0);
    for seed in 0..400_u64 {
        let mut state = seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1;
        let mut roll = move |n: u64| {
            state ^= state << 13;
            state ^= state >> 7;
            state ^= state << 17;
            state % n
        };
        let mut gateway = Gateway::new(options(vec![1, 2, 3], 6.0));
        gateway.pass(2 * SECOND);
        let mut seen = 0;
        for _ in 0..60 {
            let shard = 1 + roll(3) as u32;
            gateway.served(shard, roll(30) as u32);
            let waiting = roll(6) as u32;
            gateway.hand(Input::Waiting { shard: 1 + roll(3) as u32, waiting, worth: 1.0 });
            gateway.tell();
            let sends: Vec<u32> = (0..roll(8)).map(|_| 1 + roll(3) as u32).collect();
            gateway.batch(&sends);
            seen = seen.max(gateway.held().saturating_sub(gateway.left(None)));
            gateway.pass(1 + roll(20_000) as Micros);
            beyond_account = beyond_account.max(gateway.held().saturating_sub(gateway.left(None)));
        }
        plays += u32::from(seen > 0);
        worst = worst.max(seen);
    }
    assert_eq!((plays, worst, beyond_account), (0, 0, 0));
}

/// Guards against a right over all shards that is dealt to none while a shard that has rights of its own is short of it: a dearer one
/// has none of its own.
#[test]
fn what_is_dealt_to_none_reaches_a_shard_that_waits() {
    let mut gateway = Gateway::new(CapOptions { fleet_share: 0.0, ..options(vec![1, 2], 4.0) });
    gateway.pass(2 * SECOND);
    // Shard 1 spends its own four, and with them all over all shards.
    while gateway.module[&1] > 0 {
        gateway.batch(&[1]);
        gateway.pass(16_000);
    }
    gateway.hand(Input::Waiting { shard: 1, waiting: 60, worth: 1e6 });
    gateway.hand(Input::Waiting { shard: 2, waiting: 1, worth: 1.0 });
    gateway.tell();
    let (mut longest, mut since) = (0, None::<Micros>);
    let end = gateway.now + 3 * SECOND;
    while gateway.now < end {
        gateway.pass(1_000);
        let is_short = gateway.left(None) > 0 && gateway.left(Some(2)) > 0 && gateway.module[&2] == 0;
        since = since.filter(|_| is_short).or(is_short.then_some(gateway.now));
        longest = longest.max(since.map_or(0, |since| gateway.now - since));
        if gateway.module[&1] > 0 {
            gateway.batch(&[1]);
            gateway.hand(Input::Waiting { shard: 1, waiting: 60, worth: 1e6 });
        }
    }
    assert!(longest <= 16_000, "shard 2 stood at nought for {longest} us with rights there");
}

/// Guards against a lent right that lies idle until the slice's end, when half of its life is over.
#[test]
fn a_lent_right_is_told_as_it_comes() {
    let peer = PeerName("g1".into());
    let mut gateway = Gateway::new(CapOptions {
        members: 2,
        free: 2.0,
        share: 0.0,
        recovering_share: 0.0,
        ..options(vec![1, 2], 16.0)
    });
    gateway.hand(Input::Peers(vec![peer.clone()]));
    gateway.pass(2 * SECOND + 1_000);
    gateway.batch(&[1]);
    gateway.hand(Input::Waiting { shard: 1, waiting: 3, worth: 1.0 });
    gateway.tell();
    let mut want = None;
    for _ in 0..40 {
        gateway.pass(1_000);
        let words =
            std::mem::take(&mut gateway.notes).into_iter().filter_map(|(_, body)| Word::read(&body).ok());
        want = words.flat_map(|w| w.wants).find(|w| w.shard == Some(1));
        if want.is_some() {
            break;
        }
    }
    let want = want.expect("it asks for what lacks");
    let grant = Grant {
        number: want.number,
        shard: Some(1),
        parts: vec![(2 * RIGHT, 125_000)],
        life: want.life,
        recovering: false,
    };
    let body = peer::wire::encode(&Word { grants: vec![grant], ..Word::default() });
    let life = Life { incarnation: Incarnation(1), nonce: Nonce(2) };
    gateway.hand(Input::Heard { from: peer, life, body });
    gateway.tell();
    let came = gateway.now;
    while gateway.module[&1] == 0 && gateway.now < came + SECOND {
        gateway.pass(500);
    }
    let late = gateway.now - came;
    assert!(
        late <= 500,
        "told {late} us after it came: left {} of its own, {} over all",
        gateway.left(Some(1)),
        gateway.left(None)
    );
}

/// The same where the dearer shard has spent its own and others earn over all shards: it is passed over in every slice.
#[test]
fn a_shard_that_waits_is_not_passed_over_for_one_without_rights_of_its_own() {
    let mut gateway = Gateway::new(options(vec![1, 2, 3], 4.0));
    gateway.pass(2 * SECOND);
    gateway.batch(&[1]);
    gateway.pass(20_000);
    while gateway.left(None) > 0 {
        gateway.hand(Input::Waiting { shard: 1, waiting: 64, worth: 1.0 });
        gateway.tell();
        gateway.batch(&[1, 1, 1, 1]);
        gateway.pass(20_000);
    }
    assert_eq!((gateway.left(None), gateway.left(Some(1)), gateway.left(Some(2))), (0, 0, 4));
    gateway.hand(Input::Waiting { shard: 2, waiting: 1, worth: 1.0 });
    gateway.tell();
    let began = gateway.now;
    while gateway.module[&2] == 0 && gateway.now < began + 600_000 {
        gateway.served(3, 5);
        gateway.pass(5_000);
    }
    let waited = gateway.now - began;
    let (own, all) = (gateway.left(Some(2)), gateway.left(None));
    assert!(
        waited <= 40_000,
        "it waited {waited} us, {own} rights of its own and {all} over all shards were there"
    );
}
