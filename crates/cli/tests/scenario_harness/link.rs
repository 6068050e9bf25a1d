//! Test double of the interpreter at its end of a link (connection) with the server.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

/// State that decides whether the test double answers a gauge request of the server at once or later.
struct GaugeAnswers {
    stream: TcpStream,
    /// Nonces of the gauge requests that arrived during the current replay of notices. The requests are
    /// answered when the replay ends. `None` while no replay is in progress.
    deferred: Option<Vec<Value>>,
}

impl GaugeAnswers {
    fn answer(&mut self, nonce: Value) {
        if let Some(deferred) = &mut self.deferred {
            return deferred.push(nonce);
        }
        let answer = json!({"verb": "TOPS", "nonce": nonce, "readings": [0.5, 1.0]});
        let _ = self.stream.write_all(format!("{answer}\n").as_bytes());
    }
}

/// The interpreter's end of a link to the server. A thread reads the server's commands as they arrive and
/// answers gauge requests. Gauge requests that arrive during a replay of notices are answered at the end of
/// the replay, all others at once.
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
        let gauge_answers = GaugeAnswers { stream: stream.try_clone().unwrap(), deferred: None };
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

    /// Begins a replay of notices, the interpreter's messages to the server. Until the replay ends, gauge
    /// requests are stored and not answered, because the interpreter first sends its banner and all notices
    /// of the replay.
    pub fn begin_replay(&self) {
        self.gauge_answers.lock().unwrap().deferred = Some(Vec::new());
    }

    /// Ends a replay of notices and answers the gauge requests that were stored during the replay.
    pub fn end_replay(&self) {
        let mut answers = self.gauge_answers.lock().unwrap();
        let deferred = answers.deferred.take();
        deferred.into_iter().flatten().for_each(|nonce| answers.answer(nonce));
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(Shutdown::Both);
    }
}
