//! A node whose connections come up when they are let in.

use std::net::{SocketAddr, TcpListener, TcpStream};

use socket2::{Domain, Socket, Type};

use super::until;

/// Connections that the system may keep for whoever accepts them.
const BACKLOG: i32 = 1024;

/// Listens with room for a single connection that nobody has accepted. Whoever comes behind it gets no answer from the system,
/// asks again by and by, a second after the first time, and is on its way up meanwhile.
pub struct Late {
    socket: Socket,
    pub address: SocketAddr,
    fillers: Vec<TcpStream>,
}

impl Late {
    /// There is room for one.
    pub fn open() -> Late {
        Late::over(|_| ())
    }

    /// There is room for one, and what it is sent is read in small bits: the peer's system keeps little for it.
    pub fn narrow() -> Late {
        Late::over(|socket| {
            socket.set_mss(536).expect("small segments");
            socket.set_recv_buffer_size(1).expect("a small buffer");
        })
    }

    fn over(prepare: impl FnOnce(&Socket)) -> Late {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        prepare(&socket);
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        socket.listen(0).expect("a listener");
        let address = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("its address");
        Late { socket, address, fillers: Vec::new() }
    }

    /// Nobody comes up from now on.
    pub fn fill(&mut self) {
        self.fillers.push(TcpStream::connect(self.address).expect("there is room for one"));
    }

    /// The connection that was let in.
    pub fn take(&self) -> TcpStream {
        self.socket.set_nonblocking(true).expect("it need not block");
        let mut came = None;
        until("a connection comes in", || {
            came = self.socket.accept().ok();
            came.is_some()
        });
        let stream: TcpStream = came.expect("it came").0.into();
        stream.set_nonblocking(false).expect("it may block");
        stream
    }

    /// Everybody may come up from now on, and nobody is accepted yet.
    pub fn admit(self) -> TcpListener {
        self.socket.set_nonblocking(false).expect("it may block");
        self.socket.listen(BACKLOG).expect("a listener");
        self.socket.into()
    }
}
