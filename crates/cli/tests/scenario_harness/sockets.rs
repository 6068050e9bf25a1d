//! Helper functions for the sockets of the test doubles.

use super::WAIT_MAX;
use rustix::net::{self, AddressFamily, SocketFlags, SocketType, sockopt};
use std::io::{BufReader, ErrorKind};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

pub fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").unwrap()
}

/// Accepts the next connection; panics if none arrives within [`WAIT_MAX`].
pub fn accept(listener: &TcpListener) -> TcpStream {
    listener.set_nonblocking(true).unwrap();
    let end = Instant::now() + WAIT_MAX;
    loop {
        match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                return stream;
            }
            Err(error) if error.kind() == ErrorKind::WouldBlock && Instant::now() < end => {
                std::thread::sleep(Duration::from_millis(1));
            }
            Err(error) => panic!("no connection: {error}"),
        }
    }
}

pub fn with_timeout(stream: TcpStream) -> BufReader<TcpStream> {
    stream.set_read_timeout(Some(WAIT_MAX)).unwrap();
    stream.set_nodelay(true).unwrap();
    BufReader::new(stream)
}

/// Fills the accept queue of a listener and returns the connection that fills it. The kernel then leaves
/// further connection attempts unanswered.
pub fn fill_queue(listener: &TcpListener) -> TcpStream {
    net::listen(listener, 0).unwrap();
    TcpStream::connect(listener.local_addr().unwrap()).unwrap()
}

/// Returns the local addresses of unanswered connection attempts (state SYN_SENT) to this listener.
pub fn connecting_addresses(to: &TcpListener) -> Vec<String> {
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    let remote = format!("0100007F:{:04X}", to.local_addr().unwrap().port());
    let rows = table.lines().map(|row| row.split_whitespace().collect::<Vec<_>>());
    rows.filter(|row| row[2] == remote && row[3] == "02").map(|row| row[1].to_string()).collect()
}

/// Opens a connection with a small receive buffer. The buffer fills quickly if the test does not read.
/// Servers that other scenarios start meanwhile do not inherit the connection.
pub fn connect_with_small_buffer(to: &str) -> TcpStream {
    let (family, kind, flags) = (AddressFamily::INET, SocketType::STREAM, SocketFlags::CLOEXEC);
    let socket = net::socket_with(family, kind, flags, None).unwrap();
    sockopt::set_socket_recv_buffer_size(&socket, 2048).unwrap();
    net::connect(&socket, &to.parse::<std::net::SocketAddr>().unwrap()).unwrap();
    TcpStream::from(socket)
}
