//! Asking a region's writer for changes, until it takes them.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use peer::PeerName;
use plane::{Change, Proposal, ProposalError, Stamp};
use planelink::{MachineAddress, Proposer};

use crate::error::DayError;
use crate::line::Held;

/// One try takes at most this long.
const TRY: Duration = Duration::from_secs(5);
/// Pause behind a try that came to nothing.
const AGAIN: Duration = Duration::from_millis(100);
/// Changes of one proposal.
pub(crate) const TOGETHER: usize = 1000;

/// What writers took, over all who ask.
#[derive(Clone, Debug, Default)]
pub(crate) struct Ledger(Arc<Mutex<Taken>>);

#[derive(Debug, Default)]
struct Taken {
    /// The last stamp of each region.
    last: BTreeMap<u16, Held>,
    changes: u64,
    tries: u64,
}

impl Ledger {
    fn lock(&self) -> MutexGuard<'_, Taken> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The last stamp that each region's writer gave.
    pub(crate) fn last(&self) -> BTreeMap<u16, Held> {
        self.lock().last.clone()
    }

    /// Changes that were taken.
    pub(crate) fn changes(&self) -> u64 {
        self.lock().changes
    }

    /// Tries that came to nothing and were made again.
    pub(crate) fn tries(&self) -> u64 {
        self.lock().tries
    }

    fn take(&self, region: u16, stamps: &[Stamp]) {
        let mut taken = self.lock();
        taken.changes += stamps.len() as u64;
        let last = taken.last.entry(region).or_default();
        stamps.iter().for_each(|stamp| *last = (*last).max((stamp.epoch.0, stamp.version.0)));
    }
}

/// One who asks a writer.
pub(crate) struct Writer {
    region: u16,
    machine: MachineAddress,
    name: PeerName,
    proposer: Option<Proposer>,
    patience: Duration,
    ledger: Ledger,
}

impl Writer {
    pub(crate) fn new(
        region: u16,
        machine: MachineAddress,
        name: &str,
        patience: Duration,
        ledger: &Ledger,
    ) -> Writer {
        let (name, ledger) = (PeerName(name.to_owned()), ledger.clone());
        Writer { region, machine, name, proposer: None, patience, ledger }
    }

    /// Proposes these together, again and again until they are taken.
    ///
    /// A try that ended without an answer may have been taken: then the same values are written twice, which is a change more and
    /// no harm.
    ///
    /// # Errors
    /// They were not taken in time, or never will be.
    pub(crate) fn propose(&mut self, changes: Vec<Change>) -> Result<(), DayError> {
        let proposal = Proposal { changes };
        let end = Instant::now() + self.patience;
        loop {
            let why = match self.once(&proposal) {
                Ok(Ok(stamps)) => {
                    self.ledger.take(self.region, &stamps);
                    return Ok(());
                }
                Ok(Err(error)) => {
                    let may_pass = matches!(
                        error,
                        ProposalError::Recovering(_) | ProposalError::Busy | ProposalError::Disk(_)
                    );
                    if !may_pass {
                        return Err(self.failed(error.to_string()));
                    }
                    error.to_string()
                }
                Err(why) => {
                    self.proposer = None;
                    why
                }
            };
            if Instant::now() >= end {
                return Err(self.failed(why));
            }
            self.ledger.lock().tries += 1;
            std::thread::sleep(AGAIN);
        }
    }

    fn once(&mut self, proposal: &Proposal) -> Result<plane::Proposed, String> {
        if self.proposer.is_none() {
            let connected = Proposer::connect(&self.machine, &self.name);
            self.proposer = Some(connected.map_err(|e| e.to_string())?);
        }
        match &mut self.proposer {
            Some(proposer) => proposer.propose(proposal, TRY).map_err(|e| e.to_string()),
            None => Err("no connection".into()),
        }
    }

    fn failed(&self, why: String) -> DayError {
        DayError::Proposal { region: self.region, within_s: self.patience.as_secs(), why }
    }
}
