//! A steward for each shard, to be measured beside what was built: one gateway, drawn by rendezvous hashing over the configured
//! members, holds the whole account and leases rights out. It is the same one in all views, as two would double the rights; so
//! while it is cut off or starts anew its shard has none.

use std::collections::BTreeMap;

use peer::Life;
use repeats::account::Account;
use repeats::lending::Lending;
use repeats::message::{Fact, Word};
use repeats::{Allowance, CapOptions, Input, Micros, Output, RECOVERING_FREE, RIGHT};

use super::gate::name;

struct Post {
    steward: usize,
    account: Account,
    need: u64,
    recovers: bool,
    served: u32,
    allowed: Option<u32>,
}

pub struct Steward {
    index: usize,
    options: CapOptions,
    posts: BTreeMap<u32, Post>,
    lending: Lending,
    next: Micros,
    even: BTreeMap<u32, u64>,
}

/// Rendezvous hashing: the member whose hash with the shard is highest.
fn steward_of(shard: u32, members: usize) -> usize {
    (0..members).max_by_key(|&m| repeats::key_of(shard, m as u64, 0, 0)).unwrap_or(0)
}

impl Steward {
    pub fn new(index: usize, options: CapOptions, life: Life, now: Micros) -> Self {
        let terms = options.terms();
        let mut even = BTreeMap::new();
        let posts = options.shards.iter().map(|&shard| {
            let steward = steward_of(shard, options.members);
            let part = if steward == index { (options.free * RIGHT as f64) as u64 } else { 0 };
            even.insert(shard, part);
            let account = Account::new(terms, part, now);
            (shard, Post { steward, account, need: 0, recovers: false, served: 0, allowed: None })
        });
        let posts = posts.collect();
        let lending = Lending::new(terms, life, options.members, None);
        Steward { index, options, posts, lending, next: now, even }
    }

    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let share = |post: &Post, o: &CapOptions| if post.recovers { o.recovering_share } else { o.share };
        match input {
            Input::Sent { shard, further: true } => {
                if let Some(post) = self.posts.get_mut(&shard) {
                    post.account.spend(now, RIGHT);
                    post.need += 1;
                    post.allowed = post.allowed.map(|a| a.saturating_sub(1));
                }
            }
            Input::Ended { shard, served: true, .. } => {
                if let Some(post) = self.posts.get_mut(&shard) {
                    post.served += 1;
                    if post.steward == self.index {
                        post.account.earn(now, (share(post, &self.options) * RIGHT as f64) as u64);
                    }
                }
            }
            Input::Wanted { shard, .. } => {
                if let Some(post) = self.posts.get_mut(&shard) {
                    post.need += 1;
                }
            }
            Input::Recovers { shard, on } => {
                if let Some(post) = self.posts.get_mut(&shard) {
                    post.recovers = on;
                    let part = self.even.get(&shard).copied().unwrap_or(0) as f64;
                    post.account.set_even(if on { (part * RECOVERING_FREE) as u64 } else { part as u64 });
                }
            }
            Input::Heard { from, body, .. } => {
                let Ok(word) = Word::read(&body) else { return };
                for want in &word.wants {
                    let Some(post) = want.shard.and_then(|s| self.posts.get_mut(&s)) else { continue };
                    let fact = word.facts.iter().find(|f| Some(f.shard) == want.shard);
                    let more = fact.map_or(0, |f| f.served);
                    let each = (share(post, &self.options) * RIGHT as f64) as u64;
                    if post.steward != self.index {
                        continue;
                    }
                    // What was served since the last report: one that is lost loses rights, one that is late earns late.
                    if self.lending.is_new(&from, want) {
                        post.account.earn(now, each * u64::from(more));
                        let grant =
                            self.lending.give(now, want, want.amount, 0, post.recovers, &mut post.account);
                        let word = Word { grants: grant.into_iter().collect(), ..Word::default() };
                        out.push(Output::Send { to: from.clone(), body: peer::wire::encode(&word) });
                    }
                }
                for grant in &word.grants {
                    if let Some(post) = grant.shard.and_then(|s| self.posts.get_mut(&s)) {
                        let _ = self.lending.take(now, &from, grant, &mut post.account);
                    }
                }
            }
            _ => {}
        }
        if now >= self.next {
            self.next = now + self.options.window / 20;
            self.ask(now, out);
        }
        for (&shard, post) in &mut self.posts {
            post.account.settle(now);
            let target = (post.account.left() / RIGHT) as u32;
            if post.allowed != Some(target) {
                post.allowed = Some(target);
                let come_back = self.options.warming;
                out.push(Output::Allow(Allowance { shard, further: target, come_back }));
            }
        }
    }

    /// Reports and asks in one note.
    fn ask(&mut self, now: Micros, out: &mut Vec<Output>) {
        for (&shard, post) in &mut self.posts {
            let amount = Lending::amount(post.need, post.account.left());
            post.need = 0;
            if post.steward != self.index {
                let to = name(post.steward);
                let want = self.lending.ask(now, Some(shard), amount, 1.0, std::slice::from_ref(&to));
                let served = std::mem::take(&mut post.served);
                let fact = Fact { shard, seen: false, served, bad: 0 };
                let word = Word { wants: vec![want], facts: vec![fact], ..Word::default() };
                out.push(Output::Send { to, body: peer::wire::encode(&word) });
            }
        }
    }
}
