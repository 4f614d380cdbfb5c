//! How two records of one member become one, and what a member makes of a word about itself.
//!
//! The order of records, greatest first: the later life (the incarnation; of two nonces under one incarnation the greater
//! one, which nobody else can tell apart either); within a life, that it left; then the member's own counter; then, for
//! members that say two things under one counter, leaving before not, and the greater holding. Of two equal in all that
//! the witnesses are joined, the first [`MOST_WITNESSES`](crate::MOST_WITNESSES) of them. So the merge is the join of a
//! chain with a bounded set on each of its links: commutative, associative, idempotent.

use std::cmp::Ordering;

use crate::options::Plant;
use crate::record::{MOST_JUMP, MOST_WITNESSES, Record};

/// The join of two records of one member.
pub fn merge(mine: &Record, theirs: &Record, plant: Plant) -> Record {
    match plant {
        Plant::MergeByArrival => return theirs.clone(),
        Plant::OldLifeRevives if theirs.witnesses.is_empty() && !theirs.left => return theirs.clone(),
        _ => {}
    }
    match mine.rank().cmp(&theirs.rank()) {
        Ordering::Greater => mine.clone(),
        Ordering::Less => theirs.clone(),
        Ordering::Equal => {
            let witnesses = mine.witnesses.union(&theirs.witnesses).take(MOST_WITNESSES).cloned().collect();
            Record { witnesses, ..mine.clone() }
        }
    }
}

/// What a member makes of a record of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfSelf {
    /// Nothing that it would have to answer.
    Known,
    /// Somebody doubts it, or says for it what it has not said: this is its next word, above both.
    Refuted(Record),
    /// An operator has taken this life out. That stands: only a later life comes back.
    Left(Record),
    /// A life that it does not live. Not taken over: who comes back late learns it from the mesh and is renewed.
    NotMine,
    /// A counter that it cannot have reached.
    Impossible,
}

/// What a member that holds `mine` of itself makes of `theirs`.
pub fn of_self(mine: &Record, theirs: &Record, plant: Plant) -> OfSelf {
    let lives = (mine.incarnation, mine.nonce).cmp(&(theirs.incarnation, theirs.nonce));
    match lives {
        Ordering::Less => return OfSelf::NotMine,
        Ordering::Greater => return OfSelf::Known,
        Ordering::Equal => {}
    }
    if mine.left {
        return OfSelf::Known;
    }
    if theirs.left {
        return OfSelf::Left(Record::left(mine.life()));
    }
    if theirs.own > mine.own.saturating_add(MOST_JUMP) {
        return OfSelf::Impossible;
    }
    let doubted = theirs.rank() > mine.rank() || theirs.own == mine.own && !theirs.witnesses.is_empty();
    if !doubted || plant == Plant::RefutationForgotten {
        return OfSelf::Known;
    }
    let base = Record { own: theirs.own.max(mine.own), ..mine.clone() };
    OfSelf::Refuted(base.said(mine.holding.clone(), mine.leaving))
}
