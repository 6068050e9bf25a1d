//! Handles the signals of the process: the notice to leave, the request to reload the settings, and the
//! request to log the counters.

use crate::event::Event;
use crate::lifecycle::drain;
use crate::lifecycle::reload;
use crate::server::Server;
use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use std::rc::Rc;
use tracing::info;

/// Starts receiving the signals that the server handles.
pub fn subscribe() -> std::io::Result<Signals> {
    Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])
}

/// Handles signals while the server runs. A message in `leave_requests` has the same effect as the signal
/// SIGTERM: `leave_trigger` is closed, which notifies all tasks that the server is leaving.
pub async fn handle(
    server: Rc<Server>,
    mut signals: Signals,
    leave_requests: Receiver<()>,
    leave_trigger: Sender<()>,
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
            Ok(_) if leave_trigger.close() => {
                info!("told to leave");
                server.drain.begin(server.clock.now());
                let _ = server.events.send(Event::Shutdown).await;
                server.executor.spawn(drain::run(server.clone())).detach();
            }
            _ => {}
        }
    }
}
