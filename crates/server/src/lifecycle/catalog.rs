//! Reports to the service registry, from the interpreter's start to the notice to leave.

use crate::server::Server;
use crate::wire::catalog;
use async_io::{Async, Timer};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// A tenth of the 3 s after which the registry forgets a server, as reports may be lost.
const REPORT_EVERY: Duration = Duration::from_millis(300);
/// Pause between looks whether there has been a link to the interpreter.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// Reports until the server leaves.
pub async fn report(server: Rc<Server>) {
    let any = SocketAddr::new(server.configuration.listen.ip(), 0);
    let socket = match Async::<UdpSocket>::bind(any) {
        Ok(socket) => socket,
        Err(error) => return warn!(%error, "no socket for the catalog"),
    };
    let mut has_failed = false;
    while !server.is_leaving() {
        if server.counters.links.get() == 0 {
            Timer::after(LOOK_EVERY).await;
            continue;
        }
        let report = catalog::report(&server.configuration.name, server.health.healthy.get());
        // A report that cannot be sent at once is dropped.
        let sent = socket.get_ref().send_to(report.as_bytes(), server.configuration.addresses.get().catalog);
        if let (Err(error), false) = (&sent, has_failed) {
            warn!(%error, "cannot report to the catalog");
        }
        has_failed = sent.is_err();
        server.counters.catalog_reports.add();
        Timer::after(REPORT_EVERY).await;
    }
}
