//! The drain: when a server that was told to leave may end.

use super::tasks::Server;
use async_io::Timer;
use std::time::Duration;

/// How often it is looked whether all is done, once the server leaves.
const LOOK: Duration = Duration::from_millis(10);

/// Ends once the server leaves, the listener is closed and no connection is left that could bring a call.
/// Connections end by themselves: each hears `enough`, and its peer closes it when all on it is answered.
pub async fn over(server: &Server, listening: impl Future<Output = ()>) {
    listening.await;
    while server.connections.count() > 0 || !server.inputs.is_empty() {
        Timer::after(LOOK).await;
    }
}
