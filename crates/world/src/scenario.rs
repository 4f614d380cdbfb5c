//! What a world holds, and what happens to it.

use emulator::ModelOptions;

use crate::Micros;

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
    /// All gateways are told to leave, a tenth at a time, and start again later.
    Roll {
        /// From when.
        at: Micros,
        /// Between two tenths.
        step: Micros,
        /// From the word to leave to the new start.
        back: Micros,
    },
    /// Agents refuse their gateways' calls.
    NoDiscovery {
        /// From when.
        at: Micros,
        /// For how long.
        lasts: Micros,
    },
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
