//! Tests of the TCP relay.

use super::*;
use std::time::Instant;

/// Sends bytes through the relay to a service that echoes them. The relay must hold back bytes during a cut
/// and deliver them after the cut. With a reset share of 1, the relay must close each new connection.
#[test]
fn a_cut_delays_bytes_until_it_ends() {
    let target = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = target.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in target.incoming().take(1) {
            let mut stream = stream.unwrap();
            let mut copy = stream.try_clone().unwrap();
            let _ = std::io::copy(&mut stream, &mut copy);
        }
    });
    let relay = TcpRelay::new(1, address, 9, 1).unwrap();
    let mut near = TcpStream::connect(relay.endpoint(0)).unwrap();
    near.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut received = [0; 3];
    near.write_all(b"one").unwrap();
    near.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"one");
    relay.change_faults(|faults| faults.partition(0, 9));
    near.write_all(b"two").unwrap();
    near.set_read_timeout(Some(Duration::from_millis(200))).unwrap();
    assert!(near.read_exact(&mut received).is_err(), "no bytes pass during the cut");
    relay.change_faults(|faults| faults.heal());
    near.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let healed = Instant::now();
    near.read_exact(&mut received).unwrap();
    assert_eq!(&received, b"two");
    assert!(healed.elapsed() < Duration::from_secs(2));
    relay.set_reset_share(1.0);
    let mut reset = TcpStream::connect(relay.endpoint(0)).unwrap();
    reset.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    assert!(matches!(reset.read(&mut received), Ok(0) | Err(_)), "the relay closes the connection");
}
