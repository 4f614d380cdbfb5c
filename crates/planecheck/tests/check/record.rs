//! A record by hand: a good one, and ways to change it.

use planecheck::{BreakKind, Fact, Note, Options, Verdict, check};

/// Lines of a record, and what is known beside them.
#[derive(Clone, Default)]
pub struct Record {
    pub lines: Vec<String>,
    pub options: Options,
}

/// A second.
pub const S: i64 = 1_000_000;

pub fn digest(number: u128) -> String {
    format!("{number:032x}")
}

pub fn hash(number: u64) -> String {
    format!("{number:016x}")
}

impl Record {
    pub fn add(&mut self, line: &str) -> &mut Record {
        self.lines.push(line.to_owned());
        self
    }

    /// A change at its writer in epoch `epoch` of region 1.
    pub fn wrote(&mut self, t: i64, epoch: u64, version: u64, key: &str, value: Option<u64>) -> &mut Record {
        let value = value.map_or("-".to_owned(), hash);
        self.add(&format!("W {t} 1 {epoch} {version} {key} {value}"))
    }

    /// An entry in force by a delta, in the holder's first life.
    pub fn entry(
        &mut self,
        t: i64,
        at: &str,
        epoch: u64,
        version: u64,
        key: &str,
        value: Option<u64>,
    ) -> &mut Record {
        let value = value.map_or("-".to_owned(), hash);
        self.add(&format!("E {t} {at} 1 {epoch} {version} {key} {value}"))
    }

    pub fn held(&mut self, t: i64, at: &str, life: u64, epoch: u64, version: u64) -> &mut Record {
        self.add(&format!("C {t} {at} {life} 1 {epoch} {version}"))
    }

    pub fn summed(&mut self, t: i64, at: &str, version: u64, count: u64, sum: u128) -> &mut Record {
        self.add(&format!("D {t} {at} 1 1 1 {version} {count} {}", digest(sum)))
    }

    pub fn note(&mut self, note: Note) -> &mut Record {
        self.options.notes.push(note);
        self
    }

    /// Takes the one line away that begins like this.
    pub fn without(&mut self, start: &str) -> &mut Record {
        let before = self.lines.len();
        self.lines.retain(|line| !line.starts_with(start));
        assert_eq!(self.lines.len() + 1, before, "one line begins with '{start}'");
        self
    }

    /// Puts another line in the place of the one that begins like this.
    pub fn instead(&mut self, start: &str, line: &str) -> &mut Record {
        let places: Vec<usize> =
            (0..self.lines.len()).filter(|n| self.lines[*n].starts_with(start)).collect();
        assert_eq!(places.len(), 1, "one line begins with '{start}'");
        self.lines[places[0]] = line.to_owned();
        self
    }

    pub fn verdict(&self) -> Verdict {
        let facts =
            self.lines.iter().map(|line| Fact::parse(line).unwrap_or_else(|| panic!("a fact: {line}")));
        check(facts, self.options.clone())
    }

    /// The kinds of breaks in it.
    pub fn broken(&self) -> Vec<BreakKind> {
        self.verdict().counts.into_keys().collect()
    }
}

/// Two gateways and a machine; four changes of three keys, one of them deleted, the third and fourth while all live.
pub fn good() -> Record {
    let mut r =
        Record { options: Options { notes: Vec::new(), machines: vec!["c1".into()] }, ..Record::default() };
    r.add("O 1000000 1 1 1");
    r.wrote(2 * S, 1, 1, "1/node/a", Some(0xa1)).wrote(2 * S, 1, 2, "1/node/b", Some(0xb1));
    // One from an empty disk, which takes all of it one by one, and one that had all before it.
    r.add(&format!("S 3000000 g1 1 1 0 0 0 {}", digest(0)));
    r.add(&format!("S 3000000 g2 1 1 1 2 2 {}", digest(2)));
    r.add(&format!("S 3000000 c1 1 1 1 2 2 {}", digest(2)));
    r.add(&format!("X 3100000 g1 1 1 1 1/node/a {}", hash(0xa1)));
    r.add(&format!("X 3100000 g1 1 1 2 1/node/b {}", hash(0xb1)));
    r.held(3_100_000, "g1", 1, 1, 2);
    r.wrote(4 * S, 1, 3, "1/shard/c", Some(0xc1)).wrote(5 * S, 1, 4, "1/node/a", None);
    for (g, late) in [("g1", 10_000), ("g2", 30_000)] {
        r.entry(4 * S + late, g, 1, 3, "1/shard/c", Some(0xc1)).held(4 * S + late, g, 1, 1, 3);
        r.entry(5 * S + late, g, 1, 4, "1/node/a", None).held(5 * S + late, g, 1, 1, 4);
        r.summed(6 * S, g, 4, 2, 44);
    }
    r.entry(4_001_000, "c1", 1, 3, "1/shard/c", Some(0xc1)).entry(5_001_000, "c1", 1, 4, "1/node/a", None);
    r.held(5_001_000, "c1", 1, 1, 4).summed(6 * S, "c1", 4, 2, 44);
    r
}
