//! Test double of a downstream service. The service answers each HTTP call after a configurable time, or
//! fails all calls.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Call that the service has served. All times are Unix times, so that they can be compared with the logs of
/// the callers.
#[derive(Clone, Copy, Debug)]
pub struct ServedCall {
    /// Reference by which the caller identifies the call, from the header `Op-Of`.
    pub reference: u64,
    /// Maximum time for which the caller waits for the reply, in milliseconds, from the header `Op-Wait-Ms`.
    pub wait_ms: u64,
    /// Unix time in microseconds when the service had read the complete request.
    pub arrived_us: u64,
    /// Unix time in microseconds when the call ended at the service.
    pub ended_us: u64,
}

/// Settings and counts of the service. A call stays in flight at the service for the whole call time, even if
/// the caller cancels the call.
#[derive(Default)]
pub struct DownstreamService {
    /// Duration of a call in microseconds. A new value applies to calls that arrive later.
    pub call_time_us: AtomicU64,
    /// Number of calls received.
    pub calls: AtomicU64,
    /// Sum of the durations of all received calls, in microseconds. Calls that fail immediately are not
    /// included.
    pub total_call_time_us: AtomicU64,
    /// Number of calls in flight.
    pub in_flight: AtomicU64,
    /// Highest number of calls in flight at one time. A test may set this value to 0 to measure the maximum
    /// again from that time.
    pub most_in_flight: AtomicU64,
    /// Whether each call fails immediately with status 500.
    pub fails: AtomicBool,
    served: Mutex<Vec<ServedCall>>,
}

impl DownstreamService {
    /// Returns the completed calls in the order in which they ended. Calls that failed with status 500 are
    /// left out.
    pub fn served(&self) -> Vec<ServedCall> {
        self.served.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the calls that were in flight at the moment of highest concurrency. The moment is calculated
    /// from the start and end times of the served calls.
    pub fn busiest_moment(&self) -> Vec<ServedCall> {
        let served = self.served();
        let in_flight_at =
            |at: u64| served.iter().filter(move |call| call.arrived_us <= at && at < call.ended_us);
        let busiest = served.iter().map(|call| call.arrived_us).max_by_key(|at| in_flight_at(*at).count());
        busiest.map_or(Vec::new(), |at| in_flight_at(at).copied().collect())
    }

    fn record(&self, call: ServedCall) {
        self.served.lock().unwrap_or_else(PoisonError::into_inner).push(call);
    }
}

fn unix_us() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as u64)
}

/// Starts a service on the loopback interface. Each call takes `call_time`. Each connection has its own
/// thread, which runs until the connection closes or the process ends. Fails if no socket can be bound.
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

/// Serves the calls on one connection until the caller closes the connection.
fn serve(stream: TcpStream, service: &DownstreamService) -> std::io::Result<()> {
    let mut reader = BufReader::new(stream);
    while let Some(Request { reference, wait_ms, body }) = read_request(&mut reader)? {
        let arrived_us = unix_us();
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
        service.record(ServedCall { reference, wait_ms, arrived_us, ended_us: unix_us() });
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        reader.get_mut().write_all(&[head.as_bytes(), &body].concat())?;
    }
    Ok(())
}

/// HTTP request with the header fields that the service records.
#[derive(Default)]
struct Request {
    reference: u64,
    wait_ms: u64,
    body: Vec<u8>,
}

/// Reads the next request from a connection. Returns `None` if the caller has closed the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> std::io::Result<Option<Request>> {
    let mut request = Request::default();
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        match line.split_once(": ") {
            Some(("Content-Length", text)) => length = text.parse().map_err(std::io::Error::other)?,
            Some(("Op-Wait-Ms", text)) => request.wait_ms = text.parse().map_err(std::io::Error::other)?,
            Some(("Op-Of", text)) => {
                request.reference = u64::from_str_radix(text, 16).map_err(std::io::Error::other)?;
            }
            _ => {}
        }
        if line.is_empty() {
            break;
        }
    }
    request.body = vec![0; length];
    reader.read_exact(&mut request.body)?;
    Ok(Some(request))
}
