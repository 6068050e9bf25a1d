//! A fault relay for UDP on loopback between the members of a fleet. Each member has an endpoint at the
//! relay. A datagram that one member sends to the endpoint of another is forwarded from the sender's
//! endpoint, so that the receiver can identify the sender. The relay drops, delays, jitters, duplicates and
//! reorders datagrams and cuts groups off in one or both directions, as its [`Faults`] state. The faults may
//! change at any time; random choices are drawn from one seed. The relay holds at most [`IN_FLIGHT_MAX`]
//! datagrams and ends when dropped.

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

/// Maximum number of datagrams in flight through the relay. Further datagrams are dropped, as by a full
/// queue.
pub const IN_FLIGHT_MAX: usize = 100_000;
/// Period at which the relay's threads check whether the relay has been dropped.
const POLL_PERIOD: Duration = Duration::from_millis(20);
const DATAGRAM_BYTES_MAX: usize = 65_536;

/// A datagram in flight, ordered by due time and then by arrival.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct InFlight {
    due: Instant,
    sequence: u64,
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// Counts of datagrams at a relay.
#[derive(Clone, Copy, Debug, Default)]
pub struct RelayCounts {
    /// Datagrams forwarded.
    pub forwarded: u64,
    /// Datagrams dropped by an injected fault.
    pub dropped: u64,
    /// Datagrams received from senders that are not registered members.
    pub unknown_senders: u64,
}

struct Shared {
    faults: Mutex<Faults>,
    /// Address of each member's socket; `None` until registered.
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

/// A UDP relay. Each endpoint has a receiving thread; one further thread delivers all datagrams.
pub struct UdpRelay {
    endpoints: Vec<SocketAddr>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl UdpRelay {
    /// Binds an endpoint on 127.0.0.1 for each of `count` members.
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

    /// Address at which the other members reach member `index`.
    pub fn endpoint(&self, index: usize) -> SocketAddr {
        self.endpoints[index]
    }

    /// Registers the address of member `index`. The relay attributes datagrams from this address to the
    /// member and forwards the member's datagrams to it.
    pub fn register(&self, index: usize, bound: SocketAddr) {
        lock(&self.shared.members)[index] = Some(bound);
    }

    /// Changes the injected faults.
    pub fn change_faults(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut lock(&self.shared.faults));
    }

    /// Counts of datagrams so far.
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

/// Receives the datagrams sent to the endpoint of member `to`.
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

/// Applies the injected faults to a datagram. Queues each copy of the datagram that the faults do not drop,
/// with the time at which the copy is due.
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

/// Sends each datagram at its due time, from the sender's endpoint to the receiver's registered address.
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
