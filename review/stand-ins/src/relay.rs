//! A TCP relay between a balancer and a server. While it is cut, nothing passes in either direction. What was
//! sent meanwhile arrives in order when the cut ends, as TCP delivers it.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};

#[derive(Clone, Default)]
pub struct Relay {
    state: Arc<(Mutex<bool>, Condvar)>,
}

impl Relay {
    /// Starts a relay to the address `to` and returns it with the address that it listens on.
    pub fn start(to: &str) -> std::io::Result<(Relay, String)> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let relay = Relay::default();
        let (accepting, to) = (relay.clone(), to.to_string());
        std::thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Ok(far) = TcpStream::connect(&to) else { continue };
                for stream in [&near, &far] {
                    let _ = stream.set_nodelay(true);
                }
                let pairs = [(near.try_clone(), far.try_clone()), (far.try_clone(), near.try_clone())];
                for (from, into) in pairs {
                    let (Ok(from), Ok(into)) = (from, into) else { continue };
                    let relay = accepting.clone();
                    std::thread::spawn(move || relay.pump(from, into));
                }
            }
        });
        Ok((relay, address))
    }

    /// Cuts the relay or ends the cut.
    pub fn set_cut(&self, cut: bool) {
        *self.state.0.lock().expect("no thread panics") = cut;
        self.state.1.notify_all();
    }

    fn pump(&self, mut from: TcpStream, mut into: TcpStream) {
        let mut chunk = vec![0; 256 * 1024];
        loop {
            {
                let cut = self.state.0.lock().expect("no thread panics");
                drop(self.state.1.wait_while(cut, |cut| *cut).expect("no thread panics"));
            }
            let Ok(count) = from.peek(&mut chunk) else { break };
            if *self.state.0.lock().expect("no thread panics") {
                continue;
            }
            if count == 0 {
                break;
            }
            let Ok(count) = from.read(&mut chunk) else { break };
            if into.write_all(&chunk[..count]).is_err() {
                break;
            }
        }
        let _ = into.shutdown(Shutdown::Write);
    }
}
