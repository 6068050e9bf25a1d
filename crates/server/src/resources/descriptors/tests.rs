//! Tests for which purposes a file descriptor can be reserved when only few descriptors are available.

use super::*;
use crate::calls::pool::{DESCRIPTOR_RETRY_AFTER, Pool};
use async_io::Timer;
use futures_lite::future::{block_on, or};
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

async fn with_timeout(limit: Duration, work: impl Future<Output = Descriptor>) -> Option<Descriptor> {
    let timeout = async {
        Timer::after(limit).await;
        None
    };
    or(async { Some(work.await) }, timeout).await
}

/// Creates a pool of eight descriptors. The size does not depend on how many descriptors the test process has
/// open.
fn eight_descriptors() -> Descriptors {
    let open = std::fs::read_dir("/proc/self/fd").unwrap().count() - 1;
    let descriptors = Descriptors::with_limit(open + 64).unwrap();
    Descriptors { limit: 8, ..descriptors }
}

#[test]
fn a_file_waits_for_a_descriptor_and_never_exceeds_the_limit() {
    let (descriptors, pool) = (eight_descriptors(), Pool::default());
    let mut reserved: Vec<Descriptor> = std::iter::from_fn(|| descriptors.reserve_for_connection()).collect();
    reserved.extend(std::iter::from_fn(|| descriptors.reserve_for_call()));
    let all = descriptors.in_use.all.get();
    assert!(
        block_on(with_timeout(20 * DESCRIPTOR_RETRY_AFTER, pool.descriptor_for_file(&descriptors))).is_none(),
        "{all} of 8 in use"
    );
    assert_eq!(descriptors.in_use.all.get(), all);
    drop(reserved.pop());
    let descriptor =
        block_on(with_timeout(20 * DESCRIPTOR_RETRY_AFTER, pool.descriptor_for_file(&descriptors)));
    assert!(descriptor.is_some());
    assert_eq!(descriptors.in_use.all.get(), all);
}

#[test]
fn idle_call_connections_are_closed_for_a_file() {
    let (descriptors, pool) = (eight_descriptors(), Pool::default());
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let to = listener.local_addr().unwrap();
    let mut idle = Vec::new();
    while descriptors.reserve_for_call().is_some() {
        idle.push(block_on(pool.connect(to, true, &descriptors)).unwrap());
    }
    assert!(
        block_on(with_timeout(20 * DESCRIPTOR_RETRY_AFTER, pool.descriptor_for_file(&descriptors))).is_none()
    );
    idle.into_iter().for_each(|pooled| pool.return_connection(pooled));
    assert!(
        block_on(with_timeout(20 * DESCRIPTOR_RETRY_AFTER, pool.descriptor_for_file(&descriptors))).is_some()
    );
    let _: Vec<TcpStream> = listener.incoming().take(1).map_while(Result::ok).collect();
}
