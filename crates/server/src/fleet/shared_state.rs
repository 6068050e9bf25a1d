//! This server's part of the state that the fleet shares: the state of the protocol, the clocks, and the
//! downstream calls that count towards the fleet's call budget.
//!
//! Used by the membership task and by the event loop, which run on the same thread.

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

/// Error in the settings of the state that the fleet shares.
#[derive(Debug, thiserror::Error)]
pub enum SharedStateError {
    /// A setting of the shared state is out of range.
    #[error(transparent)]
    Settings(#[from] meadowstream_shared_state::SettingsError),
    /// A setting of the router, which chooses a downstream service for each call, is out of range.
    #[error(transparent)]
    Routing(#[from] meadowstream_routing::SettingsError),
}

/// This server's copy of the state that the fleet shares.
pub struct LocalSharedState {
    inner: RefCell<Inner>,
    /// Names of the tenants that are named in the options. The fleet keeps separate counts for these tenants
    /// only.
    named_tenants: RefCell<TenantNames>,
    started: Instant,
}

struct Inner {
    state: SharedState,
    permits: Permits,
    /// The downstream services and their health; `None` if all downstream calls use the address in the
    /// configuration.
    tier: Option<Tier>,
    /// True if a downstream call was refused. Once downstream calls are permitted again, the controller must
    /// be notified.
    has_refused: bool,
    /// Values of this server's counters that are already included in the fleet's counts. The order is that of
    /// [`COUNTER_KEYS`].
    counted: [u64; 4],
    /// Number of amounts that were not added to the fleet's counts. An amount is not added if its key has an
    /// invalid length, or if its key is new and the maximum number of keys is reached.
    uncounted: u64,
}

/// Status of the call budget and names of the ejected downstream services, for the log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedStatus {
    /// Number of the fleet's call budget units that this server may use without a lease.
    pub floor: u64,
    /// Number of the fleet's call budget units that this server has leased in addition to the floor.
    pub leased: u64,
    /// Number of the fleet's call budget units that this server's downstream calls use now.
    pub in_use: u64,
    /// True if this server is the grantor, which leases units of the fleet's call budget to the servers.
    pub is_grantor: bool,
    /// Number of the fleet's call budget units that this server, as the grantor, has leased out.
    pub outstanding: u64,
    /// Names of the ejected services.
    pub ejected: Vec<String>,
}

/// The downstream service to which a call is routed. The call is sent to this service and not to the address
/// in the configuration.
pub struct Destination {
    /// Index of the downstream service in the list of services in the settings.
    pub service: usize,
    /// Address of the service.
    pub address: SocketAddr,
}

/// A permitted call.
pub struct StartedCall {
    /// Timeout of the downstream call, in nanoseconds.
    pub timeout: u64,
    /// Downstream service to which the call is routed; `None` if the address in the configuration is used.
    pub destination: Option<Destination>,
}

/// Result of [`LocalSharedState::advance`]: messages for other members, and whether downstream calls are
/// permitted again.
pub struct Advanced {
    /// Messages to other members. Each message is a pair: the name of the receiving member, and the body.
    pub outgoing: Vec<(String, Vec<u8>)>,
    /// True if downstream calls were refused before and are permitted again now.
    pub has_capacity: bool,
}

impl LocalSharedState {
    /// Creates this server's copy of the shared state. `tier` contains the addresses of the downstream
    /// services, in the order of the service names in `settings`.
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

    /// Returns whether the call budget and the health of the downstream services permit one more downstream
    /// call. `waiting` is the number of runs that wait for a call. If the budget does not permit the call,
    /// these runs are counted in this server's demand for budget units.
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

    /// Starts the downstream call with this number, and chooses the service that receives the call. The
    /// timeout of the call is `timeout` nanoseconds, or less if the call budget limits the timeout.
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

    /// Returns whether bytes of the downstream call with this number may be sent now. Must be called directly
    /// before each write. If the process was suspended, the lease under which the call was permitted may now
    /// belong to another server.
    pub fn permit_send(&self, number: u64) -> bool {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        inner.permits.permit_send(time, number)
    }

    /// Ends the downstream call with this number on this server. `is_finished_downstream` is true if the
    /// downstream service has certainly finished the call.
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

    /// Sets the names of the tenants that have separate counts, and returns the previous names.
    pub fn set_named_tenants(&self, names: TenantNames) -> TenantNames {
        self.named_tenants.replace(names)
    }

    /// Returns the name of a tenant for use in the keys of counts. Returns `None` if the tenant has no
    /// separate count. If every tenant had its own keys, callers could create any number of keys by inventing
    /// tenant names.
    pub fn tenant(&self, name: &[u8]) -> Option<String> {
        self.named_tenants.borrow().contains(name).then(|| String::from_utf8_lossy(name).into_owned())
    }

    /// Adds `amount` to the fleet's count with the key `kind/operation`. If the tenant has a separate count,
    /// the amount is also added to `kind/operation/tenant`. The amount is dropped if a new key cannot be
    /// created; the log shows how often this has happened.
    pub fn count(&self, kind: &str, operation: &str, tenant: Option<&str>, amount: u64) {
        let mut inner = self.inner.borrow_mut();
        let overall_key = format!("{kind}/{operation}");
        let tenant_key = tenant.map(|tenant| format!("{overall_key}/{tenant}"));
        for key in std::iter::once(overall_key).chain(tenant_key) {
            let counted = inner.state.counters.add(&key, amount);
            inner.uncounted += u64::from(!counted);
        }
    }

    /// Sets the total of the fleet's call budget. If the total is invalid, returns an error and keeps the
    /// previous total.
    pub fn set_total(&self, total: u64) -> Result<(), BudgetSettingsError> {
        let mut inner = self.inner.borrow_mut();
        let mut calls = inner.state.budgets.iter_mut().filter(|budget| !is_lease(budget));
        calls.try_for_each(|budget| budget.set_total(total))
    }

    /// Handles messages from other members. `bodies` contains the encoded bodies of these messages.
    pub fn receive(&self, bodies: Vec<Vec<u8>>) {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        for body in bodies {
            if let Err(fault) = inner.state.receive(reading, &body) {
                tracing::debug!(target: "fleet", %fault, "shared state");
            }
        }
    }

    /// Returns the messages from other members on topics other than the shared state. Each message consists
    /// of its sender, its topic and its body.
    pub fn take_received(&self) -> Vec<(ServerId, u16, Vec<u8>)> {
        let received = self.inner.borrow_mut().state.take_received();
        received.into_iter().map(|other| (other.from, other.topic, other.body)).collect()
    }

    /// Queues a message for the member with the name `to`, on a topic other than the shared state.
    pub fn send_other(&self, to: &str, topic: u16, body: Vec<u8>) {
        self.inner.borrow_mut().state.send_other(to, topic, body);
    }

    /// Performs the periodic work of the shared state: updates this server's counts and demand, advances the
    /// protocol, and collects the messages to send. `alive` contains the names of the members that are alive.
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

    /// Returns the time, in nanoseconds, until [`Self::advance`] must be called next.
    pub fn due_in(&self) -> u64 {
        self.inner.borrow().state.due_in()
    }

    /// Returns the status of the call budget and the names of the ejected downstream services, for the log.
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

    /// Returns two JSON texts for the log. The first contains the totals of the fleet's counts.
    ///
    /// The second contains figures about the protocol: messages, the call budget, rejected rows of counters,
    /// disagreements between clocks, and amounts that could not be counted.
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
    /// Updates the fleet's counts from this server's counters. Adds the amount by which each counter has
    /// increased since the previous call of this function.
    fn add_local_counts(&mut self, counters: &Counters) {
        let values = [&counters.invocations, &counters.succeeded, &counters.throttled, &counters.errored];
        for ((key, value), counted) in COUNTER_KEYS.iter().zip(values).zip(&mut self.counted) {
            self.state.counters.add(key, value.get() - *counted);
            *counted = value.get();
        }
    }

    /// Updates how many units of the call budget this server requests, and how many units this server uses.
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

    /// Returns whether a downstream call would be permitted now. Assumes that the call may serve as a health
    /// check. An ejected service that is due for a check therefore also counts as available.
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

/// Returns the budget of downstream calls; `None` if the options define no such budget.
fn calls(state: &SharedState) -> Option<&Budget> {
    state.budgets.iter().find(|budget| !is_lease(budget))
}

/// Keys of the counts that every server reports to the fleet. The keys are part of the protocol between
/// servers, so they must not change.
const COUNTER_KEYS: [&str; 4] = ["invocations", "succeeded", "throttled", "errored"];

fn unix_time_ns() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_nanos() as u64)
}
