//! Attempts at nodes, as the module wants them, and what came of them.

use super::*;

impl Machine {
    /// What came of a connection to a node.
    pub(super) fn news(&mut self, now: Micros, id: u64, news: News) {
        if news.close {
            self.outputs.push(Output::Close(SocketId::Node(id)));
        }
        if let Some(next) = news.next {
            self.outputs.push(Output::Reuse(SocketId::Node(id), next));
        }
        if let Some((attempt, node, bytes)) = news.again {
            self.send_on(now, attempt, node, bytes);
            self.settle(now);
        }
        let Some((attempt, outcome, answer)) = news.ended else { return };
        self.attempt_ended(now, attempt, outcome, answer.as_ref());
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
        if let Some(pending) = self.dispatcher.ended(now, attempt, outcome, load) {
            let body = answer.map(|a| a.body.clone()).unwrap_or_default();
            self.answer(now, pending.client, &pending.ask.id, 200, &[], body);
        }
    }

    /// Carries out what the module wants until it wants nothing more.
    pub(super) fn settle(&mut self, now: Micros) {
        while let Some(step) = self.dispatcher.step() {
            match step {
                Step::Send { attempt, node, due } => self.send(now, attempt, node, due),
                Step::Forget(attempt, ..) => {
                    if let Some(id) = self.links.forget_attempt(attempt) {
                        self.outputs.push(Output::Close(SocketId::Node(id)));
                    }
                }
                Step::Over(_, pending, verdict) => self.over(now, &pending, verdict),
                // The watch brings the list without being asked.
                Step::Subscribe => {}
                Step::Log(line) => tracing::info!("{line}"),
            }
        }
    }

    pub(super) fn send(&mut self, now: Micros, attempt: AttemptId, node: NodeId, due: Micros) {
        let Some(pending) = self.dispatcher.payload(attempt.request) else { return };
        let host = self.nodes.get(&node).map_or_else(String::new, |a| a.at.to_string());
        let bytes = pending.ask.forward(&host, due - now);
        self.send_on(now, attempt, node, bytes);
    }

    pub(super) fn send_on(&mut self, now: Micros, attempt: AttemptId, node: NodeId, bytes: Bytes) {
        match self.links.send(now, attempt, node, bytes) {
            Way::Later => {}
            Way::Reuse(id, bytes) => self.outputs.push(Output::Reuse(SocketId::Node(id), bytes)),
            Way::Open(id, address, gives_way) => {
                self.close_links(gives_way.into_iter().collect());
                self.outputs.push(Output::Connect(SocketId::Node(id), address));
            }
            Way::None(outcome) => {
                self.attempt_ended(now, attempt, outcome, None);
            }
        }
    }

    /// The module has given up: its answer goes at once.
    pub(super) fn over(&mut self, now: Micros, pending: &Pending, verdict: Verdict) {
        let (client, id) = (pending.client, pending.ask.id.as_str());
        match verdict {
            Verdict::Refused { come_back } if come_back > 0 => {
                let after = format!("{}.{:06}", come_back / 1_000_000, come_back % 1_000_000);
                self.answer(
                    now,
                    client,
                    id,
                    503,
                    &[("Retry-After", &after)],
                    Bytes::from_static(b"refused\n"),
                );
            }
            Verdict::Refused { .. } => {
                self.answer(now, client, id, 503, &[], Bytes::from_static(b"refused\n"))
            }
            Verdict::Failed => self.answer(now, client, id, 502, &[], Bytes::from_static(b"failed\n")),
        }
    }

    pub(super) fn withdraw(&mut self, now: Micros, request: RequestId) {
        let Some(pending) = self.dispatcher.withdraw(now, request) else { return };
        self.ids.remove(&pending.ask.id);
        // Nobody waits for its attempts: what has not gone out never does, and a node may stop what it has not begun.
        if self.cancel {
            let out: Vec<AttemptId> =
                self.dispatcher.out().map(|(a, _)| a).filter(|a| a.request == request).collect();
            for attempt in out {
                if let Some(link) = self.links.forget_attempt(attempt) {
                    self.outputs.push(Output::Close(SocketId::Node(link)));
                }
                self.dispatcher.ended(now, attempt, Outcome::Cancelled, None);
            }
        }
        self.settle(now);
    }
}
