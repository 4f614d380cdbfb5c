//! A node that refuses connections until it starts to listen.

use std::net::{SocketAddr, TcpListener};

use socket2::{Domain, Socket, Type};

pub struct Refusing {
    socket: Socket,
    pub address: SocketAddr,
}

impl Refusing {
    /// Its port is its own, and nobody listens there.
    pub fn new() -> Refusing {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
        let address = socket.local_addr().ok().and_then(|a| a.as_socket()).expect("its address");
        Refusing { socket, address }
    }

    /// It listens from now on.
    pub fn listen(self) -> TcpListener {
        self.socket.listen(128).expect("a listener");
        self.socket.into()
    }
}
