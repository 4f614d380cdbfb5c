//! A console's side of the socket.

use std::collections::VecDeque;
use std::io;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::sync::mpsc::{self, Receiver, RecvTimeoutError};
use std::time::Duration;

use steering::{Change, Entry, Request, RequestId, Revision, Verdict};

use crate::view::SiteView;
use crate::wire::{self, Answer, FromConsole, Hello, Question, ToConsole, Update, VERSION};

/// Why a console could not have what it asked for.
#[derive(Debug, thiserror::Error)]
pub enum ClientError {
    /// The socket.
    #[error("cannot reach the appliance at {0}: {1}; is it running, with this --state?")]
    Connect(PathBuf, io::Error),
    /// The connection broke or the time was up. An intent may or may not count: asked again with its number it counts once.
    #[error("the appliance at {0} did not answer: {1}")]
    Lost(PathBuf, io::Error),
    /// Another version.
    #[error("the appliance speaks version {theirs} of the protocol, this console {VERSION}: {why}")]
    Version {
        /// Its version.
        theirs: u32,
        /// Its words.
        why: String,
    },
}

/// A connection to an appliance. A thread of its own reads it.
pub struct Client {
    path: PathBuf,
    stream: UnixStream,
    frames: Receiver<io::Result<ToConsole>>,
    next: u64,
    updates: VecDeque<Update>,
    /// Name of the site.
    pub site: String,
}

/// An answer takes no longer.
const PATIENCE: Duration = Duration::from_secs(10);

impl Client {
    /// Connects and says who sits at the console.
    ///
    /// # Errors
    /// Nobody serves the socket, or one of another version.
    pub fn connect(path: &Path, who: &str) -> Result<Client, ClientError> {
        Client::connect_as(path, who, VERSION)
    }

    /// Connects as a console of a version.
    ///
    /// # Errors
    /// Nobody serves the socket, or one of another version.
    pub fn connect_as(path: &Path, who: &str, version: u32) -> Result<Client, ClientError> {
        let failed = |e| ClientError::Connect(path.to_owned(), e);
        let stream = UnixStream::connect(path).map_err(failed)?;
        let mut reader = stream.try_clone().map_err(failed)?;
        let (sender, frames) = mpsc::channel();
        std::thread::spawn(move || {
            loop {
                let frame =
                    wire::read(&mut reader).and_then(|f| f.ok_or(io::ErrorKind::UnexpectedEof.into()));
                let over = frame.is_err();
                if sender.send(frame).is_err() || over {
                    return;
                }
            }
        });
        let updates = VecDeque::new();
        let mut client =
            Client { path: path.to_owned(), stream, frames, next: 0, updates, site: String::new() };
        let hello = Hello { version, who: who.to_owned() };
        wire::write(&mut client.stream, &hello).map_err(|e| client.lost(e))?;
        match client.read(PATIENCE)? {
            Some(ToConsole::Welcome { site, .. }) => client.site = site,
            Some(ToConsole::Turned { version, why }) => {
                return Err(ClientError::Version { theirs: version, why });
            }
            _ => return Err(client.lost(io::ErrorKind::InvalidData.into())),
        }
        Ok(client)
    }

    fn lost(&self, e: io::Error) -> ClientError {
        ClientError::Lost(self.path.clone(), e)
    }

    /// The next frame; none within the time.
    fn read(&mut self, within: Duration) -> Result<Option<ToConsole>, ClientError> {
        match self.frames.recv_timeout(within) {
            Ok(Ok(frame)) => Ok(Some(frame)),
            Ok(Err(e)) => Err(self.lost(e)),
            Err(RecvTimeoutError::Timeout) => Ok(None),
            Err(RecvTimeoutError::Disconnected) => Err(self.lost(io::ErrorKind::UnexpectedEof.into())),
        }
    }

    /// Asks, and waits for the answer; updates that come meanwhile are kept.
    ///
    /// # Errors
    /// The connection.
    pub fn ask(&mut self, question: Question) -> Result<Answer, ClientError> {
        self.next += 1;
        let number = self.next;
        wire::write(&mut self.stream, &FromConsole { number, question }).map_err(|e| self.lost(e))?;
        loop {
            match self.read(PATIENCE)? {
                Some(ToConsole::Answer { number: n, answer }) if n == number => return Ok(answer),
                Some(ToConsole::Update(update)) => self.updates.push_back(update),
                Some(_) => {}
                None => return Err(self.lost(io::ErrorKind::TimedOut.into())),
            }
        }
    }

    /// The whole view.
    ///
    /// # Errors
    /// The connection.
    pub fn view(&mut self) -> Result<SiteView, ClientError> {
        match self.ask(Question::View)? {
            Answer::View(view) => Ok(*view),
            _ => Err(self.lost(io::ErrorKind::InvalidData.into())),
        }
    }

    /// Asks for a change. `expects` is the subject's version as it was seen.
    ///
    /// # Errors
    /// The connection.
    pub fn intent(
        &mut self,
        change: Change,
        by: &str,
        from: &str,
        expects: Option<Revision>,
        confirmed: bool,
    ) -> Result<Verdict, ClientError> {
        let id = RequestId(rand::random());
        let request = Request { id, change, by: by.to_owned(), from: from.to_owned(), expects, confirmed };
        match self.ask(Question::Intent(request))? {
            Answer::Verdict(verdict) => Ok(verdict),
            _ => Err(self.lost(io::ErrorKind::InvalidData.into())),
        }
    }

    /// The last entries of the audit record.
    ///
    /// # Errors
    /// The connection.
    pub fn log(&mut self, most: usize) -> Result<Vec<Entry>, ClientError> {
        match self.ask(Question::Log(most))? {
            Answer::Log(entries) => Ok(entries),
            _ => Err(self.lost(io::ErrorKind::InvalidData.into())),
        }
    }

    /// The next update, waiting for it so long at most.
    ///
    /// # Errors
    /// The connection.
    pub fn update(&mut self, within: Duration) -> Result<Option<Update>, ClientError> {
        if let Some(update) = self.updates.pop_front() {
            return Ok(Some(update));
        }
        match self.read(within)? {
            Some(ToConsole::Update(update)) => Ok(Some(update)),
            _ => Ok(None),
        }
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both); // Its reader ends.
    }
}
