//! What the counts say, for operators.

use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;
use peer::PeerName;
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::counts::{Came, Cell, Doubt, LONGEST, Lost, Paper, Way, Why};
use crate::digest::Digest;
use crate::merge::Books;
use crate::options::ShadowOptions;
use crate::slice::Places;

/// A read that came out different, in a quiet interval, after another of its extent had.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Example {
    /// The gateway that saw it.
    pub gateway: PeerName,
    /// The volume.
    pub nsid: u32,
    /// The extent.
    pub extent: u64,
    /// The first block read, and how many.
    pub slba: u64,
    /// See `slba`.
    pub blocks: u32,
    /// Shard in force and shard of the candidate.
    pub shards: (u32, u32),
    /// The node in force and the candidate's.
    pub nodes: (String, String),
    /// What each of them returned.
    pub digests: (Digest, Digest),
    /// Begin and end of the read, begin and end of the try, on the gateway's clock.
    pub times: [Micros; 4],
}

/// Latencies of one way, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// How many.
    pub count: u64,
    /// The median.
    pub p50: u64,
    /// 99 %.
    pub p99: u64,
    /// 99.9 %.
    pub p999: u64,
    /// The longest.
    pub most: u64,
}

/// Latencies of both ways, of the same reads.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ways {
    /// Of the map in force.
    pub current: Quantiles,
    /// Of the candidate.
    pub candidate: Quantiles,
}

/// What compared reads came to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Results {
    /// The same data.
    pub same: u64,
    /// Different data, in a quiet interval, for the second time at least in this extent.
    pub different: u64,
    /// Different data, which a write in between explains.
    pub raced: u64,
    /// Different data, of which it is not known whether a write explains it; and the first in a quiet interval.
    pub unknown: u64,
}

/// One shard of the candidate.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardLook {
    /// The shard.
    pub shard: u32,
    /// What its tries came to.
    pub results: Results,
    /// Tries sent.
    pub sent: u64,
    /// Tries that brought nothing to compare.
    pub lost: BTreeMap<Lost, u64>,
    /// Reads that were not tried.
    pub not_tried: BTreeMap<Why, u64>,
    /// Why differences stay unknown.
    pub doubts: BTreeMap<Doubt, u64>,
    /// Writes, on paper.
    pub paper: BTreeMap<Paper, u64>,
    /// Latencies.
    pub latency: Ways,
}

/// One extent that was compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExtentLook {
    /// The volume.
    pub nsid: u32,
    /// The extent.
    pub extent: u64,
    /// Its shard in force.
    pub from: u32,
    /// Its shard in the candidate.
    pub to: u32,
    /// What its tries came to.
    pub results: Results,
}

/// An extent that has too little compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lack {
    /// The volume.
    pub nsid: u32,
    /// The extent.
    pub extent: u64,
    /// What came out the same so far.
    pub same: u64,
}

/// Whether enough was compared.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Enough {
    /// The candidate is wrong in these extents (volume, extent).
    Wrong(Vec<(u32, u64)>),
    /// Not enough yet.
    NotYet {
        /// Extents that lack, all of them.
        lacking: Vec<Lack>,
    },
    /// Enough.
    Enough,
}

/// What is known of the candidate, over all gateways and lives heard of.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Verdict {
    /// The candidate's number, and its digest.
    pub number: u64,
    /// See `number`.
    pub digest: u64,
    /// Gateways whose counts are in it, and lives.
    pub gateways: usize,
    /// See `gateways`.
    pub lives: usize,
    /// Pairs of answers that were compared: the sum of `results`.
    pub compared: u64,
    /// What they came to.
    pub results: Results,
    /// Latencies of all compared pairs.
    pub latency: Ways,
    /// Ends of tries that were told twice or too late, and passed over.
    pub strange: u64,
    /// For each shard of the candidate that something is known of.
    pub shards: Vec<ShardLook>,
    /// For each extent that something was compared in.
    pub extents: Vec<ExtentLook>,
    /// The first differences of each life, at most [`crate::MOST_EXAMPLES`] of one.
    pub examples: Vec<Example>,
    /// At 95 %, at most this part of reads differs where nobody writes.
    pub at_most: f64,
    /// What it is to come to.
    pub target: f64,
    /// Whether that is reached.
    pub enough: Enough,
}

/// The upper bound at 95 % on a part of which `seen` in `of` were seen: 3/n with none (the rule of three), else that of the
/// Poisson distribution, rounded up.
pub(crate) fn at_most(seen: u64, of: u64) -> f64 {
    if of == 0 {
        return 1.0;
    }
    let seen = seen as f64;
    ((seen + 1.645 * seen.sqrt() + 3.0) / of as f64).min(1.0)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST, 2).unwrap_or_else(|_| unreachable!("fixed bounds"))
}

impl Quantiles {
    fn of(h: &Histogram<u64>) -> Quantiles {
        let at = |q| h.value_at_quantile(q);
        Quantiles { count: h.len(), p50: at(0.5), p99: at(0.99), p999: at(0.999), most: h.max() }
    }
}

impl Results {
    fn cell(&mut self, came: Came) -> Option<&mut u64> {
        Some(match came {
            Came::Same => &mut self.same,
            Came::Different => &mut self.different,
            Came::Raced => &mut self.raced,
            Came::Unknown => &mut self.unknown,
            Came::First => return None,
        })
    }

    /// All of them.
    pub fn compared(&self) -> u64 {
        self.same + self.different + self.raced + self.unknown
    }
}

impl Verdict {
    pub(crate) fn of(books: &Books, places: &Places, options: &ShadowOptions, digest: u64) -> Verdict {
        let mut all = Results::default();
        let mut strange = 0;
        let mut shards: BTreeMap<u32, ShardLook> = BTreeMap::new();
        let mut extents: BTreeMap<(u32, u64), Results> = BTreeMap::new();
        let mut ways: BTreeMap<(u32, Way), Histogram<u64>> = BTreeMap::new();
        for (key, count) in books.sums() {
            let Some(cell) = Cell::of(key, places) else { continue };
            let of = |shards: &mut BTreeMap<u32, ShardLook>, shard, put: &dyn Fn(&mut ShardLook)| {
                put(shards.entry(shard).or_insert_with(|| ShardLook { shard, ..ShardLook::default() }));
            };
            match cell {
                Cell::Came(came, nsid, extent) => {
                    let Some(place) = places.place(nsid, extent) else { continue };
                    let add = |results: &mut Results| {
                        if let Some(sum) = results.cell(came) {
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
                Cell::Strange => strange = count,
                Cell::Took(s, way, bucket) => {
                    ways.entry((s, way)).or_insert_with(histogram).saturating_record_n(bucket, count);
                }
            }
        }
        let mut total = (histogram(), histogram());
        for ((shard, way), h) in &ways {
            let look =
                shards.entry(*shard).or_insert_with(|| ShardLook { shard: *shard, ..ShardLook::default() });
            let (one, sum) = match way {
                Way::Current => (&mut look.latency.current, &mut total.0),
                Way::Candidate => (&mut look.latency.candidate, &mut total.1),
            };
            *one = Quantiles::of(h);
            // The bounds are the same, so that adding cannot fail.
            _ = sum.add(h);
        }
        let (at_most, enough) = judge(&all, &extents, places, options);
        let looks = extents.iter().filter_map(|(&(nsid, extent), &results)| {
            let place = places.place(nsid, extent)?;
            Some(ExtentLook { nsid, extent, from: place.from, to: place.to, results })
        });
        let mut names: Vec<&PeerName> = books.books.keys().map(|owner| &owner.name).collect();
        names.dedup();
        Verdict {
            number: options.candidate.number,
            digest,
            gateways: names.len(),
            lives: books.books.len(),
            compared: all.compared(),
            results: all,
            latency: Ways { current: Quantiles::of(&total.0), candidate: Quantiles::of(&total.1) },
            strange,
            shards: shards.into_values().collect(),
            extents: looks.collect(),
            examples: books.books.values().flat_map(|book| book.examples.values().cloned()).collect(),
            at_most,
            target: options.target,
            enough,
        }
    }

    /// Extents in which reads came out different.
    pub fn wrong(&self) -> impl Iterator<Item = (u32, u64)> {
        self.extents.iter().filter(|look| look.results.different > 0).map(|look| (look.nsid, look.extent))
    }

    /// One count over all shards.
    pub fn sum<K: Ord>(&self, of: impl Fn(&ShardLook) -> &BTreeMap<K, u64>, key: K) -> u64 {
        self.shards.iter().filter_map(|look| of(look).get(&key)).sum()
    }
}

/// The bound, and whether it is enough. What is raced proves nothing and is left out of both sides; what is unknown may be
/// different, and is taken for it.
fn judge(
    all: &Results,
    extents: &BTreeMap<(u32, u64), Results>,
    places: &Places,
    options: &ShadowOptions,
) -> (f64, Enough) {
    let bad = all.different + all.unknown;
    let at_most = at_most(bad, all.same + bad);
    let wrong: Vec<_> = extents.iter().filter(|(_, r)| r.different > 0).map(|(at, _)| *at).collect();
    if !wrong.is_empty() {
        return (at_most, Enough::Wrong(wrong));
    }
    let lacks = |(nsid, extent): (u32, u64)| {
        let same = extents.get(&(nsid, extent)).map_or(0, |results| results.same);
        (same < options.each).then_some(Lack { nsid, extent, same })
    };
    let moved = places.all().filter(|place| place.from != place.to);
    let lacking: Vec<Lack> = moved.filter_map(|place| lacks((place.nsid, place.extent))).collect();
    let is_enough = lacking.is_empty() && at_most <= options.target;
    (at_most, if is_enough { Enough::Enough } else { Enough::NotYet { lacking } })
}

/// How many lines of a kind are shown.
const SHOWN: usize = 8;

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
            for l in lacking.iter().take(SHOWN) {
                writeln!(f, "  lacks: volume {} extent {}: {} the same", l.nsid, l.extent, l.same)?;
            }
        }
        let wrong = self.extents.iter().filter(|look| look.results.different > 0);
        for look in wrong.take(SHOWN) {
            let ExtentLook { nsid, extent, from, to, results } = look;
            write!(f, "  wrong: volume {nsid} extent {extent}, shard {from} to {to}: ")?;
            writeln!(f, "{} of {} different", results.different, results.compared())?;
        }
        for e in self.examples.iter().take(SHOWN) {
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
    use super::at_most;

    #[test]
    fn the_bound_is_the_rule_of_three_and_never_under_the_exact_one() {
        assert_eq!(at_most(0, 0), 1.0);
        assert_eq!(at_most(0, 30_000), 1e-4);
        // Upper bounds at 95 % (one-sided) of a Poisson mean, from its tables.
        for (seen, exact) in [(1, 4.744), (2, 6.296), (5, 10.513), (10, 16.962), (50, 63.287), (100, 118.079)]
        {
            let bound = at_most(seen, 1_000_000) * 1e6;
            assert!(bound >= exact && bound < exact + 2.0, "{seen}: {bound}");
        }
    }
}
