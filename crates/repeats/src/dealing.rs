//! The rights over all shards, dealt out among the shards.

use crate::Micros;
use crate::advice::Post;
use crate::cap::Cap;
use crate::options::RIGHT;

/// Rights that a shard is dealt beside what it needs, so that it seldom comes for more.
const SPARE: u64 = 4;

impl Cap {
    /// Shares the whole rights over all shards out among the shards, up to what each has of its own: one for each, then by need and
    /// aged worth, then to those that need more, the dearest first. What is allowed together is never more than there is; the rest is
    /// dealt to none, for whoever needs it first.
    pub(crate) fn share_out(&mut self) {
        let (now, window) = (self.next_slice, self.options.window);
        let weight = |post: &Post| 0.1 + post.need() as f64 * post.aged(now, window);
        let mut order: Vec<(f64, u32)> = self.posts.values().map(|post| (weight(post), post.shard)).collect();
        order.sort_by(|a, b| b.0.total_cmp(&a.0));
        self.posts.values_mut().for_each(|post| post.quota = 0);
        self.dealt = 0;
        for &(_, shard) in &order {
            self.deal(shard, 1);
        }
        let (rest, sum) = (self.undealt(), order.iter().map(|(weight, _)| weight).sum::<f64>());
        for &(weight, shard) in &order {
            self.deal(shard, (rest as f64 * weight / sum).floor() as u64);
        }
        for &(_, shard) in &order {
            self.deal(shard, self.posts.get(&shard).map_or(0, Post::need));
            self.note_dealt(shard);
        }
    }

    /// Whole rights over all shards that are dealt to none.
    fn undealt(&self) -> u64 {
        (self.fleet.left() / RIGHT).saturating_sub(self.dealt)
    }

    /// Deals a shard so many more at most.
    fn deal(&mut self, shard: u32, most: u64) {
        let most = most.min(self.undealt());
        let Some(post) = self.posts.get_mut(&shard) else { return };
        let more = post.unused().min(u32::try_from(most).unwrap_or(u32::MAX));
        post.quota += more;
        self.dealt += u64::from(more);
    }

    /// Keeps in mind whether a shard has rights of its own and no part of those over all shards.
    pub(crate) fn note_dealt(&mut self, shard: u32) {
        match self.posts.get(&shard) {
            Some(post) if post.quota == 0 && post.rights() > 0 => _ = self.without_part.insert(shard),
            _ => _ = self.without_part.remove(&shard),
        }
    }

    /// Deals to those without a part: of what is dealt to none; and, where one needs it, by dealing all anew, once a step. The shards that
    /// have one now, or none if it may be any.
    pub(crate) fn deal_more(&mut self, now: Micros) -> Option<Vec<u32>> {
        let mut dealt = Vec::new();
        while self.undealt() > 0
            && let Some(shard) = self.without_part.pop_first()
        {
            self.deal(shard, SPARE + self.posts.get(&shard).map_or(0, Post::need));
            dealt.push(shard);
        }
        let needs = |shard| self.posts.get(shard).is_some_and(|post| post.need() > 0);
        if now < self.next_deal || self.dealt == 0 || !self.without_part.iter().any(needs) {
            return Some(dealt);
        }
        self.next_deal = self.terms.next_step(now);
        self.share_out();
        None
    }
}
