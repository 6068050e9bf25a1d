//! An open load on one process: calls at a steady rate for a bounded time, whatever becomes of them.

use crate::balancers::Balancer;
use crate::unix_ms;
use async_executor::LocalExecutor;
use async_io::Timer;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Answers by kind.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answers {
    pub sent: u64,
    pub succeeded: u64,
    pub throttled: u64,
    pub errored: u64,
    /// The connection broke, or none could be made.
    pub none: u64,
}

/// Sends `rate` calls a second for `span`, each of `work` and with a call below half way; the thread ends by
/// itself at most ten seconds after.
pub fn flood(to: SocketAddr, rate: f64, work: Duration, span: Duration, seed: u64) -> JoinHandle<Answers> {
    std::thread::spawn(move || {
        let executor: &'static LocalExecutor<'static> = Box::leak(Box::new(LocalExecutor::new()));
        let (answers, open) = (Rc::new(Cell::new(Answers::default())), Rc::new(Cell::new(0u64)));
        let balancer = Balancer::new(to, 16, executor);
        let (end, gap) = (Instant::now() + span, Duration::from_secs_f64(1.0 / rate));
        async_io::block_on(executor.run(async {
            let (mut next, mut number) = (Instant::now(), seed << 32);
            while next < end {
                Timer::at(next).await;
                next += gap;
                number += 1;
                let fields = format!("ref={number:016x},since={},sender=1,room=4", unix_ms());
                let body = format!("work={} calls", work.as_micros());
                let (balancer, answers, open) = (balancer.clone(), answers.clone(), open.clone());
                open.set(open.get() + 1);
                let call = async move {
                    let heard = balancer.call("load", &fields, body.as_bytes()).await;
                    let mut all = answers.get();
                    all.sent += 1;
                    match heard.as_ref().map(|heard| heard.word.as_str()) {
                        Some("good") => all.succeeded += 1,
                        Some("refused") => all.throttled += 1,
                        Some(_) => all.errored += 1,
                        None => all.none += 1,
                    }
                    answers.set(all);
                    open.set(open.get() - 1);
                };
                executor.spawn(call).detach();
            }
            while open.get() > 0 && Instant::now() < end + Duration::from_secs(10) {
                Timer::after(Duration::from_millis(20)).await;
            }
        }));
        answers.get()
    })
}
