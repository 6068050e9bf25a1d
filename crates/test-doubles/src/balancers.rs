//! Test double of a balancer. The balancer sends the calls of many tenants over shared connections to one
//! server, and passes each reply to the caller that waits for it.

use async_channel::{Receiver, Sender, bounded};
use async_executor::LocalExecutor;
use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum number of calls in flight on one connection.
const CALLS_MAX: usize = 32;
/// A call counts as crossed if it is sent within this time before the end of its connection. A crossed call
/// may have been in transit when the server closed the connection. [`Balancer::crossed_calls`] counts such
/// calls.
const CROSSING: Duration = Duration::from_millis(50);
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// Reply of the server to a call. The outcome is the word that the server sends on the wire.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Reply {
    /// Outcome of the call: `good` (succeeded), `refused` (rejected) or `broken` (failed).
    pub outcome: String,
    /// Time in milliseconds after which the server advises to retry (Retry-After); `None` without advice.
    pub retry_after_ms: Option<u64>,
    /// Ticket that the server issues with a rejection. A retry after `retry_after_ms` must present the ticket
    /// to be admitted.
    pub ticket: Option<String>,
    /// Result of the invocation.
    pub body: Vec<u8>,
}

impl Reply {
    /// Builds a reply from the words of a message. A word that the message does not have counts as empty.
    fn from_words(words: &[Vec<u8>]) -> Self {
        let text = |index: usize| {
            words.get(index).map(|word| String::from_utf8_lossy(word).into_owned()).unwrap_or_default()
        };
        let fields = text(2);
        let field =
            |name: &str| fields.split(',').find_map(|field| field.strip_prefix(name)?.strip_prefix('='));
        Self {
            outcome: text(1),
            retry_after_ms: field("cooldown").and_then(|ms| ms.parse().ok()),
            ticket: field("ticket").map(str::to_string),
            body: words.get(3).cloned().unwrap_or_default(),
        }
    }
}

/// Caller that waits for the reply to its call.
struct Caller {
    reply: Sender<Reply>,
    sent_at: Instant,
}

struct Connection {
    stream: Async<TcpStream>,
    /// Callers that wait for a reply. The key is the tag of the call.
    callers: RefCell<HashMap<u64, Caller>>,
    requests: Sender<Vec<u8>>,
    last_tag: Cell<u64>,
    /// Whether the server has announced that it drains this connection. The server then accepts no new calls
    /// on the connection.
    draining: Cell<bool>,
}

impl Connection {
    fn accepts_calls(&self, is_kept: bool) -> bool {
        (is_kept || !self.draining.get()) && self.calls_in_flight() < CALLS_MAX
    }

    fn calls_in_flight(&self) -> usize {
        self.callers.borrow().len()
    }
}

/// Pool of connections to one server. A connection that the server drains is replaced by a new connection.
pub struct Balancer {
    to: SocketAddr,
    connections: RefCell<Vec<Rc<Connection>>>,
    connections_max: usize,
    executor: &'static LocalExecutor<'static>,
    /// Whether the balancer goes on using a connection that the server drains, until the server closes it.
    pub keeps_draining_connections: Cell<bool>,
    /// Number of replies for which no caller was waiting, such as a second reply to one call.
    pub unexpected_replies: Cell<u64>,
    /// Number of calls whose connection ended before the reply arrived.
    pub broken_calls: Cell<u64>,
    /// Number of the `broken_calls` that were sent shortly before the end of their connection. These calls
    /// may have been in transit when the server closed the connection.
    pub crossed_calls: Cell<u64>,
    /// Number of calls that were not sent. Either no connection had capacity, or a new connection could not
    /// be opened.
    pub unsent_calls: Cell<u64>,
    /// Number of connections that the balancer has opened.
    pub connects: Cell<u64>,
}

impl Balancer {
    /// Creates a balancer for the server at the address `to`. The balancer opens connections when calls need
    /// them, at most `connections_max` at a time.
    pub fn new(
        to: SocketAddr,
        connections_max: usize,
        executor: &'static LocalExecutor<'static>,
    ) -> Rc<Self> {
        Rc::new(Self {
            to,
            connections: RefCell::default(),
            connections_max,
            executor,
            keeps_draining_connections: Cell::new(false),
            unexpected_replies: Cell::new(0),
            broken_calls: Cell::new(0),
            crossed_calls: Cell::new(0),
            unsent_calls: Cell::new(0),
            connects: Cell::new(0),
        })
    }

    /// Sends a call and waits for its reply. Returns `None` if no connection has capacity for the call, if a
    /// new connection cannot be opened, or if the connection breaks before the reply.
    pub async fn call(self: &Rc<Self>, operation: &str, fields: &str, body: &[u8]) -> Option<Reply> {
        let Ok(Some(connection)) = self.connection().await else {
            self.unsent_calls.set(self.unsent_calls.get() + 1);
            return None;
        };
        let tag = connection.last_tag.get() + 1;
        connection.last_tag.set(tag);
        let (caller, reply): (Sender<Reply>, Receiver<Reply>) = bounded(1);
        connection.callers.borrow_mut().insert(tag, Caller { reply: caller, sent_at: Instant::now() });
        let mut request = Vec::new();
        let tag = tag.to_string();
        let words = [b"RPC.CALL", tag.as_bytes(), operation.as_bytes(), fields.as_bytes(), body];
        write_array(&mut request, &words);
        connection.requests.send(request).await.ok()?;
        reply.recv().await.ok()
    }

    /// Selects the connection for a call. Returns an idle connection if there is one, and otherwise opens a
    /// new connection. If the pool has the maximum number of connections, returns the connection with the
    /// fewest calls in flight, or `None` if all connections are full.
    async fn connection(self: &Rc<Self>) -> std::io::Result<Option<Rc<Connection>>> {
        let (least_loaded, count) = {
            let connections = self.connections.borrow();
            let is_kept = self.keeps_draining_connections.get();
            let accepting = connections.iter().filter(|connection| connection.accepts_calls(is_kept));
            (accepting.min_by_key(|connection| connection.calls_in_flight()).cloned(), connections.len())
        };
        let at_limit = count >= self.connections_max;
        match least_loaded {
            Some(connection) if at_limit || connection.calls_in_flight() == 0 => Ok(Some(connection)),
            _ if at_limit => Ok(None),
            _ => self.connect().await.map(Some),
        }
    }

    /// Opens a connection. Spawns one task that reads from the connection and one task that writes to it.
    async fn connect(self: &Rc<Self>) -> std::io::Result<Rc<Connection>> {
        let stream = Async::<TcpStream>::connect(self.to).await?;
        stream.get_ref().set_nodelay(true)?;
        self.connects.set(self.connects.get() + 1);
        let (requests, queue) = bounded::<Vec<u8>>(2 * CALLS_MAX);
        let connection = Rc::new(Connection {
            stream,
            callers: RefCell::default(),
            requests,
            last_tag: Cell::new(0),
            draining: Cell::new(false),
        });
        self.connections.borrow_mut().push(connection.clone());
        self.executor.spawn(self.clone().read_until_closed(connection.clone())).detach();
        let writer = connection.clone();
        self.executor.spawn(async move { write_requests(&writer, &queue).await }).detach();
        Ok(connection)
    }

    /// Reads replies from a connection until it closes, then removes the connection from the pool. Calls that
    /// are still in flight on the connection end without a reply.
    async fn read_until_closed(self: Rc<Self>, connection: Rc<Connection>) {
        let _ = self.read_replies(&connection).await;
        for caller in std::mem::take(&mut *connection.callers.borrow_mut()).into_values() {
            let crossed = caller.sent_at.elapsed() <= CROSSING;
            self.broken_calls.set(self.broken_calls.get() + 1);
            self.crossed_calls.set(self.crossed_calls.get() + u64::from(crossed));
        }
        connection.requests.close();
        self.connections.borrow_mut().retain(|other| !Rc::ptr_eq(other, &connection));
    }

    async fn read_replies(&self, connection: &Connection) -> std::io::Result<()> {
        let mut unread = Vec::new();
        let mut chunk = vec![0; READ_CHUNK_BYTES];
        loop {
            while let Some((words, used)) = read_array(&unread) {
                unread.drain(..used);
                self.handle_reply(connection, &words);
            }
            let is_kept = self.keeps_draining_connections.get();
            if connection.draining.get() && !is_kept && connection.calls_in_flight() == 0 {
                return Ok(());
            }
            let count = (&connection.stream).read(&mut chunk).await?;
            if count == 0 {
                return Ok(());
            }
            unread.extend_from_slice(&chunk[..count]);
        }
    }

    /// Passes a reply to the caller that waits for it. A message with tag 0 is not a reply: with this
    /// message, the server announces that it drains the connection.
    fn handle_reply(&self, connection: &Connection, words: &[Vec<u8>]) {
        let tag = std::str::from_utf8(&words[0]).ok().and_then(|text| text.parse::<u64>().ok());
        if tag == Some(0) {
            connection.draining.set(true);
            return;
        }
        let caller = tag.and_then(|tag| connection.callers.borrow_mut().remove(&tag));
        match caller {
            Some(caller) => {
                let _ = caller.reply.try_send(Reply::from_words(words));
            }
            None => self.unexpected_replies.set(self.unexpected_replies.get() + 1),
        }
    }
}

/// Writes the queued requests to the connection. All requests that are in the queue at one time are sent by a
/// single write.
async fn write_requests(connection: &Connection, queue: &Receiver<Vec<u8>>) -> std::io::Result<()> {
    while let Ok(mut bytes) = queue.recv().await {
        while let Ok(more) = queue.try_recv() {
            bytes.extend_from_slice(&more);
        }
        (&connection.stream).write_all(&bytes).await?;
    }
    Ok(())
}

/// Parses the message at the start of `bytes`. A message is an array of words. Returns the words and the
/// encoded length of the array in bytes. Returns `None` if the array is incomplete.
fn read_array(bytes: &[u8]) -> Option<(Vec<Vec<u8>>, usize)> {
    let number = |at: usize| {
        let end = at + bytes.get(at..)?.windows(2).position(|two| two == b"\r\n")?;
        Some((std::str::from_utf8(&bytes[at + 1..end]).ok()?.parse::<usize>().ok()?, end + 2))
    };
    let (count, mut at) = number(0)?;
    let mut words = Vec::new();
    for _ in 0..count {
        let (length, start) = number(at)?;
        words.push(bytes.get(start..start + length)?.to_vec());
        bytes.get(start + length..start + length + 2)?;
        at = start + length + 2;
    }
    Some((words, at))
}

fn write_array(out: &mut Vec<u8>, words: &[&[u8]]) {
    out.extend_from_slice(format!("*{}\r\n", words.len()).as_bytes());
    for word in words {
        out.extend_from_slice(format!("${}\r\n", word.len()).as_bytes());
        out.extend_from_slice(word);
        out.extend_from_slice(b"\r\n");
    }
}
