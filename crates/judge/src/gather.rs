//! Lines of all processes, brought together.

use std::collections::BTreeMap;

use records::{ClientLine, DayLine, Micros, NodeLine, Terms, ViewLine};

use crate::day::{Attempt, Command, Day, Life};
use crate::pauses::Pauses;

/// The records of a day, by process.
#[derive(Clone, Debug)]
pub struct Records {
    /// Terms.
    pub terms: Terms,
    /// Clients' lines, by name.
    pub clients: Vec<(String, Vec<ClientLine>)>,
    /// Nodes' lines, by file.
    pub nodes: Vec<Vec<NodeLine>>,
    /// The director's lines.
    pub lines: Vec<DayLine>,
    /// Gateways' views, each gateway's in the order in which it held them.
    pub views: Vec<ViewLine>,
}

impl Day {
    /// Brings the records of clients, nodes and the director together.
    pub fn of(
        terms: Terms,
        client_lines: Vec<ClientLine>,
        node_lines: Vec<Vec<NodeLine>>,
        lines: Vec<DayLine>,
    ) -> Day {
        let clients = vec![(String::new(), client_lines)];
        Day::gather(Records { terms, clients, nodes: node_lines, lines, views: Vec::new() })
    }

    /// Brings all records together.
    pub fn gather(records: Records) -> Day {
        let pauses = Pauses::of(&records.lines);
        let mut ups: BTreeMap<String, Vec<Micros>> = BTreeMap::new();
        for line in &records.lines {
            if let DayLine::Up { t, gateway } = line {
                ups.entry(gateway.clone()).or_default().push(*t);
            }
        }
        let mut day = Day {
            terms: records.terms,
            commands: BTreeMap::new(),
            attempts: Vec::new(),
            lives: Vec::new(),
            lines: records.lines,
            views: records.views,
            pauses,
            ups,
            client_ends: BTreeMap::new(),
        };
        for (client, lines) in records.clients {
            for line in lines {
                day.client_line(&client, line);
            }
        }
        for lines in records.nodes {
            day.node_file(lines);
        }
        day.attempts.sort_by_key(|a| (a.arrived, a.token, a.n, a.slba));
        day.put_off();
        day
    }

    /// Danger: what a process chose, booked and sent may come to its node much later: a gateway that is stopped between its
    /// choice and the write, a link that keeps it, a node that stands still. Harm: an attempt that may have been put off is
    /// held to what was allowed at the earliest moment that it may have been sent, so a breach in that time goes unseen.
    fn put_off(&mut self) {
        let slack = self.terms.clock_slack;
        for a in &mut self.attempts {
            let node = &self.lives[a.node].name;
            let read = self.pauses.earliest(&a.gateway, node, a.arrived, slack);
            let began = self.pauses.earliest(&a.gateway, node, a.sent, slack);
            a.sent = a.sent.min(read).min(began);
        }
    }

    fn client_line(&mut self, client: &str, line: ClientLine) {
        let end = self.client_ends.entry(client.to_owned()).or_insert(Micros::MIN);
        *end = line.at().max(*end);
        match line {
            ClientLine::Issue { t, token, gateway, connection, op, nsid, slba, blocks } => {
                self.commands.insert(
                    token,
                    Command {
                        token,
                        client: client.to_owned(),
                        gateway,
                        connection,
                        issued: t,
                        op,
                        nsid,
                        slba,
                        blocks,
                        answers: Vec::new(),
                        found: Vec::new(),
                        torn: 0,
                        lost: None,
                        abort: false,
                    },
                );
            }
            ClientLine::Answer { t, token, told, found, torn, .. } => {
                if let Some(command) = self.commands.get_mut(&token) {
                    command.answers.push((t, told));
                    (command.found, command.torn) = (found, torn);
                }
            }
            ClientLine::Lost { t, token, by_client } => {
                if let Some(command) = self.commands.get_mut(&token) {
                    command.lost.get_or_insert((t, by_client));
                }
            }
            ClientLine::Abort { token, .. } => {
                if let Some(command) = self.commands.get_mut(&token) {
                    command.abort = true;
                }
            }
        }
    }

    fn node_file(&mut self, lines: Vec<NodeLine>) {
        let node = self.lives.len();
        let mut life =
            Life { name: String::new(), shard: 0, starts: Vec::new(), units_per_s: 0.0, falls: Vec::new() };
        // By token, attempt and first block: what a node may run at one time is named apart by these.
        let mut open: BTreeMap<(u64, u32, u64), usize> = BTreeMap::new();
        // Writes on its disk, by their numbers there.
        let mut numbers: BTreeMap<u64, usize> = BTreeMap::new();
        // The last time that the node stood still, or was down with its connections open.
        let (mut still, mut since) = ((Micros::MIN, Micros::MIN), None);
        let slack = self.terms.clock_slack;
        for line in lines {
            match line {
                NodeLine::Start { t, node, shard, cold, units_per_s, kept } => {
                    // What was not durable when its power went has not happened.
                    let lost = numbers.split_off(&kept.map_or(u64::MAX, |k| k + 1));
                    for index in lost.into_values() {
                        let a: &mut Attempt = &mut self.attempts[index];
                        a.undone = a.ran.take().map(|_| t);
                    }
                    (life.name, life.shard, life.units_per_s) = (node, shard, units_per_s);
                    life.starts.push((t, cold));
                    // A process that was started again does not stand still.
                    if let Some(from) = since.take() {
                        still = (from, t);
                    }
                }
                NodeLine::Arrive { t, began, gateway, token, attempt, op, nsid, slba, blocks } => {
                    open.insert((token, attempt, slba), self.attempts.len());
                    // A command is sent with its capsule: its data follows when the node asks for it.
                    let came = began.unwrap_or(t);
                    self.attempts.push(Attempt {
                        node,
                        gateway,
                        token,
                        n: attempt,
                        arrived: t,
                        sent: if came <= still.1.saturating_add(slack) { still.0.min(came) } else { came },
                        op,
                        nsid,
                        slba,
                        blocks,
                        ran: None,
                        undone: None,
                        answered: None,
                    });
                }
                NodeLine::Run { t, token, attempt, slba, applied, number, .. } => {
                    if let Some(&index) = open.get(&(token, attempt, slba)) {
                        self.attempts[index].ran = Some((t, applied));
                        if number > 0 {
                            numbers.insert(number, index);
                        }
                    }
                }
                NodeLine::Answer { t, token, attempt, slba, full } => {
                    if let Some(&index) = open.get(&(token, attempt, slba)) {
                        self.attempts[index].answered = Some((t, full));
                    }
                }
                NodeLine::Fell { t } => life.falls.push(t),
                NodeLine::Fault { t, fault } if fault == "Stall(true)" => since = since.or(Some(t)),
                // Coming back from the dead ends a stall too.
                NodeLine::Fault { t, fault } if fault == "Stall(false)" || fault == "Revive" => {
                    if let Some(from) = since.take() {
                        still = (from, t);
                    }
                }
                NodeLine::Down { .. } | NodeLine::Fault { .. } => {}
            }
        }
        self.lives.push(life);
    }
}
