//! One gateway's side of the plane: its link, its copy and its store.

use std::collections::BTreeSet;
use std::path::Path;

use peer::PeerName;
use peer::channel::Greeting;
use plane::{Conn, Copy, Cursor, Input, Message, Micros, Output, Pool, Refusal, Region, Taken, WireEntry};
use plane::{Subscription, SubscriptionOptions, order};

use crate::error::RunError;
use crate::life;
use crate::net::Net;
use crate::options::LinkOptions;
use crate::store::{self, Store, StoreError};

/// A store that failed is tried again after this.
const AGAIN: Micros = 10_000_000;
/// Bytes of entries in one body of a whole state, about.
const PIECE: usize = 48 << 10;

/// What others are told of a gateway.
pub(crate) enum Told {
    /// The state changed and is in force.
    InForce(Taken),
    /// A region is at the machine's level.
    Level(Region),
    /// Something was turned away.
    TurnedAway { from: Option<PeerName>, why: String },
}

/// What a gateway needs of its loop.
pub(crate) struct Around<'a> {
    pub(crate) net: &'a mut Net,
    pub(crate) pool: Option<&'a mut Pool>,
    /// Room for what is to be done, empty between calls.
    pub(crate) out: &'a mut Vec<Output>,
    pub(crate) told: &'a mut Vec<Told>,
}

/// A state that another gateway of the process restored from the same base.
pub(crate) struct Restored {
    bodies: Vec<Vec<u8>>,
    copy: Copy,
}

/// One gateway.
pub(crate) struct Gateway {
    /// Its number in its loop, which its connections bear.
    tag: usize,
    pub(crate) name: PeerName,
    pub(crate) life: u64,
    pub(crate) link: Subscription,
    pub(crate) copy: Copy,
    store: Store,
    /// The machine that is being dialled.
    dialling: Option<PeerName>,
    /// The body that was to be kept last, until it is known of which region it is.
    body: Option<Vec<u8>>,
    /// Regions that came whole and are not kept yet; what follows them in this turn is kept with them.
    whole: BTreeSet<Region>,
    /// The store does not have all that is in force; it is tried again then.
    lost: Option<Micros>,
    /// Something was kept that the system does not have yet.
    pub(crate) is_touched: bool,
}

impl Gateway {
    /// Begins a gateway's next life with what is on its disk. Nothing is dialled yet.
    pub(crate) fn begin(
        tag: usize,
        name: &PeerName,
        folder: &Path,
        options: &LinkOptions,
        (now, seed): (Micros, u64),
        pool: Option<&mut Pool>,
        restored: &mut Option<Restored>,
    ) -> Result<Gateway, RunError> {
        let life = life::begin(folder)?;
        let store::Opened { store, base, tail } = Store::read(folder)?;
        let copy = restore(folder, options, base, &tail, pool, restored)?;
        let greeting = Greeting { site: options.site, name: name.clone(), life };
        let machines = order(name, &options.near, &options.far);
        let mut link = SubscriptionOptions::new(greeting, options.regions.clone(), machines);
        link.spread = options.spread;
        Ok(Gateway {
            tag,
            name: name.clone(),
            life: life.incarnation.0,
            link: Subscription::new(link, now, seed),
            copy,
            store,
            dialling: None,
            body: None,
            whole: BTreeSet::new(),
            lost: None,
            is_touched: false,
        })
    }

    /// Whether it holds something of all regions, and so could serve from it.
    pub(crate) fn is_ready(&self) -> bool {
        self.copy.regions().all(|region| self.copy.cursor(region) != Cursor::default())
    }

    /// Takes what happened.
    pub(crate) fn handle(
        &mut self,
        now: Micros,
        input: Input,
        options: &LinkOptions,
        around: &mut Around<'_>,
    ) {
        let mut out = std::mem::take(around.out);
        self.link.handle(now, input, &mut self.copy, around.pool.as_deref_mut(), &mut out);
        for output in out.drain(..) {
            self.carry_out(now, output, options, around);
        }
        *around.out = out;
    }

    /// A connection that it dialled is up, or did not come up.
    pub(crate) fn dialled(
        &mut self,
        now: Micros,
        conn: Option<Conn>,
        options: &LinkOptions,
        around: &mut Around<'_>,
    ) {
        let Some(machine) = self.dialling.take() else { return };
        let input = match conn {
            Some(conn) => Input::Dialled { machine, conn },
            None => Input::NotDialled { machine },
        };
        self.handle(now, input, options, around);
    }

    fn carry_out(&mut self, now: Micros, output: Output, options: &LinkOptions, around: &mut Around<'_>) {
        match output {
            Output::Dial(machine) => {
                match options.addresses.get(&machine) {
                    Some(address) => around.net.dial(*address, self.tag, now),
                    None => around.net.fail(self.tag),
                }
                self.dialling = Some(machine);
            }
            Output::Write(conn, bytes) => around.net.write(conn, bytes),
            Output::Close(conn) => around.net.close(conn, now),
            Output::Keep { body, .. } => self.body = Some(body),
            // Which region came whole is told next.
            Output::KeepAll => self.body = None,
            Output::InForce(taken) => {
                match &taken {
                    Taken::Delta { region, .. } => self.keep(now, *region),
                    Taken::Whole { region, .. } => {
                        self.whole.insert(*region);
                        self.is_touched = true;
                    }
                    _ => {}
                }
                around.told.push(Told::InForce(taken));
            }
            Output::TurnedAway { from, why } => around.told.push(Told::TurnedAway { from, why }),
            Output::Level(region) => around.told.push(Told::Level(region)),
        }
    }

    fn keep(&mut self, now: Micros, region: Region) {
        let Some(body) = self.body.take() else { return };
        self.is_touched = true;
        // Danger: what was kept of a region behind a whole state that is kept later would stand in the store before it.
        if !self.whole.contains(&region) && self.lost.is_none() {
            let kept = self.store.keep(&body);
            self.see(now, kept);
        }
    }

    /// Gives to the system what a turn brought.
    pub(crate) fn settle(&mut self, now: Micros) {
        self.is_touched = false;
        for region in std::mem::take(&mut self.whole) {
            if self.lost.is_none() {
                let kept = whole(&self.copy, region).iter().try_for_each(|body| self.store.keep(body));
                self.see(now, kept);
            }
        }
        match self.lost {
            None => {
                let handed = self.store.hand_over();
                self.see(now, handed);
            }
            Some(at) if now >= at => self.compact(now),
            Some(_) => {}
        }
    }

    /// Danger: a gateway whose disk fails would stop to follow, or to serve. It goes on in memory, where its copy goes on only
    /// forward. Harm: a start in this state finds what the disk had last, an older state that it follows on from.
    fn see(&mut self, now: Micros, kept: Result<(), StoreError>) {
        if let Err(error) = kept
            && self.lost.is_none()
        {
            self.lost = Some(now + AGAIN);
            tracing::error!(gateway = %self.name, %error, "the control plane's state is no longer kept on the disk; this gateway goes on with what it has in memory");
        }
    }

    /// Whether the store would be better kept anew, with [`Gateway::compact`].
    pub(crate) fn is_long(&self) -> bool {
        self.lost.is_none() && self.store.is_long()
    }

    /// Whether the store failed.
    pub(crate) fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Keeps the copy in place of all that was kept.
    pub(crate) fn compact(&mut self, now: Micros) {
        match self.store.keep_all(&self.copy.export()) {
            Ok(()) if self.lost.take().is_some() => {
                tracing::info!(gateway = %self.name, "the control plane's state is kept on the disk again");
            }
            Ok(()) => {}
            Err(error) if self.lost.is_some() => {
                self.lost = Some(now + AGAIN);
                tracing::debug!(gateway = %self.name, %error, "still not kept");
            }
            Err(error) => self.see(now, Err(error)),
        }
    }

    /// Makes durable what was kept, if something is not.
    pub(crate) fn sync(&mut self, now: Micros) {
        if self.lost.is_none() && self.store.is_unsynced() {
            let synced = self.store.sync();
            self.see(now, synced);
        }
    }

    /// Whether something is kept and not durable.
    pub(crate) fn is_unsynced(&self) -> bool {
        self.lost.is_none() && self.store.is_unsynced()
    }
}

/// The copy that a store's bodies give.
fn restore(
    folder: &Path,
    options: &LinkOptions,
    base: Vec<Vec<u8>>,
    tail: &[Vec<u8>],
    mut pool: Option<&mut Pool>,
    restored: &mut Option<Restored>,
) -> Result<Copy, RunError> {
    let failed = |why| RunError::Restore { folder: folder.to_owned(), why };
    let mut copy = match restored {
        Some(before) if before.bodies == base => before.copy.clone(),
        _ => {
            let mut copy = Copy::new(options.regions.iter().copied(), options.bounds);
            take(&mut copy, &base, pool.as_deref_mut()).map_err(failed)?;
            // Only where entries are shared anyway.
            if pool.is_some() && !base.is_empty() {
                *restored = Some(Restored { bodies: base, copy: copy.clone() });
            }
            copy
        }
    };
    take(&mut copy, tail, pool).map_err(failed)?;
    // A whole state that a kill cut off is never completed.
    copy.drop_staging(Conn(0));
    Ok(copy)
}

fn take(copy: &mut Copy, bodies: &[Vec<u8>], mut pool: Option<&mut Pool>) -> Result<(), Refusal> {
    for body in bodies {
        copy.restore(body, pool.as_deref_mut())?;
    }
    Ok(())
}

/// Bodies of one region's whole state, as it is in force.
fn whole(copy: &Copy, region: Region) -> Vec<Vec<u8>> {
    let Some(table) = copy.table(region) else { return Vec::new() };
    let mut entries: Vec<_> = table.iter().collect();
    entries.sort_unstable_by_key(|entry| entry.stamp.version);
    let upto = copy.cursor(region);
    let mut bodies = vec![
        Message::Begin {
            region,
            upto,
            floor: upto.version,
            epochs: copy.epochs(region),
            count: entries.len() as u64,
            digest: table.digest(),
        }
        .body(),
    ];
    let (mut piece, mut bytes, mut number) = (Vec::new(), 0, 0);
    for (at, entry) in entries.iter().enumerate() {
        bytes += entry.size();
        piece.push(WireEntry::from_entry(entry));
        if bytes >= PIECE || at + 1 == entries.len() {
            bodies.push(Message::Piece { region, number, entries: std::mem::take(&mut piece) }.body());
            (bytes, number) = (0, number + 1);
        }
    }
    bodies.push(Message::End { region }.body());
    bodies
}
