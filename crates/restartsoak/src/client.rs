//! Stand-in clients: each keeps to one habit, on connections of its own, and writes down what became of each request.

use std::collections::VecDeque;
use std::net::{SocketAddr, TcpStream};
use std::ops::RangeInclusive;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicUsize, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::http::{Message, NoMessage, Side, Wire};
use crate::plan::{Effect, Plan};
use crate::records::{MILLI, Micros, Outcome, Recorder, Request, SECOND, Unasked, now};
use crate::settings::LARGEST;
use crate::torn;

/// A connect takes so long at most.
const CONNECT: Duration = Duration::from_millis(200);
/// Behind a refused connection or one that ended, a client comes again after this at the earliest.
const COME_AGAIN: Micros = 5 * MILLI;
/// A request that has no answer this long after its time is lost.
const OVERDUE: Micros = 600 * MILLI;
/// Where a client waits for another's moment, it looks this often.
const LOOK: Micros = 2 * MILLI;

/// How a client behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Habit {
    /// One request behind the other for as long as its connection stays open.
    NeverStops,
    /// Rests between requests, and comes back within the time in which the gateway ends.
    Rests,
    /// Several requests at once.
    Pipelines,
    /// Requests in pieces.
    SendsInPieces,
    /// Requests in small pieces, almost as slowly as may be.
    WritesSlowly,
    /// Goes before its answer.
    Leaves,
    /// A new connection for each request.
    ComesAnew,
}

/// Each of them, as often as it takes.
const HABITS: [Habit; 12] = [
    Habit::NeverStops,
    Habit::NeverStops,
    Habit::Rests,
    Habit::Rests,
    Habit::Rests,
    Habit::Pipelines,
    Habit::Pipelines,
    Habit::SendsInPieces,
    Habit::SendsInPieces,
    Habit::Leaves,
    Habit::Leaves,
    Habit::ComesAnew,
];

/// Clients that are there beside them where the plan is one of splits.
const SLOW_HABITS: [Habit; 3] = [Habit::WritesSlowly, Habit::WritesSlowly, Habit::Pipelines];
/// The pieces of a request that is written slowly, and the longest pause before one: well within the 2 s that a request may take to come.
const SLOW_PIECES: RangeInclusive<usize> = 4..=8;
const SLOW_PAUSE: Micros = 180 * MILLI;
/// A long body, in words.
const LONG_BODY: RangeInclusive<usize> = 100..=5_000;

/// The habits of all clients of a plan.
fn habits(plan: &Plan) -> Vec<Habit> {
    let Some(split) = &plan.split else { return HABITS.to_vec() };
    let crew = HABITS.iter().chain(&SLOW_HABITS);
    crew.copied().cycle().take(split.crews * (HABITS.len() + SLOW_HABITS.len())).collect()
}

/// What clients see of the gateway beside its sockets.
#[derive(Debug, Default)]
pub(crate) struct Scene {
    /// When the gateway was told to end; 0 while it was not.
    pub(crate) told: AtomicI64,
    /// From when on new connections do not come; 0 while they do.
    pub(crate) closed: AtomicI64,
    /// SIGKILL comes so long after SIGTERM.
    pub(crate) kill_after: AtomicI64,
    /// The play is over.
    pub(crate) is_over: AtomicBool,
    connections: AtomicUsize,
}

impl Scene {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::SeqCst)
    }

    /// Whether new connections come now.
    fn is_open(&self) -> bool {
        let closed = self.closed.load(Ordering::SeqCst);
        closed == 0 || now() < closed
    }
}

/// Starts all clients.
pub(crate) fn start(
    plan: &Arc<Plan>,
    gateway: SocketAddr,
    scene: &Arc<Scene>,
    recorder: &Arc<Recorder>,
) -> Vec<JoinHandle<()>> {
    let client = |(number, habit): (usize, Habit)| {
        let mut client = Client {
            number,
            habit,
            plan: plan.clone(),
            gateway,
            scene: scene.clone(),
            recorder: recorder.clone(),
            random: StdRng::seed_from_u64(plan.seed.wrapping_mul(1_000).wrapping_add(number as u64)),
            asked: 0,
        };
        thread::spawn(move || client.run())
    };
    habits(plan).into_iter().enumerate().map(client).collect()
}

/// Starts idle clients that keep their connections open, and come again where these end.
pub(crate) fn start_crowd(count: usize, gateway: SocketAddr, scene: &Arc<Scene>) -> Option<JoinHandle<()>> {
    let scene = scene.clone();
    (count > 0).then(|| {
        thread::spawn(move || {
            let mut idle = VecDeque::new();
            while !scene.is_over() {
                match TcpStream::connect_timeout(&gateway, CONNECT) {
                    Ok(stream) => idle.push_back(stream),
                    Err(_) => pause(COME_AGAIN),
                }
                if idle.len() > count {
                    idle.pop_front();
                    pause(10 * COME_AGAIN);
                }
            }
        })
    })
}

/// Lets a drawn time pass.
pub(crate) fn pause(time: Micros) {
    thread::sleep(Duration::from_micros(time.max(0) as u64));
}

struct Client {
    number: usize,
    habit: Habit,
    plan: Arc<Plan>,
    gateway: SocketAddr,
    scene: Arc<Scene>,
    recorder: Arc<Recorder>,
    random: StdRng,
    asked: u64,
}

/// A connection, and the requests on it that have no answer yet.
struct Open {
    wire: Wire,
    number: usize,
    place: usize,
    waiting: VecDeque<Request>,
    /// From when on its last requests were written.
    asked: Micros,
}

impl Client {
    fn run(&mut self) {
        while !self.scene.is_over() {
            match self.connect() {
                Some(open) => self.use_up(open),
                None => pause(COME_AGAIN),
            }
        }
    }

    fn connect(&self) -> Option<Open> {
        if !self.scene.is_open() {
            return None;
        }
        let stream = TcpStream::connect_timeout(&self.gateway, CONNECT).ok()?;
        let wire = Wire::new(stream, Side::Client).ok()?;
        let number = self.scene.connections.fetch_add(1, Ordering::SeqCst);
        Some(Open { wire, number, place: 0, waiting: VecDeque::new(), asked: 0 })
    }

    /// Uses a connection until it ends or the client does.
    fn use_up(&mut self, mut open: Open) {
        while !self.scene.is_over() {
            let count = if self.habit == Habit::Pipelines { self.random.random_range(2..=4) } else { 1 };
            let is_sent = self.send(&mut open, count);
            if is_sent && self.habit == Habit::Leaves && self.random.random_bool(0.7) {
                pause(self.random.random_range(0..=30 * MILLI));
                return self.leave(open);
            }
            if !is_sent || !self.hear(&mut open) || self.habit == Habit::ComesAnew {
                return;
            }
            self.rest();
        }
    }

    /// Sends requests; whether all of them went out whole.
    fn send(&mut self, open: &mut Open, count: usize) -> bool {
        let drawn: Vec<(Request, String)> = (0..count).map(|n| self.draw(open, n)).collect();
        let text: String = drawn.iter().map(|(_, text)| text.as_str()).collect();
        open.asked = now();
        let is_sent = match self.habit {
            Habit::SendsInPieces => self.send_in_pieces(open, text.as_bytes(), 2..=4, 120 * MILLI),
            Habit::WritesSlowly => self.send_in_pieces(open, text.as_bytes(), SLOW_PIECES, SLOW_PAUSE),
            _ => open.wire.write(text.as_bytes()).is_ok(),
        };
        let sent = now();
        let requests = drawn.into_iter().map(|(request, _)| Request { sent, ..request });
        if is_sent {
            open.place += count;
            open.waiting.extend(requests);
        } else {
            requests.for_each(|request| self.write_down(request, Outcome::Unsent, sent));
        }
        is_sent
    }

    fn send_in_pieces(
        &mut self,
        open: &mut Open,
        text: &[u8],
        pieces: RangeInclusive<usize>,
        longest: Micros,
    ) -> bool {
        let size = text.len().div_ceil(self.random.random_range(pieces));
        text.chunks(size).all(|piece| {
            pause(self.random.random_range(0..=longest));
            open.wire.write(piece).is_ok()
        })
    }

    fn draw(&mut self, open: &Open, behind: usize) -> (Request, String) {
        self.asked += 1;
        let id = format!("{:04x}{:02x}{:010x}", self.plan.seed & 0xffff, self.number, self.asked);
        let class_number = self.random.random_range(0..self.plan.classes.len());
        let plan = usize::from(self.random.random_bool(0.3));
        let units = self.random.random_range(1..LARGEST);
        let class = &self.plan.classes[class_number];
        let timeout = class.deadline / MILLI * MILLI;
        let (method, word) = if class.effect == Effect::Safe { ("GET", "") } else { ("PUT", "posting") };
        // The platform's page bounds what is sent ahead to less than such a body. Plans of restarts draw nothing here.
        let may_be_long = self.plan.split.is_some() && self.habit != Habit::Pipelines;
        let is_long = may_be_long && self.random.random_bool(0.1);
        let body = word.repeat(if is_long { self.random.random_range(LONG_BODY) } else { 1 });
        let mut fields = String::new();
        if matches!(class.effect, Effect::Keyed(_)) {
            fields += &format!("Idempotency-Key: k-{id}\r\n");
        }
        if !body.is_empty() {
            fields += &format!("Content-Length: {}\r\n", body.len());
        }
        if self.habit == Habit::ComesAnew {
            fields += "Connection: close\r\n";
        }
        // One volume for each plan, so that its limit is held against all that it sends.
        let text = format!(
            "{method} /{}/{:016x}/{:016x} HTTP/1.1\r\nHost: h\r\nX-Request-ID: {id}\r\nX-Priority-Class: {}\r\nX-Plan: {}\r\n\
             X-Timeout-Ms: {}\r\nX-IO: units={units},shard={},hosts=1\r\n{fields}\r\n{body}",
            class.name,
            plan + 1,
            self.random.random_range(0..1000),
            class.name,
            self.plan.tariffs[plan].name,
            timeout / MILLI,
            self.random.random_range(0..2),
        );
        let request = Request {
            id,
            class: class_number,
            plan,
            connection: open.number,
            place: open.place + behind,
            units,
            sent: 0,
            timeout,
            due: 0,
            outcome: Outcome::Silent,
            ended: 0,
            arrived: None,
        };
        (request, text)
    }

    /// Hears all that is owed; whether the connection can be used on.
    fn hear(&mut self, open: &mut Open) -> bool {
        let mut stays = true;
        let mut due = 0;
        while let Some(mut request) = open.waiting.pop_front() {
            due = due.max(request.sent + request.timeout);
            request.due = due;
            let outcome = match open.wire.read(due + OVERDUE) {
                Ok(answer) => {
                    stays = !answer.is_last();
                    if answer.begun < open.asked {
                        self.write_down_unasked(open);
                    }
                    request.arrived = Some(answer.whole);
                    let status = answer.first.0.parse().unwrap_or(0);
                    Outcome::Answered { status, is_own: self.is_own(&answer, &request) }
                }
                Err(NoMessage::Ended) => Outcome::Ended,
                Err(NoMessage::Cut) => Outcome::Cut,
                Err(NoMessage::Late) => Outcome::Silent,
            };
            stays &= matches!(outcome, Outcome::Answered { .. });
            self.write_down(request, outcome, now());
            if matches!(outcome, Outcome::Answered { .. }) && open.waiting.is_empty() && open.wire.has_more()
            {
                self.write_down_unasked(open);
            }
        }
        stays
    }

    /// Whether an answer has the body that a node made for a request.
    fn is_own(&self, answer: &Message, request: &Request) -> bool {
        match self.plan.split {
            Some(_) => torn::is_own(&answer.body, &request.id),
            None => answer.body == request.id.as_bytes(),
        }
    }

    fn write_down_unasked(&self, open: &Open) {
        self.recorder.lock().unasked.push(Unasked { connection: open.number, at: now() });
    }

    fn leave(&mut self, mut open: Open) {
        let at = now();
        let waiting = std::mem::take(&mut open.waiting);
        if self.random.random_bool(0.5) {
            open.wire.reset();
        } else {
            drop(open);
        }
        waiting.into_iter().for_each(|request| self.write_down(request, Outcome::Left, at));
    }

    fn write_down(&self, request: Request, outcome: Outcome, ended: Micros) {
        self.recorder.lock().requests.push(Request { outcome, ended, ..request });
    }

    fn rest(&mut self) {
        match self.habit {
            Habit::NeverStops => {}
            Habit::Rests => self.rest_until_the_end_begins(),
            _ => pause(self.random.random_range(0..=60 * MILLI)),
        }
    }

    /// Rests for a while, or until a moment between the order to end and the kill.
    fn rest_until_the_end_begins(&mut self) {
        let latest = now() + self.random.random_range(0..=4 * SECOND);
        let part: f64 = self.random.random();
        while now() < latest && !self.scene.is_over() {
            let told = self.scene.told.load(Ordering::SeqCst);
            let wanted = told + (part * self.scene.kill_after.load(Ordering::SeqCst) as f64) as Micros;
            if told > 0 && now() >= wanted && now() < wanted + 10 * LOOK {
                return;
            }
            pause(LOOK);
        }
    }
}
