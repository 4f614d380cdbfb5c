//! What the threads of a process did lately, for the log of one that is still there when it should have ended.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs;
use std::path::Path;

use crate::records::{Micros, now};

/// One thread at one moment.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Thread {
    name: String,
    /// One letter (proc(5), `stat`): it runs or wants to (`R`), sleeps (`S`), waits for a disk (`D`) or is stopped (`T`).
    state: String,
    /// On a processor, and ready without one, since its start.
    ran: Micros,
    delayed: Micros,
}

/// The threads of a process at one moment, by their numbers.
#[derive(Clone, Debug)]
pub(crate) struct Threads {
    at: Micros,
    all: BTreeMap<String, Thread>,
}

impl Threads {
    /// Those of a process; none of one that has ended.
    pub(crate) fn of(process: u32) -> Threads {
        let folder = Path::new("/proc").join(process.to_string()).join("task");
        let tasks = fs::read_dir(folder).into_iter().flatten().flatten();
        let read =
            |task: fs::DirEntry| Some((task.file_name().into_string().ok()?, Thread::read(&task.path())?));
        Threads { at: now(), all: tasks.filter_map(read).collect() }
    }

    /// A line on what they did since an earlier moment.
    pub(crate) fn since(&self, before: &Threads) -> String {
        let mut line = format!("in the last {} us", self.at - before.at);
        for (number, thread) in &self.all {
            let Thread { name, state, ran, delayed } = thread;
            let (ran_before, delayed_before) =
                before.all.get(number).map_or((0, 0), |before| (before.ran, before.delayed));
            let (ran, delayed) = (ran - ran_before, delayed - delayed_before);
            let _ = write!(line, "; {name} {state} ran {ran}, no processor {delayed}");
        }
        line
    }
}

impl Thread {
    fn read(folder: &Path) -> Option<Thread> {
        let text = |file: &str| fs::read_to_string(folder.join(file)).ok();
        let (stat, times) = (text("stat")?, text("schedstat")?);
        // The name stands in parentheses and may hold anything.
        let (head, rest) = stat.rsplit_once(") ")?;
        let (_, name) = head.split_once('(')?;
        let mut micros =
            times.split_ascii_whitespace().map(|word| word.parse::<Micros>().ok().map(|n| n / 1000));
        Some(Thread {
            name: name.to_owned(),
            state: rest.split(' ').next()?.to_owned(),
            ran: micros.next()??,
            delayed: micros.next()??,
        })
    }
}
