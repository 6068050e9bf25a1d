//! One server's part of the state that the fleet shares. Received messages are passed to the budgets, the
//! counters and outlier detection. Counters and health reports are sent to random members by gossip.

use crate::NAME_MAX;
use crate::budget::{Budget, Outgoing};
use crate::clock::{DriftClock, Nanos, Reading, Time};
use crate::counters::{CounterRow, FleetCounters, RejectedRow};
use crate::message::{Message, Payload, ReceiveError};
use crate::outlier_detection::OutlierDetector;
use crate::packing::{pack, split_row};
use crate::server_id::ServerId;
use crate::settings::{Settings, SettingsError};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::{Rng, SeedableRng};
use serde::Serialize;

/// Maximum number of row versions in one digest. This many versions fit in a message body of 1,400 bytes.
/// Each version has a server name of up to 64 bytes and 20 bytes of numbers. The maximum does not depend on
/// [`Settings::body_max`]. If that setting is less than 1,400 bytes, a digest of servers with long names may
/// exceed the setting, and the transport drops the message.
const DIGEST_ROWS_MAX: usize = 16;
/// Maximum number of messages with counter rows that a server sends in reply to one digest. Each message is
/// one datagram.
const ROW_DATAGRAMS_MAX: usize = 32;
/// Number of random members to which a server sends its health reports in each round of gossip.
const REPORT_FANOUT: usize = 3;
/// Maximum number of received [`Payload::Other`] messages in the queue that [`SharedState::take_received`]
/// empties. If the queue is full, further messages are dropped.
const RECEIVED_OTHERS_MAX: usize = 1024;
/// Bytes reserved in a message for all fields except the names and the list of items (such as counter rows).
const HEADER_BYTES: usize = 64;
/// Number of names, such as the sender's name, for which each message reserves bytes. Names in the list of
/// items are not counted.
const HEADER_NAMES: usize = 4;

/// Counters of messages. All counts begin at 0 when the server starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MessageCounters {
    /// Messages sent.
    pub sent: u64,
    /// Total size of the bodies of all sent messages, in bytes.
    pub sent_bytes: u64,
    /// Messages received.
    pub received: u64,
    /// Number of received messages that were dropped, for any reason in [`ReceiveError`]. Besides undecodable
    /// messages, the count includes messages about a budget that this server does not have, and
    /// [`Payload::Other`] messages received while their queue is full.
    pub malformed: u64,
}

/// A received [`Payload::Other`] message, which is for another part of the program.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReceivedOther {
    /// Server that sent the message.
    pub from: ServerId,
    /// Topic number, which identifies the part of the program that handles the message.
    pub topic: u16,
    /// Content of the message, as encoded by the part of the program that handles the topic.
    pub body: Vec<u8>,
}

/// One server's part of the state that the fleet shares, as a state machine without I/O. The inputs are clock
/// readings, the names of the members that are alive, and received messages. The outputs are messages to
/// send.
pub struct SharedState {
    /// Identity of this server in messages, budgets and reports. The identity never changes, but the counter
    /// rows may use a later incarnation of this server; see [`FleetCounters::renew`].
    id: ServerId,
    settings: Settings,
    clock: DriftClock,
    time: Time,
    /// Wall clock time at the latest clock reading, in nanoseconds since the Unix epoch.
    wall: Nanos,
    /// This server's parts of the budgets, in the order of the settings.
    pub budgets: Vec<Budget>,
    /// Counters of the whole fleet.
    pub counters: FleetCounters,
    /// Outlier detection for the tier of downstream services. `None` if outlier detection is disabled.
    pub outlier_detector: Option<OutlierDetector>,
    /// Time at which the next round of gossip is due, by this server's fast clock ([`Time::fast`]).
    next_gossip_at: Nanos,
    rng: ChaCha8Rng,
    outgoing: Vec<(String, Vec<u8>)>,
    received_others: Vec<ReceivedOther>,
    /// Counters of sent and received messages.
    pub messages: MessageCounters,
}

impl SharedState {
    /// Creates the shared state of the server `id`. `seed` determines all random choices.
    ///
    /// # Errors
    ///
    /// Returns an error for the first invalid setting.
    pub fn new(
        id: ServerId,
        settings: Settings,
        seed: u64,
        reading: Reading,
    ) -> Result<SharedState, SettingsError> {
        settings.check()?;
        let mut clock = DriftClock::default();
        let time = clock.read(reading);
        let mut budgets = Vec::with_capacity(settings.budgets.len());
        for budget in &settings.budgets {
            let name = || budget.name.clone();
            let budget = Budget::new(id.clone(), budget.clone(), time);
            budgets.push(budget.map_err(|fault| SettingsError::Budget { name: name(), fault })?);
        }
        let detection = settings.outlier_detection.clone();
        Ok(SharedState {
            budgets,
            counters: FleetCounters::new(id.clone(), settings.counters),
            outlier_detector: detection
                .map(|settings| OutlierDetector::new(id.clone(), settings))
                .transpose()?,
            next_gossip_at: time.fast,
            rng: ChaCha8Rng::seed_from_u64(seed),
            outgoing: Vec::new(),
            received_others: Vec::new(),
            messages: MessageCounters::default(),
            wall: reading.wall,
            id,
            settings,
            clock,
            time,
        })
    }

    /// Returns the identity of this server.
    pub fn id(&self) -> &ServerId {
        &self.id
    }

    /// Records a reading of the monotonic clock and the wall clock. Returns the bounds of the elapsed time at
    /// this reading.
    pub fn read_clocks(&mut self, reading: Reading) -> Time {
        self.time = self.clock.read(reading);
        self.wall = reading.wall;
        self.time
    }

    /// Returns the bounds of the elapsed time at the latest clock reading.
    pub fn time(&self) -> Time {
        self.time
    }

    /// Returns the number of clock readings at which the monotonic clock and the wall clock disagreed.
    pub fn clock_disagreements(&self) -> u64 {
        self.clock.disagreements
    }

    /// Performs the actions that are due, such as lease requests and gossip. `alive` contains the names of
    /// the other members that the membership considers alive.
    pub fn advance(&mut self, reading: Reading, alive: &[String]) {
        let time = self.read_clocks(reading);
        for index in 0..self.budgets.len() {
            let draw = self.rng.next_u64();
            let outgoing = self.budgets[index].advance(time, draw);
            self.send_budget_messages(index, outgoing);
        }
        if time.fast >= self.next_gossip_at {
            let jitter = self.settings.gossip_interval / 4;
            self.next_gossip_at =
                time.fast + self.settings.gossip_interval - jitter / 2 + self.random_below(jitter);
            self.gossip(alive);
        }
    }

    /// Returns the longest time that the caller may wait before it calls [`SharedState::advance`] again, in
    /// nanoseconds.
    pub fn due_in(&self) -> Nanos {
        let requests = self.budgets.iter().map(|budget| budget.settings().refresh_interval / 2).min();
        requests.unwrap_or(Nanos::MAX).min(self.settings.gossip_interval / 2).max(1)
    }

    /// Returns a random number less than `bound`, or 0 if `bound` is 0.
    fn random_below(&mut self, bound: u64) -> u64 {
        if bound == 0 { 0 } else { self.rng.next_u64() % bound }
    }

    fn random_member(&mut self, alive: &[String]) -> String {
        alive[self.random_below(alive.len() as u64) as usize].clone()
    }

    /// Performs one round of gossip. A digest of counter rows is sent to one random member, and the health
    /// reports are sent to up to [`REPORT_FANOUT`] random members.
    fn gossip(&mut self, alive: &[String]) {
        if alive.is_empty() {
            return;
        }
        let member = self.random_member(alive);
        self.send_digest(&member);
        let Some(detector) = &self.outlier_detector else { return };
        let reports = detector.reports(self.time);
        for _ in 0..REPORT_FANOUT.min(alive.len()) {
            let member = self.random_member(alive);
            for part in pack(&reports, self.list_size_max()) {
                self.send(&member, Payload::Reports(part));
            }
        }
    }

    /// Returns the maximum size of a list of items (such as counter rows) in one message, in bytes. The rest
    /// of the message body is reserved for names and numbers.
    fn list_size_max(&self) -> usize {
        self.settings.body_max - HEADER_NAMES * NAME_MAX - HEADER_BYTES
    }

    /// Sends a digest of a part of the counter rows to the member `to`. The part is chosen at random and has
    /// a bounded size, so that the cost of a round of gossip does not grow with the fleet.
    fn send_digest(&mut self, to: &str) {
        let parts = self.counters.rows().div_ceil(DIGEST_ROWS_MAX) as u64;
        let first_row = self.random_below(parts) as usize * DIGEST_ROWS_MAX;
        let digest = self.counters.digest(first_row, DIGEST_ROWS_MAX);
        let start = digest.versions.first().filter(|_| first_row > 0).map(|(server, _)| server.clone());
        let payload =
            Payload::Digest { start, end: digest.end, versions: digest.versions, wants_reply: true };
        self.send(to, payload);
    }

    fn send_budget_messages(&mut self, budget: usize, outgoing: Vec<Outgoing>) {
        for Outgoing { to, message } in outgoing {
            let name = self.budgets[budget].settings().name.clone();
            self.send(&to, Payload::Budget { name, message });
        }
    }

    fn send(&mut self, to: &str, payload: Payload) {
        let body = Message { from: self.id.clone(), payload }.encode();
        self.messages.sent += 1;
        self.messages.sent_bytes += body.len() as u64;
        self.outgoing.push((to.to_string(), body));
    }

    /// Queues a [`Payload::Other`] message to the member `to` for sending.
    pub fn send_other(&mut self, to: &str, topic: u16, body: Vec<u8>) {
        self.send(to, Payload::Other { topic, body });
    }

    /// Returns the [`Payload::Other`] messages that were received since the previous call of this method.
    pub fn take_received(&mut self) -> Vec<ReceivedOther> {
        std::mem::take(&mut self.received_others)
    }

    /// Returns the messages that were queued for sending since the previous call of this method. Each message
    /// is a pair of the receiving member's name and the message body.
    pub fn take_outgoing(&mut self) -> Vec<(String, Vec<u8>)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Handles the body of a message that an authenticated peer has sent.
    ///
    /// # Errors
    ///
    /// Returns the reason if the message is dropped. The message is then also counted in
    /// [`MessageCounters::malformed`].
    pub fn receive(&mut self, reading: Reading, body: &[u8]) -> Result<(), ReceiveError> {
        let time = self.read_clocks(reading);
        self.messages.received += 1;
        let result = Message::decode(body).and_then(|message| self.handle(time, message));
        self.messages.malformed += u64::from(result.is_err());
        result
    }

    fn handle(&mut self, time: Time, message: Message) -> Result<(), ReceiveError> {
        let Message { from, payload } = message;
        match payload {
            Payload::Budget { name, message } => {
                let index = self.budgets.iter().position(|budget| budget.settings().name == name);
                let Some(index) = index else { return Err(ReceiveError::UnknownBudget { name }) };
                let outgoing = self.budgets[index].receive(time, &from, message);
                self.send_budget_messages(index, outgoing);
            }
            Payload::Digest { start, end, versions, wants_reply } => {
                self.handle_digest(&from, start, end, &versions, wants_reply);
            }
            Payload::Rows(rows) => self.merge_rows(&rows),
            Payload::Reports(reports) => {
                if let Some(detector) = &mut self.outlier_detector {
                    detector.merge_reports(time, &reports);
                }
            }
            Payload::Other { topic, body } => {
                let waiting = self.received_others.len();
                if waiting >= RECEIVED_OTHERS_MAX {
                    return Err(ReceiveError::TooManyWaiting { topic, waiting });
                }
                self.received_others.push(ReceivedOther { from, topic, body });
            }
        }
        Ok(())
    }

    /// Replies to a received digest with the counter rows of which this server has a newer version than the
    /// sender. At most [`ROW_DATAGRAMS_MAX`] messages with rows are sent. If the sender requests a digest in
    /// return, this server also sends its own digest of the same range, limited to [`DIGEST_ROWS_MAX`] rows.
    fn handle_digest(
        &mut self,
        from: &ServerId,
        start: Option<ServerId>,
        end: Option<ServerId>,
        sender_versions: &[(ServerId, u64)],
        wants_reply: bool,
    ) {
        let comparison = self.counters.compare(&start, &end, sender_versions);
        let size_max = self.list_size_max();
        let mut rows = Vec::new();
        for (server, row) in &comparison.newer {
            rows.extend(split_row(server, row, size_max / 2));
        }
        for part in pack(&rows, size_max).into_iter().take(ROW_DATAGRAMS_MAX) {
            self.send(&from.name, Payload::Rows(part));
        }
        if wants_reply {
            let mut versions = comparison.versions;
            let first_beyond = versions.get(DIGEST_ROWS_MAX).map(|(server, _)| server.clone());
            versions.truncate(DIGEST_ROWS_MAX);
            let end = first_beyond.or(end);
            self.send(&from.name, Payload::Digest { start, end, versions, wants_reply: false });
        }
    }

    /// Merges received counter rows into the stored rows. If a received row of this server itself is ahead of
    /// the local counts, this server begins a new row under a later incarnation. Without the new row, the
    /// larger counts of the old row would hide the server's new counts.
    fn merge_rows(&mut self, rows: &[(ServerId, CounterRow)]) {
        for (server, row) in rows {
            if self.counters.merge(server, row, self.wall) == Err(RejectedRow::Own) {
                self.counters.renew(self.wall.max(self.id.incarnation) + 1);
            }
        }
    }
}
