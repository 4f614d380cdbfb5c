//! A control socket: each line is a request in JSON, each gets one line in answer.
//!
//! It runs on threads of its own, never on the gateway's coroutines, and knows nothing of what it carries. It is not
//! a public interface: the socket's file mode (0600) says who may use it.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod owed;

use std::io::{self, BufRead, BufReader, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::owed::Owed;

/// Connections served at a time; a further one is closed at once.
const CONNECTIONS: usize = 64;
/// The longest line taken.
const LINE: u64 = 4 << 20;

/// Why a call had no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The socket could not be reached.
    #[error("cannot reach the control socket {0}: {1}; is the process running?")]
    Connect(PathBuf, io::Error),
    /// The connection broke, or the time was up.
    #[error("no answer on the control socket {0}: {1}")]
    Io(PathBuf, io::Error),
    /// The other side closed without an answer.
    #[error("the control socket {0} closed without an answer")]
    Closed(PathBuf),
    /// The answer is not what this side understands.
    #[error("the answer on {0} is not understood: {1}")]
    Answer(PathBuf, serde_json::Error),
    /// The other side turned the request down.
    #[error("{0}")]
    TurnedDown(String),
}

#[derive(Serialize, serde::Deserialize)]
enum Reply<T> {
    #[serde(rename = "ok")]
    Ok(T),
    #[serde(rename = "error")]
    Error(String),
}

/// A socket that is served.
#[derive(Clone, Default)]
pub struct Served(Arc<Owed>);

impl Served {
    /// Waits until every request that was read has its answer written; whether it has, within the time.
    ///
    /// Danger: a process that leaves because it was asked to is gone before its answer is, and the asker takes that for a failure.
    pub fn settle(&self, within: Duration) -> bool {
        self.0.settle(within)
    }
}

/// Serves requests on a socket until the process ends. A file left behind by an earlier process is replaced; a
/// socket that still answers is not.
///
/// # Errors
/// The socket cannot be made, or another process serves it.
pub fn serve<Q, A>(
    path: &Path,
    handle: impl Fn(Q) -> Result<A, String> + Send + Sync + 'static,
) -> io::Result<Served>
where
    Q: DeserializeOwned,
    A: Serialize,
{
    if UnixStream::connect(path).is_ok() {
        let what = format!("another process serves {}", path.display());
        return Err(io::Error::new(io::ErrorKind::AddrInUse, what));
    }
    match std::fs::remove_file(path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    let listener = UnixListener::bind(path)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600))?;
    let (handle, open) = (Arc::new(handle), Arc::new(AtomicUsize::new(0)));
    let served = Served::default();
    let owed = served.0.clone();
    std::thread::Builder::new().name("control".into()).spawn(move || {
        for stream in listener.incoming().flatten() {
            if open.fetch_add(1, Ordering::Relaxed) >= CONNECTIONS {
                open.fetch_sub(1, Ordering::Relaxed);
                continue;
            }
            let (handle, count, owed) = (handle.clone(), open.clone(), owed.clone());
            let served = std::thread::Builder::new().name("control-connection".into()).spawn(move || {
                // A caller that goes away half-way ends its own connection only; so does a panic.
                let _ = panics::contain(|| converse(stream, &*handle, &owed));
                count.fetch_sub(1, Ordering::Relaxed);
            });
            if served.is_err() {
                open.fetch_sub(1, Ordering::Relaxed);
            }
        }
    })?;
    Ok(served)
}

fn converse<Q: DeserializeOwned, A: Serialize>(
    stream: UnixStream,
    handle: &impl Fn(Q) -> Result<A, String>,
    owed: &Owed,
) -> io::Result<()> {
    stream.set_write_timeout(Some(Duration::from_secs(5)))?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if io::Read::take(&mut reader, LINE).read_line(&mut line)? == 0 {
            return Ok(());
        }
        let owing = owed.owe();
        let written = answer(&mut writer, &line, handle);
        drop(owing);
        written?;
    }
}

fn answer<Q: DeserializeOwned, A: Serialize>(
    writer: &mut UnixStream,
    line: &str,
    handle: &impl Fn(Q) -> Result<A, String>,
) -> io::Result<()> {
    let reply = match serde_json::from_str(line) {
        Ok(request) => handle(request).map_or_else(Reply::Error, Reply::Ok),
        Err(e) => Reply::Error(format!("the request is not understood: {e}")),
    };
    let mut bytes = serde_json::to_vec(&reply).map_err(io::Error::other)?;
    bytes.push(b'\n');
    writer.write_all(&bytes)
}

/// Makes one request and waits for its answer.
///
/// # Errors
/// What went wrong, with the socket; or the reason for which the request was turned down.
pub fn call<Q: Serialize, A: DeserializeOwned>(
    path: &Path,
    request: &Q,
    patience: Duration,
) -> Result<A, CallError> {
    let failed = |e| CallError::Io(path.to_owned(), e);
    let stream = UnixStream::connect(path).map_err(|e| CallError::Connect(path.to_owned(), e))?;
    stream.set_read_timeout(Some(patience)).map_err(failed)?;
    stream.set_write_timeout(Some(patience)).map_err(failed)?;
    let mut bytes = serde_json::to_vec(request).map_err(|e| failed(io::Error::other(e)))?;
    bytes.push(b'\n');
    (&stream).write_all(&bytes).map_err(failed)?;
    let mut line = String::new();
    if BufReader::new(&stream).read_line(&mut line).map_err(failed)? == 0 {
        return Err(CallError::Closed(path.to_owned()));
    }
    match serde_json::from_str(&line) {
        Ok(Reply::Ok(answer)) => Ok(answer),
        Ok(Reply::Error(why)) => Err(CallError::TurnedDown(why)),
        Err(e) => Err(CallError::Answer(path.to_owned(), e)),
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::Mutex;

    fn path(name: &str) -> PathBuf {
        std::env::temp_dir().join(format!("crowbay-control-{}-{name}", std::process::id()))
    }

    #[test]
    fn requests_are_answered_turned_down_or_not_understood() {
        let path = path("calls");
        let half = |n: u32| if n.is_multiple_of(2) { Ok(n / 2) } else { Err(format!("{n} is odd")) };
        serve(&path, half).unwrap();
        let second = Duration::from_secs(5);
        assert_eq!(call::<_, u32>(&path, &8, second).unwrap(), 4);
        assert_eq!(call::<_, u32>(&path, &3, second).unwrap_err().to_string(), "3 is odd");
        let error = call::<_, u32>(&path, &"x", second).unwrap_err().to_string();
        assert!(error.contains("not understood"), "{error}");
        assert!(serve(&path, half).is_err(), "a second server on a live socket");
        std::fs::remove_file(&path).unwrap();
    }

    #[test]
    fn one_that_leaves_waits_until_its_answers_are_written() {
        let path = path("owed");
        let (tell, told) = std::sync::mpsc::channel::<()>();
        let told = Mutex::new(told);
        let served = serve(&path, move |_: u32| {
            told.lock().unwrap().recv().unwrap();
            Ok(1)
        });
        let served = served.unwrap();
        assert!(served.settle(Duration::ZERO), "nothing is owed");
        let asks = path.clone();
        let asks = std::thread::spawn(move || call::<_, u32>(&asks, &1, Duration::from_secs(20)).unwrap());
        while served.settle(Duration::ZERO) {
            std::thread::yield_now();
        }
        tell.send(()).unwrap();
        assert!(served.settle(Duration::from_secs(20)));
        assert_eq!(asks.join().unwrap(), 1);
        std::fs::remove_file(&path).unwrap();
    }

    #[test]
    fn a_socket_left_behind_is_replaced() {
        let path = path("left");
        drop(UnixListener::bind(&path).unwrap());
        serve(&path, Ok::<u32, String>).unwrap();
        assert_eq!(call::<_, u32>(&path, &1, Duration::from_secs(5)).unwrap(), 1);
        std::fs::remove_file(&path).unwrap();
    }
}
