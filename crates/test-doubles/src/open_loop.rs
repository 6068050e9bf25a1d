//! An open-loop load on one server: calls at a constant rate for a limited time, independent of the replies.

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
/// Time for which replies are awaited after the end of the load.
const LAST_REPLIES: Duration = Duration::from_secs(10);

/// Counts of calls by their reply.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReplyCounts {
    /// Calls that have ended, with or without a reply.
    pub sent: u64,
    /// Calls that succeeded.
    pub succeeded: u64,
    /// Calls that were rejected.
    pub throttled: u64,
    /// Calls that failed.
    pub errored: u64,
    /// Calls without a reply, because their connection broke or no connection was available.
    pub unanswered: u64,
    /// Part of `unanswered`: calls that were not sent, because no connection was available.
    pub unsent: u64,
    /// Part of `unanswered`: calls whose connection broke.
    pub broken: u64,
    /// Part of `broken`: calls sent so shortly before the end of their connection that they may have been in
    /// transit when the server closed the connection.
    pub crossed: u64,
    /// Replies without a waiting caller, such as a second reply to the same call.
    pub unexpected: u64,
    /// Longest time from a call to its reply, in milliseconds.
    pub slowest_ms: u64,
    /// Latest send time of a successful call, in Unix milliseconds.
    pub last_success_sent_ms: u64,
}

impl ReplyCounts {
    /// Counts a call that has ended; `outcome` is the word on the wire, `None` without a reply.
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

/// State that all calls of a load share.
struct Load {
    balancer: Rc<Balancer>,
    work: Duration,
    replies: Cell<ReplyCounts>,
    in_flight: Cell<u64>,
}

impl Load {
    /// Sends a call and counts its reply.
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

/// Starts a thread that sends `rate` calls per second for `span`. Each call takes `work` of core time and
/// makes a downstream call after half of `work`. The thread ends at most 10 s after `span`.
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
