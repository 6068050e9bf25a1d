//! Load generator that sends calls to one server at a constant rate for a limited time. The load is
//! open-loop: the send times do not depend on the replies.

use crate::balancers::Balancer;
use crate::unix_ms;
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::Cell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CONNECTIONS_MAX: usize = 16;
/// Maximum time to wait for outstanding replies after the end of the load.
const LAST_REPLIES: Duration = Duration::from_secs(10);

/// Counts of the calls of a load, by the outcome of the reply.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplyCounts {
    /// Number of calls that the load generator started and that have ended, with or without a reply.
    pub sent: u64,
    /// Number of calls that succeeded.
    pub succeeded: u64,
    /// Number of calls that were rejected.
    pub throttled: u64,
    /// Number of calls that failed.
    pub errored: u64,
    /// Number of calls without a reply. Either the connection broke, or no connection was available.
    pub unanswered: u64,
    /// Number of the `unanswered` calls that were not sent because no connection was available.
    pub unsent: u64,
    /// Number of the `unanswered` calls whose connection broke.
    pub broken: u64,
    /// Number of the `broken` calls that were sent shortly before the end of their connection. These calls
    /// may have been in transit when the server closed the connection.
    pub crossed: u64,
    /// Number of replies for which no caller was waiting, such as a second reply to one call.
    pub unexpected: u64,
    /// Longest time from the sending of a call to its reply, in milliseconds.
    pub slowest_ms: u64,
    /// Unix time in milliseconds at which the last successful call was sent.
    pub last_success_sent_ms: u64,
}

impl ReplyCounts {
    /// Counts a call that has ended. `outcome` is the outcome word in the reply, or `None` if there was no
    /// reply.
    fn add(&mut self, outcome: Option<&str>) {
        self.sent += 1;
        match outcome {
            Some("good") => self.succeeded += 1,
            Some("refused") => self.throttled += 1,
            Some(_) => self.errored += 1,
            None => self.unanswered += 1,
        }
    }
}

/// Settings of a load.
#[derive(Clone, Debug)]
pub struct LoadSettings {
    /// Number of calls per second.
    pub rate: f64,
    /// Range of the core time that a call uses at the interpreter. The calls use times evenly spread over the
    /// range.
    pub work: RangeInclusive<Duration>,
    /// Whether a call makes a downstream call after half of its work.
    pub makes_calls: bool,
    /// Operations that are called in turn.
    pub operations: Vec<&'static str>,
    /// Name of the field that carries a new idempotency key with each call; `None` without keys.
    pub key_field: Option<&'static str>,
    /// Whether the clients go on using connections that the server drains, until the server closes them.
    pub keeps_draining_connections: bool,
    /// Time for which calls are sent.
    pub span: Duration,
    /// Number from which the references of the calls are derived.
    pub seed: u64,
}

/// Number of different core times that the calls of a load use.
const WORK_STEPS: u64 = 16;

impl LoadSettings {
    /// Returns the core time of the call with this reference.
    fn work(&self, reference: u64) -> Duration {
        let (least, most) = (*self.work.start(), *self.work.end());
        // Neighbouring references get times that are far apart.
        let step = (reference * 7) % WORK_STEPS;
        least + (most - least).mul_f64(step as f64 / (WORK_STEPS - 1) as f64)
    }

    fn body(&self, reference: u64) -> String {
        let calls = if self.makes_calls { " calls" } else { "" };
        format!("work={}{calls}", self.work(reference).as_micros())
    }

    fn operation(&self, reference: u64) -> &'static str {
        self.operations[reference as usize % self.operations.len()]
    }
}

/// State that is shared by all calls of a load.
struct Load {
    balancer: Rc<Balancer>,
    settings: LoadSettings,
    replies: Cell<ReplyCounts>,
    in_flight: Cell<u64>,
}

impl Load {
    /// Sends one call, waits for its reply and counts the outcome.
    async fn call(self: Rc<Self>, reference: u64) {
        let sent_ms = unix_ms() as u64;
        let key = self.settings.key_field.map(|field| format!(",{field}={reference:x}")).unwrap_or_default();
        let fields = format!("ref={reference:016x},since={sent_ms},sender=1,room=4{key}");
        let body = self.settings.body(reference);
        let operation = self.settings.operation(reference);
        let reply = self.balancer.call(operation, &fields, body.as_bytes()).await;
        let mut replies = self.replies.get();
        replies.add(reply.as_ref().map(|reply| reply.outcome.as_str()));
        if let Some(reply) = reply {
            replies.slowest_ms = replies.slowest_ms.max((unix_ms() as u64).saturating_sub(sent_ms));
            if reply.outcome == "good" {
                replies.last_success_sent_ms = replies.last_success_sent_ms.max(sent_ms);
            }
        }
        self.replies.set(replies);
        self.in_flight.set(self.in_flight.get() - 1);
    }
}

/// Starts a thread that sends `rate` calls per second for the time `span`. Each call uses `work` of core time
/// at the interpreter, and makes a downstream call after half of this time. The thread ends at most 10 s
/// after the end of `span`.
pub fn start(
    to: SocketAddr,
    rate: f64,
    work: Duration,
    span: Duration,
    seed: u64,
) -> JoinHandle<ReplyCounts> {
    let (operations, work) = (vec!["load"], work..=work);
    let settings = LoadSettings {
        rate,
        work,
        makes_calls: true,
        operations,
        key_field: None,
        keeps_draining_connections: false,
        span,
        seed,
    };
    start_with(to, settings)
}

/// Starts a thread that sends calls as `settings` states. The thread ends at most 10 s after the last call
/// was sent.
pub fn start_with(to: SocketAddr, settings: LoadSettings) -> JoinHandle<ReplyCounts> {
    std::thread::spawn(move || {
        let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
        let balancer = Balancer::new(to, CONNECTIONS_MAX, executor);
        balancer.keeps_draining_connections.set(settings.keeps_draining_connections);
        let LoadSettings { rate, span, seed, .. } = settings;
        let load = Rc::new(Load { balancer, settings, replies: Cell::default(), in_flight: Cell::new(0) });
        let (end, gap) = (Instant::now() + span, Duration::from_secs_f64(1.0 / rate));
        async_io::block_on(executor.run(async {
            let (mut next, mut reference) = (Instant::now(), seed << 32);
            while next < end {
                Timer::at(next).await;
                next += gap;
                reference += 1;
                load.in_flight.set(load.in_flight.get() + 1);
                executor.spawn(load.clone().call(reference)).detach();
            }
            while load.in_flight.get() > 0 && Instant::now() < end + LAST_REPLIES {
                Timer::after(Duration::from_millis(20)).await;
            }
        }));
        let Load { balancer, replies, .. } = &*load;
        ReplyCounts {
            unsent: balancer.unsent_calls.get(),
            broken: balancer.broken_calls.get(),
            crossed: balancer.crossed_calls.get(),
            unexpected: balancer.unexpected_replies.get(),
            ..replies.get()
        }
    })
}
