//! Tests the conditions under which the pool reuses an idle connection to a downstream service.

use super::*;
use std::net::TcpListener;

fn listening_pool() -> (TcpListener, SocketAddr, Pool, Descriptors) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    (listener, to, Pool::default(), Descriptors::with_limit(1024).unwrap())
}

#[test]
fn connections_are_reused_only_after_the_reuse_delay() {
    let (_listener, to, pool, descriptors) = listening_pool();
    let pooled = futures_lite::future::block_on(pool.connect(to, false, &descriptors)).unwrap();
    pool.return_connection(pooled);
    let since = pool.idle.borrow()[0].since;
    assert!(pool.reuse(to, since + REUSE_DELAY / 2).is_none());
    assert!(pool.reuse(to, since + REUSE_DELAY).is_some());
}

#[test]
fn a_call_that_needs_a_new_connection_does_not_reuse_an_idle_one() {
    let (_listener, to, pool, descriptors) = listening_pool();
    let pooled = futures_lite::future::block_on(pool.connect(to, false, &descriptors)).unwrap();
    let idle_address = pooled.stream.get_ref().local_addr().unwrap();
    pool.idle.borrow_mut().push(Idle { connection: pooled, since: Instant::now() - 2 * REUSE_DELAY });
    let new = futures_lite::future::block_on(pool.connect(to, true, &descriptors)).unwrap();
    assert_ne!(new.stream.get_ref().local_addr().unwrap(), idle_address);
}
