//! Simulated network for meshes in virtual time, with delays, partitions, closed connections and restored disks.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use peer::{
    Conn, Input, Kind, Life, Lives, Mesh, MeshOptions, Micros, Nonce, Output, PeerName, QuestionId, Told,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub const LATENCY: Micros = 500;
pub const DIAL_TIMEOUT: Micros = 200_000;

pub fn name(n: usize) -> PeerName {
    PeerName(format!("g{n}"))
}

/// The stored state of a gateway.
#[derive(Clone, Default)]
pub struct Disk {
    pub life: Option<Life>,
    pub lives: Lives,
}

pub struct Gateway {
    pub mesh: Mesh,
    pub notifications: Vec<(Micros, Told)>,
    pub asked: BTreeMap<QuestionId, Micros>,
    pub answered: BTreeSet<QuestionId>,
}

/// One direction of a connection.
#[derive(Default)]
pub struct ConnectionDirection {
    pub to: Option<(usize, Conn)>,
    pub in_flight: VecDeque<(Micros, Option<Vec<u8>>)>,
}

/// Gateways, their disks and the network between them.
pub struct SimulatedNetwork {
    pub now: Micros,
    pub gateways: Vec<Option<Gateway>>,
    pub disks: Vec<Disk>,
    pub directions: BTreeMap<(usize, Conn), ConnectionDirection>,
    pub dials: Vec<(Micros, usize, usize)>,
    pub cut: BTreeSet<(usize, usize)>,
    pub random: SmallRng,
    pub next_connection: u64,
    pub max_unwritten: usize,
}

impl SimulatedNetwork {
    pub fn new(n: usize, seed: u64) -> SimulatedNetwork {
        let mut net = SimulatedNetwork {
            now: 0,
            gateways: (0..n).map(|_| None).collect(),
            disks: vec![Disk::default(); n],
            directions: BTreeMap::new(),
            dials: Vec::new(),
            cut: BTreeSet::new(),
            random: SmallRng::seed_from_u64(seed),
            next_connection: 0,
            max_unwritten: 0,
        };
        (0..n).for_each(|g| net.start(g));
        net
    }

    pub fn options(&self, g: usize) -> MeshOptions {
        MeshOptions::new(name(g), (0..self.gateways.len()).map(name).collect(), 42)
    }

    /// Starts a gateway; its next life is stored before it sends anything.
    pub fn start(&mut self, g: usize) {
        let life = Life::after(self.disks[g].life, Nonce(self.random.random()));
        self.disks[g].life = Some(life);
        let mesh = Mesh::new(self.options(g), life, self.disks[g].lives.clone(), self.random.random());
        self.gateways[g] = Some(Gateway {
            mesh,
            notifications: Vec::new(),
            asked: BTreeMap::new(),
            answered: BTreeSet::new(),
        });
        self.handle_input(g, Input::Tick);
    }

    pub fn kill(&mut self, g: usize) {
        self.gateways[g] = None;
        let conns: Vec<Conn> = self.directions.keys().filter(|k| k.0 == g).map(|k| k.1).collect();
        conns.into_iter().for_each(|conn| self.close(g, conn));
    }

    /// Closes one end; the other is notified after the bytes written before have arrived.
    pub fn close(&mut self, g: usize, conn: Conn) {
        if let Some(direction) = self.directions.get_mut(&(g, conn)) {
            direction.in_flight.push_back((self.now + LATENCY, None));
        }
    }

    pub fn handle_input(&mut self, g: usize, input: Input) {
        self.run_mesh(g, |mesh, now, out| mesh.handle(now, input, out));
    }

    pub fn run_mesh<T>(
        &mut self,
        g: usize,
        what: impl FnOnce(&mut Mesh, Micros, &mut Vec<Output>) -> T,
    ) -> Option<T> {
        let mut out = Vec::new();
        let gateway = self.gateways[g].as_mut()?;
        let result = what(&mut gateway.mesh, self.now, &mut out);
        self.disks[g].lives = gateway.mesh.lives().clone();
        for output in out {
            match output {
                Output::Dial(peer) => {
                    let to = (0..self.gateways.len()).find(|&n| name(n) == peer).expect("a gateway");
                    self.dials.push((self.now + LATENCY, g, to));
                }
                Output::Write(conn, bytes) => {
                    if let Some(direction) = self.directions.get_mut(&(g, conn)) {
                        direction.in_flight.push_back((self.now + LATENCY, Some(bytes)));
                        let unwritten: usize =
                            direction.in_flight.iter().filter_map(|(_, b)| b.as_ref().map(Vec::len)).sum();
                        self.max_unwritten = self.max_unwritten.max(unwritten);
                    }
                }
                Output::Close(conn) => self.close(g, conn),
                Output::Tell(told) => self.handle_notification(g, told),
            }
        }
        Some(result)
    }

    pub fn handle_notification(&mut self, g: usize, told: Told) {
        let now = self.now;
        let gateway = self.gateways[g].as_mut().expect("it spoke");
        gateway.notifications.push((now, told.clone()));
        match told {
            Told::Answered { question, .. } => {
                assert!(gateway.answered.insert(question), "a question has one outcome");
            }
            // Even question numbers are answered at once, odd ones never.
            Told::Asked { conn, id, body, .. } if id % 2 == 0 => {
                self.run_mesh(g, |mesh, now, out| mesh.answer(now, conn, id, Some(body), out));
            }
            Told::Superseded { seen, .. } => {
                let life = Life::after(Some(seen), Nonce(self.random.random()));
                self.disks[g].life = Some(life);
                self.run_mesh(g, |mesh, now, out| mesh.renew(now, life, out));
            }
            _ => {}
        }
    }

    pub fn ask(&mut self, g: usize, to: usize, body: Vec<u8>, within: Micros) {
        let deadline = self.now + within;
        // An outcome without a connection is reported before the number is known here.
        let id = self.run_mesh(g, |mesh, now, out| mesh.ask(now, &name(to), Kind(1), body, deadline, out));
        if let (Some(id), Some(gateway)) = (id, self.gateways[g].as_mut()) {
            gateway.asked.insert(id, deadline);
        }
    }

    /// The time of the next event.
    pub fn next_event(&self) -> Micros {
        let meshes = self.gateways.iter().flatten().map(|g| g.mesh.next_due());
        let directions = self.directions.iter().filter_map(|(from, direction)| {
            let (to, _) = direction.to?;
            (!self.cut.contains(&(from.0, to))).then(|| direction.in_flight.front().map(|p| p.0)).flatten()
        });
        meshes.chain(directions).chain(self.dials.iter().map(|d| d.0)).min().unwrap_or(Micros::MAX)
    }

    pub fn run_until(&mut self, end: Micros) {
        while self.next_event() <= end {
            self.now = self.next_event().max(self.now);
            self.step();
        }
        self.now = end;
    }

    pub fn step(&mut self) {
        for (at, from, to) in std::mem::take(&mut self.dials) {
            if at > self.now {
                self.dials.push((at, from, to));
            } else if self.cut.contains(&(from, to)) || self.cut.contains(&(to, from)) {
                // Nothing comes back, so the connect times out.
                if at + DIAL_TIMEOUT > self.now {
                    self.dials.push((at + DIAL_TIMEOUT, from, to));
                } else {
                    self.handle_input(from, Input::NotDialled { peer: name(to) });
                }
                continue;
            } else if self.gateways[to].is_none() {
                self.handle_input(from, Input::NotDialled { peer: name(to) });
            } else if self.gateways[from].is_some() {
                let (here, there) = (Conn(self.next_connection), Conn(self.next_connection + 1));
                self.next_connection += 2;
                self.directions.insert(
                    (from, here),
                    ConnectionDirection { to: Some((to, there)), ..ConnectionDirection::default() },
                );
                self.directions.insert(
                    (to, there),
                    ConnectionDirection { to: Some((from, here)), ..ConnectionDirection::default() },
                );
                self.handle_input(to, Input::Accepted { conn: there });
                self.handle_input(from, Input::Dialled { peer: name(to), conn: here });
            }
        }
        let ends: Vec<(usize, Conn)> = self.directions.keys().copied().collect();
        for end in ends {
            while let Some(direction) = self.directions.get_mut(&end) {
                let Some((to, conn)) = direction.to.filter(|(to, _)| !self.cut.contains(&(end.0, *to)))
                else {
                    break;
                };
                let Some((_, bytes)) = direction.in_flight.pop_front_if(|p| p.0 <= self.now) else { break };
                match bytes {
                    Some(bytes) => {
                        let n = bytes.len();
                        self.handle_input(end.0, Input::Taken { conn: end.1, bytes: n });
                        // Delivered in two parts, because frames may arrive incomplete.
                        let (a, b) = bytes.split_at(n / 3);
                        self.handle_input(to, Input::Bytes { conn, bytes: a.to_vec() });
                        self.handle_input(to, Input::Bytes { conn, bytes: b.to_vec() });
                    }
                    None => {
                        direction.to = None;
                        self.handle_input(to, Input::Ended { conn });
                        self.directions.remove(&end);
                    }
                }
            }
        }
        (0..self.gateways.len()).for_each(|g| self.handle_input(g, Input::Tick));
    }

    pub fn is_up(&self, g: usize, peer: usize) -> bool {
        let Some(gateway) = &self.gateways[g] else { return false };
        gateway.mesh.look().iter().any(|p| p.name == name(peer) && p.up)
    }

    pub fn all_connected(&self) -> bool {
        let n = self.gateways.len();
        (0..n).all(|a| (0..n).all(|b| a == b || self.is_up(a, b)))
    }

    pub fn notifications(&self, g: usize) -> impl Iterator<Item = &Told> {
        self.gateways[g].as_ref().expect("it is there").notifications.iter().map(|(_, told)| told)
    }

    /// Invariants at any time: a question has its outcome by its deadline, and lives only move forward.
    pub fn assert_invariants(&self) {
        for gateway in self.gateways.iter().flatten() {
            for (id, deadline) in &gateway.asked {
                let late = self.now > *deadline && !gateway.answered.contains(id);
                assert!(!late, "a question of {deadline} has no outcome at {}", self.now);
            }
            let mut last_lives: BTreeMap<&PeerName, Life> = BTreeMap::new();
            for (_, told) in &gateway.notifications {
                if let Told::Up { peer, life } = told
                    && let Some(before) = last_lives.insert(peer, *life)
                {
                    assert!(before == *life || before.incarnation < life.incarnation, "{before} then {life}");
                }
            }
        }
        assert!(self.max_unwritten <= (1 << 20) + peer::wire::MOST + 8, "{}", self.max_unwritten);
    }
}
