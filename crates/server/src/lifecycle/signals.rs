//! Signals: the notice to leave, new addresses, and the wish to see the counters.

use crate::event::Event;
use crate::lifecycle::drain;
use crate::lifecycle::reload;
use crate::server::Server;
use anyhow::Result;
use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use std::rc::Rc;
use tracing::info;

pub fn subscribe() -> Result<Signals> {
    Ok(Signals::new([Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup])?)
}

/// Holds the sender whose end tells all tasks that the server leaves.
/// `ends` brings the same as SIGTERM.
pub async fn heed(server: Rc<Server>, mut signals: Signals, ends: Receiver<()>, stay: Sender<()>) {
    loop {
        let told = async {
            match ends.recv().await {
                Ok(()) => Some(Ok(Signal::Term)),
                Err(_) => future::pending().await,
            }
        };
        let Some(signal) = future::or(signals.next(), told).await else { return };
        match signal {
            Ok(Signal::Usr1) => {
                info!("counters:{}", server.counters);
                let _ = server.events.send(Event::LogTenants).await;
            }
            Ok(Signal::Hup) => server.executor.spawn(reload::reload(server.clone())).detach(),
            Ok(_) if stay.close() => {
                info!("told to leave");
                let _ = server.events.send(Event::Shutdown).await;
                server.executor.spawn(drain::end_grace(server.clone())).detach();
            }
            _ => {}
        }
    }
}
