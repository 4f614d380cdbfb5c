//! A gateway's link, copy and store, on a thread of its own.

use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::{self, JoinHandle};

use peer::PeerName;
use plane::{Conn, Cursor, Entry, Input, Micros, Output, Region, Taken};
use records::Clock;

use crate::error::RunError;
use crate::gateway::{Around, Gateway, Told};
use crate::net::{Event, Net};
use crate::options::LinkOptions;

/// What was kept is durable after this.
const SYNC: Micros = 3_000_000;
/// No timer is finer than this.
const FINEST: Micros = 1_000;

/// Settings of a gateway's follower.
#[derive(Clone, Debug)]
pub struct FollowOptions {
    /// The gateway's name.
    pub name: PeerName,
    /// How it follows the plane.
    pub link: LinkOptions,
    /// Folder for its life and its store.
    pub folder: PathBuf,
    /// For everything that is drawn.
    pub seed: u64,
}

/// What a follower tells. Entries never change; a change is another entry.
#[derive(Clone, Debug)]
pub enum Followed {
    /// What its own disk held of a region is in force: told once for each region, before all else and before
    /// [`Follower::start`] returns. An empty one holds nothing.
    Restored {
        /// The region.
        region: Region,
        /// Up to where it is held.
        upto: Cursor,
        /// All live entries, in no order.
        entries: Vec<Arc<Entry>>,
    },
    /// A region changed, and that is in force.
    Changed {
        /// The region.
        region: Region,
        /// Up to where it is held now.
        upto: Cursor,
        /// What changed, in the order of versions; one without a value was deleted.
        changed: Vec<Arc<Entry>>,
    },
    /// A region came whole, and that is in force.
    Whole {
        /// The region.
        region: Region,
        /// Up to where it is held now.
        upto: Cursor,
        /// All live entries, in the order of versions.
        entries: Vec<Arc<Entry>>,
        /// Live entries of before that are no more, as they were.
        gone: Vec<Arc<Entry>>,
    },
    /// A region is at the level of the machine that is followed.
    Level(Region),
    /// Something was turned away, and what is held stands as it is. Told once for each machine and kind of reason.
    TurnedAway {
        /// By which machine it was sent, as far as that is known.
        from: Option<PeerName>,
        /// In words.
        why: String,
    },
}

/// How a follower stands.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct FollowLook {
    /// The machine that it is linked with.
    pub machine: Option<PeerName>,
    /// Since when, in microseconds since the Unix epoch.
    pub linked_since: Option<Micros>,
    /// Since when it has no machine, from its start if it never had one; none while it is linked.
    pub alone_since: Option<Micros>,
    /// Up to where it holds each region.
    pub regions: Vec<(Region, Cursor)>,
    /// Live entries.
    pub entries: usize,
    /// Bytes read and written.
    pub bytes_in: u64,
    /// Bytes read and written.
    pub bytes_out: u64,
    /// Whether it was at the machine's level in all regions on this link.
    pub level: bool,
    /// Whether it holds something of all regions.
    pub ready: bool,
    /// Whether its disk keeps all that it holds.
    pub kept: bool,
    /// Links that came up.
    pub links: u64,
    /// Whole states that came.
    pub wholes: u64,
    /// Messages turned away.
    pub turned_away: u64,
}

/// A gateway's follower. Dropped, it ends its link and its thread.
pub struct Follower {
    look: Arc<Mutex<FollowLook>>,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl Follower {
    /// Begins the gateway's next life with what is on its disk, and starts to follow. `tell` is called on this thread for what
    /// is restored, and on a thread of its own later; it must not wait.
    ///
    /// # Errors
    /// Its files cannot be used, or no thread can be had.
    pub fn start(
        options: FollowOptions,
        tell: impl Fn(Followed) + Send + 'static,
    ) -> Result<Follower, RunError> {
        let clock = Clock::new();
        let drawn = (clock.now(), options.seed);
        let (name, link) = (&options.name, &options.link);
        let gateway = Gateway::begin(0, name, &options.folder, link, drawn, None, &mut None)?;
        let copy = &gateway.copy;
        for region in copy.regions() {
            let entries = copy.table(region).map(|table| table.iter().cloned().collect()).unwrap_or_default();
            tell(Followed::Restored { region, upto: copy.cursor(region), entries });
        }
        let (look, stop) = (Arc::new(Mutex::new(FollowLook::default())), Arc::new(AtomicBool::new(false)));
        let mut following = Following {
            gateway,
            link: options.link,
            clock,
            net: Net::new().map_err(RunError::Loop)?,
            tell: Box::new(tell),
            look: look.clone(),
            linked_since: None,
            alone_since: Some(drawn.0),
            sync_at: None,
            ticks: 0,
            out: Vec::new(),
            told: Vec::new(),
        };
        following.show();
        let stopped = stop.clone();
        let thread = thread::Builder::new()
            .name("plane".into())
            .spawn(move || {
                // A gateway serves on with the state that it has, whatever the control plane sent.
                let _ = panics::contain(|| following.run(&stopped));
                show_ended(&following.look, following.clock.now());
            })
            .map_err(RunError::Thread)?;
        Ok(Follower { look, stop, thread: Some(thread) })
    }

    /// How it stands.
    pub fn look(&self) -> FollowLook {
        self.look.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}

/// Shows that a follower has ended, and has no machine any more.
fn show_ended(look: &Mutex<FollowLook>, now: Micros) {
    let mut look = look.lock().unwrap_or_else(PoisonError::into_inner);
    (look.machine, look.linked_since, look.level) = (None, None, false);
    look.alone_since.get_or_insert(now);
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
        if let Some(thread) = self.thread.take() {
            // One that panicked has nothing more to end.
            let _ = thread.join();
        }
    }
}

struct Following {
    gateway: Gateway,
    link: LinkOptions,
    clock: Clock,
    net: Net,
    tell: Box<dyn Fn(Followed) + Send>,
    look: Arc<Mutex<FollowLook>>,
    linked_since: Option<Micros>,
    alone_since: Option<Micros>,
    /// When what was handed over is made durable.
    sync_at: Option<Micros>,
    /// Not before this is the link told the time again.
    ticks: Micros,
    out: Vec<Output>,
    told: Vec<Told>,
}

impl Following {
    fn run(&mut self, stop: &AtomicBool) {
        while !stop.load(Ordering::SeqCst) {
            if let Err(error) = self.turn() {
                // Danger: a gateway that cannot wait for sockets any more must not end. It serves on with the state that it has.
                tracing::error!(gateway = %self.gateway.name, %error, "this gateway no longer follows the control plane, and serves on with what it has");
                return;
            }
        }
        self.gateway.sync(self.clock.now());
    }

    fn turn(&mut self) -> std::io::Result<()> {
        panics::test_point("follower");
        let now = self.clock.now();
        let due = self.gateway.link.next_due().max(self.ticks);
        self.net.poll(now, due.min(self.sync_at.unwrap_or(Micros::MAX)))?;
        while let Some(event) = self.net.next(self.clock.now()) {
            self.on_event(event);
        }
        let now = self.clock.now();
        if now >= self.gateway.link.next_due().max(self.ticks) {
            // A time that is over and stays so would hold the loop.
            self.ticks = now + FINEST;
            self.handle(now, Input::Tick);
        }
        loop {
            let now = self.clock.now();
            if self.gateway.is_touched || self.gateway.is_lost() {
                self.gateway.settle(now);
            }
            self.tell_all();
            if !self.net.is_due() {
                break;
            }
            while let Some(event) = self.net.flush() {
                self.on_event(event);
            }
        }
        self.keep_up();
        self.show();
        Ok(())
    }

    fn on_event(&mut self, event: Event) {
        let now = self.clock.now();
        match event {
            Event::Up { conn, .. } => self.dialled(now, Some(conn)),
            Event::Failed { .. } => self.dialled(now, None),
            Event::Bytes { conn, bytes, .. } => self.handle(now, Input::Bytes { conn, bytes }),
            Event::Ended { conn, .. } => self.handle(now, Input::Ended { conn }),
            // Nobody connects here, and a link doesn't ask what was taken.
            Event::Accepted { .. } | Event::Taken { .. } => {}
        }
    }

    fn dialled(&mut self, now: Micros, conn: Option<Conn>) {
        let mut around = Around { net: &mut self.net, pool: None, out: &mut self.out, told: &mut self.told };
        self.gateway.dialled(now, conn, &self.link, &mut around);
    }

    fn handle(&mut self, now: Micros, input: Input) {
        let mut around = Around { net: &mut self.net, pool: None, out: &mut self.out, told: &mut self.told };
        self.gateway.handle(now, input, &self.link, &mut around);
    }

    /// Tells what a turn brought, once the disk was given it.
    ///
    /// Danger: a gateway that acts on a change and is killed before its disk has it starts behind what it acted on.
    fn tell_all(&mut self) {
        for told in self.told.drain(..) {
            match told {
                Told::InForce(Taken::Delta { region, upto, changed, .. }) => {
                    (self.tell)(Followed::Changed { region, upto, changed });
                }
                Told::InForce(Taken::Whole { region, upto, mut entries, gone, .. }) => {
                    entries.retain(|entry| entry.value.is_some());
                    (self.tell)(Followed::Whole { region, upto, entries, gone });
                }
                Told::InForce(_) => {}
                Told::Level(region) => (self.tell)(Followed::Level(region)),
                Told::TurnedAway { from, why } => (self.tell)(Followed::TurnedAway { from, why }),
            }
        }
    }

    /// Makes durable what has waited for it, and keeps all anew where the tail is long.
    fn keep_up(&mut self) {
        let now = self.clock.now();
        if self.gateway.is_long() {
            self.gateway.compact(now);
        }
        if self.sync_at.is_some_and(|at| now >= at) {
            self.gateway.sync(now);
        }
        let waits = self.gateway.is_unsynced();
        self.sync_at = waits.then(|| self.sync_at.filter(|at| now < *at).unwrap_or(now + SYNC));
    }

    /// Has [`Follower::look`] see how it stands.
    fn show(&mut self) {
        let (copy, link) = (&self.gateway.copy, &self.gateway.link);
        let (machine, counts) = (link.machine().cloned(), link.counts());
        let (bytes_in, bytes_out) = self.net.bytes();
        let mut look = self.look.lock().unwrap_or_else(PoisonError::into_inner);
        if machine != look.machine {
            let now = self.clock.now();
            (self.linked_since, self.alone_since) =
                if machine.is_some() { (Some(now), None) } else { (None, Some(now)) };
        }
        *look = FollowLook {
            machine,
            linked_since: self.linked_since,
            alone_since: self.alone_since,
            regions: copy.regions().map(|region| (region, copy.cursor(region))).collect(),
            entries: copy.len(),
            bytes_in,
            bytes_out,
            level: link.is_level(),
            ready: self.gateway.is_ready(),
            kept: !self.gateway.is_lost(),
            links: counts.links,
            wholes: counts.wholes,
            turned_away: counts.turned_away,
        };
    }
}
