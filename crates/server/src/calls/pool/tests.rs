//! Which connections are used again, and when.

use super::*;
use std::net::TcpListener;

fn listening_pool() -> (TcpListener, SocketAddr, Pool, Descriptors) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    (listener, to, Pool::default(), Descriptors::with_limit(1024).unwrap())
}

#[test]
fn none_is_used_again_before_it_was_quiet_for_a_while() {
    let (_listener, to, pool, descriptors) = listening_pool();
    let pooled = futures_lite::future::block_on(pool.connect(to, false, &descriptors)).unwrap();
    pool.give_back(pooled);
    let since = pool.idle.borrow()[0].since;
    assert!(pool.reuse(to, since + REUSE_DELAY / 2).is_none());
    assert!(pool.reuse(to, since + REUSE_DELAY).is_some());
}

#[test]
fn a_call_that_must_not_be_lost_gets_a_connection_of_its_own() {
    let (_listener, to, pool, descriptors) = listening_pool();
    let pooled = futures_lite::future::block_on(pool.connect(to, false, &descriptors)).unwrap();
    let used = pooled.stream.get_ref().local_addr().unwrap();
    pool.idle.borrow_mut().push(Idle { connection: pooled, since: Instant::now() - 2 * REUSE_DELAY });
    let fresh = futures_lite::future::block_on(pool.connect(to, true, &descriptors)).unwrap();
    assert_ne!(fresh.stream.get_ref().local_addr().unwrap(), used);
}
