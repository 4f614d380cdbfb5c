//! The rights over all shards, dealt out among the shards.

use crate::Micros;
use crate::advice::Post;
use crate::cap::Cap;
use crate::options::RIGHT;

/// Rights that a shard is dealt beside what it needs, so that it seldom comes for more.
const SPARE: u64 = 4;

/// As a count of rights.
fn count(rights: u64) -> u32 {
    u32::try_from(rights).unwrap_or(u32::MAX)
}

impl Cap {
    /// Shares the whole rights over all shards out among the shards, by need and aged worth and up to what each has of its own: what
    /// is allowed together is never more than there is. What is left of them goes to those that need more, the dearest first; the
    /// rest is dealt to none, for whoever needs it first.
    pub(crate) fn share_out(&mut self) {
        let (now, window) = (self.next_slice, self.options.window);
        let whole = self.fleet.left() / RIGHT;
        let weight = |post: &Post| 0.1 + post.need() as f64 * post.aged(now, window);
        let sum: f64 = self.posts.values().map(weight).sum();
        let mut rest = whole;
        let mut short: Vec<(f64, u32)> = Vec::new();
        for post in self.posts.values_mut() {
            let weight = weight(post);
            let part = (whole as f64 * weight / sum).floor() as u64;
            post.quota = count(part.min(rest)).min(post.rights());
            rest -= u64::from(post.quota);
            if post.need() > 0 && post.unused() > 0 {
                short.push((weight, post.shard));
            }
        }
        self.dealt = whole - rest;
        short.sort_by(|a, b| b.0.total_cmp(&a.0));
        for (_, shard) in short {
            self.deal_of_the_rest(shard);
        }
    }

    /// Deals a shard what it needs of what is dealt to none.
    fn deal_of_the_rest(&mut self, shard: u32) {
        let rest = (self.fleet.left() / RIGHT).saturating_sub(self.dealt);
        let Some(post) = self.posts.get_mut(&shard) else { return };
        let more = post.unused().min(count(rest)).min(count(post.need().saturating_add(SPARE)));
        post.quota += more;
        self.dealt += u64::from(more);
    }

    /// Whether a shard has rights of its own and no part of those over all shards.
    fn is_undealt(&self, shard: u32) -> bool {
        self.posts.get(&shard).is_some_and(|post| post.quota == 0 && post.rights() > 0)
    }

    /// Deals more to a shard that stands at nought beside rights of its own: of what is dealt to none; and, for one at which requests
    /// wait, by dealing all anew, once a step. Whether all were dealt anew.
    pub(crate) fn deal_more(&mut self, now: Micros, shard: u32) -> bool {
        if !self.is_undealt(shard) {
            return false;
        }
        self.deal_of_the_rest(shard);
        let waits = self.posts.get(&shard).is_some_and(|post| post.waiting > 0);
        if !self.is_undealt(shard) || !waits || self.dealt == 0 || now < self.next_deal {
            return false;
        }
        self.next_deal = self.terms.next_step(now);
        self.share_out();
        true
    }

    /// Deals more to every shard that stands at nought beside rights of its own.
    pub(crate) fn deal_more_to_all(&mut self, now: Micros) {
        let stands_at_nought = |post: &&Post| post.quota == 0 && post.rights() > 0;
        let shards: Vec<u32> = self.posts.values().filter(stands_at_nought).map(|post| post.shard).collect();
        for shard in shards {
            self.deal_more(now, shard);
        }
    }
}
