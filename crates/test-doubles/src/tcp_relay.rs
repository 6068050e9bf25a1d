//! Relay that injects network faults into TCP connections from the members of a fleet to one target. Each
//! member has its own endpoint on the loopback interface, and connects to the target through this endpoint.
//! The relay delays traffic, with jitter. While the member's group is cut off from the target's group, the
//! relay holds back bytes, as on a broken link. The relay closes a share of the connections when they are
//! opened. The relay holds at most [`CONNECTIONS_MAX`] connections and ends when it is dropped.

use crate::faults::Faults;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::Duration;

/// Maximum number of concurrent connections of a relay. The relay accepts further connections and closes them
/// immediately.
pub const CONNECTIONS_MAX: usize = 512;
/// Period at which the threads of the relay check three conditions: a new connection has arrived, a cut has
/// ended, or the relay has been dropped.
const POLL_PERIOD: Duration = Duration::from_millis(5);
const READ_TIMEOUT: Duration = Duration::from_millis(20);
const CHUNK_BYTES: usize = 16 * 1024;

struct Shared {
    faults: Mutex<Faults>,
    /// Network partition group of the target. The groups of the members are in the field `faults`.
    target_group: u32,
    /// Share of new connections that the relay closes immediately, from 0 to 1.
    reset_share: Mutex<f64>,
    rng: Mutex<ChaCha8Rng>,
    open: AtomicUsize,
    stop: AtomicBool,
}

/// Locks a mutex of the relay.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread of the relay panics while it holds a lock")
}

/// Relay for TCP connections with injected faults. Each endpoint has one thread, and each connection has two
/// threads.
pub struct TcpRelay {
    endpoints: Vec<SocketAddr>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl TcpRelay {
    /// Creates a relay with one endpoint for each of `count` members. The relay forwards all connections to
    /// `target`, which is in the group `target_group`.
    pub fn new(count: usize, target: SocketAddr, target_group: u32, seed: u64) -> std::io::Result<TcpRelay> {
        let shared = Arc::new(Shared {
            faults: Mutex::default(),
            target_group,
            reset_share: Mutex::new(0.0),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            open: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
        });
        let (mut endpoints, mut threads) = (Vec::new(), Vec::new());
        for member in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            endpoints.push(listener.local_addr()?);
            listener.set_nonblocking(true)?;
            let shared = shared.clone();
            threads.push(std::thread::spawn(move || accept(&listener, member, target, &shared)));
        }
        Ok(TcpRelay { endpoints, shared, threads })
    }

    /// Returns the address at which the member with this index reaches the target.
    pub fn endpoint(&self, index: usize) -> SocketAddr {
        self.endpoints[index]
    }

    /// Changes the injected faults. Loss, duplication and reordering have no effect on TCP.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Sets the share of new connections that the relay closes immediately, from 0 to 1.
    pub fn set_reset_share(&self, share: f64) {
        *lock(&self.shared.reset_share) = share;
    }
}

impl Drop for TcpRelay {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Direction in which bytes pass through the relay.
#[derive(Clone, Copy)]
enum Direction {
    ToTarget,
    FromTarget,
}

impl Shared {
    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Returns whether the relay may pass bytes between a member and the target in this direction. The result
    /// is false while their network partition groups are cut off from each other in this direction.
    fn passes(&self, member: usize, direction: Direction) -> bool {
        let faults = lock(&self.faults);
        let (member, target) = (faults.group(member), self.target_group);
        match direction {
            Direction::ToTarget => !faults.is_cut(member, target),
            Direction::FromTarget => !faults.is_cut(target, member),
        }
    }

    fn delay(&self) -> Duration {
        let faults = lock(&self.faults);
        let jitter = match faults.jitter_ms {
            0 => 0,
            jitter_ms => lock(&self.rng).random_range(0..jitter_ms),
        };
        Duration::from_millis(faults.delay_ms + jitter)
    }
}

/// Accepts the connections of one member. Relays each connection on its own thread.
fn accept(listener: &TcpListener, member: usize, target: SocketAddr, shared: &Arc<Shared>) {
    while !shared.stopped() {
        let Ok((near, _)) = listener.accept() else {
            std::thread::sleep(POLL_PERIOD);
            continue;
        };
        let reset_share = *lock(&shared.reset_share);
        let is_reset = lock(&shared.rng).random::<f64>() < reset_share;
        if is_reset || shared.open.load(Ordering::Relaxed) >= CONNECTIONS_MAX {
            continue;
        }
        shared.open.fetch_add(1, Ordering::Relaxed);
        let shared = shared.clone();
        std::thread::spawn(move || {
            let _ = connect_through(near, member, target, &shared);
            shared.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Connects to the target on behalf of a member. Relays bytes in both directions until either side closes its
/// connection.
fn connect_through(
    near: TcpStream,
    member: usize,
    target: SocketAddr,
    shared: &Arc<Shared>,
) -> std::io::Result<()> {
    // During a cut, a new connection waits for the end of the cut and is not refused. This imitates a broken
    // link, on which the caller gets no error.
    while !shared.passes(member, Direction::ToTarget) && !shared.stopped() {
        std::thread::sleep(POLL_PERIOD);
    }
    let far = TcpStream::connect(target)?;
    for stream in [&near, &far] {
        stream.set_nonblocking(false)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        stream.set_nodelay(true)?;
    }
    let (near_back, far_back) = (near.try_clone()?, far.try_clone()?);
    let back = {
        let shared = shared.clone();
        std::thread::spawn(move || pass(far_back, near_back, member, Direction::FromTarget, &shared))
    };
    pass(near, far, member, Direction::ToTarget, shared);
    let _ = back.join();
    Ok(())
}

/// Relays bytes from the connection `from` to the connection `to` until either is closed, then closes both
/// connections.
fn pass(mut from: TcpStream, mut to: TcpStream, member: usize, direction: Direction, shared: &Shared) {
    let mut buffer = [0; CHUNK_BYTES];
    while !shared.stopped() {
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                std::thread::sleep(shared.delay());
                while !shared.passes(member, direction) && !shared.stopped() {
                    std::thread::sleep(POLL_PERIOD);
                }
                if to.write_all(&buffer[..count]).is_err() {
                    break;
                }
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => break,
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}

#[cfg(test)]
mod tests;
