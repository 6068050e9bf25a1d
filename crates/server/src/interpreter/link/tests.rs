//! Tests that commands are written to a link to the interpreter.

use super::*;
use crate::wire::interpreter::resolve;
use std::io::Read;
use std::net::TcpListener;

/// Length of each reply in this test, in bytes: the maximum length of a downstream call's reply.
const REPLY_BYTES: usize = 16 * 1024;

/// Long replies that are queued at the same time must all be written to the link. In an earlier version, a
/// reply that did not fit into one write with the other queued commands was dropped. The run that needed the
/// reply then waited forever.
#[test]
fn long_replies_queued_together_are_all_written() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut peer = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let stream = Async::<TcpStream>::new(listener.accept().unwrap().0).unwrap();
    let (mut commands, queue) = commands::queue(COMMANDS_MAX);
    let lines: Vec<Vec<u8>> = (0..20).map(|task| resolve(task, &[b'x'; REPLY_BYTES])).collect();
    for line in &lines {
        commands.send(line.clone()).unwrap();
    }
    let read = std::thread::spawn(move || {
        let mut bytes = Vec::new();
        peer.read_to_end(&mut bytes).unwrap();
        bytes
    });
    let length: u64 = lines.iter().map(|line| line.len() as u64).sum();
    let all_written = async {
        while commands.written_bytes() < length {
            future::yield_now().await;
        }
        Ok(())
    };
    future::block_on(future::or(queue.write_to(&stream), all_written)).unwrap();
    drop(stream);
    assert!(read.join().unwrap() == lines.concat(), "not all commands were written");
}
