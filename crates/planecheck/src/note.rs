//! What the player of a day knows beside the records: spans to report by, and what was done to disks.

use std::fmt;

use crate::Micros;

/// One thing that is known beside the records, as a line of the folder's notes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Note {
    /// `P from to name`: latencies of changes written in this span are told under a name as well.
    Phase {
        /// From here on.
        from: Micros,
        /// And before this.
        to: Micros,
        /// The name, without blanks.
        name: String,
    },
    /// `A from to holder` or `A from to *`: a holder, or every one, was away, restarted or stuck. Latencies that reach into
    /// the span are told apart.
    Apart {
        /// From here on.
        from: Micros,
        /// Until here.
        to: Micros,
        /// The holder; none for all.
        holder: Option<String>,
    },
    /// `B t holder`: from here on the holder's next start is from an older or an empty disk, and nothing is held against it that
    /// it knew before.
    SetBack {
        /// When.
        t: Micros,
        /// The holder.
        holder: String,
    },
    /// `F t region`: the disk of a region's writer was set back or emptied. What its writer alone held is lost with it: told as a
    /// number and not as a break.
    WriterSetBack {
        /// When.
        t: Micros,
        /// The region.
        region: u16,
    },
}

impl Note {
    /// Reads a line; none if it is not one of these.
    pub fn parse(line: &str) -> Option<Note> {
        let words: Vec<&str> = line.split(' ').collect();
        match words.as_slice() {
            ["P", from, to, name] => {
                Some(Note::Phase { from: from.parse().ok()?, to: to.parse().ok()?, name: (*name).to_owned() })
            }
            ["A", from, to, holder] => {
                let holder = (*holder != "*").then(|| (*holder).to_owned());
                Some(Note::Apart { from: from.parse().ok()?, to: to.parse().ok()?, holder })
            }
            ["B", t, holder] => Some(Note::SetBack { t: t.parse().ok()?, holder: (*holder).to_owned() }),
            ["F", t, region] => {
                Some(Note::WriterSetBack { t: t.parse().ok()?, region: region.parse().ok()? })
            }
            _ => None,
        }
    }
}

impl fmt::Display for Note {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Note::Phase { from, to, name } => write!(f, "P {from} {to} {name}"),
            Note::Apart { from, to, holder } => {
                write!(f, "A {from} {to} {}", holder.as_deref().unwrap_or("*"))
            }
            Note::SetBack { t, holder } => write!(f, "B {t} {holder}"),
            Note::WriterSetBack { t, region } => write!(f, "F {t} {region}"),
        }
    }
}

/// What is known beside the facts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// By the player of the day.
    pub notes: Vec<Note>,
    /// Holders that are control machines: they are checked as all, and their latencies are not counted.
    pub machines: Vec<String>,
}
