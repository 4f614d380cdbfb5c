//! Facts: what one line of the records says.

use crate::Micros;

/// Up to where a region is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cursor {
    /// The region.
    pub region: u16,
    /// The life of its writer.
    pub epoch: u64,
    /// The change; 0 before the first.
    pub version: u64,
}

/// What a holder says of all that it holds of a region. Digests are compared, and not looked into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sum {
    /// Live entries.
    pub count: u64,
    /// The digest of them.
    pub digest: u128,
}

/// One fact. Times in microseconds on the records' clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fact<'a> {
    /// `W`: a change is durable at its writer.
    Written {
        /// When.
        t: Micros,
        /// The change.
        at: Cursor,
        /// The key: region, kind and name.
        key: &'a str,
        /// The value's hash; none for a deletion.
        hash: Option<u64>,
    },
    /// `O`: an epoch opens.
    Opened {
        /// When.
        t: Micros,
        /// The region.
        region: u16,
        /// The epoch.
        epoch: u64,
        /// Its first version.
        first: u64,
    },
    /// `S`: a holder has started from its own disk; or, where it held nothing of a region, with its first whole state.
    Started {
        /// When.
        t: Micros,
        /// Who.
        holder: &'a str,
        /// Its life; another number for each start.
        life: u64,
        /// What it holds.
        at: Cursor,
        /// All of it.
        sum: Sum,
    },
    /// `E`, `X`: an entry has come into force.
    InForce {
        /// When.
        t: Micros,
        /// Where.
        holder: &'a str,
        /// Its life.
        life: u64,
        /// The writer's life.
        epoch: u64,
        /// The change.
        version: u64,
        /// The key.
        key: &'a str,
        /// The value's hash; none for a deletion.
        hash: Option<u64>,
        /// By a whole state (`X`), and not by changes behind a cursor (`E`).
        whole: bool,
    },
    /// `G`: a key is gone by a whole state.
    Gone {
        /// When.
        t: Micros,
        /// Where.
        holder: &'a str,
        /// Its life.
        life: u64,
        /// The key.
        key: &'a str,
    },
    /// `C`: a region is held up to here.
    Held {
        /// When.
        t: Micros,
        /// Where.
        holder: &'a str,
        /// Its life.
        life: u64,
        /// Up to where.
        at: Cursor,
    },
    /// `D`: what a holder holds of a region.
    Summed {
        /// When.
        t: Micros,
        /// Where.
        holder: &'a str,
        /// Its life.
        life: u64,
        /// Up to where.
        at: Cursor,
        /// All of it.
        sum: Sum,
    },
}

impl<'a> Fact<'a> {
    /// Reads a line; none if it is not one of these.
    pub fn parse(line: &'a str) -> Option<Fact<'a>> {
        let mut words = Words(line.split(' '));
        let sort = words.0.next()?;
        let t = words.number()?;
        let fact = match sort {
            "W" => Fact::Written { t, at: words.cursor()?, key: words.0.next()?, hash: words.hash()? },
            "O" => {
                Fact::Opened { t, region: words.number()?, epoch: words.number()?, first: words.number()? }
            }
            _ => {
                let (holder, life) = (words.0.next()?, words.number()?);
                match sort {
                    "S" => Fact::Started { t, holder, life, at: words.cursor()?, sum: words.sum()? },
                    "D" => Fact::Summed { t, holder, life, at: words.cursor()?, sum: words.sum()? },
                    "C" => Fact::Held { t, holder, life, at: words.cursor()? },
                    "G" => Fact::Gone { t, holder, life, key: words.0.next()? },
                    "E" | "X" => {
                        let (epoch, version) = (words.number()?, words.number()?);
                        let (key, hash, whole) = (words.0.next()?, words.hash()?, sort == "X");
                        Fact::InForce { t, holder, life, epoch, version, key, hash, whole }
                    }
                    _ => return None,
                }
            }
        };
        words.0.next().is_none().then_some(fact)
    }

    /// When.
    pub fn at(&self) -> Micros {
        match self {
            Fact::Written { t, .. }
            | Fact::Opened { t, .. }
            | Fact::Started { t, .. }
            | Fact::InForce { t, .. }
            | Fact::Gone { t, .. }
            | Fact::Held { t, .. }
            | Fact::Summed { t, .. } => *t,
        }
    }
}

struct Words<'a>(std::str::Split<'a, char>);

impl Words<'_> {
    fn number<T: std::str::FromStr>(&mut self) -> Option<T> {
        self.0.next()?.parse().ok()
    }

    fn cursor(&mut self) -> Option<Cursor> {
        Some(Cursor { region: self.number()?, epoch: self.number()?, version: self.number()? })
    }

    fn hash(&mut self) -> Option<Option<u64>> {
        match self.0.next()? {
            "-" => Some(None),
            word if word.len() == 16 => u64::from_str_radix(word, 16).ok().map(Some),
            _ => None,
        }
    }

    fn sum(&mut self) -> Option<Sum> {
        let (count, word) = (self.number()?, self.0.next()?);
        let digest = u128::from_str_radix(word, 16).ok().filter(|_| word.len() == 32)?;
        Some(Sum { count, digest })
    }
}
