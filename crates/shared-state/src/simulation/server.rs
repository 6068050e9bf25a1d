//! One simulated server: its process, its clocks, and its calls to the dependency (the simulated downstream
//! service).

use super::clocks::SimulatedClocks;
use crate::SharedState;
use crate::clock::Nanos;
use crate::permits::Permits;

/// Number of waiting calls that a simulated server records each time that a call is refused a unit. The
/// simulation itself has no queue of waiting calls.
const WAITING_CALLS: u64 = 2;

/// A simulated server. `state` is `None` while the server's process is not running.
pub(super) struct Server {
    pub state: Option<SharedState>,
    /// Whether the server's process is suspended.
    pub suspended: bool,
    pub clocks: SimulatedClocks,
    permits: Permits,
    /// Rate at which the server receives requests, per second. Each request needs one call to the dependency.
    pub demand: f64,
    /// Network group of the server. The network can be partitioned between groups.
    pub group: u32,
    /// Number of times that the server's process has been started.
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

    /// Starts the server's process with the given state. Returns the number of the new incarnation.
    pub fn start(&mut self, state: SharedState) -> u64 {
        self.state = Some(state);
        self.suspended = false;
        self.permits = Permits::default();
        self.incarnation += 1;
        self.incarnation
    }

    /// Handles a received message. Returns false if the process is suspended or not running; the message is
    /// then lost. A real suspended process would handle the message late. Losing the message is the harder
    /// case for the fleet.
    pub fn receive(&mut self, now: Nanos, body: &[u8]) -> bool {
        let reading = self.clocks.read(now);
        let Some(state) = self.state.as_mut().filter(|_| !self.suspended) else { return false };
        let _counted_in_state = state.receive(reading, body);
        true
    }

    /// Updates the server's demand for units and performs the periodic actions that are due. Returns false if
    /// the process is suspended or not running.
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

    /// Tries to acquire a permit for a call. Returns whether the budget permits the call, or `None` if the
    /// process is suspended or not running.
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

    /// Returns whether a call that has a permit may be sent now. If the call may not be sent, its permit is
    /// released.
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

    /// Releases the unit of a call that has ended. A call of an earlier incarnation of the server is ignored,
    /// since the current incarnation holds no unit for it.
    pub fn end_call(&mut self, incarnation: u64, call: u64) {
        if self.incarnation == incarnation && self.state.is_some() {
            self.permits.release(call, true, 0);
        }
    }
}
