//! One simulated server: its process, its clocks and its calls to the dependency.

use super::clocks::SimulatedClocks;
use crate::SharedState;
use crate::clock::Nanos;
use crate::permits::Permits;

/// Calls that are taken to wait when one is refused.
const WAITING_CALLS: u64 = 2;

/// A server; `state` is absent while its process does not run.
pub(super) struct Server {
    pub state: Option<SharedState>,
    /// The process is stopped.
    pub stalled: bool,
    pub clocks: SimulatedClocks,
    permits: Permits,
    /// Calls a second that it is asked for.
    pub demand: f64,
    /// Group of the network.
    pub group: u32,
    /// Starts so far.
    pub incarnation: u64,
}

impl Server {
    pub fn new() -> Server {
        Server {
            state: None,
            stalled: false,
            clocks: SimulatedClocks::new(),
            permits: Permits::default(),
            demand: 0.0,
            group: 0,
            incarnation: 0,
        }
    }

    /// Starts the process; returns the number of its incarnation.
    pub fn start(&mut self, state: SharedState) -> u64 {
        self.state = Some(state);
        self.stalled = false;
        self.permits = Permits::default();
        self.incarnation += 1;
        self.incarnation
    }

    /// Handles a message, and returns whether the server runs. A stopped process would handle it late; here
    /// it is lost, which is the harder case.
    pub fn receive(&mut self, now: Nanos, body: &[u8]) -> bool {
        let reading = self.clocks.read(now);
        let Some(state) = self.state.as_mut().filter(|_| !self.stalled) else { return false };
        let _counted_by_the_state = state.receive(reading, body);
        true
    }

    /// Does what is due, and returns whether the server runs.
    pub fn advance(&mut self, now: Nanos, alive: &[String]) -> bool {
        let reading = self.clocks.read(now);
        let Some(state) = self.state.as_mut().filter(|_| !self.stalled) else { return false };
        let time = state.read_clocks(reading);
        for budget in &mut state.budgets {
            let recent = 2 * budget.settings().refresh_interval;
            let wanted = self.permits.wanted(time, recent);
            budget.set_demand(wanted, self.permits.in_use(time));
        }
        state.advance(reading, alive);
        true
    }

    /// Begins a call if the budget allows it; `None` where the server does not run.
    pub fn try_call(&mut self, now: Nanos, call: u64) -> Option<bool> {
        let reading = self.clocks.read(now);
        let state = self.state.as_mut().filter(|_| !self.stalled)?;
        let time = state.read_clocks(reading);
        let in_use = self.permits.in_use(time);
        let allowed = state.budgets.first().is_none_or(|budget| budget.may_acquire(time, in_use));
        if allowed {
            let send_by = state.budgets.first().map_or(Nanos::MAX, |budget| budget.send_by(time, in_use));
            self.permits.acquire(time, call, send_by);
            state.counters.add("calls", 1);
        } else {
            self.permits.refuse(time, WAITING_CALLS);
        }
        Some(allowed)
    }

    /// Whether a permitted call may be sent; one that may not has ended.
    pub fn permit_send(&mut self, now: Nanos, call: u64) -> bool {
        let reading = self.clocks.read(now);
        let Some(state) = self.state.as_mut() else { return false };
        let time = state.read_clocks(reading);
        let permitted = self.permits.permit_send(time, call);
        if !permitted {
            self.permits.release(call, true, 0);
        }
        permitted
    }

    /// A call has ended. One of an earlier incarnation holds no unit any more.
    pub fn end_call(&mut self, incarnation: u64, call: u64) {
        if self.incarnation == incarnation && self.state.is_some() {
            self.permits.release(call, true, 0);
        }
    }
}
