//! The drain of a server that was notified to leave: the phases of the drain, and the condition under which
//! the drain is over.

use crate::lifecycle::drain_state::Phase;
use crate::server::Server;
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// Interval between two checks of whether the drain is over.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time after which connections are told to close that were in the kernel's queue when the listener was
/// closed. Their first calls may still be under way.
const LAST_ACCEPTED_CLOSE_AFTER: Duration = Duration::from_millis(50);

/// Part of the drain in which the server accepts connections, in eighths of the time from the notice to leave
/// until the process stops.
///
/// Some callers learn of the drain late and still connect. Any answer costs a caller less than a refused
/// connection. In the last eighth, connections are refused, because a call that arrives just before the stop
/// could not be answered in time.
const ACCEPTING_EIGHTHS: u32 = 7;

/// Enters the phases of the drain in order, each at its time. The grace phase ends at the latest halfway
/// between the notice to leave and the stop.
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
    // Connections may have been accepted after the end of the grace phase. Their peers are asked to send no
    // more calls. Connections whose peers go on sending are closed, because a call that arrives at the stop
    // could not be answered.
    server.connections.drain_all();
    server.connections.close_all();
    Timer::after(LAST_ACCEPTED_CLOSE_AFTER).await;
    server.connections.close_all();
}

/// Returns whether the server may exit. There are two cases:
/// - The grace phase is over, no connection is open, and no event is queued.
/// - The time set with `DrainState::end_by` has passed.
///
/// The server asks each peer to send no more calls, either at the end of the grace phase or together with the
/// next answer to the peer. The peer then closes the connection once all its calls are answered.
pub fn is_over(server: &Server) -> bool {
    let is_empty = server.connections.count() == 0 && server.events.is_empty();
    (server.drain.is_grace_over() && is_empty) || server.drain.has_stopped(server.clock.now())
}

/// Waits until the condition [`is_over`] must be checked again. Before the server is notified to leave, waits
/// for this notice. Afterwards waits for one poll interval.
pub async fn wait_for_next_check(server: &Server) {
    if server.leave_signal.recv().await.is_err() {
        Timer::after(POLL_INTERVAL).await;
    }
}

/// Waits until the drain is over. Called after the listener is closed.
pub async fn finish(server: &Server) {
    while !is_over(server) {
        wait_for_next_check(server).await;
    }
}
