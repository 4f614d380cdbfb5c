//! Client connections: incoming requests, responses, and closing connections to make room.

use super::*;

impl Machine {
    pub(super) fn client_received(&mut self, now: Micros, id: u64, at: Micros, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.close_declined = false;
        client.is_reading = false;
        if let Some(lingering) = &mut client.lingering {
            if lingering.bytes_left < bytes.len() {
                return self.close_client(now, id);
            }
            lingering.bytes_left -= bytes.len();
            return self.resume_reading(id);
        }
        if client.open_request.is_some()
            && (client.discarded_bytes > 0
                || client.decoder.buffered_bytes() + bytes.len() > MAX_PIPELINED_BYTES)
        {
            client.discarded_bytes += bytes.len();
            return self.pipeline_overflow(now, id);
        }
        if client.is_idle() {
            // First bytes of a request.
            client.waiting_since = at;
            if client.served {
                client.request_timeout = REQUEST_TIMEOUT;
            }
            self.client_timers.set(client, id, at + client.request_timeout / 2);
        }
        client.decoder.receive(bytes);
        client.arrivals.record(bytes.len(), at);
        self.handle_buffered_requests(now, id);
        self.settle_room(id);
        self.resume_reading(id);
    }

    /// Handles pipelined bytes beyond the [`MAX_PIPELINED_BYTES`] that are buffered behind an open request.
    ///
    /// If reading stopped, the client's disconnect would go unnoticed, and attempts would still be sent for
    /// it long afterwards. Reading therefore goes on and the bytes beyond the bound are discarded: the open
    /// request's response is the last one. A client that still goes on sending gets an error at once. The
    /// cost is that it has to resend what it sent so far ahead.
    fn pipeline_overflow(&mut self, now: Micros, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.discarded_bytes > MAX_DISCARDED_BYTES
            && let Some((request, _)) = client.open_request.take()
        {
            self.rejected += 1;
            self.withdraw(now, request);
            let message = Bytes::from_static(b"too much was sent behind an open request\n");
            self.write_response(now, id, 400, &[], message, false);
        }
        self.resume_reading(id);
    }

    /// Handles the requests in a client's buffer, one at a time.
    pub(super) fn handle_buffered_requests(&mut self, now: Micros, id: u64) {
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            if client.open_request.is_some() || client.lingering.is_some() || client.decoder.is_idle() {
                break;
            }
            if !self.may_handle_request(id) {
                break;
            }
            let Some(client) = self.clients.get_mut(&id) else { return };
            match client.decoder.poll() {
                Ok(None) => break,
                Ok(Some(RequestEvent::ExpectsContinue)) => {
                    let interim_response = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
                    self.outputs.push(Output::Write(NonNodeSocket::Client(id), interim_response));
                }
                Ok(Some(RequestEvent::Complete(request))) => {
                    // The deadline counts from the request's own last byte. Counted from now, a request that
                    // waited behind another would give its node more time than its client has left, and the
                    // response would come after the client's deadline.
                    let received_at =
                        client.arrivals.last_byte(client.decoder.buffered_bytes()).unwrap_or(now);
                    self.handle_request(now, id, received_at, request);
                }
                Err(fault) => {
                    self.rejected += 1;
                    tracing::debug!(%fault, "invalid request from a client");
                    self.write_response(now, id, fault.status(), &[], fault.to_string().into(), false);
                }
            }
        }
    }

    pub(super) fn handle_request(&mut self, now: Micros, id: u64, received_at: Micros, request: Request) {
        let keep = request.keep_alive;
        if request.method == "GET" && request.target == "/ready" {
            return self.write_response(now, id, 200, &[], Bytes::from_static(b"ready\n"), keep);
        }
        if self.unsent_bytes > self.limits.max_unsent_bytes {
            // One more answer might find no room; the cost is that everyone is refused until it is read.
            self.rejected += 1;
            let message = Bytes::from_static(b"answers that are not read fill the memory; try again\n");
            return self.write_response(now, id, 503, &[], message, keep);
        }
        let admitted = admit(request, &self.gateway_settings, &self.settings, now - received_at);
        let admitted = admitted.and_then(|request| match () {
            () if self.open_request_ids.contains(&request.id) => Err(Rejection::IdOpen),
            () if self.departed_ids.contains(&request.id) => Err(Rejection::IdDeparted),
            () => Ok(request),
        });
        let admitted = match admitted {
            Ok(request) => request,
            Err(rejection) => {
                self.rejected += 1;
                let status = rejection.status();
                return self.write_response(now, id, status, &[], rejection.to_string().into(), keep);
            }
        };
        self.open_request_ids.insert(admitted.id.clone());
        let held_bytes = admitted.target.len() + admitted.body.len();
        let mut request_for_decisions = admitted.request.clone();
        if let Some(shutdown) = self.answer_deadline() {
            request_for_decisions.timeout = request_for_decisions.timeout.min(shutdown - now).max(0);
        }
        let deadline = now + request_for_decisions.timeout;
        let request = self.dispatcher.submit(
            now,
            request_for_decisions,
            Pending { client: id, admitted, received_at, deadline, attempts: AttemptRecords::default() },
        );
        if let Some(client) = self.clients.get_mut(&id) {
            client.open_request = Some((request, keep));
            self.client_timers.remove(client, id);
        }
        self.take_open_room(id, held_bytes);
        self.run_dispatcher_commands(now);
    }

    /// Handles a client connection's timer: no complete request arrived in time, it was idle for too long, or
    /// its lingering connection is to be closed if nothing is pending.
    pub(super) fn client_timer_due(&mut self, now: Micros, id: u64) {
        let slots_short = self.accept_wanted && self.clients.len() >= self.limits.client_connections;
        let memory_short = self.input_budget.is_short();
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.open_request.is_some() {
            return;
        }
        let is_short = slots_short || memory_short && !client.is_idle();
        if let Some(lingering) = &client.lingering {
            if now >= lingering.close_at {
                return self.close_client(now, id);
            }
            return self.outputs.push(Output::CloseIfIdle(SocketId::Client(id)));
        }
        // Connections without a complete request would hold a descriptor for ever, and where slots are short
        // keep out other clients that need a slot just as much. The cost is that a client which takes
        // longer than its timeout to send one request, or than half of it while others wait for a slot, must
        // send it again.
        let deadline = client.waiting_since + client.request_timeout;
        let is_idle_after_response = client.served && client.is_idle();
        if !is_idle_after_response && now < deadline && !is_short {
            let next_check = (now + client.request_timeout / 8).min(deadline);
            return self.client_timers.set(client, id, next_check);
        }
        if client.is_idle() {
            return self.start_close_if_no_input(now, id);
        }
        self.rejected += 1;
        let (status, message): (u16, &[u8]) = match client.needed_room {
            Some(_) => (503, b"no memory is free for a request of this size; try again\n"),
            None => (408, b"no whole request came in time\n"),
        };
        self.write_response(now, id, status, &[], Bytes::from_static(message), false);
    }

    /// Closes a connection without an open request, unless it has unread input.
    pub(super) fn start_close_if_no_input(&mut self, now: Micros, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        self.client_timers.set(client, id, now + LINGER_CHECK_INTERVAL);
        self.outputs.push(Output::ShutdownWriteIfNoInput(SocketId::Client(id)));
    }

    /// Reports the result of [`Output::ShutdownWriteIfNoInput`]; `done` is false if the connection has unread
    /// input, which will be delivered.
    ///
    /// If the connection were closed with a request unread, that request would be lost, or forwarded after
    /// the connection was closed. It is answered instead, and the connection's timer runs again.
    pub fn shutdown_write_result(&mut self, now: Micros, socket: SocketId, done: bool) {
        let SocketId::Client(id) = socket else { return };
        if done && let Some(client) = self.clients.get_mut(&id) {
            Self::start_lingering(now, client);
        }
    }

    fn start_lingering(now: Micros, client: &mut ClientConnection) {
        client.lingering = Some(Lingering { bytes_left: MAX_DISCARDED_BYTES, close_at: now + MAX_LINGER });
        client.decoder = RequestDecoder::new(MESSAGE_LIMITS);
    }

    /// Reports the result of [`Output::CloseIfIdle`]; `done` is false if input is unread or output is pending.
    ///
    /// Closing a connection with unread bytes resets it, and the response before it may be lost together with
    /// what the system still holds; a request that has just arrived may be lost the same way. The cost is
    /// that others wait for a slot until the input is handled, and that a client which doesn't read its
    /// response keeps its slot for [`MAX_LINGER`].
    pub fn close_result(&mut self, now: Micros, socket: SocketId, done: bool) {
        let SocketId::Client(id) = socket else { return };
        if done {
            return self.forget_client(now, id);
        }
        if let Some(client) = self.clients.get_mut(&id) {
            client.close_declined = true;
            if client.lingering.is_some() {
                self.client_timers.set(client, id, now + LINGER_CHECK_INTERVAL);
            }
        }
        self.accept_or_make_room(now);
    }

    /// Removes a client whose connection was closed locally and uses the free slot; its open request, if any,
    /// goes on.
    fn forget_client(&mut self, now: Micros, id: u64) {
        if let Some(mut client) = self.clients.remove(&id) {
            self.client_timers.remove(&client, id);
            self.release_all_room(&mut client, id);
            self.accept_or_make_room(now);
        }
    }

    /// Handles a client connection that ended: its open request is withdrawn.
    pub(super) fn client_ended(&mut self, now: Micros, id: u64, end: ConnectionEnd) {
        let Some(mut client) = self.clients.remove(&id) else { return };
        self.client_timers.remove(&client, id);
        self.release_all_room(&mut client, id);
        if let Some((request, _)) = client.open_request {
            match self.withdraw(now, request) {
                Some(pending) => self.unanswered.push(pending.unanswered(now, Cause::ClientEnded(end))),
                // The request was answered without this connection knowing; no known path leads here.
                None => tracing::warn!(client = id, ?request, ?end, "no answer: its request is over"),
            }
        }
        self.outputs.push(Output::Close(SocketId::Client(id)));
        self.accept_or_make_room(now);
    }

    pub(super) fn close_client(&mut self, now: Micros, id: u64) {
        self.outputs.push(Output::Close(SocketId::Client(id)));
        self.forget_client(now, id);
    }

    /// Issues an accept permit if a slot is free; otherwise asks one connection to close: the one idle
    /// longest if that is long enough, else the oldest that never sent an admitted request.
    ///
    /// Connections opened by the hundred that send nothing, or only readiness checks, must not keep other
    /// clients out. The newest connection is spared, as its first request may be on the way and would be
    /// lost. The cost is that a client which is slow to send its first request may lose its connection.
    pub(super) fn accept_or_make_room(&mut self, now: Micros) {
        if !self.accept_wanted || self.out_of_descriptors {
            return;
        }
        if self.clients.len() >= self.limits.client_connections {
            let idle_long_enough = |c: &ClientConnection| now - c.waiting_since >= MIN_IDLE_BEFORE_CLOSE;
            let can_close = |c: &ClientConnection| {
                !c.close_declined
                    && (c.lingering.is_some() || c.is_idle() && (!c.served || idle_long_enough(c)))
            };
            let candidates = self.clients.iter().filter(|(id, c)| **id != self.newest_client && can_close(c));
            // Connections that have their last response come first.
            let rank = |c: &ClientConnection| (c.lingering.is_none(), !idle_long_enough(c), c.waiting_since);
            let Some(id) = candidates.min_by_key(|(id, c)| (rank(c), **id)).map(|(id, _)| *id) else {
                self.queue_blocked_since.get_or_insert(now);
                return;
            };
            return self.outputs.push(Output::CloseIfIdle(SocketId::Client(id)));
        }
        (self.accept_wanted, self.permit_issued_at) = (false, now);
        self.outputs.push(Output::Accept);
    }

    /// Sends the single final response of an admitted request.
    pub(super) fn send_final_response(
        &mut self,
        now: Micros,
        pending: &Pending,
        status: u16,
        fields: &[(&str, &str)],
        body: Bytes,
    ) {
        let id = pending.client;
        self.open_request_ids.remove(&pending.admitted.id);
        let Some(client) = self.clients.get_mut(&id) else {
            return self.unanswered.push(pending.unanswered(now, Cause::NoConnection));
        };
        let keep = client.open_request.take().is_some_and(|(_, keep)| keep) && client.discarded_bytes == 0;
        client.served = true;
        self.release_open_room(id);
        self.write_response(now, id, status, fields, body, keep);
        self.handle_buffered_requests(now, id);
        self.settle_room(id);
        self.resume_reading(id);
    }

    /// Whether few connection slots are left, in which case responses close their connections.
    ///
    /// Clients that ask once and keep their connection would hold slots on which nothing is asked, and the
    /// next requests would find none. The cost is that clients open more connections than they need.
    pub(super) fn is_crowded(&self) -> bool {
        self.clients.len()
            >= self.limits.client_connections - self.limits.client_connections / CROWDED_DIVISOR
    }

    pub(super) fn write_response(
        &mut self,
        now: Micros,
        id: u64,
        status: u16,
        fields: &[(&str, &str)],
        body: Bytes,
        keep: bool,
    ) {
        let may_close = self.responses_close_connections || self.is_crowded();
        let Some(client) = self.clients.get_mut(&id) else { return };
        // Requests already received behind this one would be lost if the connection closed now, so it is kept
        // until they are answered.
        let keep = keep && !(may_close && client.decoder.is_idle());
        let socket = NonNodeSocket::Client(id);
        if body.len() < MIN_SHARED_BODY {
            self.outputs.push(Output::Write(socket, http1::encode_response(status, fields, &body, keep)));
        } else {
            self.outputs
                .push(Output::Write(socket, http1::encode_response_head(status, fields, body.len(), keep)));
            self.outputs.push(Output::Write(socket, body));
        }
        client.waiting_since = now;
        if keep {
            let idle_timeout = if client.served { KEEP_ALIVE } else { REQUEST_TIMEOUT };
            self.client_timers.set(client, id, now + idle_timeout);
            self.accept_or_make_room(now);
        } else {
            Self::start_lingering(now, client);
            self.client_timers.set(client, id, now + LINGER_CHECK_INTERVAL);
            self.outputs.push(Output::ShutdownWrite(socket.into()));
            // What comes now is discarded, so it needs no room.
            self.settle_room(id);
            self.resume_reading(id);
        }
    }
}
