//! Open-loop load over NVMe/TCP, for judging a gateway by what its clients meet.
//!
//! A [`Scenario`] says when commands come (phases of several shapes, or a recorded trace), what they are, and how clients
//! behave: their patience, their repeats after the advice, tries they give up early. [`run`] offers it; commands come by
//! the clock, whatever the answers do, and latency counts from the intended time over all tries, so that a stall of the
//! gateway shows in full (no coordinated omission). The generator measures how late it was itself and marks a run that it
//! could not keep up with as invalid. Written blocks prove themselves, and every read is held against what may be there.
//!
//! It shares no code with the gateway but the protocol's state machines. Arrivals, behaviour and proof are without I/O;
//! one event loop on one thread does the rest. It is not a benchmark of disks: nothing is cached, aligned or tuned.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod arrivals;
mod association;
mod behaviour;
mod chart;
mod meter;
mod proof;
mod report;
mod run;
mod scenario;
mod trace;
mod workload;

pub use arrivals::Arrivals;
pub use behaviour::{Act, Behaviour, End, Outcome, Token};
pub use chart::{ChartError, charts};
pub use meter::{ClassResult, Latency, Meter, Results, Second};
pub use proof::{Breach, Proof};
pub use report::{ReportError, save, table};
pub use run::{Progress, RunError, run};
pub use scenario::*;
pub use trace::{TraceError, read_trace};
pub use workload::{Wanted, Workload};
