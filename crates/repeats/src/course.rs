//! What time and events do to a cap: rights fall due, states change, allowances follow.

use peer::Life;

use crate::Micros;
use crate::cap::{Cap, Output};
use crate::lending::Lending;
use crate::options::{RIGHT, SLICES, Way};

/// Requests that are refused with one advice at most, so that a crowd does not come back together.
const REFUSED_TOGETHER: u64 = 64;

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
        if post.quota > 0 {
            post.quota -= 1;
            self.dealt = self.dealt.saturating_sub(1);
        }
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
        if post.held_back.is_multiple_of(REFUSED_TOGETHER) {
            post.draw(&self.options, &self.terms, &mut self.rng);
            post.told = Micros::MIN;
        }
        if post.rights() > 0 && self.fleet.left() >= RIGHT {
            post.not_told += 1;
        }
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
                } else if post.waiting == 0 {
                    post.worth = 0.0;
                    // What a trouble that is over advised is no advice for the next.
                    if !post.is_narrow() && post.come_back > 4 * self.terms.slice {
                        post.draw(&self.options, &self.terms, &mut self.rng);
                    }
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
        for post in self.posts.values_mut() {
            if let Some(allowance) = post.tell(now, &self.options, &self.terms) {
                self.counts.allows += 1;
                out.push(Output::Allow(allowance));
            }
        }
    }

    /// Tells the module what changed of one shard.
    pub(crate) fn allow_one(&mut self, now: Micros, shard: u32, out: &mut Vec<Output>) {
        let Some(post) = self.posts.get_mut(&shard) else { return };
        if let Some(allowance) = post.tell(now, &self.options, &self.terms) {
            self.counts.allows += 1;
            out.push(Output::Allow(allowance));
        }
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
