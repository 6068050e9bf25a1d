//! Connections that say nothing, or half of something, and rest until the server ends them.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long one may take to be made: where the server's queue is full the kernel answers none.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Opens connections to one server; every other one begins an array and does not end it.
pub fn open(to: SocketAddr, connections: usize) -> Vec<TcpStream> {
    let mut streams = Vec::new();
    for index in 0..connections {
        let Ok(mut stream) = TcpStream::connect_timeout(&to, CONNECT_TIMEOUT) else { break };
        if index % 2 == 1 {
            let _ = stream.write_all(b"*5\r\n$8\r\nRPC.");
        }
        streams.push(stream);
    }
    streams
}
