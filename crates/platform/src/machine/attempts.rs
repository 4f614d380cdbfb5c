//! Attempts at nodes, as the module wants them, and what came of them.

use super::*;

impl Pending {
    /// Its answer goes out now.
    fn note(&self, now: Micros) {
        if now - self.until > OVERDUE {
            let (id, late, open) = (&self.ask.id, now - self.until, now - self.read);
            tracing::warn!(id, late, open, "an answer goes out after its request's time");
        }
    }

    /// Its life, as it ends without a final answer.
    pub(super) fn unanswered(&self, now: Micros, cause: Cause) -> Unanswered {
        Unanswered {
            id: self.ask.id.clone(),
            client: self.client,
            read: self.read,
            until: self.until,
            ended: now,
            cause,
            attempts: self.attempts.clone(),
        }
    }
}

impl Machine {
    /// What came of a connection to a node. `fresh`: it has just come up, and was never used.
    pub(super) fn news(&mut self, now: Micros, id: u64, news: News, fresh: bool) {
        if news.close {
            self.outputs.push(Output::Close(SocketId::Node(id)));
        }
        if let Some(next) = news.next {
            self.begin(now, id, next, fresh);
        }
        if let Some((attempt, node)) = news.again {
            self.send(now, attempt, node);
        }
        if let Some((attempt, outcome, answer)) = news.ended {
            self.attempt_ended(now, attempt, outcome, answer.as_ref());
        }
        self.settle(now);
    }

    /// An attempt's connection is there: it is begun, if it still stands; if not, who waits for the connection next.
    ///
    /// Every attempt passes here at the moment of its write, whatever it waited for. Danger: one that waited is written although
    /// its client has gone, its time is over, its node drains or is another process, or nodes have forgotten its key. Harm: it
    /// has waited for nothing, and the module decides anew.
    fn begin(&mut self, now: Micros, link: u64, first: AttemptId, fresh: bool) {
        let (mut next, mut fallen) = (Some(first), Vec::new());
        while let Some(attempt) = next.take() {
            match self.words(now, attempt) {
                // Danger: what was just opened may have been closed by its node at once; led round as a stale one is, it would be
                // opened again and again. Harm: none, its end is reported.
                Some(bytes) if fresh => self.outputs.push(Output::Write(SocketId::Node(link), bytes)),
                Some(bytes) => self.outputs.push(Output::Reuse(SocketId::Node(link), bytes)),
                None => {
                    fallen.push(attempt);
                    next = self.links.unbegun(now, link);
                }
            }
        }
        for attempt in fallen {
            self.attempt_ended(now, attempt, Outcome::NotSent, None);
        }
    }

    /// What is written of an attempt that begins now.
    fn words(&mut self, now: Micros, attempt: AttemptId) -> Option<Bytes> {
        let (node, due) = self.dispatcher.begin_write(now, attempt)?;
        let pending = self.dispatcher.payload(attempt.request)?;
        let host = self.nodes.get(&node).map_or_else(String::new, |a| a.at.to_string());
        Some(pending.ask.forward(&host, due - now))
    }

    /// Attempts that wait for a connection and no longer stand are taken back.
    pub(super) fn take_back_fallen(&mut self, now: Micros) {
        for attempt in self.links.waiting() {
            if !self.dispatcher.is_still_valid(now, attempt) {
                self.links.forget_attempt(attempt);
                self.attempt_ended(now, attempt, Outcome::NotSent, None);
            }
        }
        self.settle(now);
    }

    pub(super) fn attempt_ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        answer: Option<&http1::Answer>,
    ) {
        let load = answer.and_then(load_of);
        if let Some(pending) = self.dispatcher.payload_mut(attempt.request) {
            pending.attempts.ended(now, attempt.n, outcome);
        }
        if let Some(pending) = self.dispatcher.attempt_ended(now, attempt, outcome, load) {
            let body = answer.map(|a| a.body.clone()).unwrap_or_default();
            pending.note(now);
            self.answer(now, &pending, 200, &[], body);
        }
    }

    /// Carries out what the module wants until it wants nothing more.
    pub(super) fn settle(&mut self, now: Micros) {
        while let Some(command) = self.dispatcher.next_command() {
            match command {
                Command::Send { attempt, node, .. } => {
                    if let Some(pending) = self.dispatcher.payload_mut(attempt.request) {
                        pending.attempts.decided(now, node);
                    }
                    self.send(now, attempt, node);
                }
                Command::Abandon(attempt, _, outcome) => {
                    if let Some(pending) = self.dispatcher.payload_mut(attempt.request) {
                        pending.attempts.ended(now, attempt.n, outcome);
                    }
                    if let Some(id) = self.links.forget_attempt(attempt) {
                        self.outputs.push(Output::Close(SocketId::Node(id)));
                    }
                }
                Command::EndUnserved(_, pending, verdict) => self.over(now, &pending, verdict),
                // The watch brings the list without being asked.
                Command::Subscribe => {}
                Command::Log(line) => tracing::info!("{line}"),
            }
        }
    }

    pub(super) fn send(&mut self, now: Micros, attempt: AttemptId, node: NodeId) {
        match self.links.send(now, attempt, node) {
            Way::Reuse(id) => self.begin(now, id, attempt, false),
            Way::Later => self.dispatcher.await_connection(attempt),
            Way::Open(id, address, gives_way) => {
                self.dispatcher.await_connection(attempt);
                self.close_links(gives_way.into_iter().collect());
                self.outputs.push(Output::Connect(SocketId::Node(id), address));
            }
            Way::None(outcome) => self.attempt_ended(now, attempt, outcome, None),
        }
    }

    /// The module has given up: its answer goes at once.
    pub(super) fn over(&mut self, now: Micros, pending: &Pending, verdict: Verdict) {
        pending.note(now);
        let (status, body) = match verdict {
            Verdict::Refused { .. } => (503, Bytes::from_static(b"refused\n")),
            Verdict::Failed => (502, Bytes::from_static(b"failed\n")),
        };
        match verdict {
            Verdict::Refused { come_back } if come_back > 0 => {
                let after = format!("{}.{:06}", come_back / 1_000_000, come_back % 1_000_000);
                self.answer(now, pending, status, &[("Retry-After", &after)], body);
            }
            _ => self.answer(now, pending, status, &[], body),
        }
    }

    /// Takes back a request that nobody waits for any more; what it was.
    pub(super) fn withdraw(&mut self, now: Micros, request: RequestId) -> Option<Pending> {
        let pending = self.dispatcher.withdraw(now, request)?;
        self.ids.remove(&pending.ask.id);
        // Nobody waits for its attempts. What has not begun never does, whatever the settings allow; what is partly written has
        // not begun either, and ends with its connection; what has gone out a node may stop, where that is permitted.
        let out: Vec<AttemptId> =
            self.dispatcher.attempts_in_flight().map(|(a, _)| a).filter(|a| a.request == request).collect();
        for attempt in out {
            if self.dispatcher.awaits_connection(attempt) {
                self.links.forget_attempt(attempt);
                self.dispatcher.attempt_ended(now, attempt, Outcome::NotSent, None);
            } else if self.cancel {
                if let Some(link) = self.links.forget_attempt(attempt) {
                    self.outputs.push(Output::Close(SocketId::Node(link)));
                }
                self.dispatcher.attempt_ended(now, attempt, Outcome::Cancelled, None);
            } else if let Some(link) = self.links.of_attempt(attempt) {
                self.outputs.push(Output::Cut(SocketId::Node(link)));
            }
        }
        self.settle(now);
        Some(pending)
    }
}
