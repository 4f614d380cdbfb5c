//! What a world holds, and what happens to it.

use emulator::ModelOptions;

use crate::Micros;

/// How agents write what they tell.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Writing {
    /// A list comes over several lines, with blank lines before and after.
    pub indented: bool,
    /// What is told comes in pieces of so many bytes at most, cut anywhere; 0: in one.
    pub piece: usize,
}

/// What agents do that cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Watches that are open, and those opened meanwhile, come up and say nothing, then and later.
    Silent,
    /// Watches end, calls are refused.
    Refuses,
    /// Watches end, calls come up and are reset once they ask.
    Resets,
    /// Watches fall silent, calls never come up.
    Hangs,
    /// Watches end, calls are answered with an error.
    Fails,
    /// Watches bring what is no list, and so does the answer to each call; all stay open.
    Garbles,
}

/// What ails a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ill {
    /// It works so many times slower.
    Slow(f64),
    /// It answers this part of the requests with an error, unseen.
    Fails(f64),
    /// It takes requests and answers none of them, then or later.
    Hangs,
    /// It sends this part of its answers a second time, so long after the first at most, on the same connection.
    Repeats(f64, Micros),
    /// This part of the connections to it comes up late, by up to a second.
    UpLate(f64),
}

/// Something that goes wrong, at a time counted from the start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Trouble {
    /// The nodes of a zone say nothing; then they come back cold, and their connections are reset.
    Silence {
        /// The zone.
        zone: usize,
        /// From when.
        at: Micros,
        /// For how long.
        lasts: Micros,
    },
    /// A part of the nodes is replaced one after the other by cold ones under new ids at new addresses.
    Replace {
        /// The part, 0 to 1.
        part: f64,
        /// From when.
        at: Micros,
        /// Over how long.
        lasts: Micros,
    },
    /// A part of the gateways is killed at once and starts again after a while, with the list of before.
    Kill {
        /// The part, 0 to 1.
        part: f64,
        /// When.
        at: Micros,
        /// Until they start again.
        back: Micros,
    },
    /// All gateways are told to leave, a tenth at a time, are killed at the earliest time that the platform states, and start
    /// again later.
    Roll {
        /// From when.
        at: Micros,
        /// Between two tenths.
        step: Micros,
        /// From the word to leave to the new start.
        back: Micros,
    },
    /// Agents cannot be used.
    NoDiscovery {
        /// What they do.
        how: Outage,
        /// From when.
        at: Micros,
        /// For how long.
        lasts: Micros,
    },
    /// The open watches of a part of the gateways fall silent: they stay open, and nothing more comes.
    Mute {
        /// The part, 0 to 1.
        part: f64,
        /// When.
        at: Micros,
        /// Their later watches fall silent too, so long after they were answered.
        again: Option<Micros>,
    },
    /// All gateways are told (SIGHUP), one after the other, that discovery is elsewhere; the one before ends what is open 1.5 s later.
    Moves {
        /// From when.
        at: Micros,
        /// Over how long.
        lasts: Micros,
    },
    /// Something ails a part of the nodes.
    Ails {
        /// The part, 0 to 1.
        part: f64,
        /// What.
        ill: Ill,
        /// From when.
        at: Micros,
        /// For how long.
        lasts: Micros,
    },
}

impl Trouble {
    /// When it begins, counted from the start.
    pub fn at(&self) -> Micros {
        match *self {
            Trouble::Silence { at, .. }
            | Trouble::Replace { at, .. }
            | Trouble::Kill { at, .. }
            | Trouble::Roll { at, .. }
            | Trouble::NoDiscovery { at, .. }
            | Trouble::Mute { at, .. }
            | Trouble::Moves { at, .. }
            | Trouble::Ails { at, .. } => at,
        }
    }
}

/// A world.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// For all random draws.
    pub seed: u64,
    /// How long requests come.
    pub length: Micros,
    /// Gateways.
    pub gateways: usize,
    /// Nodes; each holds a shard of its own.
    pub nodes: usize,
    /// Zones that the nodes lie in.
    pub zones: usize,
    /// Volumes for each node.
    pub volumes: usize,
    /// Requests asked, as a part of what all nodes can do when warm.
    pub load: f64,
    /// Weight of the busiest gateways against the least busy ones.
    pub skew: f64,
    /// Power of a node.
    pub node: ModelOptions,
    /// Connections that a node holds; more are reset.
    pub places: usize,
    /// Lists reach agents after so long, drawn for each gateway and change.
    pub lag: (Micros, Micros),
    /// How agents write.
    pub writing: Writing,
    /// All agents write their empty lines in one moment.
    pub in_step: bool,
    /// From the word that a node drains to its end; until then it serves.
    pub drain: Micros,
    /// A gateway that starts again has the list of the world's beginning in its configuration, not what its agent knows.
    pub old_known: bool,
    /// Clients of a gateway that is told to leave go on to send on every connection that stays open, one sends half a
    /// request, one pipelines.
    pub persist: bool,
    /// Descriptors that a gateway's machine grants.
    pub sockets: u64,
    /// Clients that come again after a refusal, once.
    pub returns: bool,
    /// What goes wrong.
    pub troubles: Vec<Trouble>,
}

impl Scenario {
    /// A calm world of some size for ten seconds at two thirds of its power.
    pub fn calm(seed: u64, gateways: usize, nodes: usize) -> Self {
        Scenario {
            seed,
            length: 10_000_000,
            gateways,
            nodes,
            zones: 3,
            volumes: 5,
            load: 0.6,
            skew: 5.0,
            node: ModelOptions {
                cores: 2,
                queue: 40,
                base: 18_000,
                per_kib: 0.0,
                write_factor: 1.5,
                put_off: 0.0,
                put_off_every: 0,
                pause_every: 0,
                pause_for: 0,
                cold_from: 0.25,
                warm_after: 12_000_000,
                fall_multiple: 3.0,
                fall_window: 2_000_000,
                cold_units: 24.0,
                script: Vec::new(),
            },
            places: 700,
            lag: (300_000, 2_000_000),
            writing: Writing::default(),
            in_step: false,
            drain: 2_000_000,
            old_known: false,
            persist: false,
            sockets: 512,
            returns: true,
            troubles: Vec::new(),
        }
    }

    /// The same with a trouble more.
    #[must_use]
    pub fn with(mut self, trouble: Trouble) -> Self {
        self.troubles.push(trouble);
        self
    }

    /// Requests a second over all gateways.
    pub(crate) fn rate(&self) -> f64 {
        let work = self.node.work(false, 0) * (1.0 + (self.node.write_factor - 1.0) * crate::client::WRITES);
        self.load * self.nodes as f64 * f64::from(self.node.cores) * 1e6 / work
    }
}
