//! Mistakes that a drill plants here to see that they are found. Without the feature `planted` there are none.

/// A mistake.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Plant {
    /// A delta leaves out the first entry behind the reader's cursor.
    ResumeSkips,
    /// A whole state comes into force in pieces, as they come.
    PiecesInForce,
    /// An earlier epoch is served and taken if its versions are later.
    EpochIgnored,
    /// A machine that holds less sends that as a whole state, and it is taken.
    EmptyBelieved,
    /// A reader is sent what changed whatever it has taken.
    QueueUnbounded,
}

#[cfg(feature = "planted")]
thread_local! {
    static PLANTED: std::cell::Cell<Option<Plant>> = const { std::cell::Cell::new(None) };
}

/// Plants a mistake in all that this thread runs from now on, in place of the one before; or none.
#[cfg(feature = "planted")]
pub fn plant(mistake: Option<Plant>) {
    PLANTED.set(mistake);
}

/// Whether this mistake is planted.
#[cfg(feature = "planted")]
pub(crate) fn planted(mistake: Plant) -> bool {
    PLANTED.get() == Some(mistake)
}

/// Whether this mistake is planted: never.
#[cfg(not(feature = "planted"))]
pub(crate) fn planted(_: Plant) -> bool {
    false
}
