//! Starts coroutines of the `may` runtime.
//!
//! `may` marks spawning as unsafe for two reasons: a coroutine may be moved to another thread whenever it waits, so
//! that a reference to a thread-local must not be held over a wait; and its stack is fixed, so that it must not be
//! outgrown. This package is the one place where that is answered for:
//!
//! - Code run here holds no thread-local, no `std` lock guard, no `RefCell` borrow and no entered tracing span over
//!   anything that waits (socket, channel, sleep). Only `may`'s own waits are used inside coroutines.
//! - Stacks are [`STACK`] words with a guard page below them, so that an overflow ends the process instead of
//!   corrupting it; the depth that the gateway needs is tested under its longest paths.

#![warn(missing_docs)]
#![deny(unsafe_op_in_unsafe_fn)]

use std::io;
use std::sync::Once;

/// Size of a coroutine's stack, in machine words: 1 MiB of address space, of which only touched pages are memory.
///
/// Painted stacks of the optimised platform gateway were used to 1,899 words (the engine) and 245 (others). A build without
/// optimisation needs more, and 1 MiB is only address space. Harm: 10,000 connections hold 10 GB of it.
pub const STACK: usize = 128 * 1024;

/// Sets the runtime up, once in a process: one thread runs all coroutines.
///
/// Danger: with several, a wait for a socket in this version looks at its coroutine's stack after it has handed the coroutine to
/// the others, which may have run it to its end by then (docs/architecture.md): test processes died of a damaged heap. Harm:
/// a process uses one core for its coroutines. Measured, it is not slower so; more gateways use more cores.
pub fn set_up() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        may::config().set_workers(1).set_stack_size(STACK).set_worker_pin(false);
    });
}

/// Starts a coroutine, which ends by itself. See the package's documentation for what it must not do.
///
/// # Errors
/// There is no memory for its stack.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = may::coroutine::Builder::new().name(name.to_owned()).stack_size(STACK);
    // SAFETY: the rules above, kept by the callers within this workspace; `run` owns all it uses ('static) and may
    // change threads (Send).
    #[allow(unsafe_code)]
    let handle = unsafe { builder.spawn(run) }?;
    drop(handle);
    Ok(())
}
