//! Merges two records of one member, and evaluates records that a member receives about itself.
//!
//! The order of records, greatest first: the later life (the incarnation; of two nonces under one incarnation the greater
//! one, because there is no other criterion); within a life, having left; then the member's own counter; then, for members
//! that announce two states under one counter, leaving before not leaving, and the greater holding. Records equal in all
//! of these join their witnesses, keeping the first [`MOST_WITNESSES`](crate::MOST_WITNESSES). So the merge is the join of
//! a chain with a bounded set at each element: commutative, associative and idempotent.

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

/// How a member responds to a received record of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfSelf {
    /// No response is needed.
    Known,
    /// A gateway suspects it, or reports a state that it never announced. This is its next update, which outranks both.
    Refuted(Record),
    /// An operator removed this life. This is final: only a later life can rejoin.
    Left(Record),
    /// The record is of a later life than this one's. It is not adopted: a gateway that returns late is given its new life by the
    /// peer mesh.
    NotMine,
    /// The record has a counter that this member cannot have reached.
    Impossible,
}

/// Decides how a member whose own record is `mine` responds to the received record `theirs`.
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
