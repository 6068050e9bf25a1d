//! The drain: when a server that was told to leave may end.

use crate::lifecycle::drain_state::Phase;
use crate::server::Server;
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Pause between looks whether the drain is over.
const LOOK_EVERY: Duration = Duration::from_millis(10);

/// Connections are accepted for so many eighths of the time to the stop. Callers that have not heard of the
/// leave come until the end, where an answer costs them less than a refused connection; but what they send
/// right before the stop could not be answered any more.
const ACCEPTING_EIGHTHS: u32 = 7;

/// Takes the drain through its phases. The grace ends half way to the stop at the latest.
pub async fn run(server: Rc<Server>) {
    let stop = Duration::from_millis(server.configuration.stop_ms);
    let grace = Duration::from_nanos(server.configuration.settings.deployment.drain_grace);
    let accepting = stop * ACCEPTING_EIGHTHS / 8;
    let noticed_at = server.clock.instant(server.drain.noticed_at().unwrap_or_else(|| server.clock.now()));
    Timer::at(noticed_at + grace.min(stop / 2)).await;
    server.drain.enter(Phase::Rejecting);
    server.connections.drain_all();
    Timer::at(noticed_at + accepting).await;
    server.drain.enter(Phase::Closing);
    // Those that came since and rest.
    server.connections.drain_all();
}

/// Whether no connection is left that could bring a call. Each is asked for no new call at the end of the
/// grace or with its next answer, and its peer closes it when everything on it is answered.
pub fn is_over(server: &Server) -> bool {
    let is_empty = server.connections.count() == 0 && server.events.is_empty();
    (server.drain.is_grace_over() && is_empty) || server.drain.has_stopped(server.clock.now())
}

/// Returns when it is time to look whether the drain is over: at once when the server starts to leave, and
/// regularly from then on.
pub async fn next_look(server: &Server) {
    if server.leave_signal.recv().await.is_err() {
        Timer::after(LOOK_EVERY).await;
    }
}

/// Waits for what came last, when the listener is closed already.
pub async fn finish(server: &Server) {
    while !is_over(server) {
        next_look(server).await;
    }
}
