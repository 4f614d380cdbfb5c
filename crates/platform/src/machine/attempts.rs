//! Attempts at nodes: carries out the dispatcher's steps and reports the outcomes.

use super::*;

impl Pending {
    /// Logs a response that goes out too long after its request's deadline.
    fn log_if_overdue(&self, now: Micros) {
        if now - self.deadline > OVERDUE_LOG_DELAY {
            let (id, late, open) = (&self.admitted.id, now - self.deadline, now - self.received_at);
            tracing::warn!(id, late, open, "response sent after its request's deadline");
        }
    }

    /// Returns the log record of a request that ends without a final response.
    pub(super) fn unanswered(&self, now: Micros, cause: Cause) -> Unanswered {
        Unanswered {
            id: self.admitted.id.clone(),
            client: self.client,
            received_at: self.received_at,
            deadline: self.deadline,
            ended: now,
            cause,
            attempts: self.attempts.clone(),
        }
    }
}

impl Machine {
    /// Applies an update on a node connection. `fresh`: it has just been established and was never used.
    pub(super) fn apply_update(&mut self, now: Micros, id: u64, update: ConnectionUpdate, fresh: bool) {
        if update.close {
            self.outputs.push(Output::Close(SocketId::Node(id)));
        }
        if let Some(next) = update.start {
            self.start_attempt(now, id, next, fresh);
        }
        if let Some((attempt, node)) = update.reassign {
            self.send_attempt(now, attempt, node);
        }
        if let Some((attempt, outcome, answer)) = update.finished {
            self.attempt_ended(now, attempt, outcome, answer.as_ref());
        }
        self.run_dispatcher_commands(now);
    }

    /// Starts an attempt on an available connection if the attempt is still valid; if not, the next one that
    /// waits for the connection.
    ///
    /// Every attempt passes through here at the moment it is written, whatever it waited for. Otherwise one
    /// that waited could be written although its client has gone, its deadline has passed, its node drains or
    /// was restarted, or the nodes have forgotten its idempotency key. An attempt dropped here was never
    /// sent, and the decision module decides again.
    fn start_attempt(&mut self, now: Micros, connection: u64, first: AttemptId, fresh: bool) {
        let (mut next, mut invalid) = (Some(first), Vec::new());
        while let Some(attempt) = next.take() {
            // A connection that its node closed right after establishing it would be reopened again and again
            // if it were treated as a stale idle one. Its end is reported instead.
            match self.begin_attempt(now, attempt, connection, !fresh) {
                Some(request) => self.outputs.push(Output::WriteAttempt(request)),
                None => {
                    invalid.push(attempt);
                    next = self.connections.start_declined(now, connection);
                }
            }
        }
        for attempt in invalid {
            self.attempt_ended(now, attempt, Outcome::NotSent, None);
        }
    }

    /// Returns the request of an attempt that begins now; none if the attempt is no longer valid.
    fn begin_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        connection: u64,
        only_if_idle: bool,
    ) -> Option<NodeRequest> {
        let permit = self.dispatcher.begin_write(now, attempt)?;
        let pending = self.dispatcher.payload(attempt.request)?;
        let host = self.nodes.get(&permit.node()).map_or_else(String::new, |a| a.address.to_string());
        Some(NodeRequest::new(permit, &pending.admitted, &host, connection, only_if_idle))
    }

    /// Withdraws attempts that wait for a connection and are no longer valid.
    pub(super) fn withdraw_invalid_attempts(&mut self, now: Micros) {
        for attempt in self.connections.waiting_attempts() {
            if !self.dispatcher.is_still_valid(now, attempt) {
                self.connections.forget_attempt(attempt);
                self.attempt_ended(now, attempt, Outcome::NotSent, None);
            }
        }
        self.run_dispatcher_commands(now);
    }

    pub(super) fn attempt_ended(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        answer: Option<&http1::Response>,
    ) {
        let load = answer.and_then(reported_load);
        if let Some(pending) = self.dispatcher.payload_mut(attempt.request) {
            pending.attempts.ended(now, attempt.index, outcome);
        }
        if let Some(pending) = self.dispatcher.attempt_ended(now, attempt, outcome, load) {
            let body = answer.map(|a| a.body.clone()).unwrap_or_default();
            pending.log_if_overdue(now);
            self.send_final_response(now, &pending, 200, &[], body);
        }
    }

    /// Carries out the dispatcher's commands until there are none left.
    pub(super) fn run_dispatcher_commands(&mut self, now: Micros) {
        while let Some(command) = self.dispatcher.next_command() {
            match command {
                Command::Send { attempt, node, .. } => {
                    if let Some(pending) = self.dispatcher.payload_mut(attempt.request) {
                        pending.attempts.add(now, node);
                    }
                    self.send_attempt(now, attempt, node);
                }
                Command::Abandon(attempt, _, outcome) => {
                    if let Some(pending) = self.dispatcher.payload_mut(attempt.request) {
                        pending.attempts.ended(now, attempt.index, outcome);
                    }
                    if let Some(id) = self.connections.forget_attempt(attempt) {
                        self.outputs.push(Output::Close(SocketId::Node(id)));
                    }
                }
                Command::EndUnserved(_, pending, verdict) => self.send_verdict(now, &pending, verdict),
                // Nothing to do: the gateway always keeps a watch open, which delivers the list.
                Command::Subscribe => {}
                Command::Log(line) => tracing::info!("{line}"),
            }
        }
    }

    pub(super) fn send_attempt(&mut self, now: Micros, attempt: AttemptId, node: NodeId) {
        match self.connections.choose_connection(now, attempt, node) {
            ConnectionChoice::Reuse(id) => self.start_attempt(now, id, attempt, false),
            ConnectionChoice::AfterCooldown => self.dispatcher.await_connection(attempt),
            ConnectionChoice::Open(id, address, to_close) => {
                self.dispatcher.await_connection(attempt);
                self.close_connections(to_close.into_iter().collect());
                self.outputs.push(Output::Connect(SocketId::Node(id), address));
            }
            ConnectionChoice::Unavailable(outcome) => self.attempt_ended(now, attempt, outcome, None),
        }
    }

    /// Sends the final response of a request that the decision module refused or failed.
    pub(super) fn send_verdict(&mut self, now: Micros, pending: &Pending, verdict: Verdict) {
        pending.log_if_overdue(now);
        let (status, body) = match verdict {
            Verdict::Refused { .. } => (503, Bytes::from_static(b"refused\n")),
            Verdict::Failed => (502, Bytes::from_static(b"failed\n")),
        };
        match verdict {
            Verdict::Refused { retry_after } if retry_after > 0 => {
                let seconds = format!("{}.{:06}", retry_after / 1_000_000, retry_after % 1_000_000);
                self.send_final_response(now, pending, status, &[("Retry-After", &seconds)], body);
            }
            _ => self.send_final_response(now, pending, status, &[], body),
        }
    }

    /// Withdraws a request that nobody waits for any more and returns it.
    pub(super) fn withdraw(&mut self, now: Micros, request: RequestId) -> Option<Pending> {
        let pending = self.dispatcher.withdraw(now, request)?;
        self.open_request_ids.remove(&pending.admitted.id);
        // Attempts that have not begun were dropped by the dispatcher. A partly written one has not started at
        // its node and ends with its connection. One that was sent completely is cancelled at its node where
        // the settings permit it.
        let out: Vec<AttemptId> =
            self.dispatcher.attempts_in_flight().map(|(a, _)| a).filter(|a| a.request == request).collect();
        if !out.is_empty() || pending.attempts.may_have_run() {
            self.departed_ids.remember(now, &pending.admitted.id);
        }
        for attempt in out {
            if self.cancel_attempts {
                if let Some(connection) = self.connections.forget_attempt(attempt) {
                    self.outputs.push(Output::Close(SocketId::Node(connection)));
                }
                self.dispatcher.attempt_ended(now, attempt, Outcome::Cancelled, None);
            } else if let Some(connection) = self.connections.connection_of(attempt) {
                self.outputs.push(Output::CloseIfUnsent(SocketId::Node(connection)));
            }
        }
        self.run_dispatcher_commands(now);
        Some(pending)
    }
}
