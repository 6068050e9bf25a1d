//! Connections of balancers: each carries calls of many tenants and hands every answer to its caller.

use async_channel::{Receiver, Sender, bounded};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;

/// Calls that may be open on one connection.
const OPEN_MAX: usize = 32;

/// An answer as its words say it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    pub word: String,
    /// Milliseconds to stay away.
    pub stay_away: Option<u64>,
    pub ticket: Option<String>,
    pub body: Vec<u8>,
}

struct Line {
    stream: Async<TcpStream>,
    waiting: RefCell<HashMap<u64, Sender<Heard>>>,
    out: Sender<Vec<u8>>,
    tags: Cell<u64>,
    enough: Cell<bool>,
}

/// All connections to one server; those that it wants no more are made anew.
pub struct Balancer {
    to: SocketAddr,
    lines: RefCell<Vec<Rc<Line>>>,
    most: usize,
    executor: &'static LocalExecutor<'static>,
    /// Answers that nobody waited for: a second one to the same call.
    pub stray: Cell<u64>,
    pub broken: Cell<u64>,
    pub connects: Cell<u64>,
}

/// The words of the first array, and how many bytes it took.
fn array(bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let number = |at: usize| {
        let end = at + bytes.get(at..)?.windows(2).position(|two| two == b"\r\n")?;
        Some((std::str::from_utf8(&bytes[at + 1..end]).ok()?.parse::<usize>().ok()?, end + 2))
    };
    let (count, mut at) = number(0)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (len, start) = number(at)?;
        words.push(bytes.get(start..start + len)?.to_vec());
        bytes.get(start + len..start + len + 2)?;
        at = start + len + 2;
    }
    Some((words, at))
}

fn put(out: &mut Vec<u8>, words: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
}

fn heard(words: &[Vec<u8>]) -> Heard {
    let text =
        |i: usize| words.get(i).map(|word| String::from_utf8_lossy(word).into_owned()).unwrap_or_default();
    let fields = text(2);
    let field = |name: &str| fields.split(',').find_map(|f| f.strip_prefix(name)?.strip_prefix('='));
    Heard {
        word: text(1),
        stay_away: field("cooldown").and_then(|ms| ms.parse().ok()),
        ticket: field("ticket").map(str::to_string),
        body: words.get(3).cloned().unwrap_or_default(),
    }
}

impl Balancer {
    pub fn new(to: SocketAddr, most: usize, executor: &'static LocalExecutor<'static>) -> Rc<Self> {
        Rc::new(Self {
            to,
            lines: RefCell::default(),
            most,
            executor,
            stray: Cell::new(0),
            broken: Cell::new(0),
            connects: Cell::new(0),
        })
    }

    async fn line(self: &Rc<Self>) -> std::io::Result<Option<Rc<Line>>> {
        let free = |line: &&Rc<Line>| !line.enough.get() && line.waiting.borrow().len() < OPEN_MAX;
        let least = |line: &&Rc<Line>| line.waiting.borrow().len();
        let count = {
            let lines = self.lines.borrow();
            let idle = lines.iter().filter(free).min_by_key(least);
            if let Some(line) =
                idle.filter(|line| line.waiting.borrow().is_empty() || lines.len() >= self.most)
            {
                return Ok(Some(line.clone()));
            }
            lines.len()
        };
        if count >= self.most {
            return Ok(None);
        }
        let stream = Async::<TcpStream>::connect(self.to).await?;
        stream.get_ref().set_nodelay(true)?;
        self.connects.set(self.connects.get() + 1);
        let (out, queue) = bounded::<Vec<u8>>(2 * OPEN_MAX);
        let (waiting, tags, enough) = (RefCell::default(), Cell::new(0), Cell::new(false));
        let line = Rc::new(Line { stream, waiting, out, tags, enough });
        self.lines.borrow_mut().push(line.clone());
        let (balancer, reads) = (self.clone(), line.clone());
        self.executor
            .spawn(async move {
                let _ = balancer.read(&reads).await;
                // Whoever still waits hears that the connection broke.
                balancer.broken.set(balancer.broken.get() + reads.waiting.borrow().len() as u64);
                reads.waiting.borrow_mut().clear();
                reads.out.close();
                balancer.lines.borrow_mut().retain(|other| !Rc::ptr_eq(other, &reads));
            })
            .detach();
        let writes = line.clone();
        self.executor.spawn(async move { write(&writes, &queue).await }).detach();
        Ok(Some(line))
    }

    async fn read(&self, line: &Line) -> std::io::Result<()> {
        let mut held = Vec::new();
        let mut chunk = vec![0; 16 * 1024];
        loop {
            while let Some((words, used)) = array(&held) {
                held.drain(..used);
                let tag = std::str::from_utf8(&words[0]).ok().and_then(|text| text.parse::<u64>().ok());
                if tag == Some(0) {
                    line.enough.set(true);
                } else if let Some(caller) = tag.and_then(|tag| line.waiting.borrow_mut().remove(&tag)) {
                    let _ = caller.try_send(heard(&words));
                } else {
                    self.stray.set(self.stray.get() + 1);
                }
            }
            if line.enough.get() && line.waiting.borrow().is_empty() {
                return Ok(());
            }
            let count = (&line.stream).read(&mut chunk).await?;
            if count == 0 {
                return Ok(());
            }
            held.extend_from_slice(&chunk[..count]);
        }
    }

    /// The answer; `None` where no connection has room for the call, or the one it went out on broke.
    pub async fn call(self: &Rc<Self>, operation: &str, fields: &str, body: &[u8]) -> Option<Heard> {
        let line = self.line().await.ok()??;
        let tag = line.tags.get() + 1;
        line.tags.set(tag);
        let (caller, answer): (Sender<Heard>, Receiver<Heard>) = bounded(1);
        line.waiting.borrow_mut().insert(tag, caller);
        let mut bytes = Vec::new();
        let tag = tag.to_string();
        put(&mut bytes, &[b"RPC.CALL", tag.as_bytes(), operation.as_bytes(), fields.as_bytes(), body]);
        line.out.send(bytes).await.ok()?;
        answer.recv().await.ok()
    }
}

async fn write(line: &Line, queue: &Receiver<Vec<u8>>) -> std::io::Result<()> {
    while let Ok(mut bytes) = queue.recv().await {
        while let Ok(more) = queue.try_recv() {
            bytes.extend_from_slice(&more);
        }
        (&line.stream).write_all(&bytes).await?;
    }
    Ok(())
}
