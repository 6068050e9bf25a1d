//! The task of a connection from a balancer. The task moves bytes between the socket and the connection's
//! protocol state.

use crate::connection::request::RequestDecoder;
use crate::connection::state::{ConnectionSettings, ConnectionState, Expiry, OutgoingFull, ReceivedEvent};
use crate::connection::table::{Connection, Notification};
use crate::event::Event;
use crate::resources::buffers::BufferReservation;
use crate::resources::descriptors::Descriptor;
use crate::server::Server;
use crate::wire::rpc::Answer;
use async_channel::Receiver;
use async_io::{Async, Timer};
use futures_lite::future;
use std::io::{ErrorKind, Read, Result, Write};
use std::net::{IpAddr, Ipv4Addr, Shutdown, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::debug;

/// Delay before a connection's task checks again whether other connections have released buffer memory.
const BUFFERS_RETRY_AFTER: Duration = Duration::from_millis(10);
/// Divisor of the time from the notice to leave until the process stops. The result is the linger time: how
/// long the server waits for the peer to close a connection.
///
/// One connection may wait for the linger time twice: first while the connection is idle, and again while the
/// connection is closing. Both waits must end before the process stops.
const LINGER_DIVISOR: u64 = 8;
/// Maximum number of bytes that one read from the socket returns.
const READ_MAX_BYTES: usize = 8 * 1024;
/// Interval between two checks of whether a peer has left that has closed its sending side.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(5);

struct ConnectionTask {
    server: Rc<Server>,
    stream: Async<TcpStream>,
    connection: Rc<Connection>,
    /// IP address of the peer.
    peer: IpAddr,
    notifications: Receiver<Notification>,
    state: ConnectionState,
    /// True if the connection is closed once nothing is open on it, because the process is about to stop.
    closes: bool,
}

/// Registers a connection in the table and starts its task. The connection is registered before the task
/// first runs. Otherwise a drain that starts before the first run of the task would miss the connection.
pub fn spawn(server: &Rc<Server>, stream: Async<TcpStream>, descriptor: Descriptor) {
    server.counters.connections_opened.add();
    let (connection, notifications) = server.connections.open(server.clock.now());
    let task = serve(server.clone(), stream, descriptor, connection, notifications);
    server.executor.spawn(task).detach();
}

async fn serve(
    server: Rc<Server>,
    stream: Async<TcpStream>,
    descriptor: Descriptor,
    connection: Rc<Connection>,
    notifications: Receiver<Notification>,
) {
    let _ = stream.get_ref().set_nodelay(true);
    let id = connection.id;
    let peer = stream.get_ref().peer_addr().map_or(IpAddr::V4(Ipv4Addr::UNSPECIFIED), |peer| peer.ip());
    let buffers = BufferReservation::new(server.buffers.clone());
    let state = ConnectionState::new(settings(&server), connection.clone(), buffers, server.clock.now());
    let mut task = ConnectionTask {
        server: server.clone(),
        stream,
        connection,
        peer,
        notifications,
        state,
        closes: false,
    };
    match task.run().await {
        Ok(()) => task.linger().await,
        Err(error) => {
            debug!(id, %error, "connection broke");
            let _ = server.events.send(Event::ConnectionLost { connection: id }).await;
        }
    }
    server.connections.close(id);
    drop((task, descriptor));
    server.counters.connections_closed.add();
}

fn settings(server: &Server) -> ConnectionSettings {
    let configuration = &server.configuration;
    ConnectionSettings {
        longest_client_timeout: configuration.longest_client_timeout(),
        shortest_client_timeout: configuration.shortest_client_timeout(),
        linger: configuration.stop_ms * 1_000_000 / LINGER_DIVISOR,
        cancellation: configuration.settings.notifies_cancellation,
    }
}

impl From<OutgoingFull> for std::io::Error {
    fn from(error: OutgoingFull) -> Self {
        Self::new(ErrorKind::OutOfMemory, error)
    }
}

/// Reason why the connection's task resumes after waiting.
enum Wake {
    Readable,
    Notified(Notification),
    /// The time returned by [`ConnectionState::poll_timeout`] was reached.
    Timeout,
    /// Something else happened that may affect the connection, for example the socket became writable. The
    /// task checks the connection's state again.
    Other,
}

impl ConnectionTask {
    /// Serves a balancer's connection until the connection can be closed without losing calls or answers.
    /// Returns an error if the connection broke.
    async fn run(&mut self) -> Result<()> {
        loop {
            while let Ok(notification) = self.notifications.try_recv() {
                self.handle_notification(notification)?;
            }
            if self.state.peer_closed() {
                self.check_peer_present()?;
            }
            self.dispatch_events().await?;
            self.write()?;
            if self.closes && !self.state.has_open_calls() && self.read_last_calls()? {
                continue;
            }
            if self.state.is_finished() {
                return Ok(());
            }
            self.state.update_reservation();
            match self.wait().await? {
                Wake::Other => {}
                Wake::Readable => drop(self.read()?),
                Wake::Notified(notification) => self.handle_notification(notification)?,
                Wake::Timeout => {
                    if self.has_expired().await? {
                        return Ok(());
                    }
                }
            }
        }
    }

    /// Waits until the connection's task has work to do, and returns the reason why the wait ended.
    async fn wait(&self) -> Result<Wake> {
        let readable = async {
            if !self.state.wants_read() {
                future::pending::<()>().await;
            }
            self.stream.readable().await.map(|()| Wake::Readable)
        };
        let writable = async {
            if self.state.poll_transmit().is_empty() {
                future::pending::<()>().await;
            }
            self.stream.writable().await.map(|()| Wake::Other)
        };
        let notified = async { Ok(self.notifications.recv().await.map_or(Wake::Other, Wake::Notified)) };
        let timeout = async {
            let Some(end) = self.state.poll_timeout() else { future::pending().await };
            Timer::at(self.server.clock.instant(end)).await;
            Ok(Wake::Timeout)
        };
        let buffers = async {
            if !self.state.waits_for_buffers() {
                future::pending::<()>().await;
            }
            Timer::after(BUFFERS_RETRY_AFTER).await;
            Ok(Wake::Other)
        };
        let peer_check = async {
            if !self.state.peer_closed() || !self.state.has_open_calls() {
                future::pending::<()>().await;
            }
            Timer::after(PEER_CHECK_INTERVAL).await;
            Ok(Wake::Other)
        };
        let timeout = future::or(peer_check, timeout);
        let passive = future::or(readable, future::or(buffers, timeout));
        future::or(notified, future::or(writable, passive)).await
    }

    /// Handles the bytes that have already arrived, and then returns whether the connection has timed out.
    /// Returns an error if the peer does not read the bytes that the server sends.
    async fn has_expired(&mut self) -> Result<bool> {
        if !self.state.poll_transmit().is_empty() {
            return Err(ErrorKind::TimedOut.into());
        }
        self.read()?;
        self.dispatch_events().await?;
        Ok(self.state.handle_timeout(self.server.clock.now()) != Expiry::NotYet)
    }

    fn handle_notification(&mut self, notification: Notification) -> Result<()> {
        match notification {
            Notification::Answer { tag, answer } => {
                if !self.state.close_call(tag) {
                    return Ok(());
                }
                if self.server.drain.is_grace_over() {
                    self.connection.drain();
                }
                self.answer(tag, &answer)
            }
            // Read the commands that have already arrived. If there is a complete command, the connection
            // stays open.
            Notification::CloseIfIdle => self.read().map(drop),
            Notification::Close => {
                self.closes = true;
                Ok(())
            }
            Notification::Drain => {
                self.server.counters.enough_sent.add();
                Ok(self.state.queue_drain(self.server.clock.now())?)
            }
        }
    }

    fn answer(&mut self, tag: u64, answer: &Answer) -> Result<()> {
        let advertised_load = self.server.health.advertised_load.get();
        Ok(self.state.queue_answer(self.server.clock.now(), tag, answer, advertised_load)?)
    }

    /// Parses the received bytes and dispatches each resulting event.
    async fn dispatch_events(&mut self) -> Result<()> {
        loop {
            let decoder = RequestDecoder {
                configuration: &self.server.configuration,
                clock: &self.server.clock,
                connection: &self.connection,
                peer: self.peer,
            };
            let now = self.server.clock.now();
            let Some(event) = self.state.poll_event(now, |call| decoder.decode(call)) else { return Ok(()) };
            self.dispatch(event).await?;
        }
    }

    async fn dispatch(&mut self, event: ReceivedEvent) -> Result<()> {
        let (counters, id) = (&self.server.counters, self.connection.id);
        match event {
            ReceivedEvent::Request(request) => {
                counters.invocations.add();
                let _ = self.server.events.send(Event::Arrived(request)).await;
            }
            ReceivedEvent::HealthCheck { tag } => {
                counters.health_checks.add();
                self.answer(tag, &Answer::Health(self.server.health.healthy.get()))?;
            }
            ReceivedEvent::Cancelled { tag, was_open } => {
                counters.cancels.add();
                if was_open {
                    let _ = self.server.events.send(Event::Cancelled { connection: id, tag }).await;
                }
            }
            ReceivedEvent::Invalid { answer_to, error } => {
                counters.bad_commands.add();
                debug!(id, %error, "bad command");
                if let Some(tag) = answer_to {
                    self.answer(tag, &Answer::Failed)?;
                }
            }
            ReceivedEvent::Malformed(error) => {
                counters.malformed.add();
                debug!(id, %error, "malformed");
            }
        }
        Ok(())
    }

    /// Reads what has arrived on a connection that is about to be closed. Once nothing is left, stops
    /// reading, and the connection ends when the last calls are answered. Returns whether calls may have
    /// been received.
    fn read_last_calls(&mut self) -> Result<bool> {
        if !self.state.wants_read() {
            return Ok(false);
        }
        let has_more = self.read()?;
        if !has_more {
            self.state.stop_reading();
        }
        Ok(true)
    }

    /// Reads bytes that have arrived. Returns whether more may have arrived than was read.
    fn read(&mut self) -> Result<bool> {
        let mut chunk = [0; READ_MAX_BYTES];
        let capacity = self.state.receive_capacity().min(READ_MAX_BYTES);
        if capacity == 0 {
            return Ok(true);
        }
        match self.stream.get_ref().read(&mut chunk[..capacity]) {
            Ok(0) => self.handle_end_of_stream(),
            Ok(count) => {
                self.check_peer_present()?;
                self.state.handle_bytes(self.server.clock.now(), &chunk[..count]);
                return Ok(count == capacity);
            }
            Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            Err(error) => return Err(error),
        }
        Ok(false)
    }

    /// Handles the end of the incoming stream. The peer may have closed its sending side only, or it may
    /// have left. If calls are open, the peer is asked to send no more calls: if it has left, its machine
    /// resets the connection in reply.
    fn handle_end_of_stream(&mut self) {
        self.state.handle_end_of_stream();
        if self.state.has_open_calls() {
            self.connection.drain();
        }
    }

    /// Returns an error if the peer has reset the connection. Calls that were received before the reset are
    /// not wanted any more.
    fn check_peer_present(&self) -> Result<()> {
        match self.stream.get_ref().take_error() {
            Ok(Some(error)) => Err(error),
            _ => Ok(()),
        }
    }

    fn write(&mut self) -> Result<()> {
        while !self.state.poll_transmit().is_empty() {
            match self.stream.get_ref().write(self.state.poll_transmit()) {
                Ok(0) => return Err(ErrorKind::WriteZero.into()),
                Ok(count) => self.state.handle_transmitted(self.server.clock.now(), count),
                Err(error) if error.kind() == ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }

    /// Closes the connection gracefully. Does nothing if the peer has already closed it.
    ///
    /// Shuts down the sending side, then reads and discards data until the peer closes the connection or the
    /// linger time is over. If the socket were closed with unread bytes, the connection would be reset and
    /// answers in transit would be lost. Callers retry discarded calls on other servers.
    ///
    /// If the connection is closed to free its file descriptor, the task discards only data that has already
    /// arrived and does not wait for more.
    async fn linger(&mut self) {
        let clock = &self.server.clock;
        let deadline = clock.instant(clock.now() + settings(&self.server).linger);
        if self.state.peer_closed() || self.stream.get_ref().shutdown(Shutdown::Write).is_err() {
            return;
        }
        let mut chunk = [0; READ_MAX_BYTES];
        while clock.instant(clock.now()) < deadline {
            match self.stream.get_ref().read(&mut chunk) {
                Ok(0) => return,
                Ok(_) => future::yield_now().await,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    if self.connection.closes_if_idle.get() || !self.wait_for_discardable_data(deadline).await
                    {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }

    /// Waits until a notification or more data arrives; the caller discards the data. Returns false if the
    /// linger time is over or the connection broke.
    async fn wait_for_discardable_data(&self, deadline: Instant) -> bool {
        let readable = async { self.stream.readable().await.is_ok() };
        let notified = async { self.notifications.recv().await.is_ok() };
        let late = async {
            Timer::at(deadline).await;
            false
        };
        future::or(readable, future::or(notified, late)).await
    }
}
