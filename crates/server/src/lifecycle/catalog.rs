//! Reports the server's health to the service registry at regular intervals. The first report is sent once a
//! link to the interpreter is established. The reports end when the server is notified to leave.

use crate::server::Server;
use crate::wire::catalog;
use async_io::{Async, Timer};
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Interval between two reports to the service registry. The registry forgets a server after 3 s without a
/// report. The interval is a tenth of this time, because reports can be lost.
const REPORT_EVERY: Duration = Duration::from_millis(300);
/// Interval between two checks of whether the first link to the interpreter is established. The first report
/// to the service registry waits for this link.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reports the server's health to the service registry until the server is notified to leave.
pub async fn report(server: Rc<Server>) {
    let any_port = SocketAddr::new(server.configuration.listen.ip(), 0);
    let socket = match Async::<UdpSocket>::bind(any_port) {
        Ok(socket) => socket,
        Err(error) => return warn!(%error, "cannot open a socket for reports to the catalog"),
    };
    let mut has_failed = false;
    while !server.is_leaving() {
        if server.counters.links.get() == 0 {
            Timer::after(POLL_INTERVAL).await;
            continue;
        }
        let report = catalog::report(&server.configuration.name, server.health.healthy.get());
        // Sending does not block: a report that cannot be sent at once is dropped.
        let sent = socket.get_ref().send_to(report.as_bytes(), server.configuration.addresses.get().catalog);
        if let (Err(error), false) = (&sent, has_failed) {
            warn!(%error, "cannot report to the catalog");
        }
        has_failed = sent.is_err();
        server.counters.catalog_reports.add();
        Timer::after(REPORT_EVERY).await;
    }
}
