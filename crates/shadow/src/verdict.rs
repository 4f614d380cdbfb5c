//! The verdict on a candidate, derived from the counters and shown to operators.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use peer::PeerName;
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::counts::{Cell, Comparison, Doubt, Lost, MAX_LATENCY, Paper, ReadBy, Why};
use crate::digest::Digest;
use crate::merge::MergedCounters;
use crate::options::ShadowOptions;
use crate::slice::SliceMap;

/// A read with different data that no write explains, after another one in the same extent.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Example {
    /// Gateway that found it.
    pub gateway: PeerName,
    /// Namespace identifier of the volume.
    pub nsid: u32,
    /// The extent.
    pub extent: u64,
    /// First logical block of the read.
    pub slba: u64,
    /// Number of blocks of the read.
    pub blocks: u32,
    /// Shard in the current map and in the candidate.
    pub shards: (u32, u32),
    /// Node of the current map and of the candidate.
    pub nodes: (String, String),
    /// Digest of the data that each node returned.
    pub digests: (Digest, Digest),
    /// Begin and end of the client's read, then of the shadow read, on the gateway's clock.
    pub times: [Micros; 4],
}

/// Latencies of the reads by one map, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of reads.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The 99.9th percentile.
    pub p999: u64,
    /// The maximum.
    pub most: u64,
}

/// Latencies of the same reads by both maps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ways {
    /// By the current map.
    pub current: Quantiles,
    /// By the candidate.
    pub candidate: Quantiles,
}

/// Numbers of compared reads by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Results {
    /// Equal data.
    pub same: u64,
    /// Different data that no write explains, at least for the second time in the extent.
    pub different: u64,
    /// Different data, explained by a write in between.
    pub raced: u64,
    /// Different data where it is unknown whether a write explains it, or the first in the extent that no write explains.
    pub unknown: u64,
}

/// Results of one shard of the candidate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLook {
    /// The shard.
    pub shard: u32,
    /// Compared reads by result.
    pub results: Results,
    /// Shadow reads sent.
    pub sent: u64,
    /// Shadow reads without data to compare, by cause.
    pub lost: BTreeMap<Lost, u64>,
    /// Reads without a shadow read, by cause.
    pub not_tried: BTreeMap<Why, u64>,
    /// Differences that stay unknown, by cause.
    pub doubts: BTreeMap<Doubt, u64>,
    /// Writes, by where the candidate would send them.
    pub paper: BTreeMap<Paper, u64>,
    /// Latencies of the compared reads.
    pub latency: Ways,
}

/// Results of one extent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExtentLook {
    /// Namespace identifier of the volume.
    pub nsid: u32,
    /// The extent.
    pub extent: u64,
    /// Its shard in the current map.
    pub from: u32,
    /// Its shard in the candidate.
    pub to: u32,
    /// Compared reads by result.
    pub results: Results,
}

/// An extent with too few equal reads so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lack {
    /// Namespace identifier of the volume.
    pub nsid: u32,
    /// The extent.
    pub extent: u64,
    /// Equal reads so far.
    pub same: u64,
}

/// Whether the comparison is sufficient.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Enough {
    /// The candidate is wrong in these extents (volume, extent).
    Wrong(Vec<(u32, u64)>),
    /// More reads have to be compared.
    NotYet {
        /// All extents with too few equal reads.
        lacking: Vec<Lack>,
    },
    /// The bound and the number of reads in each extent are reached.
    Enough,
}

/// Results of the candidate, merged over all known gateways and lives.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// Number of the candidate.
    pub number: u64,
    /// Digest of the candidate.
    pub digest: u64,
    /// Number of gateways whose counters are included.
    pub gateways: usize,
    /// Number of lives (and instances) whose counters are included.
    pub lives: usize,
    /// Pairs of answers that were compared: the sum of `results`.
    pub compared: u64,
    /// Compared reads by result.
    pub results: Results,
    /// Latencies of all compared pairs.
    pub latency: Ways,
    /// Ends of shadow reads that were reported twice or too late, and ignored.
    pub strange: u64,
    /// Results by shard of the candidate; shards without any are omitted.
    pub shards: Vec<ShardLook>,
    /// Results by extent; extents without a compared read are omitted.
    pub extents: Vec<ExtentLook>,
    /// The first differences of each life, at most [`crate::MOST_EXAMPLES`] per life.
    pub examples: Vec<Example>,
    /// Upper bound, at 95 % confidence, of the fraction of reads that differ without a write.
    pub at_most: f64,
    /// Target of that bound.
    pub target: f64,
    /// Whether the comparison is sufficient.
    pub enough: Enough,
}

/// Upper bound, at 95 % confidence, of a fraction of which `seen` in `of` samples were found: 3/n for none (the rule of
/// three), otherwise the bound of the Poisson distribution, rounded up.
pub(crate) fn upper_bound(seen: u64, of: u64) -> f64 {
    if of == 0 {
        return 1.0;
    }
    let seen = seen as f64;
    ((seen + 1.645 * seen.sqrt() + 3.0) / of as f64).min(1.0)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY, 2).unwrap_or_else(|_| unreachable!("fixed bounds"))
}

impl Quantiles {
    fn of(h: &Histogram<u64>) -> Quantiles {
        let at = |q| h.value_at_quantile(q);
        Quantiles { count: h.len(), p50: at(0.5), p99: at(0.99), p999: at(0.999), most: h.max() }
    }
}

impl Results {
    fn counter(&mut self, comparison: Comparison) -> Option<&mut u64> {
        Some(match comparison {
            Comparison::Same => &mut self.same,
            Comparison::Different => &mut self.different,
            Comparison::Raced => &mut self.raced,
            Comparison::Unknown => &mut self.unknown,
            Comparison::First => return None,
        })
    }

    /// Number of all compared reads.
    pub fn compared(&self) -> u64 {
        self.same + self.different + self.raced + self.unknown
    }
}

impl Verdict {
    pub(crate) fn of(
        counters: &MergedCounters,
        slice_map: &SliceMap,
        options: &ShadowOptions,
        digest: u64,
    ) -> Verdict {
        let mut all = Results::default();
        let mut strange = 0;
        let mut shards: BTreeMap<u32, ShardLook> = BTreeMap::new();
        let mut extents: BTreeMap<(u32, u64), Results> = BTreeMap::new();
        let mut ways: BTreeMap<(u32, ReadBy), Histogram<u64>> = BTreeMap::new();
        for (key, count) in counters.sums() {
            let Some(cell) = Cell::of(key, slice_map) else { continue };
            let of = |shards: &mut BTreeMap<u32, ShardLook>, shard, put: &dyn Fn(&mut ShardLook)| {
                put(shards.entry(shard).or_insert_with(|| ShardLook { shard, ..ShardLook::default() }));
            };
            match cell {
                Cell::Compared(comparison, nsid, extent) => {
                    let Some(place) = slice_map.place(nsid, extent) else { continue };
                    let add = |results: &mut Results| {
                        if let Some(sum) = results.counter(comparison) {
                            *sum = sum.saturating_add(count);
                        }
                    };
                    add(&mut all);
                    add(extents.entry((nsid, extent)).or_default());
                    of(&mut shards, place.to, &|look| add(&mut look.results));
                }
                Cell::NotTried(s, why) => of(&mut shards, s, &|l| _ = l.not_tried.insert(why, count)),
                Cell::Doubt(s, doubt) => of(&mut shards, s, &|l| _ = l.doubts.insert(doubt, count)),
                Cell::Sent(s) => of(&mut shards, s, &|l| l.sent = count),
                Cell::Lost(s, lost) => of(&mut shards, s, &|l| _ = l.lost.insert(lost, count)),
                Cell::Paper(s, paper) => of(&mut shards, s, &|l| _ = l.paper.insert(paper, count)),
                Cell::UnexpectedEnd => strange = count,
                Cell::Latency(s, way, bucket) => {
                    ways.entry((s, way)).or_insert_with(histogram).saturating_record_n(bucket, count);
                }
            }
        }
        let mut total = (histogram(), histogram());
        for ((shard, way), h) in &ways {
            let look =
                shards.entry(*shard).or_insert_with(|| ShardLook { shard: *shard, ..ShardLook::default() });
            let (one, sum) = match way {
                ReadBy::Current => (&mut look.latency.current, &mut total.0),
                ReadBy::Candidate => (&mut look.latency.candidate, &mut total.1),
            };
            *one = Quantiles::of(h);
            // Both histograms have the same bounds, so adding them cannot fail.
            _ = sum.add(h);
        }
        let (at_most, enough) = judge(&all, &extents, slice_map, options);
        let looks = extents.iter().filter_map(|(&(nsid, extent), &results)| {
            let place = slice_map.place(nsid, extent)?;
            Some(ExtentLook { nsid, extent, from: place.from, to: place.to, results })
        });
        let mut names: Vec<&PeerName> = counters.owners.keys().map(|owner| &owner.name).collect();
        names.dedup();
        Verdict {
            number: options.candidate.number,
            digest,
            gateways: names.len(),
            lives: counters.owners.len(),
            compared: all.compared(),
            results: all,
            latency: Ways { current: Quantiles::of(&total.0), candidate: Quantiles::of(&total.1) },
            strange,
            shards: shards.into_values().collect(),
            extents: looks.collect(),
            examples: counters
                .owners
                .values()
                .flat_map(|owner_counters| owner_counters.examples.values().cloned())
                .collect(),
            at_most,
            target: options.target,
            enough,
        }
    }

    /// Extents with different reads, as (volume, extent).
    pub fn wrong(&self) -> impl Iterator<Item = (u32, u64)> {
        self.extents.iter().filter(|look| look.results.different > 0).map(|look| (look.nsid, look.extent))
    }

    /// Sum of one counter over all shards.
    pub fn sum<K: Ord>(&self, of: impl Fn(&ShardLook) -> &BTreeMap<K, u64>, key: K) -> u64 {
        self.shards.iter().filter_map(|look| of(look).get(&key)).sum()
    }
}

/// Computes the bound, and whether the comparison is sufficient. Raced reads prove nothing and are left out of both numbers;
/// unknown reads may be different and count as different.
fn judge(
    all: &Results,
    extents: &BTreeMap<(u32, u64), Results>,
    slice_map: &SliceMap,
    options: &ShadowOptions,
) -> (f64, Enough) {
    let bad = all.different + all.unknown;
    let at_most = upper_bound(bad, all.same + bad);
    let wrong: Vec<_> = extents.iter().filter(|(_, r)| r.different > 0).map(|(at, _)| *at).collect();
    if !wrong.is_empty() {
        return (at_most, Enough::Wrong(wrong));
    }
    let lacks = |(nsid, extent): (u32, u64)| {
        let same = extents.get(&(nsid, extent)).map_or(0, |results| results.same);
        (same < options.each).then_some(Lack { nsid, extent, same })
    };
    let moved = slice_map.all().filter(|place| place.from != place.to);
    let lacking: Vec<Lack> = moved.filter_map(|place| lacks((place.nsid, place.extent))).collect();
    let is_enough = lacking.is_empty() && at_most <= options.target;
    (at_most, if is_enough { Enough::Enough } else { Enough::NotYet { lacking } })
}

/// Maximum number of lines of one kind in the text form.
const MAX_LINES: usize = 8;

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Results { same, different, raced, unknown } = self.results;
        write!(
            f,
            "candidate {} ({:016x}), {} gateways, {} lives: ",
            self.number, self.digest, self.gateways, self.lives
        )?;
        match &self.enough {
            Enough::Wrong(extents) => writeln!(f, "WRONG in {} extents", extents.len())?,
            Enough::NotYet { lacking } => writeln!(f, "not enough yet, {} extents lack", lacking.len())?,
            Enough::Enough => writeln!(f, "enough")?,
        }
        write!(
            f,
            "compared {}: same {same}, different {different}, raced {raced}, unknown {unknown}; ",
            self.compared
        )?;
        writeln!(f, "at 95 % at most {:.2e} differ (target {:.0e})", self.at_most, self.target)?;
        for (name, way) in [("in force ", self.latency.current), ("candidate", self.latency.candidate)] {
            let Quantiles { p50, p99, p999, most, .. } = way;
            writeln!(f, "  {name} p50 {p50} us, p99 {p99}, p99.9 {p999}, longest {most}")?;
        }
        for s in &self.shards {
            let Results { same, different, raced, unknown } = s.results;
            write!(
                f,
                "  shard {}: sent {}, same {same}, different {different}, raced {raced}",
                s.shard, s.sent
            )?;
            writeln!(
                f,
                ", unknown {unknown} {:?}; lost {:?}; not tried {:?}; writes {:?}",
                s.doubts, s.lost, s.not_tried, s.paper
            )?;
        }
        if let Enough::NotYet { lacking } = &self.enough {
            for l in lacking.iter().take(MAX_LINES) {
                writeln!(f, "  lacks: volume {} extent {}: {} the same", l.nsid, l.extent, l.same)?;
            }
        }
        let wrong = self.extents.iter().filter(|look| look.results.different > 0);
        for look in wrong.take(MAX_LINES) {
            let ExtentLook { nsid, extent, from, to, results } = look;
            write!(f, "  wrong: volume {nsid} extent {extent}, shard {from} to {to}: ")?;
            writeln!(f, "{} of {} different", results.different, results.compared())?;
        }
        for e in self.examples.iter().take(MAX_LINES) {
            write!(
                f,
                "  e.g. volume {} blocks {}+{}: {} has {}, ",
                e.nsid, e.slba, e.blocks, e.nodes.0, e.digests.0
            )?;
            writeln!(f, "{} has {}, seen by {} at {:?}", e.nodes.1, e.digests.1, e.gateway, e.times)?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::upper_bound;

    #[test]
    fn bound_is_the_rule_of_three_and_never_below_the_exact_one() {
        assert_eq!(upper_bound(0, 0), 1.0);
        assert_eq!(upper_bound(0, 30_000), 1e-4);
        // One-sided upper bounds at 95 % of a Poisson mean, from tables.
        for (seen, exact) in [(1, 4.744), (2, 6.296), (5, 10.513), (10, 16.962), (50, 63.287), (100, 118.079)]
        {
            let bound = upper_bound(seen, 1_000_000) * 1e6;
            assert!(bound >= exact && bound < exact + 2.0, "{seen}: {bound}");
        }
    }
}
