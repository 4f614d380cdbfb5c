//! A node: one server with a queue, cold after a silence, slower with every request that it has to refuse.

use repeats::Micros;

/// What a node makes of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Served at that moment.
    Served(Micros),
    /// Refused at once.
    Refused,
    /// Never heard of again.
    Lost,
}

pub struct Node {
    /// Requests a second when warm.
    pub capacity: f64,
    /// How long a request may wait here; beyond it it is refused, beyond twice that dropped.
    pub wait: Micros,
    /// What a refusal costs, as a part of serving.
    pub refusal: f64,
    pub silent: Option<(Micros, Micros)>,
    pub warming: Micros,
    pub busy_until: Micros,
}

impl Node {
    pub fn is_silent(&self, now: Micros) -> bool {
        self.silent.is_some_and(|(from, to)| (from..to).contains(&now))
    }

    pub fn is_cold(&self, now: Micros) -> bool {
        self.silent.is_some_and(|(_, to)| (to..to + self.warming).contains(&now))
    }

    fn cost(&self, now: Micros) -> f64 {
        let warm = match self.silent {
            Some((_, to)) if self.is_cold(now) => 0.4 + 0.6 * (now - to) as f64 / self.warming as f64,
            _ => 1.0,
        };
        1e6 / (self.capacity * warm)
    }

    pub fn takes(&mut self, now: Micros, refuse: bool) -> Fate {
        if self.is_silent(now) {
            self.busy_until = now;
            return Fate::Lost;
        }
        let backlog = (self.busy_until - now).max(0);
        let cost = self.cost(now);
        if backlog > 2 * self.wait {
            return Fate::Lost;
        }
        if refuse || backlog > self.wait {
            self.busy_until = now + backlog + (cost * self.refusal) as Micros;
            return Fate::Refused;
        }
        self.busy_until = now + backlog + cost as Micros;
        Fate::Served(self.busy_until)
    }
}
