//! A node that does nothing unasked: it tells what came, and its test says what becomes of it.

use std::net::{SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;

use super::LONG;
use super::asked::Asked;

pub struct Puppet {
    pub address: SocketAddr,
    asked: Receiver<Asked>,
    /// To read further connections for it.
    pub tell: Sender<Asked>,
    seen: Arc<Mutex<Vec<String>>>,
}

impl Puppet {
    pub fn start() -> Puppet {
        Puppet::over(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    /// One that accepts at a listener; each connection is read by a thread of its own.
    pub fn over(listener: TcpListener) -> Puppet {
        let puppet = Puppet::dark(listener.local_addr().expect("its address"));
        let tell = puppet.tell.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let tell = tell.clone();
                thread::spawn(move || Asked::read(stream, tell));
            }
        });
        puppet
    }

    /// One that reads what its test hands it.
    pub fn dark(address: SocketAddr) -> Puppet {
        let (tell, told) = channel::<Asked>();
        let (pass, asked) = channel();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let puppet = Puppet { address, asked, tell, seen: seen.clone() };
        thread::spawn(move || {
            for one in told {
                seen.lock().expect("seen").push(one.id.clone());
                let _ = pass.send(one);
            }
        });
        puppet
    }

    /// The next request that came whole.
    pub fn next(&self) -> Asked {
        self.asked.recv_timeout(LONG).expect("a request comes")
    }

    /// Every request that came whole.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().expect("seen").clone()
    }

    /// How often one came.
    pub fn times(&self, id: &str) -> usize {
        self.seen().iter().filter(|i| *i == id).count()
    }

    /// From now on each request is answered by this, on a thread of its own.
    pub fn play(self, answer: impl Fn(Asked) + Send + Sync + 'static) -> Arc<Mutex<Vec<String>>> {
        let (asked, answer) = (self.asked, Arc::new(answer));
        let _own = thread::spawn(move || {
            for one in asked {
                let answer = answer.clone();
                thread::spawn(move || answer(one));
            }
        });
        self.seen
    }
}
