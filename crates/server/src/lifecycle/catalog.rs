//! Reports to the catalog, from the interpreter's start to the notice to leave.

use crate::server::Server;
use crate::wire::catalog;
use async_io::{Async, Timer};
use std::net::UdpSocket;
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// A tenth of the 3 s after which the catalog forgets a server: guards against reports that are lost. With
/// one in four lost, three a while lapse often, ten hardly ever.
const EVERY: Duration = Duration::from_millis(300);
/// Before the module has started it is looked this often whether it has.
const LOOK: Duration = Duration::from_millis(50);

pub async fn report(server: Rc<Server>) {
    let any = std::net::SocketAddr::new(server.configuration.listen.ip(), 0);
    let socket = match Async::<UdpSocket>::bind(any) {
        Ok(socket) => socket,
        Err(error) => return warn!(%error, "no socket for the catalog"),
    };
    let mut trouble = false;
    while !server.leaves() {
        if server.counters.links.get() == 0 {
            Timer::after(LOOK).await;
            continue;
        }
        let report = catalog::report(&server.configuration.name, server.health.healthy.get());
        // Nothing waits for it: what cannot be sent now is not sent.
        let sent = socket.get_ref().send_to(report.as_bytes(), server.configuration.addresses.get().catalog);
        if let (Err(error), false) = (&sent, trouble) {
            warn!(%error, "cannot report to the catalog");
        }
        trouble = sent.is_err();
        server.counters.catalog_reports.add();
        Timer::after(EVERY).await;
    }
}
