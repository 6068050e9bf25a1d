//! Test double of the service registry. The registry only counts the load reports that it receives.

use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Starts a registry on the loopback interface, on a thread that runs until the process ends. Returns the
/// address of the registry and a counter of the received reports. Fails if no socket can be bound.
pub fn start() -> std::io::Result<(SocketAddr, Arc<AtomicU64>)> {
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    let address = socket.local_addr()?;
    let report_count = Arc::new(AtomicU64::new(0));
    let counter = report_count.clone();
    std::thread::spawn(move || {
        let mut datagram = [0; 256];
        while socket.recv(&mut datagram).is_ok() {
            counter.fetch_add(1, Relaxed);
        }
    });
    Ok((address, report_count))
}
