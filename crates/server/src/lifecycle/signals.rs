//! Signals: the notice to leave, and the wish to see the counters.

use super::tasks::{Input, Server};
use anyhow::Result;
use async_channel::Sender;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::rc::Rc;
use tracing::info;

pub fn subscribe() -> Result<Signals> {
    Ok(Signals::new([Signal::Term, Signal::Int, Signal::Usr1])?)
}

/// Holds the sender whose end tells all tasks that the server leaves.
pub async fn heed(server: Rc<Server>, mut signals: Signals, stay: Sender<()>) {
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Usr1) => info!("counters:{}", server.counters),
            Ok(_) if stay.close() => {
                info!("told to leave");
                server.connections.all_enough();
                let _ = server.inputs.send(Input::Leave).await;
            }
            _ => {}
        }
    }
}
