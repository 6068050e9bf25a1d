//! Signals: the notice to leave, a reload, and the request to log the counters.

use crate::event::Event;
use crate::lifecycle::drain;
use crate::lifecycle::reload;
use crate::server::Server;
use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use std::rc::Rc;
use tracing::info;

/// Receives the signals that the server handles from now on.
pub fn subscribe() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
}

/// Handles signals for as long as the server runs. A leave request is the same as a SIGTERM. Closing `stay`
/// notifies all tasks that the server leaves.
pub async fn handle(
    server: Rc<Server>,
    mut signals: Signals,
    leave_requests: Receiver<()>,
    stay: Sender<()>,
) {
    loop {
        let requested = async {
            match leave_requests.recv().await {
                Ok(()) => Some(Ok(Signal::Term)),
                Err(_) => future::pending().await,
            }
        };
        let Some(signal) = future::or(signals.next(), requested).await else { return };
        match signal {
            Ok(Signal::Usr1) => {
                info!("counters:{}", server.counters);
                let _ = server.events.send(Event::LogTenants).await;
            }
            Ok(Signal::Hup) => server.executor.spawn(reload::reload(server.clone())).detach(),
            Ok(_) if stay.close() => {
                info!("told to leave");
                server.drain.begin(server.clock.now());
                let _ = server.events.send(Event::Shutdown).await;
                server.executor.spawn(drain::run(server.clone())).detach();
            }
            _ => {}
        }
    }
}
