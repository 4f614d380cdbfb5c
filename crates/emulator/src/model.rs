//! How long a node takes, what it turns away, and when it falls over.

use std::collections::VecDeque;

use crate::Micros;

/// A job's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobId(pub u64);

/// A command as the model sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// It writes.
    pub write: bool,
    /// Its bytes.
    pub bytes: u32,
    /// Its units.
    pub units: f64,
}

/// The power of a node. A job's work is `base + per_kib x KiB`, times `write_factor` for writes.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelOptions {
    /// Jobs served at a time.
    pub cores: u32,
    /// Jobs that wait at most; more are turned away.
    pub queue: usize,
    /// Work of any job, in microseconds of a core.
    pub base: Micros,
    /// Work of each KiB.
    pub per_kib: f64,
    /// Multiple of a write's work.
    pub write_factor: f64,
    /// Part of a write's work that is put off.
    pub put_off: f64,
    /// Put-off work is done in one go this often; 0: never.
    pub put_off_every: Micros,
    /// It stands still this often; 0: never.
    pub pause_every: Micros,
    /// For this long.
    pub pause_for: Micros,
    /// The part of its speed that a fresh start has.
    pub cold_from: f64,
    /// Time until it is warm.
    pub warm_after: Micros,
    /// Sent more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... over this long while cold, it falls over for good; 0: it does not.
    pub fall_window: Micros,
    /// Units within the window that it bears in any case.
    pub cold_units: f64,
    /// A script: the jobs take these times in turn, in microseconds, whatever they are; empty: by their work.
    pub script: Vec<Micros>,
}

impl ModelOptions {
    /// Work of a job at full speed, in microseconds of one core.
    pub fn work(&self, write: bool, bytes: u32) -> f64 {
        let work = self.base as f64 + self.per_kib * f64::from(bytes) / 1024.0;
        if write { work * self.write_factor } else { work }
    }
}

/// What becomes of a job that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arrival {
    /// It waits or runs.
    Taken,
    /// Turned away unseen.
    Full,
    /// The node has fallen over, by this job or earlier.
    Fallen,
}

/// The model of one node's life from a start on.
#[derive(Clone, Debug)]
pub struct Model {
    options: ModelOptions,
    now: Micros,
    started: Option<Micros>,
    slow: f64,
    waiting: VecDeque<Job>,
    running: Vec<(Micros, Option<Job>)>,
    /// Jobs begun.
    begun: u64,
    put_off: f64,
    next_put_off: Micros,
    next_pause: Micros,
    paused_until: Micros,
    stalled: Option<Micros>,
    /// Units and work that arrived while cold.
    pressure: VecDeque<(Micros, f64, f64)>,
    fallen: bool,
}

impl Model {
    /// A node at its start: cold, or long since warm.
    pub fn new(options: ModelOptions, now: Micros, cold: bool) -> Self {
        Model {
            now,
            started: cold.then_some(now),
            slow: 1.0,
            waiting: VecDeque::new(),
            running: Vec::new(),
            begun: 0,
            put_off: 0.0,
            next_put_off: now + options.put_off_every,
            next_pause: now + options.pause_every,
            paused_until: now,
            stalled: None,
            pressure: VecDeque::new(),
            fallen: false,
            options,
        }
    }

    /// Runs `factor` times slower from the next job on.
    pub fn set_slow(&mut self, factor: f64) {
        self.slow = factor.max(0.01);
    }

    /// Stands still from now on, or goes on: what runs ends later by the time it stood.
    pub fn set_stalled(&mut self, now: Micros, on: bool) {
        match (on, self.stalled) {
            (true, None) => self.stalled = Some(now),
            (false, Some(since)) => {
                self.running.iter_mut().for_each(|r| r.0 += now - since);
                self.now = self.now.max(now);
                self.stalled = None;
            }
            _ => {}
        }
    }

    /// Jobs that it holds.
    pub fn held(&self) -> usize {
        self.waiting.len() + self.running.iter().filter(|r| r.1.is_some()).count()
    }

    /// Whether it has fallen over.
    pub fn has_fallen(&self) -> bool {
        self.fallen
    }

    /// The part of its speed that it has now.
    pub fn warmth(&self, now: Micros) -> f64 {
        let Some(started) = self.started else { return 1.0 };
        let age = (now - started) as f64 / self.options.warm_after.max(1) as f64;
        (self.options.cold_from + (1.0 - self.options.cold_from) * age).clamp(0.01, 1.0)
    }

    /// A job arrives.
    pub fn arrive(&mut self, now: Micros, job: Job) -> Arrival {
        self.now = self.now.max(now);
        if self.fallen || self.press(job) {
            self.fallen = true;
            return Arrival::Fallen;
        }
        if self.waiting.len() >= self.options.queue.max(1) {
            return Arrival::Full;
        }
        self.waiting.push_back(job);
        self.start_waiting();
        Arrival::Taken
    }

    /// Adds to the pressure on a cold node; whether it gives way.
    fn press(&mut self, job: Job) -> bool {
        let o = &self.options;
        let warm = self.started.is_none_or(|s| self.now - s > o.warm_after);
        if warm || o.fall_window <= 0 {
            self.pressure.clear();
            return false;
        }
        self.pressure.push_back((self.now, job.units, o.work(job.write, job.bytes)));
        while self.pressure.front().is_some_and(|p| p.0 <= self.now - o.fall_window) {
            self.pressure.pop_front();
        }
        let (units, work) = self.pressure.iter().fold((0.0, 0.0), |(u, w), p| (u + p.1, w + p.2));
        let bears = o.fall_multiple * self.warmth(self.now) * f64::from(o.cores) * o.fall_window as f64;
        units > o.cold_units && work > bears
    }

    /// When [`Model::advance`] is due next.
    pub fn next_due(&self) -> Option<Micros> {
        if self.stalled.is_some() || self.fallen {
            return None;
        }
        let ends = self.running.iter().map(|r| r.0).min();
        let resumes = (!self.waiting.is_empty() && self.paused_until > self.now).then_some(self.paused_until);
        ends.into_iter().chain(resumes).min()
    }

    /// Moves on to `now`; appends the jobs that are done, in the order in which they ended.
    pub fn advance(&mut self, now: Micros, done: &mut Vec<Job>) {
        if self.stalled.is_some() || self.fallen {
            return;
        }
        loop {
            let first = self.running.iter().enumerate().min_by_key(|(_, r)| r.0);
            match first.map(|(index, r)| (index, r.0)) {
                Some((index, at)) if at <= now => {
                    self.now = self.now.max(at);
                    done.extend(self.running.swap_remove(index).1);
                }
                _ => {
                    self.now = self.now.max(now);
                    self.start_waiting();
                    return;
                }
            }
            self.start_waiting();
        }
    }

    fn start_waiting(&mut self) {
        self.background();
        while self.running.len() < self.options.cores.max(1) as usize && self.now >= self.paused_until {
            let Some(job) = self.waiting.pop_front() else { return };
            let work = self.options.work(job.write, job.bytes);
            let later =
                if job.write && self.options.put_off_every > 0 { work * self.options.put_off } else { 0.0 };
            self.put_off += later;
            let by_work = ((work - later) * self.slow / self.warmth(self.now)) as Micros;
            let turn = self.begun as usize % self.options.script.len().max(1);
            let end = self.now + self.options.script.get(turn).copied().unwrap_or(by_work);
            self.begun += 1;
            self.running.push((end, Some(job)));
        }
    }

    /// Put-off work takes a core, pauses take them all, when their time has come.
    fn background(&mut self) {
        let o = &self.options;
        if o.pause_every > 0 && self.now >= self.next_pause {
            self.paused_until = self.now + o.pause_for;
            self.next_pause = self.now + o.pause_every;
        }
        let free = self.running.len() < o.cores.max(1) as usize;
        if o.put_off_every > 0 && self.now >= self.next_put_off && self.put_off >= 1.0 && free {
            let end = self.now + (self.put_off * self.slow / self.warmth(self.now)) as Micros;
            self.put_off = 0.0;
            self.next_put_off = self.now + o.put_off_every;
            self.running.push((end, None));
        }
    }
}
