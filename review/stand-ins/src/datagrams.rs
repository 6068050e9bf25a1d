//! A relay for the datagrams of a fleet's members. Each member has an endpoint here, which it tells the others
//! as its address. The relay delays each datagram by the way between the regions of the two members, and passes
//! it on from the sender's endpoint.

use std::net::{SocketAddr, UdpSocket};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A datagram that the relay has passed on.
#[derive(Clone, Copy, Debug)]
pub struct Passed {
    pub from: usize,
    pub to: usize,
    pub at: Instant,
}

#[derive(Default)]
struct Shared {
    /// Socket addresses of the members.
    members: Vec<SocketAddr>,
    /// Region of each member.
    regions: Vec<usize>,
    between_regions: Duration,
    waiting: Vec<(Instant, usize, usize, Vec<u8>)>,
    /// Text to look for in datagrams. Those that contain it are noted in `seen` when they are passed on.
    watched: Option<Vec<u8>>,
    seen: Vec<Passed>,
}

pub struct Datagrams {
    pub endpoints: Vec<String>,
    shared: Arc<Mutex<Shared>>,
}

impl Datagrams {
    /// Starts a relay for members that are bound to `members` and stand in `regions`.
    pub fn start(members: &[String], regions: &[usize], between_regions: Duration) -> std::io::Result<Datagrams> {
        let sockets: std::io::Result<Vec<UdpSocket>> =
            members.iter().map(|_| UdpSocket::bind("127.0.0.1:0")).collect();
        let sockets = Arc::new(sockets?);
        let endpoints = sockets.iter().map(|socket| socket.local_addr().expect("its address").to_string()).collect();
        let members = members.iter().map(|member| member.parse().expect("an address")).collect();
        let shared = Shared { members, regions: regions.to_vec(), between_regions, ..Shared::default() };
        let shared = Arc::new(Mutex::new(shared));
        for to in 0..sockets.len() {
            let (sockets, shared) = (sockets.clone(), shared.clone());
            std::thread::spawn(move || receive(to, &sockets[to], &shared));
        }
        let passing = shared.clone();
        std::thread::spawn(move || loop {
            pass_on(&sockets, &passing);
            std::thread::sleep(Duration::from_micros(500));
        });
        Ok(Datagrams { endpoints, shared })
    }

    /// Watches for datagrams that contain `text`, from now on.
    pub fn watch(&self, text: &str) {
        let mut shared = self.shared.lock().expect("no thread panics");
        (shared.watched, shared.seen) = (Some(text.as_bytes().to_vec()), Vec::new());
    }

    /// Returns the watched datagrams that were passed on since the last call of [`Self::watch`].
    pub fn seen(&self) -> Vec<Passed> {
        self.shared.lock().expect("no thread panics").seen.clone()
    }
}

fn receive(to: usize, socket: &UdpSocket, shared: &Mutex<Shared>) {
    let mut buffer = vec![0; 65_536];
    while let Ok((count, source)) = socket.recv_from(&mut buffer) {
        let mut shared = shared.lock().expect("no thread panics");
        let Some(from) = shared.members.iter().position(|member| *member == source) else { continue };
        let far = shared.regions[from] != shared.regions[to];
        let due = Instant::now() + if far { shared.between_regions } else { Duration::ZERO };
        shared.waiting.push((due, from, to, buffer[..count].to_vec()));
    }
}

fn pass_on(sockets: &[UdpSocket], shared: &Mutex<Shared>) {
    let mut shared = shared.lock().expect("no thread panics");
    let now = Instant::now();
    let mut due: Vec<(Instant, usize, usize, Vec<u8>)> = Vec::new();
    let mut index = 0;
    while index < shared.waiting.len() {
        if shared.waiting[index].0 <= now {
            due.push(shared.waiting.remove(index));
        } else {
            index += 1;
        }
    }
    for (_, from, to, bytes) in due {
        let _ = sockets[from].send_to(&bytes, shared.members[to]);
        let watched = shared.watched.as_deref().unwrap_or(b"");
        if !watched.is_empty() && bytes.windows(watched.len()).any(|window| window == watched) {
            shared.seen.push(Passed { from, to, at: Instant::now() });
        }
    }
}
