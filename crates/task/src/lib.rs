//! Starts coroutines of the `may` runtime.
//!
//! `may` marks spawning as unsafe for two reasons: a coroutine may move to another thread whenever it waits,
//! so a reference to a thread-local must not be held across a wait; and its stack has a fixed size that must
//! not be exceeded. This crate is the one place that takes responsibility for both:
//!
//! - Code run here holds no thread-local, no `std` lock guard, no `RefCell` borrow and no entered tracing
//!   span across anything that waits (socket, channel, sleep). Only `may`'s own waits are used inside
//!   coroutines.
//! - Stacks are [`STACK_WORDS`] words with a guard page below them, so that an overflow ends the process
//!   instead of corrupting memory; the depth that the gateway needs is tested under its longest paths.

#![warn(missing_docs)]
#![deny(unsafe_op_in_unsafe_fn)]

mod poller;

use std::io;
use std::sync::Once;

pub use poller::{WorkBudget, yield_to_poller};

/// Size of a coroutine's stack, in machine words: 1 MiB of address space, of which only touched pages use
/// memory.
///
/// Painted stacks of the optimized platform gateway were used to 1,899 words (the engine) and 245 (others). A
/// build without optimization needs more, and 1 MiB is only address space. The cost is that 10,000
/// connections reserve 10 GB of it.
pub const STACK_WORDS: usize = 128 * 1024;

/// Stacks kept for the next coroutines, about 8 KiB each. All are prepared at the start.
const POOLED_STACKS: usize = 128;

/// Configures the runtime, once per process: one thread runs all coroutines.
///
/// With several threads, a wait for a socket in this version of `may` looks at its coroutine's stack after it
/// has handed the coroutine to the other threads, which may have run it to completion by then
/// (docs/architecture.md): test processes died of a corrupted heap. The cost is that a process uses one core
/// for its coroutines. Measurements show that it is not slower this way; additional gateways use additional
/// cores.
pub fn init_runtime() {
    static ONCE: Once = Once::new();
    ONCE.call_once(|| {
        may::config()
            .set_workers(1)
            .set_stack_size(STACK_WORDS)
            .set_pool_capacity(POOLED_STACKS)
            .set_worker_pin(false);
        poller::start();
    });
}

/// Starts a coroutine, which ends by itself. See the crate's documentation for what it must not do.
///
/// # Errors
///
/// There is no memory for its stack.
pub fn spawn(name: &str, run: impl FnOnce() + Send + 'static) -> io::Result<()> {
    let builder = may::coroutine::Builder::new().name(name.to_owned()).stack_size(STACK_WORDS);
    // SAFETY: the callers in this workspace follow the rules above; `run` owns everything it uses ('static)
    // and may change threads (Send).
    #[allow(unsafe_code)]
    let handle = unsafe { builder.spawn(run) }?;
    drop(handle);
    Ok(())
}
