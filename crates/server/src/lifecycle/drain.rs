//! The drain of a server that has been notified to leave: its phases, and the condition for its end.

use crate::lifecycle::drain_state::Phase;
use crate::server::Server;
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Interval between checks for the end of the drain.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of eighths of the time from the notice to the stop in which connections are accepted. Callers that
/// are not yet aware of the drain still connect, and an answer costs them less than a refused connection. In
/// the last eighth no connections are accepted, since invocations that arrive just before the stop could not
/// be answered in time.
const ACCEPTING_EIGHTHS: u32 = 7;

/// Enters the phases of the drain one after the other. The grace ends halfway between notice and stop at the
/// latest.
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
    // Drains the idle connections accepted since the end of the grace.
    server.connections.drain_all();
}

/// Returns whether the server may exit: either the grace is over and no connection or event is left, or the
/// time set with `DrainState::end_by` has passed. At the end of the grace, or with the next answer to a peer,
/// the server asks the peer to send no further invocations. The peer then closes the connection once every
/// invocation sent over it is answered.
pub fn is_over(server: &Server) -> bool {
    let is_empty = server.connections.count() == 0 && server.events.is_empty();
    (server.drain.is_grace_over() && is_empty) || server.drain.has_stopped(server.clock.now())
}

/// Waits until [`is_over`] must be checked next. While the server is not leaving, waits until it starts to
/// leave; afterwards, waits for one poll interval.
pub async fn wait_for_next_check(server: &Server) {
    if server.leave_signal.recv().await.is_err() {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Waits for the end of the drain after the listener is closed.
pub async fn finish(server: &Server) {
    while !is_over(server) {
        wait_for_next_check(server).await;
    }
}
