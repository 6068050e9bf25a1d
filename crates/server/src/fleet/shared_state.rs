//! The state that this server shares with the fleet: the protocol's state, the downstream calls of this
//! server that use the fleet's call budget, and the clocks. The membership task and the event loop, which run
//! on the same thread, both use it.

use crate::configuration::leases::LEASES;
use crate::fleet::tier::{CallEvidence, Tier, TierStatus};
use crate::lifecycle::changes::TenantNames;
use crate::resources::counters::Counters;
use meadowstream_routing::CallPreference;
use meadowstream_shared_state::budget::{Budget, BudgetSettingsError};
use meadowstream_shared_state::clock::{Nanos, Reading, Time};
use meadowstream_shared_state::permits::Permits;
use meadowstream_shared_state::{ServerId, Settings, SharedState};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Error in the settings of the shared state.
#[derive(Debug, thiserror::Error)]
pub enum SharedStateError {
    /// A setting of the shared state is out of range.
    #[error(transparent)]
    Settings(#[from] meadowstream_shared_state::SettingsError),
    /// A setting of the router is out of range.
    #[error(transparent)]
    Routing(#[from] meadowstream_routing::SettingsError),
}

/// This server's copy of the state shared with the fleet.
pub struct LocalSharedState {
    inner: RefCell<Inner>,
    /// Names of the tenants in the options. Only these tenants are counted by name.
    named_tenants: RefCell<TenantNames>,
    started: Instant,
}

struct Inner {
    state: SharedState,
    permits: Permits,
    /// The downstream services, if there are several.
    tier: Option<Tier>,
    /// Whether a call was refused and the controller must be notified when a call is permitted again.
    has_refused: bool,
    /// Values of this server's counters that are already added to the fleet's counts, in the order of
    /// [`COUNTER_KEYS`].
    counted: [u64; 4],
    /// Number of additions to the fleet's counts that were dropped because no key was free.
    uncounted: u64,
}

/// Status of the call budget and of the ejected services, for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedStatus {
    /// Units of the budget that every server may use without a lease.
    pub floor: u64,
    /// Units leased to this server in addition to the floor.
    pub leased: u64,
    /// Units in use by calls of this server.
    pub in_use: u64,
    /// Whether this server is the grantor of leases.
    pub is_grantor: bool,
    /// Units that this server has granted to others.
    pub outstanding: u64,
    /// Names of the ejected services.
    pub ejected: Vec<String>,
}

/// The service that a call is routed to, in place of the address in the configuration.
pub struct Destination {
    /// Index of the service in the settings.
    pub service: usize,
    /// Address of the service.
    pub address: SocketAddr,
}

/// A permitted call.
pub struct StartedCall {
    /// Timeout of the call, in nanoseconds.
    pub timeout: u64,
    /// The chosen service, if there are several.
    pub destination: Option<Destination>,
}

/// Result of [`LocalSharedState::advance`].
pub struct Advanced {
    /// Messages to send, each with the name of the receiving member.
    pub outgoing: Vec<(String, Vec<u8>)>,
    /// Whether a call is permitted now after calls have been refused.
    pub has_capacity: bool,
}

impl LocalSharedState {
    /// Creates the shared state. `tier` holds the addresses of the downstream services, in the order in which
    /// the settings name them.
    pub fn new(
        me: ServerId,
        settings: &Settings,
        tier: &[SocketAddr],
        seed: u64,
    ) -> Result<LocalSharedState, SharedStateError> {
        let started = Instant::now();
        let reading = Reading { monotonic: 0, wall: unix_time_ns() };
        let state = SharedState::new(me, settings.clone(), seed, reading)?;
        let tier = settings
            .outlier_detection
            .as_ref()
            .map(|detection| Tier::new(tier.to_vec(), detection.expiry, seed));
        let tier = tier.transpose()?;
        let inner = Inner {
            state,
            permits: Permits::default(),
            tier,
            has_refused: false,
            counted: [0; 4],
            uncounted: 0,
        };
        Ok(LocalSharedState { inner: RefCell::new(inner), named_tenants: RefCell::default(), started })
    }

    fn reading(&self) -> Reading {
        Reading { monotonic: self.started.elapsed().as_nanos() as u64, wall: unix_time_ns() }
    }

    /// Returns whether the call budget and the health of the downstream services permit one more call. If
    /// not, the `waiting` calls count towards the demand for leases.
    pub fn is_call_permitted(&self, waiting: usize, preference: CallPreference) -> bool {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let Inner { state, permits, tier, has_refused, .. } = &mut *inner;
        let time = state.read_clocks(reading);
        if tier.as_ref().is_some_and(|tier| !tier.can_route(reading.monotonic, preference)) {
            *has_refused = true;
            return false;
        }
        let Some(budget) = calls(state) else { return true };
        let is_permitted = budget.may_acquire(time, permits.in_use(time));
        if !is_permitted {
            permits.record_refusal(time, waiting as u64);
            *has_refused = true;
        }
        is_permitted
    }

    /// Starts a call with a timeout of at most `timeout` nanoseconds.
    pub fn start_call(&self, number: u64, timeout: u64, preference: CallPreference) -> StartedCall {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        let in_use = inner.permits.in_use(time);
        let send_by = calls(&inner.state).map_or(Nanos::MAX, |budget| budget.send_by(time, in_use));
        inner.permits.acquire(time, number, send_by);
        let chosen = inner.tier.as_mut().map(|tier| tier.start_call(reading.monotonic, number, preference));
        let timeout = calls(&inner.state).map_or(timeout, |budget| timeout.min(budget.settings().use_max));
        let destination = chosen.map(|(service, address)| Destination { service, address });
        StartedCall { timeout, destination }
    }

    /// Returns whether bytes of a call may be sent now. Must be called directly before each write: while the
    /// process was stopped, the lease that permitted the call may have passed to another server.
    pub fn permit_send(&self, number: u64) -> bool {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        inner.permits.permit_send(time, number)
    }

    /// Ends a call on this server. `is_finished_downstream` is true if the downstream service is known to
    /// have finished the call.
    pub fn end_call(&self, number: u64, is_finished_downstream: bool, evidence: CallEvidence) {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        let Inner { state, tier, .. } = &mut *inner;
        if let Some((tier, detector)) = tier.as_mut().zip(state.outlier_detector.as_mut()) {
            tier.end_call(reading.monotonic, time, number, evidence, detector);
        }
        let use_max = calls(&inner.state).map_or(0, |budget| budget.settings().use_max);
        inner.permits.release(number, is_finished_downstream, use_max);
    }

    /// Sets the tenants that are counted by name, and returns the previous set.
    pub fn set_named_tenants(&self, names: TenantNames) -> TenantNames {
        self.named_tenants.replace(names)
    }

    /// Returns the tenant's name as it appears in keys of counts. Returns `None` for a tenant that is not
    /// counted by name, so that callers cannot create arbitrary keys.
    pub fn tenant(&self, name: &[u8]) -> Option<String> {
        self.named_tenants.borrow().contains(name).then(|| String::from_utf8_lossy(name).into_owned())
    }

    /// Adds `amount` to the fleet's counts `kind/operation` and, for a named tenant, `kind/operation/tenant`.
    /// If no key is free, the amount is dropped; the log shows the number of such drops.
    pub fn count(&self, kind: &str, operation: &str, tenant: Option<&str>, amount: u64) {
        let mut inner = self.inner.borrow_mut();
        let overall_key = format!("{kind}/{operation}");
        let tenant_key = tenant.map(|tenant| format!("{overall_key}/{tenant}"));
        for key in std::iter::once(overall_key).chain(tenant_key) {
            let counted = inner.state.counters.add(&key, amount);
            inner.uncounted += u64::from(!counted);
        }
    }

    /// Sets the total of the call budget. After an error, the previous total stays in force.
    pub fn set_total(&self, total: u64) -> Result<(), BudgetSettingsError> {
        let mut inner = self.inner.borrow_mut();
        let mut calls = inner.state.budgets.iter_mut().filter(|budget| !is_lease(budget));
        calls.try_for_each(|budget| budget.set_total(total))
    }

    /// Handles messages from other members.
    pub fn receive(&self, bodies: Vec<Vec<u8>>) {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        for body in bodies {
            if let Err(fault) = inner.state.receive(reading, &body) {
                tracing::debug!(target: "fleet", %fault, "shared state");
            }
        }
    }

    /// Returns the sender, topic and body of each received message on a topic other than the shared state.
    pub fn take_received(&self) -> Vec<(ServerId, u16, Vec<u8>)> {
        let received = self.inner.borrow_mut().state.take_received();
        received.into_iter().map(|other| (other.from, other.topic, other.body)).collect()
    }

    /// Sends a message on a topic other than the shared state to the named member.
    pub fn send_other(&self, to: &str, topic: u16, body: Vec<u8>) {
        self.inner.borrow_mut().state.send_other(to, topic, body);
    }

    /// Updates counts and demand, advances the protocol, and collects its messages. `alive` holds the names
    /// of the members that are alive.
    pub fn advance(&self, alive: &[String], counters: &Counters) -> Advanced {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        inner.add_local_counts(counters);
        inner.update_demand(time);
        inner.state.advance(reading, alive);
        inner.update_health(reading.monotonic, time);
        let has_capacity = inner.has_refused && inner.has_capacity(reading.monotonic, time);
        inner.has_refused &= !has_capacity;
        Advanced { outgoing: inner.state.take_outgoing(), has_capacity }
    }

    /// Returns the time until [`Self::advance`] is due, in nanoseconds.
    pub fn due_in(&self) -> u64 {
        self.inner.borrow().state.due_in()
    }

    /// Returns the status of the call budget and of the ejected services, for the log.
    pub fn status(&self) -> SharedStatus {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let Inner { state, permits, tier, .. } = &mut *inner;
        let time = state.read_clocks(reading);
        let names = state.outlier_detector.as_ref().map(|detector| &detector.settings().services);
        let ejected = tier.iter().flat_map(|tier| &tier.ejected);
        let ejected = ejected.filter_map(|i| names?.get(*i).cloned()).collect();
        let Some(budget) = calls(state) else { return SharedStatus { ejected, ..SharedStatus::default() } };
        let allowance = budget.allowance(time);
        SharedStatus {
            floor: allowance.floor,
            leased: allowance.leased,
            in_use: permits.in_use(time),
            is_grantor: budget.is_grantor(time),
            outstanding: budget.outstanding(),
            ejected,
        }
    }

    /// Returns the status of the downstream services, for the log.
    pub fn tier_status(&self) -> TierStatus {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        let tier = inner.tier.as_ref().zip(inner.state.outlier_detector.as_ref());
        tier.map_or_else(TierStatus::default, |(tier, detector)| tier.status(time, detector))
    }

    /// Returns two JSON texts for the log: the fleet's totals, and counts of messages, of the budget, of
    /// rejected counter rows, of clock disagreements and of dropped counts.
    pub fn totals(&self) -> (String, String) {
        let inner = self.inner.borrow();
        let totals = serde_json::to_string(&inner.state.counters.totals()).unwrap_or_default();
        let budget = calls(&inner.state).map(|budget| budget.counters);
        let (rejected, disagreements) = (inner.state.counters.rejected, inner.state.clock_disagreements());
        let tally = (inner.state.messages, budget, rejected, disagreements, inner.uncounted);
        (totals, serde_json::to_string(&tally).unwrap_or_default())
    }
}

impl Inner {
    /// Adds the changes of this server's counters since the previous call to the fleet's counts.
    fn add_local_counts(&mut self, counters: &Counters) {
        let values = [&counters.invocations, &counters.succeeded, &counters.throttled, &counters.errored];
        for ((key, value), counted) in COUNTER_KEYS.iter().zip(values).zip(&mut self.counted) {
            self.state.counters.add(key, value.get() - *counted);
            *counted = value.get();
        }
    }

    /// Updates the units that this server requests and uses in the call budget.
    fn update_demand(&mut self, time: Time) {
        for budget in self.state.budgets.iter_mut().filter(|budget| !is_lease(budget)) {
            let recent = 2 * budget.settings().refresh_interval;
            let (wanted, in_use) = (self.permits.demand(time, recent), self.permits.in_use(time));
            budget.set_demand(wanted, in_use);
        }
    }

    fn update_health(&mut self, now: u64, time: Time) {
        let Some(tier) = &mut self.tier else { return };
        let Some(detector) = &self.state.outlier_detector else { return };
        if tier.update_health(now, time, detector) {
            let services = &detector.settings().services;
            let ejected: Vec<&String> = tier.ejected.iter().map(|service| &services[*service]).collect();
            let accusers: Vec<usize> =
                tier.ejected.iter().map(|service| detector.accusers(time, *service)).collect();
            let alone = detector.is_isolated(time);
            tracing::info!(target: "fleet", ?ejected, ?accusers, alone, "judged");
        }
    }

    /// Returns whether a call would be permitted, including a call that may serve as a health check of an
    /// ejected service.
    fn has_capacity(&mut self, now: u64, time: Time) -> bool {
        let preference = CallPreference { last_service: None, may_probe: true };
        let is_routable = self.tier.as_ref().is_none_or(|tier| tier.can_route(now, preference));
        let in_use = self.permits.in_use(time);
        is_routable && calls(&self.state).is_none_or(|budget| budget.may_acquire(time, in_use))
    }
}

fn is_lease(budget: &Budget) -> bool {
    LEASES.contains(&budget.settings().name.as_str())
}

/// Returns the budget of downstream calls.
fn calls(state: &SharedState) -> Option<&Budget> {
    state.budgets.iter().find(|budget| !is_lease(budget))
}

/// Keys of the counts that every server reports. They are part of the wire format.
const COUNTER_KEYS: [&str; 4] = ["invocations", "succeeded", "throttled", "errored"];

fn unix_time_ns() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_nanos() as u64)
}
