//! Settings of the processes. Times in microseconds.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;

use peer::PeerName;
use plane::{Bounds, FeedOptions, Micros, Place, Region};

/// Takes a process's status lines: one JSON object each, without the line's end. Called on the process's loop; it must not wait.
pub type Tell = Box<dyn FnMut(&str) + Send>;

/// How gateways find the plane and follow it.
#[derive(Clone, Debug)]
pub struct LinkOptions {
    /// What tells this site from another.
    pub site: u64,
    /// All regions of the site.
    pub regions: Vec<Region>,
    /// Machines of the own region, in any order; each gateway draws its own, see [`plane::order`].
    pub near: Vec<PeerName>,
    /// The other machines, tried after those.
    pub far: Vec<PeerName>,
    /// Where machines listen.
    pub addresses: BTreeMap<PeerName, SocketAddr>,
    /// What a copy takes at most.
    pub bounds: Bounds,
    /// First links, and those after a lost one, are dialled at a drawn moment within this.
    pub spread: Micros,
}

impl LinkOptions {
    /// The usual times and bounds.
    pub fn new(site: u64, regions: Vec<Region>, near: Vec<PeerName>, far: Vec<PeerName>) -> LinkOptions {
        let (addresses, bounds) = (BTreeMap::new(), Bounds::default());
        LinkOptions { site, regions, near, far, addresses, bounds, spread: 1_000_000 }
    }
}

/// A control machine's process.
pub struct MachineRun {
    /// Its name, which stands among `machines`.
    pub name: PeerName,
    /// What tells this site from another.
    pub site: u64,
    /// All machines of the site, itself among them.
    pub machines: Vec<Place>,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Where the others listen.
    pub addresses: BTreeMap<PeerName, SocketAddr>,
    /// Folder for its life and its store.
    pub folder: PathBuf,
    /// Folder for its records; none: nothing is written down.
    pub records: Option<PathBuf>,
    /// For everything that is drawn.
    pub seed: u64,
    /// What it takes at most.
    pub bounds: Bounds,
    /// How it serves.
    pub feed: FeedOptions,
    /// Whom it serves hears from it at least this often.
    pub beat: Micros,
    /// Who says nothing for so long is let go.
    pub silence: Micros,
    /// Links to other machines are dialled at a drawn moment within this.
    pub spread: Micros,
    /// Where its status lines go; none: to the standard output.
    pub tell: Option<Tell>,
}

impl MachineRun {
    /// The usual times and bounds.
    pub fn new(
        name: PeerName,
        site: u64,
        machines: Vec<Place>,
        listen: SocketAddr,
        addresses: BTreeMap<PeerName, SocketAddr>,
        folder: PathBuf,
    ) -> MachineRun {
        MachineRun {
            name,
            site,
            machines,
            listen,
            addresses,
            folder,
            records: None,
            seed: 0,
            bounds: Bounds::default(),
            feed: FeedOptions::default(),
            beat: 1_000_000,
            silence: 15_000_000,
            spread: 200_000,
            tell: None,
        }
    }
}

impl fmt::Debug for MachineRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MachineRun")
            .field("name", &self.name)
            .field("listen", &self.listen)
            .finish_non_exhaustive()
    }
}

/// Some gateways that read nothing for a while. Their links stay up, they go on to give signs of life, and they hold what
/// they have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stuck {
    /// Each gateway of the process whose number, from 0, is a multiple of this.
    pub every: usize,
    /// From when on, after the process's start.
    pub from: Micros,
    /// For so long.
    pub span: Micros,
}

/// A process of gateways without a data path.
pub struct HollowRun {
    /// The process's name, for its records and status lines.
    pub process: String,
    /// Its gateways.
    pub names: Vec<PeerName>,
    /// How they follow the plane.
    pub link: LinkOptions,
    /// Folder with a sub-folder for each gateway's life and store, by its name.
    pub folder: PathBuf,
    /// Folder for its records; none: nothing is written down.
    pub records: Option<PathBuf>,
    /// For everything that is drawn.
    pub seed: u64,
    /// Gateways that read nothing for a while.
    pub stuck: Option<Stuck>,
    /// Where its status lines go; none: to the standard output.
    pub tell: Option<Tell>,
}

impl HollowRun {
    /// Without records and stuck gateways.
    pub fn new(process: &str, names: Vec<PeerName>, link: LinkOptions, folder: PathBuf) -> HollowRun {
        let process = process.to_owned();
        HollowRun { process, names, link, folder, records: None, seed: 0, stuck: None, tell: None }
    }
}

impl fmt::Debug for HollowRun {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("HollowRun")
            .field("process", &self.process)
            .field("gateways", &self.names.len())
            .finish_non_exhaustive()
    }
}
