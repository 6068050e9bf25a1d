//! The link between the server and the interpreter.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};

/// A link to the interpreter. What comes on it is read at once, and questions for gauges are answered then.
pub struct Link {
    pub stream: TcpStream,
    pub commands: Receiver<Value>,
}

impl Link {
    pub fn new(stream: TcpStream, gauges: Arc<AtomicBool>) -> Self {
        stream.set_nodelay(true).unwrap();
        let (send, commands) = channel();
        let (lines, mut answers) = (BufReader::new(stream.try_clone().unwrap()), stream.try_clone().unwrap());
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let command: Value = serde_json::from_str(&line).expect("JSON");
                if command["verb"] != "TOP" {
                    let _ = send.send(command);
                } else if gauges.load(Relaxed) {
                    let answer = json!({"verb": "TOPS", "nonce": command["nonce"], "readings": [0.5, 1.0]});
                    let _ = answers.write_all(format!("{answer}\n").as_bytes());
                }
            }
        });
        Self { stream, commands }
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
