//! A downstream service that answers every HTTP call after a configurable time.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// What the service does and has done. A call is in flight for its whole time, cancelled or not.
#[derive(Default)]
pub struct DownstreamService {
    /// How long a call takes from now on, in microseconds.
    pub call_time_us: AtomicU64,
    /// Calls received.
    pub calls: AtomicU64,
    /// Time of all calls together, in microseconds.
    pub total_call_time_us: AtomicU64,
    /// Calls in flight now.
    pub in_flight: AtomicU64,
    /// Most calls in flight at once since this was last set to 0.
    pub most_in_flight: AtomicU64,
    /// Whether each call fails at once with status 500.
    pub fails: AtomicBool,
}

/// Starts a service on loopback whose calls take `call_time`: a thread for each connection, all end with the
/// process. An error when no socket can be bound.
pub fn start(call_time: Duration) -> std::io::Result<(SocketAddr, Arc<DownstreamService>)> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    let service = Arc::new(DownstreamService::default());
    service.call_time_us.store(call_time.as_micros() as u64, Relaxed);
    let serving = service.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let service = serving.clone();
            std::thread::spawn(move || serve(stream, &service));
        }
    });
    Ok((address, service))
}

/// Serves one connection until the caller closes it.
fn serve(stream: TcpStream, service: &DownstreamService) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(body) = read_request(&mut reader)? {
        let call_time_us = service.call_time_us.load(Relaxed);
        service.calls.fetch_add(1, Relaxed);
        if service.fails.load(Relaxed) {
            reader.get_mut().write_all(b"HTTP/1.1 500 failed\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        service.total_call_time_us.fetch_add(call_time_us, Relaxed);
        let in_flight = service.in_flight.fetch_add(1, Relaxed) + 1;
        service.most_in_flight.fetch_max(in_flight, Relaxed);
        std::thread::sleep(Duration::from_micros(call_time_us));
        service.in_flight.fetch_sub(1, Relaxed);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        reader.get_mut().write_all(&[head.as_bytes(), &body].concat())?;
    }
    Ok(())
}

/// The body of the next request; `None` when the caller has closed the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Vec<u8>>> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if let Some(text) = line.strip_prefix("Content-Length: ") {
            length = text.parse().map_err(std::io::Error::other)?;
        }
        if line.is_empty() {
            break;
        }
    }
    let mut body = vec![0; length];
    reader.read_exact(&mut body)?;
    Ok(Some(body))
}
