//! Signals: the notice to leave, new addresses, and the wish to see the counters.

use super::drain;
use super::tasks::{Input, Server};
use anyhow::Result;
use async_channel::{Receiver, Sender};
use async_signal::{Signal, Signals};
use futures_lite::{StreamExt, future};
use std::rc::Rc;
use tracing::{info, warn};

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
                let _ = server.inputs.send(Input::ShowTenants).await;
            }
            Ok(Signal::Hup) => server.executor.spawn(reload(server.clone())).detach(),
            Ok(_) if stay.close() => {
                info!("told to leave");
                let _ = server.inputs.send(Input::Leave).await;
                server.executor.spawn(drain::end_grace(server.clone())).detach();
            }
            _ => {}
        }
    }
}

/// Guards against parties that have moved: what was open to the old places ends soon. A file that cannot
/// be served changes nothing. The file has a place among the descriptors like all that is open, for which it
/// waits without holding up the notice to leave.
async fn reload(server: Rc<Server>) {
    let place = server.descriptors.for_file(&server.pool).await;
    if let Err(error) = server.configuration.reload() {
        server.counters.reloads_refused.add();
        return warn!("configuration kept as it was: {error:#}");
    }
    drop(place);
    took_over(&server).await;
}

/// Tells all who go by settings that these are others now.
pub async fn took_over(server: &Server) {
    server.counters.reloads.add();
    let reference = server.configuration.reference.get();
    let _ = server.inputs.send(Input::SteerTo(reference)).await;
    let budget = |options: &meadowstream_options::Options| {
        options.shared_state.as_ref().and_then(|shared| Some(shared.budget.as_ref()?.total))
    };
    let total = budget(&server.configuration.options.borrow());
    if let Some((shared, total)) = server.shared.as_ref().zip(total)
        && let Err(fault) = shared.set_total(total)
    {
        warn!("<shared-state>: {fault}");
    }
    info!(addresses = ?server.configuration.addresses.get(), "configuration read again");
    server.pool.close_all();
    let _ = server.moved.0.try_send(());
    let tenants = server.configuration.options.borrow().tenants.as_ref().map(|t| t.fair.clone());
    if let Some(fair) = tenants {
        let names = || fair.named.iter().map(|(name, _)| name.as_slice());
        server.shared.iter().for_each(|shared| shared.name_tenants(names()));
        let _ = server.inputs.send(Input::Retune(Box::new(fair))).await;
    }
}
