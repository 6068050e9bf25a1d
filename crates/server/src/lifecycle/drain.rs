//! The drain: when a server that was told to leave may end.

use crate::server::Server;
use async_io::Timer;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Pause between looks whether the drain is over.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Connections are accepted for so many parts of the time to the stop, of so many. Callers that have not heard
/// of the leave come until the end, and what they send right before the stop could not be answered any more; in
/// the rest of the time a connection may linger twice, see `connection::task`.
const ACCEPT_PARTS: u32 = 5;
const ACCEPT_PARTS_OF: u32 = 8;

/// Ends the grace, in which arrivals are still run: callers notice late that a server leaves, and the servers
/// that stay would miss its capacity. It ends half way to the stop at the latest. From then on no call is
/// wanted.
pub async fn end_grace(server: Rc<Server>) {
    let stop = Duration::from_millis(server.configuration.stop_ms);
    let grace = Duration::from_nanos(server.configuration.settings.deployment.drain_grace);
    let accepting = stop * ACCEPT_PARTS / ACCEPT_PARTS_OF;
    let told_at = Instant::now();
    Timer::at(told_at + grace.min(stop / 2)).await;
    server.grace_over.set(true);
    server.connections.drain_all();
    Timer::at(told_at + accepting).await;
    server.accepts_no_more.set(true);
}

/// A server that leaves of its own accord ends at the stop at the latest, as nobody else ends it then.
fn has_stopped(server: &Server) -> bool {
    server.stop_at.get().is_some_and(|at| server.clock.now() >= at)
}

/// Whether no connection is left that could bring a call. Each is asked for no new call at the end of the
/// grace or with its next answer, and its peer closes it when everything on it is answered.
pub fn is_over(server: &Server) -> bool {
    let drained = server.grace_over.get() && server.connections.count() == 0 && server.events.is_empty();
    drained || has_stopped(server)
}

/// Returns when it is time to look whether the drain is over: at once when the server starts to leave, and
/// regularly from then on.
pub async fn next_look(server: &Server) {
    if server.left.recv().await.is_err() {
        Timer::after(LOOK_EVERY).await;
    }
}

/// Waits for what came last, when the listener is closed already.
pub async fn finish(server: &Server) {
    while !is_over(server) {
        next_look(server).await;
    }
}
