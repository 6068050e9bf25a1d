//! The fault relay's TCP part: member `i` reaches one target at a face of its own, so that the relay knows
//! who speaks. It delays and jitters what passes, holds it up while the member's group is cut from the
//! target's (bytes wait, as behind a broken link), and resets a share of connections. Bounded: at most
//! [`OPEN_MAX`] connections, ended when dropped.

use crate::relay::Faults;
use anyhow::Result;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::io::{ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;

/// Connections at once through one relay; further ones are refused by closing them.
pub const OPEN_MAX: usize = 512;
const TICK: Duration = Duration::from_millis(5);

struct Shared {
    faults: Mutex<Faults>,
    /// The group of the target; members' groups stand in the faults.
    target_group: u32,
    /// Share of connections reset when they are opened, 0 to 1.
    reset: Mutex<f64>,
    rng: Mutex<ChaCha8Rng>,
    open: AtomicUsize,
    stop: AtomicBool,
}

pub struct TcpRelay {
    faces: Vec<SocketAddr>,
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<()>>,
}

impl TcpRelay {
    /// A face for each of `n` members towards `target`, which is in `target_group`.
    pub fn new(n: usize, target: SocketAddr, target_group: u32, seed: u64) -> Result<TcpRelay> {
        let shared = Arc::new(Shared {
            faults: Mutex::default(),
            target_group,
            reset: Mutex::new(0.0),
            rng: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
            open: AtomicUsize::new(0),
            stop: AtomicBool::new(false),
        });
        let (mut faces, mut threads) = (Vec::new(), Vec::new());
        for i in 0..n {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            faces.push(listener.local_addr()?);
            listener.set_nonblocking(true)?;
            let shared = shared.clone();
            threads.push(std::thread::spawn(move || accept(&listener, i, target, &shared)));
        }
        Ok(TcpRelay { faces, shared, threads })
    }

    /// Where member `i` finds the target.
    pub fn face(&self, i: usize) -> SocketAddr {
        self.faces[i]
    }

    /// Changes the faults from now on; loss, duplicates and reordering do not apply to a stream of bytes.
    pub fn set(&self, change: impl FnOnce(&mut Faults)) {
        change(&mut self.shared.faults.lock().expect("relay"));
    }

    pub fn set_reset(&self, share: f64) {
        *self.shared.reset.lock().expect("relay") = share;
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

impl Shared {
    fn stopped(&self) -> bool {
        self.stop.load(Ordering::Relaxed)
    }

    /// Whether bytes of member `i` pass, out or back.
    fn passes(&self, i: usize, out: bool) -> bool {
        let faults = self.faults.lock().expect("relay");
        let (member, target) = (faults.group(i), self.target_group);
        !faults.cuts.contains(&if out { (member, target) } else { (target, member) })
    }

    fn delay(&self) -> Duration {
        let faults = self.faults.lock().expect("relay");
        let jitter = match faults.jitter_ms {
            0 => 0,
            most => self.rng.lock().expect("relay").random_range(0..most),
        };
        Duration::from_millis(faults.delay_ms + jitter)
    }
}

fn accept(listener: &TcpListener, i: usize, target: SocketAddr, shared: &Arc<Shared>) {
    while !shared.stopped() {
        let Ok((near, _)) = listener.accept() else {
            std::thread::sleep(TICK);
            continue;
        };
        let reset = *shared.reset.lock().expect("relay");
        let unlucky = shared.rng.lock().expect("relay").random::<f64>() < reset;
        if unlucky || shared.open.load(Ordering::Relaxed) >= OPEN_MAX {
            continue;
        }
        shared.open.fetch_add(1, Ordering::Relaxed);
        let shared = shared.clone();
        std::thread::spawn(move || {
            let _ = join(near, i, target, &shared);
            shared.open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

fn join(near: TcpStream, i: usize, target: SocketAddr, shared: &Arc<Shared>) -> std::io::Result<()> {
    // A connection through a cut link is made when it heals, not refused: nothing says that it is cut.
    while !shared.passes(i, true) && !shared.stopped() {
        std::thread::sleep(TICK);
    }
    let far = TcpStream::connect(target)?;
    for stream in [&near, &far] {
        stream.set_nonblocking(false)?;
        stream.set_read_timeout(Some(TICK * 4))?;
        stream.set_nodelay(true)?;
    }
    let (near_back, far_back) = (near.try_clone()?, far.try_clone()?);
    let back = {
        let shared = shared.clone();
        std::thread::spawn(move || pass(far_back, near_back, i, false, &shared))
    };
    pass(near, far, i, true, shared);
    let _ = back.join();
    Ok(())
}

/// Bytes one way until either end is gone; then both are closed.
fn pass(mut from: TcpStream, mut to: TcpStream, i: usize, out: bool, shared: &Shared) {
    let mut buffer = [0; 16 * 1024];
    while !shared.stopped() {
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) => {
                std::thread::sleep(shared.delay());
                while !shared.passes(i, out) && !shared.stopped() {
                    std::thread::sleep(TICK);
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
