//! What clients do with what they are told: patience, repeats after the advice, tries given up early. Without I/O.

use std::collections::{BTreeSet, HashMap};

use crate::scenario::{Class, Micros, Op};
use crate::workload::Wanted;

/// A pause before a try that never went out, or was lost, is repeated.
const PAUSE: Micros = 20_000;

/// Names a try on the wire; 0 is none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// How a try ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Carried out.
    Served,
    /// Turned away: safe to repeat, after this.
    Refused {
        /// Advice; 0: none.
        advice: Micros,
    },
    /// Effect unknown.
    Failed,
    /// Turned down for its form.
    Invalid,
    /// The connection ended first: effect unknown.
    Lost,
    /// No connection, or no room on one: it never went out.
    NotOffered,
}

/// How a command ended, over all its tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
    /// Carried out.
    Served,
    /// Turned away, the last time too.
    Refused,
    /// Effect unknown.
    Failed,
    /// Turned down for its form.
    Invalid,
    /// Its connection ended.
    Lost,
    /// It never went out.
    NotOffered,
    /// Its client's patience was over.
    GaveUp,
}

/// What is to be done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Act {
    /// Send a try.
    Try {
        /// Its name.
        token: Token,
        /// The command.
        wanted: Wanted,
        /// It is the command's first.
        first: bool,
    },
    /// Nobody waits for a try any more; it may still be answered.
    Forget(Token),
    /// A command ended.
    Done {
        /// The command.
        wanted: Wanted,
        /// How.
        end: End,
        /// Since its intended time.
        latency: Micros,
        /// Tries sent.
        tries: u32,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    /// The client's patience.
    Patience,
    /// The next try.
    Repeat,
    /// The present try is given up.
    Try,
}

#[derive(Debug)]
struct Command {
    wanted: Wanted,
    left: u32,
    tries: u32,
    live: Option<Token>,
}

/// The clients of a run.
#[derive(Debug)]
pub struct Behaviour {
    classes: Vec<Class>,
    salt: u64,
    next: u64,
    commands: HashMap<u64, Command>,
    tries: HashMap<Token, u64>,
    due: BTreeSet<(Micros, u64, Due)>,
}

fn micros(ms: f64) -> Micros {
    (ms * 1000.0) as Micros
}

impl Behaviour {
    /// Clients by a scenario's classes. `salt` tells this run's tokens from those of others: 16 bits.
    pub fn new(classes: Vec<Class>, salt: u16) -> Self {
        Behaviour {
            classes,
            salt: u64::from(salt.max(1)) << 48,
            next: 0,
            commands: HashMap::new(),
            tries: HashMap::new(),
            due: BTreeSet::new(),
        }
    }

    /// Commands that have not ended.
    pub fn open(&self) -> usize {
        self.commands.len()
    }

    /// When [`Behaviour::tick`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        self.due.first().map(|d| d.0)
    }

    /// A command is due. Its patience runs from the intended time.
    pub fn want(&mut self, now: Micros, wanted: Wanted, acts: &mut Vec<Act>) {
        self.next += 1;
        let (id, class) = (self.next, &self.classes[wanted.class]);
        self.due.insert((wanted.intended + micros(class.patience_ms), id, Due::Patience));
        self.commands.insert(id, Command { wanted, left: class.repeats, tries: 0, live: None });
        self.send(now, id, acts);
    }

    fn send(&mut self, now: Micros, id: u64, acts: &mut Vec<Act>) {
        let Some(command) = self.commands.get_mut(&id) else { return };
        self.next += 1;
        let token = Token(self.salt | self.next);
        command.tries += 1;
        command.live = Some(token);
        self.tries.insert(token, id);
        let class = &self.classes[command.wanted.class];
        if class.try_ms > 0.0 && command.left > 0 {
            self.due.insert((now + micros(class.try_ms), id, Due::Try));
        }
        acts.push(Act::Try { token, wanted: command.wanted, first: command.tries == 1 });
    }

    /// A try ended. One that nobody waits for any more is passed over; whether anybody did.
    pub fn ended(&mut self, now: Micros, token: Token, outcome: Outcome, acts: &mut Vec<Act>) -> bool {
        let Some(id) = self.tries.remove(&token) else { return false };
        let Some(command) = self.commands.get_mut(&id).filter(|c| c.live == Some(token)) else {
            return false;
        };
        command.live = None;
        let class = &self.classes[command.wanted.class];
        // A write of which nothing is known is never repeated: a second effect would be its client's own doing.
        let known = class.op != Op::Write || matches!(outcome, Outcome::Refused { .. } | Outcome::NotOffered);
        let pause = match outcome {
            Outcome::Served => return self.done(now, id, End::Served, acts),
            Outcome::Invalid => return self.done(now, id, End::Invalid, acts),
            Outcome::Refused { advice } => advice.max(1000),
            Outcome::Failed | Outcome::Lost | Outcome::NotOffered => PAUSE,
        };
        let patience = command.wanted.intended + micros(class.patience_ms);
        if known && command.left > 0 && now + pause < patience {
            command.left -= 1;
            self.due.insert((now + pause, id, Due::Repeat));
            return true;
        }
        let end = match outcome {
            Outcome::Refused { .. } => End::Refused,
            Outcome::Lost => End::Lost,
            Outcome::NotOffered => End::NotOffered,
            _ => End::Failed,
        };
        self.done(now, id, end, acts)
    }

    fn done(&mut self, now: Micros, id: u64, end: End, acts: &mut Vec<Act>) -> bool {
        let Some(command) = self.commands.remove(&id) else { return false };
        let class = &self.classes[command.wanted.class];
        self.due.remove(&(command.wanted.intended + micros(class.patience_ms), id, Due::Patience));
        if let Some(token) = command.live {
            self.tries.remove(&token);
            acts.push(Act::Forget(token));
        }
        let latency = now - command.wanted.intended;
        acts.push(Act::Done { wanted: command.wanted, end, latency, tries: command.tries });
        true
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Micros, acts: &mut Vec<Act>) {
        while let Some(&(at, id, due)) = self.due.first()
            && at <= now
        {
            self.due.pop_first();
            match due {
                Due::Patience => {
                    self.done(now, id, End::GaveUp, acts);
                }
                Due::Repeat => self.send(now, id, acts),
                Due::Try => self.give_try_up(now, id, acts),
            }
        }
    }

    /// An impatient client repeats while its first try may still run: the first one's answer then goes to nobody.
    fn give_try_up(&mut self, now: Micros, id: u64, acts: &mut Vec<Act>) {
        let Some(command) = self.commands.get_mut(&id) else { return };
        let Some(token) = command.live.filter(|_| command.left > 0) else { return };
        command.left -= 1;
        self.tries.remove(&token);
        acts.push(Act::Forget(token));
        self.send(now, id, acts);
    }

    /// Ends everything that is open, at the end of a run.
    pub fn end_all(&mut self, now: Micros, acts: &mut Vec<Act>) {
        let mut open: Vec<u64> = self.commands.keys().copied().collect();
        open.sort_unstable();
        for id in open {
            self.done(now, id, End::GaveUp, acts);
        }
    }
}
