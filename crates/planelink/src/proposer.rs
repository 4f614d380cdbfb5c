//! Asks a region's writer for changes, one question at a time.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use peer::channel::{self, Channel, ChannelError, Greeting, Word};
use peer::{Life, Nonce, PeerName};
use plane::{KIND, Proposal, Proposed};

/// Time to connect and to be greeted.
const CONNECT: Duration = Duration::from_secs(2);

/// Why a question has no answer. Whether its changes come into force is not known, but for [`ProposeError::TooLong`],
/// [`ProposeError::Passed`] and [`ProposeError::OtherMachine`], where they don't.
#[derive(Debug, thiserror::Error)]
pub enum ProposeError {
    /// The machine cannot be reached, or the connection broke.
    #[error("the control machine at {0}: {1}")]
    Io(SocketAddr, io::Error),
    /// What it said cannot be.
    #[error("the control machine at {0}: {1}")]
    Channel(SocketAddr, ChannelError),
    /// It ended the connection, and said why.
    #[error("the control machine at {0} ended the connection: {1}")]
    Bye(SocketAddr, &'static str),
    /// Another machine than the one that was meant answers there. Nothing was proposed to it.
    #[error(
        "the control machine at {address} is {met}, not {wanted}; nothing was proposed: correct the address of {wanted} in the site file"
    )]
    OtherMachine {
        /// Where it was met.
        address: SocketAddr,
        /// The machine that was meant.
        wanted: PeerName,
        /// The machine that answered.
        met: PeerName,
    },
    /// No answer in time.
    #[error("the control machine at {0} gave no answer in time; the change may still come into force")]
    Late(SocketAddr),
    /// The proposal is longer than a frame.
    #[error("the changes are too many or too long for one proposal; make two of them")]
    TooLong,
    /// The machine does not know such questions.
    #[error("the control machine at {0} takes no proposals")]
    Passed(SocketAddr),
    /// The answer cannot be read.
    #[error("the control machine at {0} gave an answer that cannot be read")]
    Form(SocketAddr),
}

/// A control machine, as a site's configuration names it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MachineAddress {
    /// What tells its site from another.
    pub site: u64,
    /// Its name.
    pub name: PeerName,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A connection to a control machine over which changes are proposed. It ends when it is dropped.
#[derive(Debug)]
pub struct Proposer {
    address: SocketAddr,
    stream: TcpStream,
    channel: Channel,
    /// The number of the last question.
    asked: u64,
}

impl Proposer {
    /// Connects under a name of its own, and is greeted by the machine.
    ///
    /// # Errors
    /// The machine cannot be reached, is of another site, or is another one than was meant.
    pub fn connect(machine: &MachineAddress, own_name: &PeerName) -> Result<Proposer, ProposeError> {
        let MachineAddress { site, address, .. } = *machine;
        let failed = |error| ProposeError::Io(address, error);
        let stream = TcpStream::connect_timeout(&address, CONNECT).map_err(failed)?;
        stream.set_nodelay(true).map_err(failed)?;
        let life = Life::after(None, Nonce(rand::random()));
        let mut proposer = Proposer { address, stream, channel: Channel::new(site), asked: 0 };
        proposer.write(&channel::hello(&Greeting { site, name: own_name.clone(), life }))?;
        let end = Instant::now() + CONNECT;
        loop {
            if let Word::Hello(greeting) = proposer.word(end)? {
                return proposer.greeted_by(greeting.name, &machine.name);
            }
        }
    }

    /// Danger: an address may have been given to another machine since the site file was written. That one would take the change,
    /// or refuse it, in the name of the one that was meant.
    fn greeted_by(self, met: PeerName, wanted: &PeerName) -> Result<Proposer, ProposeError> {
        if met == *wanted {
            return Ok(self);
        }
        Err(ProposeError::OtherMachine { address: self.address, wanted: wanted.clone(), met })
    }

    /// Proposes changes and waits for the answer. The machine's own refusal is an answer, with its reason; nothing of it comes
    /// into force.
    ///
    /// A machine ends a connection on which nothing was said for its time of silence, 15 s by default: see [`Proposer::beat`].
    ///
    /// # Errors
    /// There is no answer. It is not asked again by itself: the first question may have been taken.
    pub fn propose(&mut self, proposal: &Proposal, timeout: Duration) -> Result<Proposed, ProposeError> {
        let end = Instant::now() + timeout;
        self.asked += 1;
        let asked = self.asked;
        let question =
            channel::ask(asked, KIND, peer::wire::encode(proposal)).ok_or(ProposeError::TooLong)?;
        self.write(&question)?;
        loop {
            match self.word(end)? {
                Word::Answer { id, body } if id == asked => {
                    return peer::wire::decode(&body).ok_or(ProposeError::Form(self.address));
                }
                Word::Pass { id } if id == asked => return Err(ProposeError::Passed(self.address)),
                // Signs of life, and answers that came too late for their questions.
                _ => {}
            }
        }
    }

    /// Gives a sign of life, so that the connection stays while nothing is proposed.
    ///
    /// # Errors
    /// The connection broke.
    pub fn beat(&mut self) -> Result<(), ProposeError> {
        self.write(&channel::beat())
    }

    fn write(&mut self, bytes: &[u8]) -> Result<(), ProposeError> {
        self.stream.write_all(bytes).map_err(|error| ProposeError::Io(self.address, error))
    }

    /// The next word of the machine.
    fn word(&mut self, end: Instant) -> Result<Word, ProposeError> {
        let failed = |error| ProposeError::Io(self.address, error);
        let mut buffer = [0; 16 << 10];
        loop {
            match self.channel.poll().map_err(|error| ProposeError::Channel(self.address, error))? {
                Some(Word::Bye(why)) => return Err(ProposeError::Bye(self.address, why)),
                Some(word) => return Ok(word),
                None => {}
            }
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err(ProposeError::Late(self.address));
            }
            self.stream.set_read_timeout(Some(left)).map_err(failed)?;
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(failed(ErrorKind::UnexpectedEof.into())),
                Ok(n) => self.channel.receive(&buffer[..n]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(failed(error)),
            }
        }
    }
}
