//! One gateway's part in the fleet.

use std::collections::BTreeSet;
use std::sync::Arc;

use peer::{Life, PeerName};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::Micros;
use crate::counts::Counts;
use crate::detector::{Detector, Judged, one_of};
use crate::input::{Input, Output};
use crate::member::Standing;
use crate::merge::{OfSelf, of_self};
use crate::message::{Note, Sort};
use crate::news::{Item, News};
use crate::options::{FleetOptions, Plant, log2};
use crate::record::{MOST_WITNESSES, Record};
use crate::roll::{Merged, Roll};
use crate::sights::{Sighted, Sights};
use crate::view::View;

/// The least that a note's bound can be: the largest record has to fit in.
const LEAST_BODY: usize = 8 << 10;
/// Answers to pings and asks, and whole views, that are sent in one period at most.
const MOST_ANSWERS: u32 = 64;
const MOST_VIEWS: u32 = 8;
/// Periods from leaving to left.
const LEAVING: Micros = 4;

/// The view of one gateway in one life, and what it says and hears of it. Deterministic: the same options, seed, times and
/// inputs give the same outputs.
pub struct Fleet {
    pub(crate) options: FleetOptions,
    pub(crate) life: Life,
    pub(crate) now: Micros,
    pub(crate) rng: SmallRng,
    pub(crate) roll: Roll,
    pub(crate) sights: Sights,
    pub(crate) news: News,
    pub(crate) detector: Detector,
    pub(crate) counts: Counts,
    /// What this period still bears.
    pub(crate) answers: u32,
    pub(crate) views: u32,
    view: Arc<View>,
    turned: BTreeSet<(PeerName, &'static str)>,
    greet: BTreeSet<PeerName>,
    period_at: Micros,
    exchange_at: Micros,
    provoke_at: Micros,
    provoke_gap: u32,
    leave_at: Option<Micros>,
    /// Something that is not in the roll may have changed.
    pub(crate) dirty: bool,
}

impl Fleet {
    /// A gateway that begins this life. Its first period begins within one, drawn.
    pub fn new(mut options: FleetOptions, life: Life, now: Micros, seed: u64) -> Fleet {
        options.period = options.period.max(4);
        options.most_body = options.most_body.max(LEAST_BODY);
        options.exchange = options.exchange.max(1);
        let mut rng = SmallRng::seed_from_u64(seed);
        let roll = Roll::new(&options, life, now);
        let period = options.period;
        let names: Vec<PeerName> = roll.others().map(|(name, _)| name.clone()).collect();
        let trusts_itself = options.plant == Plant::SelfTrusted;
        let view = View {
            number: 0,
            digest: roll.digest(),
            at: now,
            own: options.name.clone(),
            members: roll.members(now),
            nodes: Vec::new(),
        };
        let mut news = News::new(3 * (1 + log2(roll.len())));
        news.add(Item::Member(options.name.clone()));
        Fleet {
            life,
            now,
            sights: Sights::new(options.most_nodes, period),
            news,
            detector: Detector::new(period, now, names.into_iter(), trusts_itself),
            counts: Counts::default(),
            answers: MOST_ANSWERS,
            views: MOST_VIEWS,
            view: Arc::new(view),
            turned: BTreeSet::new(),
            greet: BTreeSet::new(),
            period_at: now + rng.random_range(0..period),
            exchange_at: now + rng.random_range(0..period),
            provoke_at: now,
            provoke_gap: 1,
            leave_at: None,
            dirty: false,
            roll,
            rng,
            options,
        }
    }

    /// Takes what happened at `now` and appends what is to be done.
    pub fn handle(&mut self, now: Micros, input: Input, out: &mut Vec<Output>) {
        let due = self.next_due();
        self.now = self.now.max(now);
        self.watch_itself(due);
        match input {
            Input::Linked(name, life) => self.linked(name, life, out),
            // No proof of anything; but whoever is asked next should be this one.
            Input::Unlinked(name) => self.detector.hurry(&name, false),
            Input::Heard { from, life, body } => self.heard(from, life, &body, out),
            Input::Hold(holding) => {
                let (holding, cut) = holding.bounded();
                self.counts.cut = cut as u64;
                let own = self.own();
                if own.holding != holding {
                    let leaving = own.leaving;
                    self.say(own.said(holding, leaving));
                }
            }
            Input::Saw(sight) => {
                let news = self.sights.saw(self.now, &self.options.name, self.life, &sight);
                self.spread(news);
            }
            Input::Renewed(life) => self.renewed(life),
            Input::Leave => {
                let own = self.own();
                if !own.leaving && !own.left {
                    self.leave_at = Some(self.now + LEAVING * self.options.period);
                    self.say(own.said(own.holding.clone(), true));
                }
            }
            Input::Left(name, life) => {
                let own = self.options.name.clone();
                self.accept(&own, &name, &Record::left(life), out);
            }
            Input::Tick => {}
        }
        self.run(out);
        self.publish(out);
    }

    /// When it wants the next [`Input::Tick`].
    pub fn next_due(&self) -> Micros {
        let stands = self.roll.due().map(|at| at.max(self.detector.grace_ends()));
        [self.detector.due(), stands].into_iter().flatten().fold(self.period_at, Micros::min)
    }

    /// The latest snapshot.
    pub fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    /// What it cost and how often it changed.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    pub(crate) fn own(&self) -> Record {
        self.roll.record(&self.options.name).cloned().unwrap_or_else(|| Record::new(self.life))
    }

    fn say(&mut self, record: Record) {
        self.roll.say(record);
        self.news.add(Item::Member(self.options.name.clone()));
    }

    pub(crate) fn spread(&mut self, news: Vec<Sighted>) {
        self.dirty |= !news.is_empty();
        news.into_iter().for_each(|sighted| self.news.add(Item::Node(sighted)));
    }

    /// Danger: who was stopped for a while sees only its own clock run on, and would take everybody's silence for theirs.
    /// Harm: a true silence is told later by as long as this gateway was stopped, and two periods.
    fn watch_itself(&mut self, due: Micros) {
        if self.now > due + self.options.period && self.options.plant != Plant::SelfTrusted {
            self.roll.shift(self.now - due);
            self.detector.late(self.now);
            self.counts.late += 1;
        }
    }

    fn linked(&mut self, name: PeerName, life: Life, out: &mut Vec<Output>) {
        if self.roll.knows(&name) && name != self.options.name {
            self.accept(&name.clone(), &name, &Record::new(life), out);
            self.greet.insert(name);
        }
    }

    fn renewed(&mut self, life: Life) {
        let own = self.own();
        let next = Record::new(life);
        if next.rank() > own.rank() && life != own.life() {
            self.life = life;
            self.leave_at = None;
            self.say(if own.left { next } else { next.said(own.holding, false) });
        }
    }

    /// Takes a record that `from` tells of a member.
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
                    self.say(record);
                }
                OfSelf::Left(record) => self.say(record),
                OfSelf::NotMine => {
                    self.turn_away(from, "it tells a later life of this gateway than this one's", out);
                }
                OfSelf::Impossible => {
                    self.turn_away(from, "it tells a counter that this gateway never reached", out);
                }
            };
        }
        if let Some(why) = self.roll.wrong(name, theirs, from) {
            return self.turn_away(from, why, out);
        }
        let merged = self.roll.merge(self.now, name, theirs);
        match merged {
            Merged::Nothing => return,
            Merged::News => {}
            Merged::Renewed => self.detector.renewed(name),
            Merged::Refuted => self.detector.refuted(self.now, name),
            Merged::Doubted => {
                // So many of all look for themselves as make the suspicion short: witnesses that are independent.
                let all = self.roll.len();
                if self.rng.random_range(0..all) < MOST_WITNESSES {
                    self.detector.hurry(name, true);
                }
            }
        }
        self.news.add(Item::Member(name.clone()));
    }

    pub(crate) fn turn_away(&mut self, from: &PeerName, why: &'static str, out: &mut Vec<Output>) {
        self.counts.turned_away += 1;
        // Members are bounded by the site file; whoever is in none is named under one name.
        let key = if self.roll.knows(from) { from.clone() } else { PeerName(String::new()) };
        if self.turned.insert((key, why)) {
            out.push(Output::TurnedAway { from: from.clone(), why });
        }
    }

    /// Whether nobody has been heard for so long that all others are unreachable from here. It is told to nobody: who is
    /// alone cannot know whether it is the others.
    fn is_alone(&self) -> bool {
        let longest = Micros::from(self.options.suspicion.0) * self.options.period;
        self.now - self.detector.last_heard() > longest
    }

    fn doubt(&mut self, name: &PeerName) {
        let Some(record) = self.roll.record(name) else { return };
        let doubted = record.doubted_by(&self.options.name);
        if self.roll.merge(self.now, name, &doubted) != Merged::Nothing {
            self.counts.suspicions += 1;
            self.news.add(Item::Member(name.clone()));
        }
    }

    /// Does what is due.
    fn run(&mut self, out: &mut Vec<Output>) {
        if let Some(probe) = self.detector.relay(self.now) {
            let offered =
                self.others(|s| matches!(s, Standing::Up | Standing::Leaving | Standing::Suspected));
            let offered = offered.into_iter().filter(|name| *name != probe.target).collect();
            let most = self.options.indirect;
            let helpers = self.detector.helpers(self.now, &mut self.rng, most, &probe.target, offered);
            for helper in helpers {
                let ask =
                    Note { number: probe.began, about: Some(probe.target.clone()), ..Note::new(Sort::Ask) };
                self.send(&helper, ask, out);
            }
            self.send(&probe.target, Note { number: probe.began, ..Note::new(Sort::Ping) }, out);
        }
        if let Some(Judged::Doubted(name)) = self.detector.judge(self.now) {
            self.doubt(&name);
        }
        self.restand();
        if self.now >= self.period_at {
            self.period(out);
        }
    }

    fn period(&mut self, out: &mut Vec<Output>) {
        let period = self.options.period;
        self.period_at = (self.period_at + period).max(self.now + 1);
        (self.answers, self.views) = (MOST_ANSWERS, MOST_VIEWS);
        // Coldness ends, words run out, who left is forgotten: all by time alone.
        self.dirty = true;
        let news = self.sights.renew(self.now, &self.options.name, self.life);
        self.spread(news);
        if self.leave_at.take_if(|at| self.now >= *at).is_some() {
            self.say(Record::left(self.life));
        }
        self.restand();
        self.gossip(out);
        if self.own().left {
            return;
        }
        let roll = &self.roll;
        let probed = |name: &PeerName| {
            matches!(roll.standing(name), Some(Standing::Up | Standing::Suspected | Standing::Leaving))
        };
        if let Some(target) = self.detector.begin(self.now, &mut self.rng, probed) {
            self.send(&target, Note { number: self.now, ..Note::new(Sort::Ping) }, out);
        }
        self.knock(out);
        if self.now >= self.exchange_at {
            let most = 2 * Micros::from(self.options.exchange) * period;
            self.exchange_at = self.now + self.rng.random_range(1..=most);
            let offered = self.others(|s| !matches!(s, Standing::Unreachable | Standing::Left));
            if let Some(to) = one_of(&mut self.rng, &offered) {
                self.send(&to, Note::new(Sort::Compare), out);
            }
        }
    }

    /// Calls members that nobody reaches or has heard of, drawn: the site file names them, so that no cut is for ever.
    fn knock(&mut self, out: &mut Vec<Output>) {
        let offered = self.others(|s| matches!(s, Standing::Unreachable | Standing::Joining));
        let young = self.others(|s| matches!(s, Standing::Up | Standing::Suspected)).is_empty();
        let most = if young { self.options.fanout.max(1) } else { 1 };
        let mut offered = offered;
        for _ in 0..most {
            let Some(to) = one_of(&mut self.rng, &offered) else { break };
            offered.retain(|name| *name != to);
            self.send(&to, Note { number: self.now, ..Note::new(Sort::Ping) }, out);
        }
        for _ in 0..self.options.fanout {
            let Some(to) = self.greet.pop_first() else { break };
            self.send(&to, Note::new(Sort::Compare), out);
        }
    }

    /// Other members that stand so.
    pub(crate) fn others(&self, wanted: impl Fn(Standing) -> bool) -> Vec<PeerName> {
        self.roll.others().filter(|(_, s)| wanted(*s)).map(|(name, _)| name.clone()).collect()
    }

    /// A note showed whether its sender holds the same. If not, and nothing is on its way that would explain it, views
    /// are compared, each time after a longer gap while that does not help.
    pub(crate) fn compared(&mut self, from: &PeerName, same: bool, out: &mut Vec<Output>) {
        if same {
            self.provoke_gap = 1;
        } else if self.now >= self.provoke_at && !self.news.has_members() && !self.own().left {
            self.provoke_at = self.now + Micros::from(self.provoke_gap) * self.options.period;
            self.provoke_gap = (2 * self.provoke_gap).min(self.options.exchange);
            self.send(from, Note::new(Sort::Compare), out);
        }
    }

    /// Brings the standings up to date.
    pub(crate) fn restand(&mut self) {
        let grace = self.detector.is_in_grace(self.now);
        self.counts.standings += self.roll.stand(self.now, self.is_alone(), grace);
    }

    /// Publishes a snapshot if anything in it is new.
    fn publish(&mut self, out: &mut Vec<Output>) {
        self.restand();
        if !self.roll.take_changed() && !std::mem::take(&mut self.dirty) {
            return;
        }
        let members = self.roll.members(self.now);
        let nodes = self.sights.facts(self.now);
        let digest = self.roll.digest();
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
