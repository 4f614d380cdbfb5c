//! What time and events do to a cap: rights fall due, states change, allowances follow.

use peer::Life;

use crate::Micros;
use crate::advice::Post;
use crate::cap::{Allowance, Cap, Output};
use crate::lending::Lending;
use crate::options::{RIGHT, SLICES, Way};

impl Cap {
    pub(crate) fn sent(&mut self, now: Micros, shard: u32, further: bool) {
        let Some(post) = self.posts.get_mut(&shard) else { return };
        if !further {
            return;
        }
        post.ward.tally().further += 1;
        post.account.spend(now, RIGHT);
        self.fleet.spend(now, RIGHT);
        // The module has counted it off, too.
        post.allowed = post.allowed.map(|a| a.saturating_sub(1));
        post.quota = post.quota.saturating_sub(1);
    }

    pub(crate) fn ended(&mut self, now: Micros, shard: u32, served: bool) {
        let Some(post) = self.posts.get_mut(&shard) else { return };
        if !served {
            post.ward.tally().bad += 1;
            return;
        }
        post.ward.tally().served += 1;
        if self.trial.way != Way::Even {
            let rights = |share: f64| (share * RIGHT as f64).floor() as u64;
            post.account.earn(now, rights(post.share(&self.options)));
            self.fleet.earn(now, rights(self.options.fleet_share));
        }
    }

    pub(crate) fn wanted(&mut self, now: Micros, shard: u32, worth: f64, left: Micros) {
        let Some(post) = self.posts.get_mut(&shard) else { return };
        post.held_back += 1;
        // What has no patience left for a loan to come in is refused whatever comes: it asks for nothing.
        if left < self.terms.step {
            return;
        }
        post.ward.tally().held += 1;
        if worth.is_finite() {
            post.worth = post.worth.max(worth);
        }
        post.dry_since.get_or_insert(now);
    }

    pub(crate) fn renew(&mut self, now: Micros, life: Life) {
        self.life = life;
        self.lending = Lending::new(self.terms, life, self.options.members, self.trial.plant);
        self.fleet = self.account(self.options.fleet_free, now);
        let empty = self.account(self.options.free, now);
        for post in self.posts.values_mut() {
            post.account = empty.clone();
        }
        self.set_parts();
        self.share_out();
    }

    /// The even parts, as the shards' states and the members are.
    pub(crate) fn set_parts(&mut self) {
        let parts: Vec<u64> = self.posts.values().map(|p| self.even(p.free(&self.options))).collect();
        let all = self.even(self.options.fleet_free);
        for (post, part) in self.posts.values_mut().zip(parts) {
            post.account.set_even(part);
        }
        self.fleet.set_even(all);
    }

    /// Brings all to `now`; true if a step has ended since the last time.
    pub(crate) fn advance(&mut self, now: Micros, out: &mut Vec<Output>) -> bool {
        if now < self.next_step {
            return false;
        }
        self.next_step = self.terms.next_step(now);
        self.fleet.settle(now);
        for post in self.posts.values_mut() {
            post.account.settle(now);
        }
        if now >= self.next_slice {
            let passed = 1 + (now - self.next_slice) / self.terms.slice;
            self.next_slice += passed * self.terms.slice;
            self.roll(now, usize::try_from(passed.min(SLICES)).unwrap_or(1), out);
            self.sketch.settle(now);
            self.heard_worth.clear();
            for post in self.posts.values_mut() {
                let of_late = post.ward.sum(2);
                if of_late.held > 0 {
                    // A new advice with each slice in which requests were refused.
                    post.draw(&self.options, &self.terms, &mut self.rng);
                    post.told = Micros::MIN;
                } else {
                    post.worth = 0.0;
                }
            }
            self.share_out();
            self.tell(now, out);
        }
        self.ask(now, out);
        true
    }

    /// Judges all shards, `passed` slices after the last time; what changes holds at once.
    pub(crate) fn roll(&mut self, now: Micros, passed: usize, out: &mut Vec<Output>) {
        let mut changed = false;
        for post in self.posts.values_mut() {
            let before = post.share(&self.options);
            if !post.ward.roll(now, passed) {
                continue;
            }
            changed = true;
            let after = post.share(&self.options);
            if after < before && before > 0.0 {
                post.account.narrow(after / before);
            }
            let (state, _, why) = post.ward.state();
            post.draw(&self.options, &self.terms, &mut self.rng);
            out.push(Output::Entered { shard: post.shard, state, why });
        }
        if changed {
            self.set_parts();
        }
    }

    /// Shares the whole rights over all shards out among the shards, by need and aged worth: what is allowed together is never
    /// more than there is.
    pub(crate) fn share_out(&mut self) {
        let (now, window) = (self.next_slice, self.options.window);
        let whole = self.fleet.left() / RIGHT;
        let weights: Vec<f64> =
            self.posts.values().map(|p| 0.1 + p.need() as f64 * p.aged(now, window)).collect();
        let sum: f64 = weights.iter().sum();
        let mut rest = whole;
        let mut dearest: Option<(f64, u32)> = None;
        for (post, weight) in self.posts.values_mut().zip(weights) {
            post.quota = u32::try_from((whole as f64 * weight / sum).floor() as u64).unwrap_or(u32::MAX);
            post.quota = post.quota.min(u32::try_from(rest).unwrap_or(u32::MAX));
            rest -= u64::from(post.quota);
            if dearest.is_none_or(|(w, _)| weight > w) {
                dearest = Some((weight, post.shard));
            }
        }
        if let Some(post) = dearest.and_then(|(_, shard)| self.posts.get_mut(&shard)) {
            post.quota = post.quota.saturating_add(u32::try_from(rest).unwrap_or(u32::MAX));
        }
    }

    /// Asks peers for what lacks.
    fn ask(&mut self, now: Micros, out: &mut Vec<Output>) {
        if self.trial.way != Way::Escrow || self.peers.is_empty() {
            return;
        }
        let (mut wants, mut all, mut dearest) = (Vec::new(), 0, 0.0_f64);
        for post in self.posts.values_mut() {
            let need = post.need();
            all += need;
            let amount = Lending::amount(need, post.account.left());
            let worth = post.aged(now, self.options.window);
            dearest = dearest.max(worth);
            if need > 0 && amount > 0 && now >= post.asking.next {
                post.asking.asked(now, &self.terms);
                wants.push((Some(post.shard), amount, worth));
            }
        }
        let amount = Lending::amount(all, self.fleet.left());
        if all > 0 && amount > 0 && now >= self.fleet_asking.next {
            self.fleet_asking.asked(now, &self.terms);
            wants.push((None, amount, dearest));
        }
        self.ask_for(now, wants, out);
    }

    /// Tells the module what changed of all shards.
    pub(crate) fn allow(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.counts.allows += tell_module(now, self.terms.step, self.posts.iter_mut(), out);
    }

    pub(crate) fn grant_came(&mut self, now: Micros, shard: Option<u32>) {
        match shard.and_then(|s| self.posts.get_mut(&s)) {
            Some(post) => post.asking.answered(now, &self.terms),
            None => {
                self.fleet_asking.answered(now, &self.terms);
                self.share_out();
            }
        }
    }
}

/// Tells the module what changed of these: less at once, more when it matters; how many it was told.
pub(crate) fn tell_module<'a>(
    now: Micros,
    step: Micros,
    posts: impl Iterator<Item = (&'a u32, &'a mut Post)>,
    out: &mut Vec<Output>,
) -> u64 {
    let mut told = 0;
    for (&shard, post) in posts {
        let target = post.target();
        let due = match post.allowed {
            None => true,
            Some(a) if target < a => true,
            // A step between two that allow more; a quarter more, if there is some yet.
            Some(a) if target > a => {
                now >= post.told.saturating_add(step) && (a == 0 || target - a >= (a / 4).max(1))
            }
            Some(_) => post.told == Micros::MIN,
        };
        if target > 0 {
            post.dry_since = None;
        }
        if due {
            (post.allowed, post.told) = (Some(target), now);
            told += 1;
            out.push(Output::Allow(Allowance { shard, further: target, come_back: post.come_back }));
        }
    }
    told
}
