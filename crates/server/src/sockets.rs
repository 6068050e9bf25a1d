//! Reads from and writes to sockets. A call that a signal interrupts is made again.

use crate::wire::ring::Ring;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io::{ErrorKind, Result};
use std::net::TcpStream;

/// Maximum number of bytes that one read from a socket returns.
const READ_MAX_BYTES: usize = 8 * 1024;

/// Waits for bytes from a stream and appends them to `ring`. Afterwards the contents of `ring` are contiguous
/// in memory. Returns an error if the stream has ended.
pub async fn receive(mut stream: &Async<TcpStream>, ring: &mut Ring) -> Result<()> {
    let mut chunk = [0; READ_MAX_BYTES];
    let free = ring.free().min(chunk.len());
    let count = loop {
        match stream.read(&mut chunk[..free]).await {
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            read => break read?,
        }
    };
    if count == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let _ = ring.put(&chunk[..count]);
    ring.make_contiguous();
    Ok(())
}

/// Writes some of `bytes` to a stream, and returns how many.
pub async fn send(mut stream: &Async<TcpStream>, bytes: &[u8]) -> Result<usize> {
    loop {
        match stream.write(bytes).await {
            Ok(0) => return Err(ErrorKind::WriteZero.into()),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            written => return written,
        }
    }
}

/// Writes all of `bytes` to a stream.
pub async fn send_all(stream: &Async<TcpStream>, mut bytes: &[u8]) -> Result<()> {
    while !bytes.is_empty() {
        bytes = &bytes[send(stream, bytes).await?..];
    }
    Ok(())
}
