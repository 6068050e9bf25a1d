//! One simulated server: its process, clocks and calls to the dependency.

use super::clocks::SimulatedClocks;
use crate::SharedState;
use crate::clock::Nanos;
use crate::permits::Permits;

/// Number of waiting calls reported for each refusal.
const WAITING_CALLS: u64 = 2;

/// A simulated server; `state` is `None` while its process is not running.
pub(super) struct Server {
    pub state: Option<SharedState>,
    /// Whether the process is suspended.
    pub suspended: bool,
    pub clocks: SimulatedClocks,
    permits: Permits,
    /// Demand at the server, in calls per second.
    pub demand: f64,
    /// Network group of the server.
    pub group: u32,
    /// Number of starts so far.
    pub incarnation: u64,
}

impl Server {
    pub fn new() -> Server {
        Server {
            state: None,
            suspended: false,
            clocks: SimulatedClocks::new(),
            permits: Permits::default(),
            demand: 0.0,
            group: 0,
            incarnation: 0,
        }
    }

    /// Starts the process and returns the number of its incarnation.
    pub fn start(&mut self, state: SharedState) -> u64 {
        self.state = Some(state);
        self.suspended = false;
        self.permits = Permits::default();
        self.incarnation += 1;
        self.incarnation
    }

    /// Handles a message and returns whether the server is running. A real suspended process would handle the
    /// message late; here the message is lost, which is the harder case.
    pub fn receive(&mut self, now: Nanos, body: &[u8]) -> bool {
        let reading = self.clocks.read(now);
        let Some(state) = self.state.as_mut().filter(|_| !self.suspended) else { return false };
        let _counted_in_state = state.receive(reading, body);
        true
    }

    /// Performs the due actions and returns whether the server is running.
    pub fn advance(&mut self, now: Nanos, alive: &[String]) -> bool {
        let reading = self.clocks.read(now);
        let Some(state) = self.state.as_mut().filter(|_| !self.suspended) else { return false };
        let time = state.read_clocks(reading);
        for budget in &mut state.budgets {
            let recent = 2 * budget.settings().refresh_interval;
            let wanted = self.permits.demand(time, recent);
            budget.set_demand(wanted, self.permits.in_use(time));
        }
        state.advance(reading, alive);
        true
    }

    /// Begins a call if the budget permits it, and returns whether it does; `None` if the server is not
    /// running.
    pub fn try_call(&mut self, now: Nanos, call: u64) -> Option<bool> {
        let reading = self.clocks.read(now);
        let state = self.state.as_mut().filter(|_| !self.suspended)?;
        let time = state.read_clocks(reading);
        let in_use = self.permits.in_use(time);
        let allowed = state.budgets.first().is_none_or(|budget| budget.may_acquire(time, in_use));
        if allowed {
            let send_by = state.budgets.first().map_or(Nanos::MAX, |budget| budget.send_by(time, in_use));
            self.permits.acquire(time, call, send_by);
            state.counters.add("calls", 1);
        } else {
            self.permits.record_refusal(time, WAITING_CALLS);
        }
        Some(allowed)
    }

    /// Returns whether a permitted call may be sent; if not, the call ends.
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

    /// Handles the end of a call. A call of an earlier incarnation no longer holds a unit.
    pub fn end_call(&mut self, incarnation: u64, call: u64) {
        if self.incarnation == incarnation && self.state.is_some() {
            self.permits.release(call, true, 0);
        }
    }
}
