//! Opens idle connections to a server for the soak test. On an idle connection, the client sends nothing, or
//! only the beginning of a request. The clients do not close these connections during the run.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Maximum time to open a connection. The limit is necessary because the kernel does not answer connection
/// attempts while the server's accept queue is full.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Opens up to `connections` connections to one server. Sends the beginning of a request on every second
/// connection, and nothing on the others. Stops at the first connection that cannot be opened.
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
