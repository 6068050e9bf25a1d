//! An open-loop load on one process: calls at a steady rate for a bounded time, whatever becomes of them.

use crate::balancers::Balancer;
use crate::unix_ms;
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

const CONNECTIONS_MAX: usize = 16;
/// How long replies are awaited after the last call was sent.
const LAST_REPLIES: Duration = Duration::from_secs(10);

/// Replies by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplyCounts {
    /// Calls that have ended, however they did.
    pub sent: u64,
    /// Succeeded.
    pub succeeded: u64,
    /// Rejected.
    pub throttled: u64,
    /// Failed.
    pub errored: u64,
    /// No reply: the connection broke, or none could be made.
    pub unanswered: u64,
    /// Of those without a reply, calls that were not sent.
    pub unsent: u64,
    /// Of those without a reply, calls whose connection broke.
    pub broken: u64,
    /// Of those whose connection broke, calls that crossed its close.
    pub crossed: u64,
    /// Replies that no call awaited, such as a second one to the same call.
    pub unexpected: u64,
    /// Longest time until a reply, in milliseconds.
    pub slowest_ms: u64,
    /// When the last call was sent that succeeded, in Unix milliseconds.
    pub last_success_sent_ms: u64,
}

impl ReplyCounts {
    /// Counts a call that ended with the outcome's word on the wire, or without a reply.
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

/// What the calls of one load share.
struct Load {
    balancer: Rc<Balancer>,
    work: Duration,
    replies: Cell<ReplyCounts>,
    in_flight: Cell<u64>,
}

impl Load {
    /// Sends one call and counts its reply.
    async fn call(self: Rc<Self>, reference: u64) {
        let sent_ms = unix_ms() as u64;
        let fields = format!("ref={reference:016x},since={sent_ms},sender=1,room=4");
        let body = format!("work={} calls", self.work.as_micros());
        let reply = self.balancer.call("load", &fields, body.as_bytes()).await;
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

/// Sends `rate` calls a second for `span`, each of `work` and with a downstream call half way; the thread
/// ends by itself at most ten seconds after.
pub fn start(
    to: SocketAddr,
    rate: f64,
    work: Duration,
    span: Duration,
    seed: u64,
) -> JoinHandle<ReplyCounts> {
    std::thread::spawn(move || {
        let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
        let balancer = Balancer::new(to, CONNECTIONS_MAX, executor);
        let load = Rc::new(Load { balancer, work, replies: Cell::default(), in_flight: Cell::new(0) });
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
