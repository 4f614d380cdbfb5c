//! All processes of a play, and what is waited for.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::time::{Duration, Instant};

use planecheck::{NOTES, Note};
use planelink::MachineAddress;
use records::{Clock, Micros};

use crate::board::{Board, Failed, Slot};
use crate::child::{Child, Sort};
use crate::error::DayError;
use crate::line::{Held, Line};
use crate::options::DayOptions;
use crate::report::Row;
use crate::site;
use crate::state::{State, gateway, region_of};
use crate::traffic::Traffic;
use crate::writer::{Ledger, Writer};

/// A machine.
pub(crate) struct Machine {
    pub(crate) child: Child,
    pub(crate) region: u16,
    pub(crate) writes: bool,
    listen: SocketAddr,
}

/// A process of gateways.
pub(crate) struct Hollow {
    pub(crate) child: Child,
    region: u16,
    /// When it was started last.
    pub(crate) started: Micros,
}

/// Gateways of a process that take nothing: one of so many, from so long after the start, for so long.
pub(crate) type Stuck = (usize, Duration, Duration);

/// All processes.
pub(crate) struct Stage<'a> {
    pub(crate) options: &'a DayOptions,
    pub(crate) machines: Vec<Machine>,
    pub(crate) hollows: Vec<Hollow>,
    pub(crate) state: Arc<State>,
    pub(crate) ledger: Ledger,
    pub(crate) rows: Vec<Row>,
    board: Arc<Board>,
    clock: Clock,
    /// The site file, and what tells the site from another.
    site: PathBuf,
    number: u64,
    notes: File,
}

impl<'a> Stage<'a> {
    /// Folders, the site file, and nothing started.
    pub(crate) fn set_up(options: &'a DayOptions) -> Result<Stage<'a>, DayError> {
        let (out, size) = (&options.out, &options.size);
        let failed = |path: &Path| {
            let path = path.to_owned();
            move |e| DayError::Io(path, e)
        };
        for folder in ["state", "logs", "records"] {
            let folder = out.join(folder);
            // Danger: records of an earlier play would be checked together with this one's.
            if folder.exists() {
                return Err(DayError::Option(format!(
                    "{} is there already; play into a new folder",
                    folder.display()
                )));
            }
            std::fs::create_dir_all(&folder).map_err(failed(&folder))?;
        }
        let listen = site::addresses(size.machine_count())?;
        let path = out.join("site.toml");
        std::fs::write(&path, site::site_file(size, &listen)).map_err(failed(&path))?;
        let number = settings::Site::load(&path).map_err(|e| DayError::Site(e.to_string()))?.number();
        let board = Board::new(size.machine_count() + size.processes);
        let places =
            size.regions().zip(&size.machines).flat_map(|(r, count)| (0..*count).map(move |n| (r, n)));
        let machine = |(number, ((region, n), listen)): (usize, ((u16, usize), SocketAddr))| Machine {
            child: Child::new(&site::machine(number), Sort::Machine, number, out, &board),
            region,
            writes: n == 0,
            listen,
        };
        let machines: Vec<Machine> = places.zip(listen).enumerate().map(machine).collect();
        let hollow = |process: usize| Hollow {
            child: Child::new(
                &format!("h{}", process + 1),
                Sort::Hollow,
                machines.len() + process,
                out,
                &board,
            ),
            region: region_of(process, size),
            started: 0,
        };
        let notes = out.join("records").join(NOTES);
        Ok(Stage {
            hollows: (0..size.processes).map(hollow).collect(),
            machines,
            state: Arc::new(State::new(size)),
            ledger: Ledger::default(),
            rows: Vec::new(),
            board,
            clock: Clock::new(),
            site: path,
            number,
            notes: File::create(&notes).map_err(failed(&notes))?,
            options,
        })
    }

    /// Now, on the records' clock.
    pub(crate) fn now(&self) -> Micros {
        self.clock.now()
    }

    /// Writes down what the checker has to know beside the records.
    pub(crate) fn note(&mut self, note: &Note) -> Result<(), DayError> {
        let path = || self.options.out.join("records").join(NOTES);
        writeln!(self.notes, "{note}").map_err(|e| DayError::Io(path(), e))
    }

    /// One who asks a region's writer.
    pub(crate) fn writer(&self, region: u16) -> Result<Writer, DayError> {
        let writer = self.machines.iter().find(|m| m.region == region && m.writes);
        let writer = writer.ok_or_else(|| DayError::Option(format!("region {region} has no writer")))?;
        let machine = MachineAddress {
            site: self.number,
            name: writer.child.name.as_str().into(),
            address: writer.listen,
        };
        let name = format!("lab{region}");
        Ok(Writer::new(region, machine, &name, self.options.patience, &self.ledger))
    }

    /// Starts the changes of a usual day.
    pub(crate) fn traffic(&self) -> Result<Traffic, DayError> {
        let regions = self.options.size.regions();
        let writers: Result<Vec<_>, DayError> =
            regions.map(|region| Ok((region, self.writer(region)?))).collect();
        // Another day of one play draws other changes.
        let seed = self.options.seed.wrapping_add(self.rows.len() as u64);
        Ok(Traffic::start(writers?, &self.state, seed))
    }

    /// Starts a machine.
    pub(crate) fn start_machine(&mut self, number: usize) -> Result<(), DayError> {
        let machine = &mut self.machines[number].child;
        let mut arguments = words(&["control", "machine", "--config"]);
        arguments.extend([self.site.clone().into(), "--name".into(), machine.name.clone().into()]);
        arguments.extend(folders(machine, &self.options.out));
        machine.start(&self.options.program, &arguments)
    }

    /// Starts a process of gateways.
    pub(crate) fn start_hollow(&mut self, process: usize, stuck: Option<Stuck>) -> Result<(), DayError> {
        let gateways = self.options.size.gateways;
        let (first, last) = (gateway(process * gateways), gateway((process + 1) * gateways - 1));
        let hollow = &mut self.hollows[process];
        hollow.started = self.clock.now();
        let child = &mut hollow.child;
        let mut arguments = words(&["control", "hollow", "--config"]);
        arguments.push(self.site.clone().into());
        // Each start of each process draws anew.
        let seed = self.options.seed.wrapping_add(hollow.started as u64).wrapping_add(process as u64);
        let (region, names) = (hollow.region.to_string(), format!("{first}..{last}"));
        for (name, value) in [("--region", region), ("--names", names), ("--process", child.name.clone())] {
            arguments.extend([name.into(), value.into()]);
        }
        arguments.extend(words(&["--seed", &seed.to_string()]));
        if let Some((every, from, span)) = stuck {
            let stuck = format!("{every},{},{}", from.as_millis(), span.as_millis());
            arguments.extend(words(&["--stuck", &stuck]));
        }
        arguments.extend(folders(child, &self.options.out));
        child.start(&self.options.program, &arguments)
    }

    /// Kills machines outright, all in one moment, and waits until they are gone.
    pub(crate) fn kill_machines(&mut self, numbers: &[usize]) {
        numbers.iter().for_each(|number| self.machines[*number].child.strike());
        numbers.iter().for_each(|number| self.machines[*number].child.bury());
    }

    /// Kills processes of gateways outright.
    pub(crate) fn kill_hollows(&mut self, processes: &[usize]) {
        processes.iter().for_each(|process| self.hollows[*process].child.strike());
        processes.iter().for_each(|process| self.hollows[*process].child.bury());
    }

    /// Asks processes of gateways to leave, and waits until they have.
    pub(crate) fn end_hollows(&mut self, processes: &[usize]) -> Result<(), DayError> {
        processes.iter().for_each(|process| self.hollows[*process].child.tell());
        let end = Instant::now() + self.options.patience;
        processes.iter().try_for_each(|process| self.hollows[*process].child.see_off(end))
    }

    /// Asks all to leave, gateways first, and waits until they have.
    pub(crate) fn leave(&mut self) -> Result<(), DayError> {
        self.end_hollows(&self.all_hollows())?;
        self.machines.iter_mut().for_each(|machine| machine.child.tell());
        let end = Instant::now() + self.options.patience;
        self.machines.iter_mut().try_for_each(|machine| machine.child.see_off(end))
    }

    /// Numbers of all machines.
    pub(crate) fn all_machines(&self) -> Vec<usize> {
        (0..self.machines.len()).collect()
    }

    /// Numbers of all processes of gateways.
    pub(crate) fn all_hollows(&self) -> Vec<usize> {
        (0..self.hollows.len()).collect()
    }

    /// When all gateways of each process were ready, or level, after its start; the processes' times in seconds.
    pub(crate) fn times(&self, of: impl Fn(&Slot) -> Option<Micros>) -> Vec<f64> {
        let slots = self.board.lock();
        let seconds = |(hollow, slot): (&Hollow, &Slot)| Some((of(slot)? - hollow.started) as f64 / 1e6);
        self.hollows.iter().zip(&slots[self.machines.len()..]).filter_map(seconds).collect()
    }

    /// Copies that each machine serves.
    pub(crate) fn subscribers(&self) -> Vec<u64> {
        let of = |slot: &Slot| match &slot.line {
            Some(Line::Machine(line)) => Some(line.subscribers),
            _ => None,
        };
        self.board.lock().iter().filter_map(of).collect()
    }

    /// Readers that take nothing now.
    pub(crate) fn stuck(&self) -> u64 {
        stuck(&self.board.lock())
    }

    /// Bytes that each machine holds resident.
    pub(crate) fn machines_resident(&self) -> Vec<u64> {
        self.machines.iter().map(|machine| machine.child.resident()).collect()
    }

    fn wait(
        &self,
        what: &str,
        within: Duration,
        missing: impl FnMut(&[Slot]) -> Option<String>,
    ) -> Result<(), DayError> {
        let children = || self.machines.iter().map(|m| &m.child).chain(self.hollows.iter().map(|h| &h.child));
        self.board.until(within, missing).map_err(|failed| match failed {
            Failed::Late(seen) => DayError::Late { what: what.to_owned(), within_s: within.as_secs(), seen },
            Failed::Ended(number) => {
                let child = children().nth(number);
                let (name, log) = child.map(|c| (c.name.clone(), c.log.clone())).unwrap_or_default();
                DayError::Ended { name, what: what.to_owned(), log }
            }
        })
    }

    /// Lets time pass, as long as nobody ends.
    pub(crate) fn pass(&self, span: Duration) -> Result<(), DayError> {
        match self.wait("time passes", span, |_| Some(String::new())) {
            Err(DayError::Late { .. }) => Ok(()),
            other => other,
        }
    }

    /// Until all machines that were started say something and all writers among them take changes.
    pub(crate) fn until_open(&self) -> Result<(), DayError> {
        self.wait("all machines are up and their writers open", self.options.patience, |slots| {
            let of = |(machine, slot): (&Machine, &Slot)| match &slot.line {
                _ if !slot.is_wanted => None,
                Some(Line::Machine(line)) if !machine.writes || line.open == Some(true) => None,
                Some(Line::Machine(line)) => {
                    Some(format!("{} waits for {}", machine.child.name, line.waits_for.join(", ")))
                }
                _ => Some(format!("{} says nothing", machine.child.name)),
            };
            self.machines.iter().zip(slots).find_map(of)
        })
    }

    /// Until all gateways that were started hold something of all regions.
    pub(crate) fn until_ready(&self) -> Result<(), DayError> {
        self.wait("all gateways are ready", self.options.patience, |slots| {
            self.hollows.iter().zip(&slots[self.machines.len()..]).find_map(|(hollow, slot)| {
                match &slot.line {
                    _ if !slot.is_wanted => None,
                    Some(Line::Hollow(line)) if line.ready == line.gateways => None,
                    Some(Line::Hollow(line)) => {
                        Some(format!("{}: {} of {} are ready", hollow.child.name, line.ready, line.gateways))
                    }
                    _ => Some(format!("{} says nothing", hollow.child.name)),
                }
            })
        })
    }

    /// Until all that were started hold what writers had written when this was called, and all gateways are level.
    pub(crate) fn until_level(&self) -> Result<(), DayError> {
        let wanted = self.written();
        self.wait("all hold what was written", self.options.patience, |slots| {
            let children =
                self.machines.iter().map(|m| &m.child).chain(self.hollows.iter().map(|h| &h.child));
            children.zip(slots).find_map(|(child, slot)| {
                let line = match &slot.line {
                    _ if !slot.is_wanted => return None,
                    Some(line) => line,
                    None => return Some(format!("{} says nothing", child.name)),
                };
                if !line.holds(&wanted) {
                    return Some(format!("{} holds {:?} of {wanted:?}", child.name, line.cursors()));
                }
                match line {
                    Line::Hollow(line) if line.level < line.gateways => {
                        Some(format!("{}: {} of {} are level", child.name, line.level, line.gateways))
                    }
                    _ => None,
                }
            })
        })
    }

    /// Until all that were started have said something that was so when this was called, or later.
    pub(crate) fn until_fresh(&self) -> Result<(), DayError> {
        let now = self.now();
        let names = || self.machines.iter().map(|m| &m.child).chain(self.hollows.iter().map(|h| &h.child));
        self.wait("all say how they are", self.options.patience, |slots| {
            let is_old =
                |slot: &Slot| slot.is_wanted && slot.line.as_ref().is_none_or(|line| line.at() < now);
            names()
                .zip(slots)
                .find(|(_, slot)| is_old(slot))
                .map(|(child, _)| format!("{} says nothing", child.name))
        })
    }

    /// Until some readers are stuck, or none are any more.
    pub(crate) fn until_stuck(&self, some: bool) -> Result<(), DayError> {
        let what = if some { "some readers are stuck" } else { "no reader is stuck" };
        self.wait(what, self.options.patience, |slots| {
            let stuck = stuck(slots);
            ((stuck > 0) != some).then(|| format!("{stuck} are"))
        })
    }

    /// The last stamps of all regions: by the writers' answers, and by what they say.
    fn written(&self) -> BTreeMap<u16, Held> {
        let mut all = self.ledger.last();
        let slots = self.board.lock();
        for (machine, slot) in self.machines.iter().zip(slots.iter()).filter(|(m, _)| m.writes) {
            if let Some(held) = slot.line.as_ref().and_then(|line| line.cursors().get(&machine.region)) {
                let last = all.entry(machine.region).or_default();
                *last = (*last).max(*held);
            }
        }
        all
    }
}

fn stuck(slots: &[Slot]) -> u64 {
    let of = |slot: &Slot| match &slot.line {
        Some(Line::Hollow(line)) => line.stuck,
        _ => 0,
    };
    slots.iter().map(of).sum()
}

fn words(words: &[&str]) -> Vec<OsString> {
    words.iter().map(OsString::from).collect()
}

fn folders(child: &Child, out: &Path) -> [OsString; 4] {
    ["--state".into(), child.folder.clone().into(), "--records".into(), out.join("records").into()]
}
