//! The drain: when a server that was told to leave may end.

use crate::server::Server;
use async_io::Timer;
use std::rc::Rc;
use std::time::Duration;

/// How often it is looked whether all is done, once the server leaves.
const LOOK: Duration = Duration::from_millis(10);

/// What arrives within the grace after the notice is still run: callers hear late that a server leaves, and
/// those that stay would miss it. From then on no call is wanted. Never later than half way to the stop.
pub async fn end_grace(server: Rc<Server>) {
    let half = Duration::from_millis(server.configuration.stop_ms) / 2;
    let grace = Duration::from_nanos(server.configuration.settings.deployment.drain_grace);
    Timer::after(grace.min(half)).await;
    server.grace_over.set(true);
    server.connections.drain_all();
}

/// A server that leaves of its own accord ends at the stop at the latest, as nobody else ends it then.
fn has_stopped(server: &Server) -> bool {
    server.stop_at.get().is_some_and(|at| server.clock.now() >= at)
}

/// No connection is left that could bring a call. They end by themselves: each hears `enough`, at the end of
/// the grace or with its next answer, and its peer closes it when all on it is answered.
pub fn is_over(server: &Server) -> bool {
    let over = server.grace_over.get() && server.connections.count() == 0 && server.events.is_empty();
    over || has_stopped(server)
}

/// Returns when it is worth asking whether the drain is over.
pub async fn next_look(server: &Server) {
    if server.left.recv().await.is_err() {
        Timer::after(LOOK).await;
    }
}

/// Waits for what came in last, when the listener is closed already.
pub async fn over(server: &Server) {
    while !is_over(server) {
        next_look(server).await;
    }
}
