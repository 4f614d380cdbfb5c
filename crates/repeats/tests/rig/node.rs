//! A node: one server with a queue, cold after a silence, and slowed by every request that it has to
//! refuse.

use repeats::Micros;

/// What a node does with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NodeResponse {
    /// Served at that time.
    Served(Micros),
    /// Refused at once.
    Refused,
    /// Never answered.
    Lost,
}

pub struct Node {
    /// Requests a second when warm.
    pub capacity: f64,
    /// How long a request may wait here. Beyond it the request is refused, beyond twice that dropped.
    pub wait: Micros,
    /// The cost of a refusal, as a fraction of the cost of serving.
    pub refusal: f64,
    pub silent: Option<(Micros, Micros)>,
    pub warm_up: Micros,
    pub busy_until: Micros,
}

impl Node {
    pub fn is_silent(&self, now: Micros) -> bool {
        self.silent.is_some_and(|(from, to)| (from..to).contains(&now))
    }

    pub fn is_cold(&self, now: Micros) -> bool {
        self.silent.is_some_and(|(_, to)| (to..to + self.warm_up).contains(&now))
    }

    fn cost(&self, now: Micros) -> f64 {
        let warm = match self.silent {
            Some((_, to)) if self.is_cold(now) => 0.4 + 0.6 * (now - to) as f64 / self.warm_up as f64,
            _ => 1.0,
        };
        1e6 / (self.capacity * warm)
    }

    pub fn receive(&mut self, now: Micros, refuse: bool) -> NodeResponse {
        if self.is_silent(now) {
            self.busy_until = now;
            return NodeResponse::Lost;
        }
        let backlog = (self.busy_until - now).max(0);
        let cost = self.cost(now);
        if backlog > 2 * self.wait {
            return NodeResponse::Lost;
        }
        if refuse || backlog > self.wait {
            self.busy_until = now + backlog + (cost * self.refusal) as Micros;
            return NodeResponse::Refused;
        }
        self.busy_until = now + backlog + cost as Micros;
        NodeResponse::Served(self.busy_until)
    }
}
