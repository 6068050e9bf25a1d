//! Test double of the interpreter's end of a link to the server.

use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::Relaxed};
use std::sync::mpsc::{Receiver, channel};
use std::sync::{Arc, Mutex};

/// State that determines when the test double answers the server's gauge requests on a link.
struct GaugeAnswers {
    stream: TcpStream,
    /// Nonces of gauge requests received during a replay of notices; `None` outside a replay.
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

/// A link to the interpreter. A thread reads commands as they arrive. The thread answers gauge requests
/// immediately, except that requests received during a replay of notices are answered at the replay's end.
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

    /// Begins a replay of notices. Gauge requests are then answered only after the banner and all notices of
    /// the replay have been sent.
    pub fn begin_replay(&self) {
        self.gauge_answers.lock().unwrap().deferred = Some(Vec::new());
    }

    /// Ends a replay and answers the gauge requests received during it.
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
