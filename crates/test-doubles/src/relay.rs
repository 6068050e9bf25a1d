//! A fault relay for UDP on loopback: each process of a fleet is reached at a face of the relay, and what it
//! sends to a face goes on to that member from the sender's own face, so that each still sees who spoke.
//! On the way the relay drops, delays, jitters, duplicates and reorders datagrams, and cuts groups off one
//! way or both, all changed while it runs and drawn from one seed. Bounded: it ends when dropped, and
//! holds at most `HELD_MAX` datagrams in flight.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Datagrams in flight at most; more are dropped, as a full queue would.
const HELD_MAX: usize = 100_000;
const TICK: Duration = Duration::from_millis(20);

/// What is done to datagrams; shares from 0 to 1, times in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub delay_ms: u64,
    pub jitter_ms: u64,
    pub duplicate: f64,
    /// Share of datagrams held back a further `reorder_ms`, so that later ones overtake them.
    pub reorder: f64,
    pub reorder_ms: u64,
    /// Group of each member by index; members not named are in group 0.
    pub groups: HashMap<usize, u32>,
    /// Datagrams from the first group to the second are lost.
    pub cuts: HashSet<(u32, u32)>,
}

impl Faults {
    /// Both ways between two groups.
    pub fn partition(&mut self, a: u32, b: u32) {
        self.cuts.insert((a, b));
        self.cuts.insert((b, a));
    }

    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    pub(crate) fn group(&self, i: usize) -> u32 {
        self.groups.get(&i).copied().unwrap_or(0)
    }
}

/// When, in which order, from which member to which, what.
type InFlight = Reverse<(Instant, u64, usize, usize, Vec<u8>)>;

struct Shared {
    faults: Mutex<Faults>,
    /// Where each member really listens, once known.
    members: Mutex<Vec<Option<SocketAddr>>>,
    queue: Mutex<BinaryHeap<InFlight>>,
    ready: Condvar,
    stop: AtomicBool,
    rng: Mutex<ChaCha8Rng>,
    seq: AtomicU64,
    /// Datagrams passed on, dropped by a fault, and from senders not known.
    pub passed: AtomicU64,
    pub dropped: AtomicU64,
    pub strangers: AtomicU64,
}

pub struct Relay {
    faces: Vec<SocketAddr>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl Relay {
    /// A face on 127.0.0.1 for each of `n` members.
    pub fn new(n: usize, seed: u64) -> std::io::Result<Relay> {
        let sockets: Vec<UdpSocket> =
            (0..n).map(|_| UdpSocket::bind("127.0.0.1:0")).collect::<std::io::Result<_>>()?;
        let faces = sockets.iter().map(|s| s.local_addr()).collect::<std::io::Result<Vec<_>>>()?;
        let shared = Arc::new(Shared {
            faults: Mutex::new(Faults::default()),
            members: Mutex::new(vec![None; n]),
            queue: Mutex::new(BinaryHeap::new()),
            ready: Condvar::new(),
            stop: AtomicBool::new(false),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            seq: AtomicU64::new(0),
            passed: AtomicU64::new(0),
            dropped: AtomicU64::new(0),
            strangers: AtomicU64::new(0),
        });
        let sockets: Vec<Arc<UdpSocket>> = sockets.into_iter().map(Arc::new).collect();
        let mut threads = Vec::new();
        for (i, socket) in sockets.iter().enumerate() {
            socket.set_read_timeout(Some(TICK))?;
            let (socket, shared) = (socket.clone(), shared.clone());
            threads.push(std::thread::spawn(move || receive(i, &socket, &shared)));
        }
        let shared2 = shared.clone();
        threads.push(std::thread::spawn(move || deliver(&sockets, &shared2)));
        Ok(Relay { faces, shared, threads })
    }

    /// Where the others reach member `i`.
    pub fn face(&self, i: usize) -> SocketAddr {
        self.faces[i]
    }

    /// Where member `i` really listens: datagrams from there are its own.
    pub fn register(&self, i: usize, real: SocketAddr) {
        self.shared.members.lock().expect("relay")[i] = Some(real);
    }

    /// Changes the faults from now on.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.lock().expect("relay"));
    }

    /// Datagrams passed on, dropped by a fault, from strangers.
    pub fn counts(&self) -> (u64, u64, u64) {
        let get = |c: &AtomicU64| c.load(Ordering::Relaxed);
        (get(&self.shared.passed), get(&self.shared.dropped), get(&self.shared.strangers))
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.shared.stop.store(true, Ordering::Relaxed);
        self.shared.ready.notify_all();
        for thread in self.threads.drain(..) {
            let _ = thread.join();
        }
    }
}

/// On face `to`: a datagram for member `to` from whoever sent it.
fn receive(to: usize, socket: &UdpSocket, shared: &Shared) {
    let mut buffer = vec![0; 65_536];
    while !shared.stop.load(Ordering::Relaxed) {
        let Ok((count, source)) = socket.recv_from(&mut buffer) else { continue };
        let from = shared.members.lock().expect("relay").iter().position(|m| *m == Some(source));
        let Some(from) = from else {
            shared.strangers.fetch_add(1, Ordering::Relaxed);
            continue;
        };
        let faults = shared.faults.lock().expect("relay").clone();
        if faults.cuts.contains(&(faults.group(from), faults.group(to))) {
            shared.dropped.fetch_add(1, Ordering::Relaxed);
            continue;
        }
        let mut rng = shared.rng.lock().expect("relay");
        let copies = if rng.random::<f64>() < faults.duplicate { 2 } else { 1 };
        for _ in 0..copies {
            if rng.random::<f64>() < faults.loss {
                shared.dropped.fetch_add(1, Ordering::Relaxed);
                continue;
            }
            let mut ms = faults.delay_ms;
            if faults.jitter_ms > 0 {
                ms += rng.random_range(0..faults.jitter_ms);
            }
            if rng.random::<f64>() < faults.reorder {
                ms += faults.reorder_ms;
            }
            let at = Instant::now() + Duration::from_millis(ms);
            let seq = shared.seq.fetch_add(1, Ordering::Relaxed);
            let mut queue = shared.queue.lock().expect("relay");
            if queue.len() < HELD_MAX {
                queue.push(Reverse((at, seq, from, to, buffer[..count].to_vec())));
            }
        }
        shared.ready.notify_one();
    }
}

/// Sends each datagram when its time comes, from the sender's face to the member's real address.
fn deliver(sockets: &[Arc<UdpSocket>], shared: &Shared) {
    let mut queue = shared.queue.lock().expect("relay");
    while !shared.stop.load(Ordering::Relaxed) {
        let now = Instant::now();
        let wait = match queue.peek() {
            Some(Reverse((at, ..))) if *at <= now => {
                let Reverse((_, _, from, to, bytes)) = queue.pop().expect("peeked");
                let real = shared.members.lock().expect("relay")[to];
                if let Some(real) = real {
                    let _ = sockets[from].send_to(&bytes, real);
                    shared.passed.fetch_add(1, Ordering::Relaxed);
                }
                continue;
            }
            Some(Reverse((at, ..))) => (*at - now).min(TICK),
            None => TICK,
        };
        queue = shared.ready.wait_timeout(queue, wait).expect("relay").0;
    }
}
