//! Sends an invocation of a tenant, which consists of a first attempt and possibly retries.

use super::load::{Load, Tenant};
use crate::balancers::{Balancer, Reply};
use crate::unix_ms;
use async_io::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An invocation of a tenant.
pub struct Invocation {
    pub load: Rc<Load>,
    pub balancer: Rc<Balancer>,
    pub tenant: Tenant,
    /// Name of the tenant, as sent with the invocation.
    pub name: String,
    /// Whether a rejected invocation is retried as the server advises.
    pub follows_advice: bool,
}

impl Invocation {
    /// Sends all attempts of the invocation. Counts the result if the invocation began in the overload phase.
    pub async fn run(self) {
        let load = &self.load;
        let began = Instant::now();
        let counted = began >= load.overload_start;
        load.in_flight.set(load.in_flight.get() + 1);
        let last_reply = self.attempt_until_answered(began, counted).await;
        load.in_flight.set(load.in_flight.get() - 1);
        if counted {
            self.count(last_reply.as_ref(), began.elapsed());
        }
    }

    /// Sends the first attempt and any retries, and returns the last reply. A rejected invocation is retried
    /// after the Retry-After time, with the ticket from the rejection. The invocation is not retried if the
    /// rejection has no ticket, or if `follows_advice` is false. A retry is also not sent if more than twice
    /// the latency objective would have passed since the first attempt.
    async fn attempt_until_answered(&self, began: Instant, counted: bool) -> Option<Reply> {
        let retry_span = 2 * self.load.plan.objective;
        let mut ticket: Option<String> = None;
        loop {
            let reply = self.attempt(ticket.as_deref()).await;
            if ticket.is_some() && counted {
                self.count_advised_retry(reply.as_ref());
            }
            let rejected = reply.as_ref().filter(|reply| reply.outcome == "refused");
            ticket = rejected.filter(|_| self.follows_advice).and_then(|reply| reply.ticket.clone());
            let retry_after_ms = reply.as_ref().and_then(|reply| reply.retry_after_ms).unwrap_or(0);
            let retry_after = Duration::from_millis(retry_after_ms);
            if ticket.is_none() || began.elapsed() + retry_after > retry_span {
                return reply;
            }
            Timer::after(retry_after).await;
        }
    }

    async fn attempt(&self, ticket: Option<&str>) -> Option<Reply> {
        let plan = &self.load.plan;
        let (reference, sender) = (self.load.next_reference(), self.tenant.group + 1);
        let (since, name) = (unix_ms(), &self.name);
        let mut fields = format!("ref={reference:016x},since={since},sender={sender},room=4,venue={name}");
        if let Some(ticket) = ticket {
            fields.push_str(&format!(",ticket={ticket}"));
        }
        let calls = if plan.dependency.is_some() { " calls" } else { "" };
        let work_us = plan.groups[self.tenant.group].work.as_micros();
        let body = format!("work={work_us}{calls} of {name}");
        self.balancer.call("answer", &fields, body.as_bytes()).await
    }

    /// Counts the reply to a retry that followed the server's advice. A retry without a reply is not counted.
    fn count_advised_retry(&self, reply: Option<&Reply>) {
        let Some(reply) = reply else { return };
        let report = &mut self.load.reports.borrow_mut()[self.tenant.group];
        report.advised_retries += 1;
        report.advised_retries_admitted += u64::from(reply.outcome != "refused");
    }

    /// Counts the invocation by the outcome of its last reply. `latency` is the time since its first attempt.
    fn count(&self, reply: Option<&Reply>, latency: Duration) {
        let report = &mut self.load.reports.borrow_mut()[self.tenant.group];
        let by_tenant = &mut report.by_tenant[self.tenant.index];
        report.sent += 1;
        by_tenant.sent += 1;
        match reply.map(|reply| reply.outcome.as_str()) {
            Some("good") => {
                if latency <= self.load.plan.objective {
                    report.in_time += 1;
                    by_tenant.in_time += 1;
                } else {
                    report.late += 1;
                }
                let _ = report.latency_us.record(latency.as_micros() as u64);
            }
            Some("refused") => report.throttled += 1,
            Some(_) => report.errored += 1,
            None => report.unsent += 1,
        }
    }
}
