//! The link between the server and the interpreter.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

/// Answers questions for gauges on one link.
struct GaugeAnswers {
    stream: TcpStream,
    /// Nonces of the questions that came while notices are replayed; `None` while none are.
    held: Option<Vec<Value>>,
}

impl GaugeAnswers {
    fn answer(&mut self, nonce: Value) {
        if let Some(held) = &mut self.held {
            return held.push(nonce);
        }
        let answer = json!({"verb": "TOPS", "nonce": nonce, "readings": [0.5, 1.0]});
        let _ = self.stream.write_all(format!("{answer}\n").as_bytes());
    }
}

/// A link to the interpreter. What comes on it is read at once, and questions for gauges are answered then,
/// but for those that come while notices are replayed.
pub struct Link {
    pub stream: TcpStream,
    pub commands: Receiver<Value>,
    gauge_answers: Arc<Mutex<GaugeAnswers>>,
}

impl Link {
    pub fn new(stream: TcpStream, gauges: Arc<AtomicBool>) -> Self {
        stream.set_nodelay(true).unwrap();
        let (send, commands) = channel();
        let lines = BufReader::new(stream.try_clone().unwrap());
        let gauge_answers = GaugeAnswers { stream: stream.try_clone().unwrap(), held: None };
        let gauge_answers = Arc::new(Mutex::new(gauge_answers));
        let answers = gauge_answers.clone();
        std::thread::spawn(move || {
            for line in lines.lines().map_while(Result::ok) {
                let command: Value = serde_json::from_str(&line).expect("JSON");
                if command["verb"] != "TOP" {
                    let _ = send.send(command);
                } else if gauges.load(Relaxed) {
                    answers.lock().unwrap().answer(command["nonce"].clone());
                }
            }
        });
        Self { stream, commands, gauge_answers }
    }

    /// The banner goes out and all notices behind it, before any question is answered.
    pub fn begin_replay(&self) {
        self.gauge_answers.lock().unwrap().held = Some(Vec::new());
    }

    /// All notices are replayed.
    pub fn end_replay(&self) {
        let mut answers = self.gauge_answers.lock().unwrap();
        let held = answers.held.take();
        held.into_iter().flatten().for_each(|nonce| answers.answer(nonce));
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
