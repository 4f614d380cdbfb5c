//! Clients: what they bring, and what they are told.

use super::*;

impl Machine {
    pub(super) fn client_received(&mut self, now: Micros, id: u64, at: Micros, bytes: &[u8]) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.crossed = false;
        if let Some(leaving) = &mut client.leaving {
            if leaving.left < bytes.len() {
                return self.drop_client(now, id);
            }
            leaving.left -= bytes.len();
            return self.outputs.push(Output::Resume(SocketId::Client(id)));
        }
        if client.open.is_some() && (client.spilled > 0 || client.decoder.held() + bytes.len() > AHEAD) {
            client.spilled += bytes.len();
            return self.spilled(now, id);
        }
        if client.is_idle() {
            // A request begins to come.
            client.since = at;
            if client.served {
                client.patience = PATIENCE;
            }
            self.agenda.set(client, id, at + client.patience / 2);
        }
        client.decoder.receive(bytes);
        client.arrivals.note(bytes.len(), at);
        // First, so that these bytes do not count as under way any more.
        self.outputs.push(Output::Resume(SocketId::Client(id)));
        self.pump(now, id);
    }

    /// More has come behind an open request than is kept.
    ///
    /// Danger: a connection that is not read does not show its end either, and the attempts of a client that sent much and went are
    /// begun long after. So it is read on, and what is beyond the bound thrown away: the open request's answer is the last. One
    /// that goes on all the same is answered at once. Harm: what a client sends so far ahead of its answers it has to send again.
    fn spilled(&mut self, now: Micros, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.spilled > LINGER_BYTES
            && let Some((request, _)) = client.open.take()
        {
            self.rejected += 1;
            self.withdraw(now, request);
            let why = Bytes::from_static(b"too much was sent behind an open request\n");
            self.write(now, id, 400, &[], why, false);
        }
        self.outputs.push(Output::Resume(SocketId::Client(id)));
    }

    /// Handles the requests that a client has sent, one at a time.
    pub(super) fn pump(&mut self, now: Micros, id: u64) {
        loop {
            let Some(client) = self.clients.get_mut(&id) else { return };
            if client.open.is_some() || client.leaving.is_some() {
                break;
            }
            match client.decoder.poll() {
                Ok(None) => break,
                Ok(Some(Incoming::Waits)) => {
                    let go_on = Bytes::from_static(b"HTTP/1.1 100 Continue\r\n\r\n");
                    self.outputs.push(Output::Write(SocketId::Client(id), go_on));
                }
                Ok(Some(Incoming::Whole(request))) => {
                    // Danger: one that has waited behind another is older than this moment. Counted from now, its node would be told
                    // more time than its client has left, and its answer come to nobody.
                    let at = client.arrivals.last_byte(client.decoder.held()).unwrap_or(now);
                    self.request(now, id, at, request);
                }
                Err(fault) => {
                    self.rejected += 1;
                    tracing::debug!(%fault, "a client's bytes cannot be read");
                    self.write(now, id, fault.status(), &[], fault.to_string().into(), false);
                }
            }
        }
    }

    pub(super) fn request(&mut self, now: Micros, id: u64, at: Micros, request: Request) {
        let keep = request.keep;
        if request.method == "GET" && request.target == "/ready" {
            return self.write(now, id, 200, &[], Bytes::from_static(b"ready\n"), keep);
        }
        let admitted = admit(request, &self.service, &self.settings, now - at);
        let admitted = admitted
            .and_then(|ask| if self.ids.contains(&ask.id) { Err(Rejection::IdOpen) } else { Ok(ask) });
        let ask = match admitted {
            Ok(ask) => ask,
            Err(rejection) => {
                self.rejected += 1;
                let status = rejection.status();
                return self.write(now, id, status, &[], rejection.to_string().into(), keep);
            }
        };
        self.ids.insert(ask.id.clone());
        let mut taken = ask.request.clone();
        if let Some(ends) = self.ends() {
            taken.patience = taken.patience.min(ends - now).max(0);
        }
        let until = now + taken.patience;
        let request = self.dispatcher.submit(
            now,
            taken,
            Pending { client: id, ask, read: at, until, attempts: AttemptRecords::default() },
        );
        if let Some(client) = self.clients.get_mut(&id) {
            client.open = Some((request, keep));
            self.agenda.remove(client, id);
        }
        self.settle(now);
    }

    /// A client's connection is due to be looked at: it brought no request in time, or was idle for long enough.
    pub(super) fn look_at(&mut self, now: Micros, id: u64) {
        let pressed = self.accepts && self.clients.len() >= self.sizes.clients;
        let Some(client) = self.clients.get_mut(&id) else { return };
        if client.open.is_some() {
            return;
        }
        if let Some(leaving) = &client.leaving {
            if now >= leaving.last {
                return self.drop_client(now, id);
            }
            return self.outputs.push(Output::GiveWay(SocketId::Client(id)));
        }
        // Danger: connections that say nothing, or half a request, hold a descriptor each for ever, and where places are short keep out
        // others which are owed as much. Harm: a client that takes longer than that to send one request, or half as long where
        // others wait for its place, must send it again.
        let last = client.since + client.patience;
        let rests = client.served && client.is_idle();
        if !rests && now < last && !pressed {
            let again = (now + client.patience / 8).min(last);
            return self.agenda.set(client, id, again);
        }
        if client.is_idle() {
            return self.let_go(now, id);
        }
        self.rejected += 1;
        self.write(now, id, 408, &[], Bytes::from_static(b"no whole request came in time\n"), false);
    }

    /// Closes a connection on which nothing is owed, as far as is known here.
    pub(super) fn let_go(&mut self, now: Micros, id: u64) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        self.agenda.set(client, id, now + LINGER);
        self.outputs.push(Output::Part(SocketId::Client(id)));
    }

    /// A connection was told its end after [`Output::Part`]; or it was not, as something has come on it, which is on its way here.
    ///
    /// Danger: a request that is there but not read when its connection is told its end would be sent on behind that, or lost. Harm:
    /// none; it is answered, and the connection looked at again.
    pub fn parted(&mut self, now: Micros, socket: SocketId, done: bool) {
        let SocketId::Client(id) = socket else { return };
        if done && let Some(client) = self.clients.get_mut(&id) {
            Self::leaves(now, client);
        }
    }

    fn leaves(now: Micros, client: &mut Client) {
        client.leaving = Some(Leaving { left: LINGER_BYTES, last: now + KEPT });
    }

    /// A connection was closed after [`Output::GiveWay`]; or it was not, as something is under way on it.
    ///
    /// Danger: a close over bytes that were not read resets the connection, and the answer before it may be lost with what the
    /// system still holds; so may a request that has just come. Harm: others wait for a place until it is seen, and a client that
    /// does not read its answer keeps one for [`KEPT`].
    pub fn gave_way(&mut self, now: Micros, socket: SocketId, done: bool) {
        let SocketId::Client(id) = socket else { return };
        if done {
            return self.forget_client(now, id);
        }
        if let Some(client) = self.clients.get_mut(&id) {
            client.crossed = true;
            if client.leaving.is_some() {
                self.agenda.set(client, id, now + LINGER);
            }
        }
        self.make_room(now);
    }

    fn forget_client(&mut self, now: Micros, id: u64) {
        if let Some(client) = self.clients.remove(&id) {
            self.agenda.remove(&client, id);
            self.make_room(now);
        }
    }

    /// The client has closed its connection, or it broke: what it asked is taken back.
    pub(super) fn client_gone(&mut self, now: Micros, id: u64, end: End) {
        let Some(client) = self.clients.remove(&id) else { return };
        self.agenda.remove(&client, id);
        if let Some((request, _)) = client.open {
            match self.withdraw(now, request) {
                Some(pending) => self.unanswered.push(pending.unanswered(now, Cause::ClientEnded(end))),
                // Its answer was made and did not come here: there is no known way to that.
                None => tracing::warn!(client = id, ?request, ?end, "no answer: its request is over"),
            }
        }
        self.outputs.push(Output::Close(SocketId::Client(id)));
        self.make_room(now);
    }

    pub(super) fn drop_client(&mut self, now: Micros, id: u64) {
        self.outputs.push(Output::Close(SocketId::Client(id)));
        self.forget_client(now, id);
    }

    /// Accepts one more connection if there is room, or if one can give way: the one that has been idle longest, if that is long
    /// enough, else the oldest that has never brought a request that was taken. Danger: connections that are opened by the
    /// hundred and say nothing, or ask only whether we are ready, keep the others out; but one that has just come may have its first request on the way, which would be lost.
    /// Harm: a client that takes its time before its first word may lose its connection.
    pub(super) fn make_room(&mut self, now: Micros) {
        if !self.accepts || self.exhausted {
            return;
        }
        if self.clients.len() >= self.sizes.clients {
            let may_close = |c: &Client| now - c.since >= MAY_CLOSE;
            let gives_way = |c: &Client| {
                !c.crossed && (c.leaving.is_some() || c.is_idle() && (!c.served || may_close(c)))
            };
            let candidates = self.clients.iter().filter(|(id, c)| **id != self.newest && gives_way(c));
            // Those that have their last answer come first.
            let rank = |c: &Client| (c.leaving.is_none(), !may_close(c), c.since);
            let Some(id) = candidates.min_by_key(|(id, c)| (rank(c), **id)).map(|(id, _)| *id) else {
                self.queued.get_or_insert(now);
                return;
            };
            return self.outputs.push(Output::GiveWay(SocketId::Client(id)));
        }
        (self.accepts, self.admitted) = (false, now);
        self.outputs.push(Output::Accept);
    }

    /// The one final answer of a request that was taken.
    pub(super) fn answer(
        &mut self,
        now: Micros,
        pending: &Pending,
        status: u16,
        fields: &[(&str, &str)],
        body: Bytes,
    ) {
        let id = pending.client;
        self.ids.remove(&pending.ask.id);
        let Some(client) = self.clients.get_mut(&id) else {
            return self.unanswered.push(pending.unanswered(now, Cause::NoConnection));
        };
        let keep = client.open.take().is_some_and(|(_, keep)| keep) && client.spilled == 0;
        client.served = true;
        self.write(now, id, status, fields, body, keep);
        self.pump(now, id);
    }

    /// Few places are left. Danger: clients that ask once and keep their connection hold places, theirs and ours, on which
    /// nothing is asked, and the next requests find none. While it is so, answers end their connections. Harm: clients open
    /// more connections than they need.
    pub(super) fn is_crowded(&self) -> bool {
        self.clients.len() >= self.sizes.clients - self.sizes.clients / CROWDED
    }

    pub(super) fn write(
        &mut self,
        now: Micros,
        id: u64,
        status: u16,
        fields: &[(&str, &str)],
        body: Bytes,
        keep: bool,
    ) {
        let may_end = self.ending || self.is_crowded();
        let Some(client) = self.clients.get_mut(&id) else { return };
        // Danger: what has come behind this request was taken, and would be lost with the connection. Harm: a client that sends ahead keeps
        // its place until it has its answers.
        let keep = keep && !(may_end && client.decoder.is_between());
        let socket = SocketId::Client(id);
        if body.len() < SHARED {
            self.outputs.push(Output::Write(socket, http1::answer(status, fields, &body, keep)));
        } else {
            self.outputs.push(Output::Write(socket, http1::answer_head(status, fields, body.len(), keep)));
            self.outputs.push(Output::Write(socket, body));
        }
        client.since = now;
        if keep {
            let kept = if client.served { KEPT } else { PATIENCE };
            self.agenda.set(client, id, now + kept);
            self.make_room(now);
        } else {
            Self::leaves(now, client);
            self.agenda.set(client, id, now + LINGER);
            self.outputs.push(Output::Finish(socket));
        }
    }
}
