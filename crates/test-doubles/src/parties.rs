//! The small ones: a records service that answers every call after a while, and a catalog that counts.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::time::Duration;

/// What the records service has had in its hands. A call stays there for its time, given up or not.
#[derive(Default)]
pub struct Records {
    /// How long a call takes from now on, in microseconds.
    pub takes: AtomicU64,
    pub calls: AtomicU64,
    /// Time of all its calls together, in microseconds.
    pub held: AtomicU64,
    /// Calls in its hands now, and the most at once since this was last set to 0.
    pub open: AtomicU64,
    pub most: AtomicU64,
    /// Answers at once that it failed.
    pub fails: AtomicBool,
}

/// Answers each call with 200 after so long; a thread for each connection, all end with the process.
pub fn records(after: Duration) -> std::io::Result<(SocketAddr, Arc<Records>)> {
    let listener = TcpListener::bind(("127.0.0.1", 0))?;
    let address = listener.local_addr()?;
    let records = Arc::new(Records::default());
    records.takes.store(after.as_micros() as u64, Relaxed);
    let kept = records.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let records = records.clone();
            std::thread::spawn(move || serve(stream, &records));
        }
    });
    Ok((address, kept))
}

fn serve(stream: TcpStream, records: &Records) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    loop {
        let mut len = 0;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Ok(());
            }
            let line = line.trim_end();
            if let Some(text) = line.strip_prefix("Content-Length: ") {
                len = text.parse().map_err(std::io::Error::other)?;
            }
            if line.is_empty() {
                break;
            }
        }
        let mut body = vec![0; len];
        reader.read_exact(&mut body)?;
        let takes = records.takes.load(Relaxed);
        records.calls.fetch_add(1, Relaxed);
        if records.fails.load(Relaxed) {
            reader.get_mut().write_all(b"HTTP/1.1 500 failed\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        records.held.fetch_add(takes, Relaxed);
        let open = records.open.fetch_add(1, Relaxed) + 1;
        records.most.fetch_max(open, Relaxed);
        std::thread::sleep(Duration::from_micros(takes));
        records.open.fetch_sub(1, Relaxed);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        reader.get_mut().write_all(&[head.as_bytes(), &body].concat())?;
    }
}

/// Counts the reports that come.
pub fn catalog() -> std::io::Result<(SocketAddr, Arc<AtomicU64>)> {
    let socket = UdpSocket::bind(("127.0.0.1", 0))?;
    let (address, count) = (socket.local_addr()?, Arc::new(AtomicU64::new(0)));
    let counts = count.clone();
    std::thread::spawn(move || {
        let mut datagram = [0; 256];
        while socket.recv(&mut datagram).is_ok() {
            counts.fetch_add(1, Relaxed);
        }
    });
    Ok((address, count))
}
