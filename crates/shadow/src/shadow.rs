//! The shadow: processes inputs and returns actions.

use std::collections::BTreeMap;

use peer::Life;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::Micros;
use crate::candidate::CandidateError;
use crate::counts::{Cell, Comparison, Doubt, Lost, Paper, ReadBy, Why, bucket};
use crate::digest::{Digest, number_of};
use crate::exchange::{Input, Output};
use crate::held::{Difference, Judgement, PendingDifferences};
use crate::merge::{MergedCounters, Owner};
use crate::options::{Plant, ShadowOptions};
use crate::peers::Peers;
use crate::slice::{Location, Range, SliceMap};
use crate::tries::{Pair, PendingReads, Tried, TryId};
use crate::verdict::{Example, Verdict};
use crate::writes::{Seen, WriteLog};

/// Shadow reads of a candidate shard map at one gateway.
pub struct Shadow {
    pub(crate) options: ShadowOptions,
    pub(crate) digest: u64,
    pub(crate) seat: u64,
    pub(crate) owner: Owner,
    pub(crate) slice_map: SliceMap,
    pub(crate) counters: MergedCounters,
    pub(crate) writes: WriteLog,
    pub(crate) peers: Peers,
    pub(crate) waiting: PendingDifferences,
    pending_reads: PendingReads,
    is_busy: bool,
    /// Extents with a difference that no write explains, and since when that is known here.
    pub(crate) suspects: BTreeMap<(u32, u64), Micros>,
    pub(crate) rng: SmallRng,
    pub(crate) next_heartbeat_at: Micros,
    pub(crate) stored_at: Micros,
    /// Version of this life's counters that was stored last.
    pub(crate) stored_position: u64,
    pub(crate) startup_rejection: Option<&'static str>,
}

impl Shadow {
    /// Creates an instance. `kept` is the data of the last [`Output::Keep`]; data of another candidate is ignored. `seed` must be
    /// random for each instance, as it distinguishes the instances of one life.
    ///
    /// # Errors
    /// The candidate does not fit the current map. Whether its shards have nodes is not checked here; the caller does so with
    /// [`crate::Candidate::check`] when it reads the site file.
    pub fn new(
        options: ShadowOptions,
        life: Life,
        kept: Option<&[u8]>,
        now: Micros,
        seed: u64,
    ) -> Result<Shadow, CandidateError> {
        let shards = options.candidate.volumes.iter().flat_map(|v| v.shards.iter().copied()).collect();
        options.candidate.check(&options.current, &shards)?;
        let seat = number_of(&[seed, now as u64, life.incarnation.0, life.nonce.0]);
        let salt = if options.plant == Plant::SlicePerLife { seat } else { 0 };
        let mut shadow = Shadow {
            digest: options.candidate.digest(),
            seat,
            owner: owner(&options, life, seat),
            slice_map: SliceMap::new(&options.candidate, &options.current, salt),
            counters: MergedCounters::default(),
            writes: WriteLog::new(now, options.rest, options.most_writes),
            peers: Peers::new(options.rest, options.beat),
            waiting: PendingDifferences::new(
                options.most_held,
                options.hold,
                options.beat,
                number_of(&[seat, 1]),
                options.plant == Plant::OldWord,
            ),
            pending_reads: PendingReads::new(&options, number_of(&[seat, 2])),
            is_busy: false,
            suspects: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seat),
            next_heartbeat_at: now,
            stored_at: now,
            stored_position: 0,
            startup_rejection: None,
            options,
        };
        if let Some(kept) = kept {
            shadow.restore(now, kept);
        }
        Ok(shadow)
    }

    /// Processes an input, and appends the resulting actions. `now` must not go back.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        if let Some(why) = self.startup_rejection.take() {
            out.push(Output::TurnedAway { from: self.options.name.clone(), why });
        }
        self.writes.advance(now);
        match input {
            Input::Read { nsid, slba, blocks, node, began, ended, digest } => {
                self.on_read(now, Range { nsid, slba, blocks }, node, (began, ended), digest, out);
            }
            Input::WriteBegan { nsid, slba, blocks, token } => {
                self.on_write_began(now, Range { nsid, slba, blocks }, token);
            }
            Input::WriteEnded { token, known } => self.writes.ended(now, token, known),
            Input::Tried { id, ended, outcome } => self.on_read_ended(now, id, ended, outcome, out),
            Input::Nodes(nodes) => self.pending_reads.set_nodes(now, nodes),
            Input::Busy(is_busy) => self.is_busy = is_busy,
            Input::Peers(mut names) => {
                names.retain(|name| *name != self.options.name);
                self.peers.list(now, &names);
            }
            Input::Heard { from, life, body } => self.on_message(now, from, life, &body, out),
            Input::Renewed(life) => {
                if self.has_unstored() {
                    self.store(now, out);
                }
                self.owner = owner(&self.options, life, self.seat);
                self.stored_position = 0;
            }
            Input::Tick => {}
        }
        self.run_timers(now, out);
    }

    /// Time of the next timer; any input at or after that time, such as `Tick`, runs it.
    pub fn next_due(&self) -> Micros {
        let keep = self.has_unstored().then(|| self.stored_at.saturating_add(self.options.keep));
        let dues =
            [Some(self.next_heartbeat_at), keep, self.pending_reads.next_due(), self.waiting.next_due()];
        dues.into_iter().flatten().min().unwrap_or(Micros::MAX)
    }

    /// The results so far, merged over gateways and lives. It iterates over all counters: not for the request path.
    pub fn verdict(&self) -> Verdict {
        Verdict::of(&self.counters, &self.slice_map, &self.options, self.digest)
    }

    /// Whether reads and writes of these blocks matter here. Others need not be passed in, nor their digest computed.
    pub fn wants(&self, nsid: u32, slba: u64, blocks: u32) -> bool {
        self.slice_map.locate(&Range { nsid, slba, blocks }) != Location::Outside
    }

    /// Digest of the candidate.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of shadow reads in flight and of waiting differences; the options limit both.
    pub fn held(&self) -> (usize, usize) {
        (self.pending_reads.len(), self.waiting.len())
    }

    pub(crate) fn count(&mut self, cell: Cell) {
        self.counters.increment(&self.owner, cell);
    }

    fn run_timers(&mut self, now: Micros, out: &mut Vec<Output>) {
        self.writes.advance(now);
        for pair in self.pending_reads.overdue(now) {
            self.count_lost(now, pair, Lost::TimedOut, out);
        }
        for difference in self.waiting.overdue(now) {
            self.count_difference(now, difference, Judgement::Doubt(Doubt::NoWordAfter));
        }
        self.gossip(now, out);
    }

    fn on_write_began(&mut self, now: Micros, range: Range, token: u64) {
        let places: Vec<_> = self.slice_map.places(&range).collect();
        if places.is_empty() {
            return;
        }
        self.writes.began(now, token, range);
        for place in places {
            let paper = if place.from == place.to {
                Paper::SamePlace
            } else if self.pending_reads.has_node(place.to) {
                Paper::There
            } else {
                Paper::NoNode
            };
            self.count(Cell::Paper(place.to, paper));
        }
    }

    fn on_read(
        &mut self,
        now: Micros,
        range: Range,
        node: String,
        (began, read_ended): (Micros, Micros),
        digest: Digest,
        out: &mut Vec<Output>,
    ) {
        let place = match self.slice_map.locate(&range) {
            Location::Outside => return,
            Location::Across => {
                let first = self.slice_map.places(&range).next();
                return first.into_iter().for_each(|place| self.count(Cell::NotTried(place.to, Why::Across)));
            }
            Location::In(place) => place,
        };
        let node_to = if place.from == place.to {
            Err(Why::SamePlace)
        } else if !self.can_judge(now, began) {
            // Otherwise equal reads would count at times when no difference could, and the bound would be too low. The cost: no
            // shadow reads are sent while a gateway starts or a peer is silent.
            Err(Why::Unjudged)
        } else if self.is_busy {
            Err(Why::Busy)
        } else {
            self.pending_reads.choose(now, place.to, &node)
        };
        match node_to {
            Err(why) => self.count(Cell::NotTried(place.to, why)),
            Ok(candidate_node) => {
                let pair = Pair { place, range, node, candidate_node, began, read_ended, sent: now, digest };
                self.send(pair, out);
            }
        }
    }

    fn can_judge(&self, now: Micros, began: Micros) -> bool {
        !self.writes.is_blind()
            && self.peers.all_heard_recently(now, began.saturating_sub(self.options.settle))
    }

    fn send(&mut self, pair: Pair, out: &mut Vec<Output>) {
        let Range { nsid, slba, blocks } = pair.range;
        let (shard, node, patience) = (pair.place.to, pair.candidate_node.clone(), self.options.patience);
        self.count(Cell::Sent(shard));
        let id = self.pending_reads.begin(pair);
        out.push(Output::Try { id, node, shard, nsid, slba, blocks, patience });
    }

    fn on_read_ended(
        &mut self,
        now: Micros,
        id: TryId,
        ended: Micros,
        outcome: Tried,
        out: &mut Vec<Output>,
    ) {
        let Some(pair) = self.pending_reads.end(id) else {
            // The node answered twice or too late; only the first end counts, so that no shadow read counts twice.
            return self.count(Cell::UnexpectedEnd);
        };
        match outcome {
            Tried::Data(candidate_digest) => {
                self.compare(now, Difference { pair, candidate_digest, ended }, out)
            }
            Tried::Failed => self.count_lost(now, pair, Lost::Failed, out),
            Tried::TimedOut => self.count_lost(now, pair, Lost::TimedOut, out),
            Tried::NotSent => self.count_lost(now, pair, Lost::NotSent, out),
        }
    }

    /// Counts a shadow read without data. It is never retried: a slow or unreachable node would get twice the load when it can
    /// handle the least.
    fn count_lost(&mut self, now: Micros, mut pair: Pair, lost: Lost, out: &mut Vec<Output>) {
        self.count(Cell::Lost(pair.place.to, lost));
        if self.options.plant == Plant::SecondTry && lost == Lost::TimedOut {
            pair.sent = now;
            self.send(pair, out);
        }
    }

    fn compare(&mut self, now: Micros, answers: Difference, out: &mut Vec<Output>) {
        let pair = &answers.pair;
        let shard = pair.place.to;
        let took = |from: Micros, to: Micros| bucket(u64::try_from(to.saturating_sub(from)).unwrap_or(0));
        let current = Cell::Latency(shard, ReadBy::Current, took(pair.began, pair.read_ended));
        let candidate = Cell::Latency(shard, ReadBy::Candidate, took(pair.sent, answers.ended));
        self.count(current);
        self.count(candidate);
        let pair = &answers.pair;
        if pair.digest == answers.candidate_digest {
            return self.count(Cell::Compared(Comparison::Same, pair.place.nsid, pair.place.extent));
        }
        let start = pair.began.saturating_sub(self.options.settle);
        let plant = self.options.plant;
        let own = self.writes.written_between(&pair.range, start, answers.ended.max(now));
        match own {
            _ if plant == Plant::RaceUnseen => return self.count_difference(now, answers, Judgement::Quiet),
            Seen::Wrote => return self.count_difference(now, answers, Judgement::Raced),
            Seen::CannotSay => {
                return self.count_difference(now, answers, Judgement::Doubt(Doubt::OwnWrites));
            }
            Seen::Quiet => {}
        }
        let ticks = self.peers.ticks_before(start);
        let known: Vec<_> = ticks.iter().filter_map(|(name, tick)| Some((name.clone(), (*tick)?))).collect();
        if known.len() < ticks.len() {
            return self.count_difference(now, answers, Judgement::Doubt(Doubt::NoWordBefore));
        }
        if known.is_empty() || plant == Plant::PeersUnasked {
            return self.count_difference(now, answers, Judgement::Quiet);
        }
        if !self.waiting.has_room() {
            return self.count_difference(now, answers, Judgement::Doubt(Doubt::NoRoom));
        }
        let id = self.waiting.hold(now, answers, known);
        self.send_queries(id, out);
    }

    /// Counts a difference. The first one of an extent that no write explains marks the extent as suspect and counts as unknown;
    /// only reads that began after that count as different.
    pub(crate) fn count_difference(&mut self, now: Micros, difference: Difference, judgement: Judgement) {
        let Difference { pair, candidate_digest, ended } = difference;
        let at = (pair.place.nsid, pair.place.extent);
        let compared = |comparison| Cell::Compared(comparison, at.0, at.1);
        let doubt = match judgement {
            Judgement::Raced => return self.count(compared(Comparison::Raced)),
            Judgement::Quiet => match self.suspects.get(&at) {
                Some(since) if *since < pair.began => {
                    self.count(compared(Comparison::Different));
                    let example = Example {
                        gateway: self.options.name.clone(),
                        nsid: at.0,
                        extent: at.1,
                        slba: pair.range.slba,
                        blocks: pair.range.blocks,
                        shards: (pair.place.from, pair.place.to),
                        nodes: (pair.node, pair.candidate_node),
                        digests: (pair.digest, candidate_digest),
                        times: [pair.began, pair.read_ended, pair.sent, ended],
                    };
                    return self.counters.example(&self.owner, example);
                }
                Some(_) => Doubt::First,
                None => {
                    self.suspects.insert(at, now);
                    self.count(compared(Comparison::First));
                    Doubt::First
                }
            },
            Judgement::Doubt(doubt) => doubt,
        };
        self.count(compared(Comparison::Unknown));
        self.count(Cell::Doubt(pair.place.to, doubt));
    }
}

fn owner(options: &ShadowOptions, life: Life, seat: u64) -> Owner {
    let owner = Owner::new(options.name.clone(), life, seat);
    if options.plant == Plant::NameOwns {
        return Owner { incarnation: 0, nonce: 0, seat: 0, ..owner };
    }
    owner
}
