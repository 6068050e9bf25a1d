//! Relay that injects network faults into the UDP datagrams between the members of a fleet. Each member has
//! an endpoint at the relay on the loopback interface, to which the other members send. The relay forwards a
//! datagram from the sender's endpoint, so that the receiver can identify the sender. The relay drops, delays
//! (with jitter), duplicates and reorders datagrams, and cuts off groups in one or both directions, as set in
//! [`Faults`]. The faults may change at any time. Random choices are drawn from one seed. The relay holds at
//! most [`IN_FLIGHT_MAX`] datagrams and ends when it is dropped.

use crate::faults::Faults;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Maximum number of datagrams in flight through the relay. Further datagrams are dropped, as at a full
/// queue.
pub const IN_FLIGHT_MAX: usize = 100_000;
/// Period at which the threads of the relay check whether the relay has been dropped.
const POLL_PERIOD: Duration = Duration::from_millis(20);
const DATAGRAM_BYTES_MAX: usize = 65_536;

/// Datagram in flight through the relay. Datagrams are ordered by the time at which they are due for
/// delivery, and then by arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    due: Instant,
    sequence: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Counts of the datagrams that a relay has handled.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayCounts {
    /// Number of datagrams forwarded.
    pub forwarded: u64,
    /// Number of datagrams that an injected fault dropped.
    pub dropped: u64,
    /// Number of datagrams from senders that are not registered as members.
    pub unknown_senders: u64,
}

struct Shared {
    faults: Mutex<Faults>,
    /// Address of each member's socket, by member index; `None` if the member is not registered yet.
    members: Mutex<Vec<Option<SocketAddr>>>,
    queue: Mutex<BinaryHeap<Reverse<InFlight>>>,
    queued: Condvar,
    stop: AtomicBool,
    rng: Mutex<ChaCha8Rng>,
    next_sequence: AtomicU64,
    counts: Mutex<RelayCounts>,
}

impl Shared {
    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }
}

/// Locks a mutex of the relay.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().expect("no thread of the relay panics while it holds a lock")
}

/// Relay for UDP datagrams with injected faults. Each endpoint has a thread that receives datagrams. One
/// further thread delivers all datagrams.
pub struct UdpRelay {
    endpoints: Vec<SocketAddr>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl UdpRelay {
    /// Creates a relay with one endpoint on 127.0.0.1 for each of `count` members.
    pub fn new(count: usize, seed: u64) -> std::io::Result<UdpRelay> {
        let mut sockets = Vec::new();
        let mut endpoints = Vec::new();
        for _ in 0..count {
            let socket = UdpSocket::bind("127.0.0.1:0")?;
            socket.set_read_timeout(Some(POLL_PERIOD))?;
            endpoints.push(socket.local_addr()?);
            sockets.push(Arc::new(socket));
        }
        let shared = Arc::new(Shared {
            faults: Mutex::default(),
            members: Mutex::new(vec![None; count]),
            queue: Mutex::default(),
            queued: Condvar::new(),
            stop: AtomicBool::new(false),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            next_sequence: AtomicU64::new(0),
            counts: Mutex::default(),
        });
        let mut threads = Vec::new();
        for (index, socket) in sockets.iter().enumerate() {
            let (socket, shared) = (socket.clone(), shared.clone());
            threads.push(std::thread::spawn(move || receive(index, &socket, &shared)));
        }
        let delivering = shared.clone();
        threads.push(std::thread::spawn(move || deliver(&sockets, &delivering)));
        Ok(UdpRelay { endpoints, shared, threads })
    }

    /// Returns the address to which other members send datagrams for the member with this index.
    pub fn endpoint(&self, index: usize) -> SocketAddr {
        self.endpoints[index]
    }

    /// Registers the socket address of the member with this index. When the member sends a datagram, the
    /// relay identifies the member by this address. The relay also delivers datagrams for the member to this
    /// address.
    pub fn register(&self, index: usize, bound: SocketAddr) {
        lock(&self.shared.members)[index] = Some(bound);
    }

    /// Changes the injected faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Returns the counts of datagrams so far.
    pub fn counts(&self) -> RelayCounts {
        *lock(&self.shared.counts)
    }
}

impl Drop for UdpRelay {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        self.shared.queued.notify_all();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// Receives the datagrams that other members send to the endpoint of the member `to`.
fn receive(to: usize, socket: &UdpSocket, shared: &Shared) {
    let mut buffer = vec![0; DATAGRAM_BYTES_MAX];
    while !shared.stopped() {
        let Ok((count, source)) = socket.recv_from(&mut buffer) else { continue };
        let from = lock(&shared.members).iter().position(|member| *member == Some(source));
        match from {
            Some(from) => inject_faults(from, to, &buffer[..count], shared),
            None => lock(&shared.counts).unknown_senders += 1,
        }
    }
}

/// Applies the injected faults to a datagram. A fault may drop, duplicate or delay the datagram. Queues each
/// remaining copy with the time at which it is due.
fn inject_faults(from: usize, to: usize, bytes: &[u8], shared: &Shared) {
    let faults = lock(&shared.faults).clone();
    if faults.is_cut(faults.group(from), faults.group(to)) {
        lock(&shared.counts).dropped += 1;
        return;
    }
    let mut rng = lock(&shared.rng);
    let copies = if rng.random::<f64>() < faults.duplicate { 2 } else { 1 };
    for _ in 0..copies {
        if rng.random::<f64>() < faults.loss {
            lock(&shared.counts).dropped += 1;
            continue;
        }
        let mut delay_ms = faults.delay_ms;
        if faults.jitter_ms > 0 {
            delay_ms += rng.random_range(0..faults.jitter_ms);
        }
        if rng.random::<f64>() < faults.reorder {
            delay_ms += faults.reorder_ms;
        }
        let due = Instant::now() + Duration::from_millis(delay_ms);
        let sequence = shared.next_sequence.fetch_add(1, Ordering::Relaxed);
        let mut queue = lock(&shared.queue);
        if queue.len() < IN_FLIGHT_MAX {
            queue.push(Reverse(InFlight { due, sequence, from, to, bytes: bytes.to_vec() }));
        }
    }
    shared.queued.notify_one();
}

/// Sends each queued datagram at its due time. The datagram is sent from the sender's endpoint to the
/// receiver's registered address.
fn deliver(sockets: &[Arc<UdpSocket>], shared: &Shared) {
    let mut queue = lock(&shared.queue);
    while !shared.stopped() {
        let now = Instant::now();
        let next_due = queue.peek().map(|Reverse(datagram)| datagram.due);
        let wait = match next_due {
            Some(due) if due > now => (due - now).min(POLL_PERIOD),
            Some(_) => {
                if let Some(Reverse(datagram)) = queue.pop() {
                    forward(&datagram, sockets, shared);
                }
                continue;
            }
            None => POLL_PERIOD,
        };
        let waited = shared.queued.wait_timeout(queue, wait);
        (queue, _) = waited.expect("no thread of the relay panics while it holds a lock");
    }
}

fn forward(datagram: &InFlight, sockets: &[Arc<UdpSocket>], shared: &Shared) {
    let bound = lock(&shared.members)[datagram.to];
    if let Some(bound) = bound {
        let _ = sockets[datagram.from].send_to(&datagram.bytes, bound);
        lock(&shared.counts).forwarded += 1;
    }
}
