//! A balancer's connection: it sends calls and collects the answers.

use crate::record::Record;
use crate::resp;
use crate::unix_ms;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// One answer of the server.
#[derive(Clone, Debug)]
pub struct Answer {
    pub at_ms: u64,
    pub word: String,
}

/// A request as it was sent.
#[derive(Clone, Debug)]
pub struct Sent {
    pub since_ms: u64,
    pub cancelled_ms: Option<u64>,
}

#[derive(Default)]
struct Shared {
    sent: HashMap<u64, Sent>,
    answers: HashMap<u64, Vec<Answer>>,
    ended_ms: Option<u64>,
}

pub struct Connection {
    stream: TcpStream,
    shared: Arc<Mutex<Shared>>,
    next_tag: u64,
    record: Arc<Record>,
}

impl Connection {
    pub fn open(address: &str, record: &Arc<Record>) -> std::io::Result<Connection> {
        let stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        let shared = Arc::new(Mutex::new(Shared::default()));
        let (reading, shared_of_reader, record_of_reader) = (stream.try_clone()?, shared.clone(), record.clone());
        std::thread::spawn(move || read(reading, &shared_of_reader, &record_of_reader));
        Ok(Connection { stream, shared, next_tag: 0, record: record.clone() })
    }

    fn write(&mut self, words: &[&[u8]]) {
        // A write that fails shows as the end of the connection.
        let _ = self.stream.write_all(&resp::array(words));
    }

    /// Sends a call and returns its tag. `fields` are added to the fields that each call has.
    pub fn call(&mut self, operation: &str, reference: &str, fields: &str, body: &str) -> u64 {
        self.next_tag += 1;
        let (tag, since_ms) = (self.next_tag, unix_ms());
        let sent = Sent { since_ms, cancelled_ms: None };
        self.shared.lock().expect("no thread panics").sent.insert(tag, sent);
        let fields = format!("ref={reference},since={since_ms},sender=1,room=30.0,class_rank=0.5000{fields}");
        self.record.write(&format!("sent tag={tag} {operation} {fields} body={body:?}"));
        self.write(&[b"RPC.CALL", tag.to_string().as_bytes(), operation.as_bytes(), fields.as_bytes(), body.as_bytes()]);
        tag
    }

    /// Tells the server that the caller of a call has given up.
    pub fn cancel(&mut self, tag: u64) {
        {
            let mut shared = self.shared.lock().expect("no thread panics");
            if let Some(sent) = shared.sent.get_mut(&tag) {
                sent.cancelled_ms = Some(unix_ms());
            }
        }
        self.record.write(&format!("sent RPC.CANCEL tag={tag}"));
        self.write(&[b"RPC.CANCEL", tag.to_string().as_bytes()]);
    }

    /// Sends a health check and waits for its answer. Returns the word of the answer.
    pub fn health(&mut self, limit: Duration) -> Option<String> {
        self.next_tag += 1;
        let tag = self.next_tag;
        self.write(&[b"RPC.HEALTH", tag.to_string().as_bytes()]);
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if let Some(answer) = self.answers(tag).first() {
                return Some(answer.word.clone());
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        None
    }

    pub fn answers(&self, tag: u64) -> Vec<Answer> {
        self.shared.lock().expect("no thread panics").answers.get(&tag).cloned().unwrap_or_default()
    }

    pub fn sent(&self) -> Vec<(u64, Sent)> {
        let shared = self.shared.lock().expect("no thread panics");
        let mut sent: Vec<(u64, Sent)> = shared.sent.iter().map(|(tag, sent)| (*tag, sent.clone())).collect();
        sent.sort_by_key(|(tag, _)| *tag);
        sent
    }

    pub fn ended_ms(&self) -> Option<u64> {
        self.shared.lock().expect("no thread panics").ended_ms
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let _ = self.stream.shutdown(std::net::Shutdown::Both);
    }
}

fn read(mut stream: TcpStream, shared: &Mutex<Shared>, record: &Record) {
    let mut bytes = Vec::new();
    let mut chunk = [0; 16 * 1024];
    loop {
        let count = stream.read(&mut chunk).unwrap_or(0);
        if count == 0 {
            break;
        }
        bytes.extend_from_slice(&chunk[..count]);
        while let Ok(Some(words)) = resp::take(&mut bytes) {
            let word = |index: usize| {
                words.get(index).map_or(String::new(), |word| String::from_utf8_lossy(word).into_owned())
            };
            let tag: u64 = word(0).parse().unwrap_or(0);
            if tag == 0 {
                record.write(&format!("answered {}", word(1)));
                continue;
            }
            let answer = Answer { at_ms: unix_ms(), word: word(1) };
            if word(1) != "fit" && word(1) != "unfit" {
                record.write(&format!("answered tag={tag} {} fields={:?} body={:?}", word(1), word(2), word(3)));
            }
            shared.lock().expect("no thread panics").answers.entry(tag).or_default().push(answer);
        }
    }
    shared.lock().expect("no thread panics").ended_ms = Some(unix_ms());
}
