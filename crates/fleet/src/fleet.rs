//! The membership state machine of one gateway.

use std::collections::BTreeSet;
use std::sync::Arc;

use peer::{Life, PeerName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Micros;
use crate::counts::Counts;
use crate::detector::{Detector, ProbeVerdict, choose_one};
use crate::gossip_queue::{GossipItem, GossipQueue};
use crate::input::{Input, Output};
use crate::member::Standing;
use crate::member_table::{MemberTable, MergeOutcome};
use crate::merge::{OfSelf, of_self};
use crate::message::{Message, MessageKind};
use crate::node_table::{NodeTable, NodeUpdate};
use crate::options::{FleetOptions, Plant, log2};
use crate::record::{MOST_WITNESSES, Record};
use crate::view::View;

/// Minimum size limit of a message: the largest record must fit.
const MIN_BODY_BYTES: usize = 8 << 10;
/// Maximum answers to pings and ping requests, and maximum full views, sent in one period.
const MAX_ANSWERS_PER_PERIOD: u32 = 64;
const MAX_FULL_VIEWS_PER_PERIOD: u32 = 8;
/// Periods between announcing to leave and having left.
const LEAVE_PERIODS: Micros = 4;

/// One gateway's view and its protocol state. Deterministic: the same options, seed, times and inputs give the same
/// outputs.
pub struct Fleet {
    pub(crate) options: FleetOptions,
    pub(crate) life: Life,
    pub(crate) now: Micros,
    pub(crate) rng: SmallRng,
    pub(crate) member_table: MemberTable,
    pub(crate) node_table: NodeTable,
    pub(crate) gossip_queue: GossipQueue,
    pub(crate) detector: Detector,
    pub(crate) counts: Counts,
    /// Remaining answers and full views in this period.
    pub(crate) answers_left: u32,
    pub(crate) full_views_left: u32,
    view: Arc<View>,
    reported_rejections: BTreeSet<(PeerName, &'static str)>,
    newly_connected: BTreeSet<PeerName>,
    period_at: Micros,
    exchange_at: Micros,
    next_comparison_at: Micros,
    comparison_gap: u32,
    leave_at: Option<Micros>,
    /// Something outside the member table may have changed.
    pub(crate) dirty: bool,
}

impl Fleet {
    /// Creates the state of a gateway that begins this life. The first period starts after a random delay of up to one period.
    pub fn new(mut options: FleetOptions, life: Life, now: Micros, seed: u64) -> Fleet {
        options.period = options.period.max(4);
        options.most_body = options.most_body.max(MIN_BODY_BYTES);
        options.exchange = options.exchange.max(1);
        let mut rng = SmallRng::seed_from_u64(seed);
        let member_table = MemberTable::new(&options, life, now);
        let period = options.period;
        let names: Vec<PeerName> = member_table.others().map(|(name, _)| name.clone()).collect();
        let self_checks_disabled = options.plant == Plant::SelfTrusted;
        let view = View {
            number: 0,
            digest: member_table.digest(),
            at: now,
            own: options.name.clone(),
            members: member_table.members(now),
            nodes: Vec::new(),
        };
        let mut gossip_queue = GossipQueue::new(3 * (1 + log2(member_table.len())));
        gossip_queue.add(GossipItem::Member(options.name.clone()));
        Fleet {
            life,
            now,
            node_table: NodeTable::new(options.most_nodes, period),
            gossip_queue,
            detector: Detector::new(period, now, names.into_iter(), self_checks_disabled),
            counts: Counts::default(),
            answers_left: MAX_ANSWERS_PER_PERIOD,
            full_views_left: MAX_FULL_VIEWS_PER_PERIOD,
            view: Arc::new(view),
            reported_rejections: BTreeSet::new(),
            newly_connected: BTreeSet::new(),
            period_at: now + rng.random_range(0..period),
            exchange_at: now + rng.random_range(0..period),
            next_comparison_at: now,
            comparison_gap: 1,
            leave_at: None,
            dirty: false,
            member_table,
            rng,
            options,
        }
    }

    /// Processes an input at `now` and appends the resulting outputs.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let due = self.next_due();
        self.now = self.now.max(now);
        self.detect_own_pause(due);
        match input {
            Input::Linked(name, life) => self.connected(name, life, out),
            // A closed connection proves nothing, but this peer should be probed next.
            Input::Unlinked(name) => self.detector.probe_soon(&name, false),
            Input::Heard { from, life, body } => self.receive(from, life, &body, out),
            Input::Hold(holding) => {
                let (holding, cut) = holding.bounded();
                self.counts.cut = cut as u64;
                let own = self.own();
                if own.holding != holding {
                    let leaving = own.leaving;
                    self.set_own_record(own.said(holding, leaving));
                }
            }
            Input::Saw(observation) => {
                let gossip_queue =
                    self.node_table.observe(self.now, &self.options.name, self.life, &observation);
                self.queue_node_updates(gossip_queue);
            }
            Input::Renewed(life) => self.begin_life(life),
            Input::Leave => {
                let own = self.own();
                if !own.leaving && !own.left {
                    self.leave_at = Some(self.now + LEAVE_PERIODS * self.options.period);
                    self.set_own_record(own.said(own.holding.clone(), true));
                }
            }
            Input::Left(name, life) => {
                let own = self.options.name.clone();
                self.accept(&own, &name, &Record::left(life), out);
            }
            Input::Tick => {}
        }
        self.run_due(out);
        self.publish(out);
    }

    /// When the next [`Input::Tick`] is due.
    pub fn next_due(&self) -> Micros {
        let standing_due = self.member_table.due().map(|at| at.max(self.detector.grace_ends()));
        [self.detector.due(), standing_due].into_iter().flatten().fold(self.period_at, Micros::min)
    }

    /// The latest snapshot.
    pub fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    /// Traffic and change counters.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub(crate) fn own(&self) -> Record {
        self.member_table.record(&self.options.name).cloned().unwrap_or_else(|| Record::new(self.life))
    }

    fn set_own_record(&mut self, record: Record) {
        self.member_table.set_own_record(record);
        self.gossip_queue.add(GossipItem::Member(self.options.name.clone()));
    }

    pub(crate) fn queue_node_updates(&mut self, gossip_queue: Vec<NodeUpdate>) {
        self.dirty |= !gossip_queue.is_empty();
        gossip_queue.into_iter().for_each(|sighted| self.gossip_queue.add(GossipItem::Node(sighted)));
    }

    /// Detects that this gateway itself was stopped. Otherwise it would see its clock advance and blame the silence on all
    /// others. The cost: real failures are detected later, by the length of the stop plus two periods.
    fn detect_own_pause(&mut self, due: Micros) {
        if self.now > due + self.options.period && self.options.plant != Plant::SelfTrusted {
            self.member_table.extend_suspicions(self.now - due);
            self.detector.resume_after_pause(self.now);
            self.counts.late += 1;
        }
    }

    fn connected(&mut self, name: PeerName, life: Life, out: &mut Vec<Output>) {
        if self.member_table.knows(&name) && name != self.options.name {
            self.accept(&name.clone(), &name, &Record::new(life), out);
            self.newly_connected.insert(name);
        }
    }

    fn begin_life(&mut self, life: Life) {
        let own = self.own();
        let next = Record::new(life);
        if next.rank() > own.rank() && life != own.life() {
            self.life = life;
            self.leave_at = None;
            self.set_own_record(if own.left { next } else { next.said(own.holding, false) });
        }
    }

    /// Processes a member's record received from `from`.
    pub(crate) fn accept(
        &mut self,
        from: &PeerName,
        name: &PeerName,
        theirs: &Record,
        out: &mut Vec<Output>,
    ) {
        if *name == self.options.name {
            return match of_self(&self.own(), theirs, self.options.plant) {
                OfSelf::Known => {}
                OfSelf::Refuted(record) => {
                    self.counts.refutations += 1;
                    self.set_own_record(record);
                }
                OfSelf::Left(record) => self.set_own_record(record),
                OfSelf::NotMine => {
                    self.reject(from, "it reports a later life of this gateway than this one's", out);
                }
                OfSelf::Impossible => {
                    self.reject(from, "it reports a counter that this gateway never reached", out);
                }
            };
        }
        if let Some(why) = self.member_table.rejection_reason(name, theirs, from) {
            return self.reject(from, why, out);
        }
        let merged = self.member_table.merge(self.now, name, theirs);
        match merged {
            MergeOutcome::Unchanged => return,
            MergeOutcome::Updated => {}
            MergeOutcome::NewLife => self.detector.forget_former_life(name),
            MergeOutcome::Refuted => self.detector.refuted(self.now, name),
            MergeOutcome::Suspected => {
                // On average as many members probe for themselves as reduce the timeout to its minimum, so that the witnesses
                // are independent.
                let all = self.member_table.len();
                if self.rng.random_range(0..all) < MOST_WITNESSES {
                    self.detector.probe_soon(name, true);
                }
            }
        }
        self.gossip_queue.add(GossipItem::Member(name.clone()));
    }

    pub(crate) fn reject(&mut self, from: &PeerName, why: &'static str, out: &mut Vec<Output>) {
        self.counts.turned_away += 1;
        // The site file bounds the members; all unknown senders share one key.
        let key = if self.member_table.knows(from) { from.clone() } else { PeerName(String::new()) };
        if self.reported_rejections.insert((key, why)) {
            out.push(Output::TurnedAway { from: from.clone(), why });
        }
    }

    /// Whether nothing was received for so long that all others count as unreachable. This is not announced: an isolated
    /// gateway cannot know whether the others failed.
    fn is_isolated(&self) -> bool {
        let longest = Micros::from(self.options.suspicion.0) * self.options.period;
        self.now - self.detector.last_heard() > longest
    }

    fn suspect(&mut self, name: &PeerName) {
        let Some(record) = self.member_table.record(name) else { return };
        let doubted = record.doubted_by(&self.options.name);
        if self.member_table.merge(self.now, name, &doubted) != MergeOutcome::Unchanged {
            self.counts.suspicions += 1;
            self.gossip_queue.add(GossipItem::Member(name.clone()));
        }
    }

    /// Runs all due work.
    fn run_due(&mut self, out: &mut Vec<Output>) {
        if let Some(probe) = self.detector.indirect_probe_due(self.now) {
            let offered =
                self.others(|s| matches!(s, Standing::Up | Standing::Leaving | Standing::Suspected));
            let offered = offered.into_iter().filter(|name| *name != probe.target).collect();
            let most = self.options.indirect;
            let helpers = self.detector.helpers(self.now, &mut self.rng, most, &probe.target, offered);
            for helper in helpers {
                let ask = Message {
                    number: probe.began,
                    subject: Some(probe.target.clone()),
                    ..Message::new(MessageKind::PingRequest)
                };
                self.send(&helper, ask, out);
            }
            self.send(&probe.target, Message { number: probe.began, ..Message::new(MessageKind::Ping) }, out);
        }
        if let Some(ProbeVerdict::Suspected(name)) = self.detector.finish_probe(self.now) {
            self.suspect(&name);
        }
        self.refresh_standings();
        if self.now >= self.period_at {
            self.run_period(out);
        }
    }

    fn run_period(&mut self, out: &mut Vec<Output>) {
        let period = self.options.period;
        self.period_at = (self.period_at + period).max(self.now + 1);
        (self.answers_left, self.full_views_left) = (MAX_ANSWERS_PER_PERIOD, MAX_FULL_VIEWS_PER_PERIOD);
        // Warm-ups end, reports expire and members that left disappear, all by time alone.
        self.dirty = true;
        let gossip_queue = self.node_table.renew_reports(self.now, &self.options.name, self.life);
        self.queue_node_updates(gossip_queue);
        if self.leave_at.take_if(|at| self.now >= *at).is_some() {
            self.set_own_record(Record::left(self.life));
        }
        self.refresh_standings();
        self.gossip(out);
        if self.own().left {
            return;
        }
        let member_table = &self.member_table;
        let probed = |name: &PeerName| {
            matches!(
                member_table.standing(name),
                Some(Standing::Up | Standing::Suspected | Standing::Leaving)
            )
        };
        if let Some(target) = self.detector.start_probe(self.now, &mut self.rng, probed) {
            self.send(&target, Message { number: self.now, ..Message::new(MessageKind::Ping) }, out);
        }
        self.contact_missing_members(out);
        if self.now >= self.exchange_at {
            let most = 2 * Micros::from(self.options.exchange) * period;
            self.exchange_at = self.now + self.rng.random_range(1..=most);
            let offered = self.others(|s| !matches!(s, Standing::Unreachable | Standing::Left));
            if let Some(to) = choose_one(&mut self.rng, &offered) {
                self.send(&to, Message::new(MessageKind::Compare), out);
            }
        }
    }

    /// Pings randomly chosen unreachable or unknown members of the site file, so that every partition heals eventually, and
    /// compares views with newly connected peers.
    fn contact_missing_members(&mut self, out: &mut Vec<Output>) {
        let offered = self.others(|s| matches!(s, Standing::Unreachable | Standing::Joining));
        let none_up = self.others(|s| matches!(s, Standing::Up | Standing::Suspected)).is_empty();
        let most = if none_up { self.options.fanout.max(1) } else { 1 };
        let mut offered = offered;
        for _ in 0..most {
            let Some(to) = choose_one(&mut self.rng, &offered) else { break };
            offered.retain(|name| *name != to);
            self.send(&to, Message { number: self.now, ..Message::new(MessageKind::Ping) }, out);
        }
        for _ in 0..self.options.fanout {
            let Some(to) = self.newly_connected.pop_first() else { break };
            self.send(&to, Message::new(MessageKind::Compare), out);
        }
    }

    /// Other members whose standing is accepted by the filter.
    pub(crate) fn others(&self, wanted: impl Fn(Standing) -> bool) -> Vec<PeerName> {
        self.member_table.others().filter(|(_, s)| wanted(*s)).map(|(name, _)| name.clone()).collect()
    }

    /// Handles a peer's digest. If it differs and no queued update explains that, requests a view comparison, at growing
    /// intervals while the digests stay different.
    pub(crate) fn handle_digest_comparison(&mut self, from: &PeerName, same: bool, out: &mut Vec<Output>) {
        if same {
            self.comparison_gap = 1;
        } else if self.now >= self.next_comparison_at && !self.gossip_queue.has_members() && !self.own().left
        {
            self.next_comparison_at = self.now + Micros::from(self.comparison_gap) * self.options.period;
            self.comparison_gap = (2 * self.comparison_gap).min(self.options.exchange);
            self.send(from, Message::new(MessageKind::Compare), out);
        }
    }

    /// Recomputes all standings.
    pub(crate) fn refresh_standings(&mut self) {
        let grace = self.detector.is_in_grace(self.now);
        self.counts.standings += self.member_table.refresh_standings(self.now, self.is_isolated(), grace);
    }

    /// Publishes a snapshot if its content changed.
    fn publish(&mut self, out: &mut Vec<Output>) {
        self.refresh_standings();
        if !self.member_table.take_changed() && !std::mem::take(&mut self.dirty) {
            return;
        }
        let members = self.member_table.members(self.now);
        let nodes = self.node_table.facts(self.now);
        let digest = self.member_table.digest();
        let before = &self.view;
        let same_nodes = nodes.len() == before.nodes.len()
            && nodes.iter().zip(&before.nodes).all(|(a, b)| {
                a.node == b.node
                    && a.started == b.started
                    && a.silent_for == b.silent_for
                    && (a.cold_for > 0) == (b.cold_for > 0)
            });
        if digest == before.digest && members == before.members && same_nodes {
            return;
        }
        let number = before.number + 1;
        let own = self.options.name.clone();
        self.view = Arc::new(View { number, digest, at: self.now, own, members, nodes });
        self.counts.changes += 1;
        out.push(Output::Changed(self.view.clone()));
    }
}
