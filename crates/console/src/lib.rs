//! The operator's console.
//!
//! [`App`] is pure: keys and updates in, a screen and requests out. [`run`] puts it on a terminal, and on the appliance's
//! socket through a thread of its own. The console decides nothing and keeps nothing: closed at any moment, it leaves what
//! it asked for as the appliance took it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod app;
mod control;
mod draw;
mod fleet;
mod line;
mod terminal;
mod text;

pub use app::{App, Ask, Page};
pub use draw::draw;
pub use fleet::fleet_lines;
pub use line::{Line, LineError, VERBS, complete, parse};
pub use terminal::{ConsoleError, run};
pub use text::{nodes_text, requests_text, text, verdict_text, volumes_text, when, why};
