//! Measures the memory that a process uses for each open connection.

use crate::added_latency::CORES;
use crate::error::{MeasureError, io_error};
use crate::fit::{Curve, Point};
use crate::process::{Process, ProcessSettings};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::time::Duration;

const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);
/// Health check request in the encoding of the balancers' protocol.
const HEALTH_CHECK: &[u8] = b"*2\r\n$10\r\nRPC.HEALTH\r\n$1\r\n1\r\n";
const ANSWER_BYTES_MAX: usize = 64;
/// Number of file descriptors that the process needs for other purposes than the measured connections.
const OTHER_DESCRIPTORS: usize = 100;

/// Opens a connection, sends a health check on it and waits for the answer.
fn open(address: SocketAddr, connection: usize) -> Result<TcpStream, MeasureError> {
    let mut stream = TcpStream::connect(address).map_err(io_error("open a connection"))?;
    stream.set_read_timeout(Some(ANSWER_TIMEOUT)).map_err(io_error("set a read timeout"))?;
    stream.write_all(HEALTH_CHECK).map_err(io_error("send a health check"))?;
    let mut answer = [0; ANSWER_BYTES_MAX];
    let read = stream.read(&mut answer);
    let bytes = read.map_err(|source| MeasureError::NoHealthCheck { connection, source })?;
    if bytes == 0 {
        return Err(MeasureError::ConnectionClosed { connection });
    }
    Ok(stream)
}

/// Measures the resident memory of a process at several numbers of idle connections. `counts` holds these
/// numbers in ascending order.
///
/// # Errors
/// Returns an error if the process cannot be started or measured, or closes a connection.
pub fn measure(program: &Path, counts: &[usize]) -> Result<Curve, MeasureError> {
    let max = counts.iter().copied().max().unwrap_or(0);
    let settings = ProcessSettings {
        name: "connections".into(),
        routes: 2,
        descriptors: max + max / 4 + OTHER_DESCRIPTORS,
        options: String::new(),
        cores: CORES,
    };
    let process = Process::start(program, &settings)?;
    let mut streams: Vec<TcpStream> = Vec::new();
    let mut points = Vec::new();
    for count in counts {
        while streams.len() < *count {
            streams.push(open(process.listen_address, streams.len())?);
        }
        points.push(Point { size: *count as f64, value: process.resident_bytes()? as f64 });
    }
    Ok(Curve::new("resident memory by open connections", "bytes", "connection", points, None))
}
