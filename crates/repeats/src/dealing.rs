//! The rights over all shards, dealt out among the shards.

use crate::Micros;
use crate::cap::Cap;
use crate::options::RIGHT;

impl Cap {
    /// Shares the whole rights over all shards out among the shards, by need and aged worth and up to what each has of its own: what
    /// is allowed together is never more than there is. The rest is dealt to none, for whoever needs it first.
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
            post.quota = post.quota.min(post.rights()).min(u32::try_from(rest).unwrap_or(u32::MAX));
            rest -= u64::from(post.quota);
            if dearest.is_none_or(|(w, _)| weight > w) {
                dearest = Some((weight, post.shard));
            }
        }
        if let Some(post) = dearest.and_then(|(_, shard)| self.posts.get_mut(&shard)) {
            let more = post.unused().min(u32::try_from(rest).unwrap_or(u32::MAX));
            post.quota += more;
            rest -= u64::from(more);
        }
        self.dealt = whole - rest;
    }

    /// Deals more to a shard that has rights of its own and no part of those over all shards: of what is dealt to none, and, once a
    /// step, by dealing all anew. Whether all were dealt anew.
    pub(crate) fn deal_more(&mut self, now: Micros, shard: u32) -> bool {
        let Some(post) = self.posts.get_mut(&shard).filter(|p| p.quota == 0 && p.rights() > 0) else {
            return false;
        };
        let undealt = (self.fleet.left() / RIGHT).saturating_sub(self.dealt);
        post.quota = post.rights().min(u32::try_from(undealt).unwrap_or(u32::MAX));
        self.dealt += u64::from(post.quota);
        let is_short = post.quota == 0 && self.dealt > 0 && now >= self.next_deal;
        if is_short {
            self.next_deal = self.terms.next_step(now);
            self.share_out();
        }
        is_short
    }
}
