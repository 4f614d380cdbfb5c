//! An agent in virtual time that does anything with a call, and the machine that makes the calls.

#![allow(dead_code)] // Each test file uses a part of it.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use platform::SocketId;
use proptest::prelude::*;

use crate::common::*;

pub const SECOND: i64 = 1_000_000;
/// What a ready agent takes for a way up, and for an answer.
pub const NEAR: i64 = 1_000;
/// A watch that shows nothing for so long is doubted: the platform's empty line every 2 s, and half a second.
pub const SILENCE: i64 = 2_500_000;
/// Agents write an empty line so often.
const BEAT: i64 = 2_000_000;
/// After SIGHUP the discovery before closes what is open.
const OLD_ENDS: i64 = 1_500_000;
/// The version that the machine remembers at its start.
const KNOWN: u64 = 5;

/// What becomes of a call, or of an open watch, while the agent cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Turned away; so does one for which there is no descriptor look.
    Refused,
    /// Its way up never comes up.
    Hangs,
    /// It comes up so late, and is then treated as one that was made then.
    UpLate(i64),
    /// It comes up, and nothing is ever said on it; or nothing until the agent is back.
    Mute,
    Reset,
    /// Answered with an error.
    Error,
    /// Answered with what is no HTTP.
    Garbage,
    /// Answered with what is no JSON.
    Noise,
    /// Answered with an object that is no list, again and again.
    Foreign,
    /// Answered with a head only.
    Head,
    /// Answered as it should be, then ended.
    ThenEnded,
    /// Answered as it should be, then silent.
    ThenSilent,
    /// Answered with a list that comes byte by byte and never whole.
    Trickles,
}

pub fn fate() -> impl Strategy<Value = Fate> {
    use Fate::*;
    let late = (1..2 * SECOND).prop_map(UpLate);
    let rest = vec![
        Refused, Hangs, Mute, Reset, Error, Garbage, Noise, Foreign, Head, ThenEnded, ThenSilent, Trickles,
    ];
    prop_oneof![1 => late, 8 => prop::sample::select(rest)]
}

/// How an agent does over time: first it is ready.
#[derive(Clone, Debug)]
pub struct Course {
    /// Pairs: cannot be used for so long, then is ready for so long.
    pub turns: Vec<(i64, i64)>,
    /// What becomes of each call, and of each watch that is open as the agent becomes useless, in turn.
    pub fates: Vec<Fate>,
    /// Calls that nobody answered are answered when the agent is back.
    pub catches_up: bool,
    /// Times of changes, and of SIGHUP.
    pub changes: Vec<i64>,
    pub hups: Vec<i64>,
    pub indented: bool,
}

enum Event {
    Up(SocketId),
    Answer(SocketId),
    Beat(SocketId),
    Tells(SocketId),
    /// A byte of a list that is never whole.
    Byte(SocketId, usize),
    Foreign(SocketId),
    End(SocketId),
    Ready(bool),
    Change,
    Hup,
}

struct Call {
    fate: Option<Fate>,
    /// The version told last, once it was asked for.
    told: Option<u64>,
    /// It is followed: every change is told on it, and a line every 2 s.
    followed: bool,
}

/// What was seen.
#[derive(Default)]
pub struct Seen {
    /// When each call was made.
    pub calls: Vec<i64>,
    /// The most that were open at a time.
    pub most: usize,
    /// When each version was first in force.
    pub in_force: BTreeMap<u64, i64>,
    /// As the agent became ready: when a watch that was open, and of no use, last showed that it was followed.
    pub believed: BTreeMap<i64, i64>,
}

/// One machine and its agent.
pub struct Play<'a> {
    pub stage: Stage,
    course: &'a Course,
    ready: bool,
    version: u64,
    queue: BTreeMap<(i64, u64), Event>,
    number: u64,
    calls: BTreeMap<SocketId, Call>,
    /// When something that shows that a watch is followed was last sent on it.
    shown: BTreeMap<SocketId, i64>,
    drawn: usize,
    address: u16,
    pub seen: Seen,
}

impl<'a> Play<'a> {
    pub fn new(seed: u64, grace: i64, course: &'a Course) -> Self {
        let members =
            [member("a", address(100), 0, "in_service"), member("b", address(101), 1, "in_service")];
        let mut config = config(address(1), 512, &list(KNOWN, true, &members));
        (config.seed, config.settings.drain_grace) = (seed, grace);
        let mut play = Play {
            stage: Stage::of(&config, ROOMY),
            course,
            ready: true,
            version: KNOWN,
            queue: BTreeMap::new(),
            number: 0,
            calls: BTreeMap::new(),
            shown: BTreeMap::new(),
            drawn: 0,
            address: 1,
            seen: Seen::default(),
        };
        let begin = play.stage.now;
        let mut at = begin;
        for &(away, there) in &course.turns {
            play.plan(at + away, Event::Ready(true));
            if at > begin {
                play.plan(at, Event::Ready(false));
            }
            at += away + there;
        }
        // The first turn begins with the process: the agent cannot be used from its first moment.
        play.ready = course.turns.first().is_none_or(|t| t.0 == 0);
        course.changes.iter().for_each(|&c| play.plan(begin + c, Event::Change));
        course.hups.iter().for_each(|&h| play.plan(begin + h, Event::Hup));
        play
    }

    fn plan(&mut self, at: i64, event: Event) {
        self.queue.insert((at, self.number), event);
        self.number += 1;
    }

    fn soon(&mut self, after: i64, event: Event) {
        self.plan(self.stage.now + after, event);
    }

    /// Plays on for so long.
    pub fn run(&mut self, span: i64) {
        let end = self.stage.now + span;
        self.look();
        loop {
            let event = self.queue.first_key_value().map_or(i64::MAX, |(k, _)| k.0);
            let then = event.min(self.stage.machine.next_due()).min(end).max(self.stage.now);
            self.stage.pass(then - self.stage.now);
            self.look();
            while let Some(first) = self.queue.first_entry().filter(|e| e.key().0 <= then) {
                let event = first.remove();
                self.event(event);
                self.look();
            }
            if then >= end {
                return;
            }
        }
    }

    fn draw(&mut self) -> Fate {
        self.drawn += 1;
        self.course.fates[(self.drawn - 1) % self.course.fates.len()]
    }

    /// What the machine did: calls made and given up, versions that are in force.
    fn look(&mut self) {
        let now = self.stage.now;
        self.calls.retain(|socket, _| !self.stage.closed.contains(socket));
        let new: Vec<(SocketId, SocketAddr)> =
            self.stage.connecting.iter().filter(|c| matches!(c.0, SocketId::Discovery(_))).copied().collect();
        for (socket, at) in new {
            let asked_for = self.stage.connecting.iter().any(|c| c.0 == socket);
            if self.calls.contains_key(&socket) || !asked_for {
                continue;
            }
            assert_eq!(at, address(self.address), "the discovery in force is called");
            self.seen.calls.push(now);
            let fate = (!self.ready).then(|| self.draw());
            self.calls.insert(socket, Call { fate, told: None, followed: false });
            self.seen.most = self.seen.most.max(self.calls.len());
            match fate {
                Some(Fate::Refused) => self.ended(socket),
                Some(Fate::Hangs) => {}
                Some(Fate::UpLate(late)) => self.soon(late, Event::Up(socket)),
                _ => self.soon(NEAR, Event::Up(socket)),
            }
        }
        let nodes = self.stage.machine.summary();
        let nodes = nodes.split(' ').find_map(|part| part.strip_prefix("nodes=")?.parse::<u64>().ok());
        let learnt = KNOWN + nodes.expect("a count of nodes") - 2;
        for version in KNOWN + 1..=learnt {
            self.seen.in_force.entry(version).or_insert(now);
        }
    }

    fn ended(&mut self, socket: SocketId) {
        if self.calls.remove(&socket).is_some() {
            self.stage.ended(socket, true);
            self.look();
        }
    }

    /// Bytes on a call that is open; `shows`: they show that it is followed.
    fn say(&mut self, socket: SocketId, text: &str, shows: bool) {
        if self.calls.contains_key(&socket) {
            if shows {
                self.shown.insert(socket, self.stage.now);
            }
            self.stage.bytes(socket, text);
            self.look();
        }
    }

    fn chunk(&mut self, socket: SocketId, text: &str, shows: bool) {
        self.say(socket, &format!("{:x}\r\n{text}\r\n", text.len()), shows);
    }

    /// What changed after a version.
    fn changes(&self, after: u64) -> String {
        let new = |v: u64| member(&format!("n{v}"), address(200 + v as u16), 0, "in_service");
        let members: Vec<serde_json::Value> = (after + 1..=self.version).map(new).collect();
        let list = list(self.version, false, &members);
        if self.course.indented { format!("\n{list:#}\n") } else { format!("{list}\n") }
    }

    /// Tells what was not told, or that there is nothing.
    fn tell(&mut self, socket: SocketId) {
        let Some(call) = self.calls.get_mut(&socket) else { return };
        let after = call.told.replace(self.version).unwrap_or(KNOWN);
        let text = if after < self.version { self.changes(after) } else { "\n".to_owned() };
        self.chunk(socket, &text, true);
    }

    fn event(&mut self, event: Event) {
        match event {
            Event::Up(socket) if self.calls.contains_key(&socket) => {
                self.stage.up(socket);
                let ask = self.stage.take(socket);
                let after = ask.split("after=").nth(1).and_then(|t| t.split(' ').next()?.parse().ok());
                if let Some(call) = self.calls.get_mut(&socket) {
                    call.told = after;
                    if matches!(call.fate, Some(Fate::UpLate(_))) {
                        call.fate = (!self.ready).then_some(Fate::Mute);
                    }
                }
                self.soon(NEAR, Event::Answer(socket));
            }
            Event::Answer(socket) => self.answer(socket),
            Event::Beat(socket) if self.calls.get(&socket).is_some_and(|c| c.followed) => {
                self.tell(socket);
                self.soon(BEAT, Event::Beat(socket));
            }
            Event::Tells(socket) if self.calls.get(&socket).is_some_and(|c| c.followed) => self.tell(socket),
            Event::Byte(socket, at) => {
                let text = format!("{}\"long\":\"{}", r#"{"revision":9,"#, "x".repeat(200));
                if let Some(byte) = text.get(at..at + 1) {
                    self.chunk(socket, byte, at == 0);
                    self.soon(300_000, Event::Byte(socket, at + 1));
                }
            }
            Event::Foreign(socket) => {
                self.chunk(socket, "{\"error\": \"later\"}\n", false);
                if self.calls.contains_key(&socket) {
                    self.soon(SECOND, Event::Foreign(socket));
                }
            }
            Event::End(socket) => self.ended(socket),
            Event::Ready(ready) => self.turns(ready),
            Event::Change => {
                self.version += 1;
                self.followed().into_iter().for_each(|c| self.soon(NEAR, Event::Tells(c)));
            }
            Event::Hup => {
                self.address += 1;
                let old: Vec<SocketId> = self.calls.keys().copied().collect();
                old.into_iter().for_each(|c| self.soon(OLD_ENDS, Event::End(c)));
                self.stage.machine.reconfigured(self.stage.now, address(self.address));
                self.stage.carry_out();
            }
            Event::Up(_) | Event::Beat(_) | Event::Tells(_) => {}
        }
    }

    fn followed(&self) -> Vec<SocketId> {
        self.calls.iter().filter(|(_, c)| c.followed).map(|(s, _)| *s).collect()
    }

    fn turns(&mut self, ready: bool) {
        self.ready = ready;
        if ready {
            let open = self.calls.keys().filter_map(|c| self.shown.get(c)).max();
            self.seen.believed.insert(self.stage.now, open.copied().unwrap_or(0));
            let mute = |c: &Call| c.fate == Some(Fate::Mute) && c.told.is_some();
            let mute: Vec<SocketId> = self.calls.iter().filter(|(_, c)| mute(c)).map(|(s, _)| *s).collect();
            for call in mute.into_iter().filter(|_| self.course.catches_up) {
                self.calls.get_mut(&call).expect("it is open").fate = None;
                self.soon(NEAR, Event::Answer(call));
            }
            return;
        }
        for socket in self.followed() {
            let fate = self.draw();
            let call = self.calls.get_mut(&socket).expect("it is open");
            call.followed = false;
            match fate {
                Fate::Refused | Fate::Reset | Fate::Error | Fate::ThenEnded => self.ended(socket),
                Fate::Noise => self.chunk(socket, "<html>", false),
                Fate::Garbage => self.say(socket, "zz\r\n", false),
                Fate::Foreign => self.soon(NEAR, Event::Foreign(socket)),
                Fate::Trickles => self.soon(NEAR, Event::Byte(socket, 0)),
                _ => {}
            }
        }
    }

    fn answer(&mut self, socket: SocketId) {
        let Some(call) = self.calls.get_mut(&socket) else { return };
        // What it is asked while it is ready it answers, and nothing that it is asked while it is not.
        match call.fate {
            None if !self.ready => call.fate = Some(Fate::Mute),
            Some(fate) if self.ready && fate != Fate::Mute => call.fate = None,
            _ => {}
        }
        match call.fate {
            None => {
                call.followed = true;
                self.say(socket, WATCHED, false);
                self.tell(socket);
                self.soon(BEAT, Event::Beat(socket));
            }
            Some(Fate::Reset) => self.ended(socket),
            Some(Fate::Error) => self.say(socket, "HTTP/1.1 503 Down\r\nContent-Length: 2\r\n\r\nno", false),
            Some(Fate::Garbage) => self.say(socket, "what is this\r\n\r\n", false),
            Some(Fate::Noise) => {
                self.say(socket, WATCHED, false);
                self.chunk(socket, "<html>", false);
            }
            Some(Fate::Head) => self.say(socket, WATCHED, false),
            Some(Fate::Foreign) => {
                self.say(socket, WATCHED, false);
                self.soon(0, Event::Foreign(socket));
            }
            Some(Fate::Trickles) => {
                self.say(socket, WATCHED, false);
                self.soon(0, Event::Byte(socket, 0));
            }
            Some(fate @ (Fate::ThenEnded | Fate::ThenSilent)) => {
                self.say(socket, WATCHED, false);
                self.tell(socket);
                if fate == Fate::ThenEnded {
                    self.soon(NEAR, Event::End(socket));
                }
            }
            Some(Fate::Refused | Fate::Hangs | Fate::UpLate(_) | Fate::Mute) => {}
        }
    }
}
