//! The state that this server shares with others: the library's state, this server's calls against the
//! fleet's budget, and readings of both clocks. The membership task and the event loop use it, on the one
//! thread.

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

/// Why the shared state cannot be set up.
#[derive(Debug, thiserror::Error)]
pub enum SharedStateError {
    /// A setting of the shared state is out of its range.
    #[error(transparent)]
    Settings(#[from] meadowstream_shared_state::SettingsError),
    /// A setting of the routing is out of its range.
    #[error(transparent)]
    Routing(#[from] meadowstream_routing::SettingsError),
}

/// What this server shares with the others.
pub struct Shared {
    inner: RefCell<Inner>,
    /// Tenants that are counted by name: those in the options.
    named: RefCell<TenantNames>,
    began: Instant,
}

struct Inner {
    state: SharedState,
    permits: Permits,
    /// The services below, where there are several.
    tier: Option<Tier>,
    /// A call was refused, and the controller is to be notified once one may go out.
    has_refused: bool,
    /// What was counted of this server so far, in the order of [`COUNTED`].
    counted: [u64; 4],
    /// Counts for which there was no key left.
    uncounted: u64,
}

/// Budget and tier as the log shows them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SharedStatus {
    /// What every server may use without a lease.
    pub floor: u64,
    /// What is leased to this server beyond that.
    pub leased: u64,
    /// Calls in flight.
    pub uses: u64,
    /// This server grants leases.
    pub gives: bool,
    /// What it has granted.
    pub outstanding: u64,
    /// Services below that are ejected, by name.
    pub ejected: Vec<String>,
}

/// Where a call goes, in place of the address of the configuration.
pub struct Destination {
    /// The service, by its place in the settings.
    pub service: usize,
    /// Its address.
    pub address: SocketAddr,
}

/// A call that may go out.
pub struct StartedCall {
    /// It is given up after this time, in nanoseconds.
    pub timeout: u64,
    /// Where it goes, if to one of a tier.
    pub destination: Option<Destination>,
}

/// What follows from advancing the state.
pub struct Advanced {
    /// Messages to members, by name.
    pub outgoing: Vec<(String, Vec<u8>)>,
    /// A call was refused before and may go out now.
    pub has_capacity: bool,
}

impl Shared {
    /// `tier` has the addresses of the services of the settings, in their order.
    pub fn new(
        me: ServerId,
        settings: &Settings,
        tier: &[SocketAddr],
        seed: u64,
    ) -> Result<Shared, SharedStateError> {
        let began = Instant::now();
        let reading = Reading { monotonic: 0, wall: wall() };
        let state = SharedState::new(me, settings.clone(), seed, reading)?;
        let tier =
            settings.outlier_detection.as_ref().map(|judge| Tier::new(tier.to_vec(), judge.expiry, seed));
        let tier = tier.transpose()?;
        let inner = Inner {
            state,
            permits: Permits::default(),
            tier,
            has_refused: false,
            counted: [0; 4],
            uncounted: 0,
        };
        Ok(Shared { inner: RefCell::new(inner), named: RefCell::default(), began })
    }

    fn reading(&self) -> Reading {
        Reading { monotonic: self.began.elapsed().as_nanos() as u64, wall: wall() }
    }

    /// Whether one more call may go out by the budget and by the health of the services below; where not, so
    /// many wait.
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
        let may = budget.may_acquire(time, permits.in_use(time));
        if !may {
            permits.record_refusal(time, waiting as u64);
            *has_refused = true;
        }
        may
    }

    /// A call goes out; `timeout` is the longest that it may take, in nanoseconds.
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

    /// Whether bytes of a call may be sent now; to be asked right before each write. While the process was
    /// stopped, the lease that permitted the call may have become another server's.
    pub fn permit_send(&self, number: u64) -> bool {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        inner.permits.permit_send(time, number)
    }

    /// A call is over here; `is_over_below` where the service is known to be done with it.
    pub fn end_call(&self, number: u64, is_over_below: bool, evidence: CallEvidence) {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        let Inner { state, tier, .. } = &mut *inner;
        if let Some((tier, detector)) = tier.as_mut().zip(state.outlier_detector.as_mut()) {
            tier.end_call(reading.monotonic, time, number, evidence, detector);
        }
        let use_max = calls(&inner.state).map_or(0, |budget| budget.settings().use_max);
        inner.permits.release(number, is_over_below, use_max);
    }

    /// Counts these tenants by name from now on; returns those that were so far.
    pub fn name_tenants(&self, names: TenantNames) -> TenantNames {
        self.named.replace(names)
    }

    /// The tenant's name in keys of counts; `None` for those that are not counted by name, so that peers
    /// cannot make up keys.
    pub fn tenant(&self, name: &[u8]) -> Option<String> {
        self.named.borrow().contains(name).then(|| String::from_utf8_lossy(name).into_owned())
    }

    /// Adds to the fleet's counts `what/operation` and, for a named tenant, `what/operation/tenant`. Where no
    /// key is left nothing is counted, and the log shows how often.
    pub fn count(&self, what: &str, operation: &str, tenant: Option<&str>, amount: u64) {
        let mut inner = self.inner.borrow_mut();
        let of_all = format!("{what}/{operation}");
        let of_tenant = tenant.map(|tenant| format!("{of_all}/{tenant}"));
        for key in std::iter::once(of_all).chain(of_tenant) {
            let counted = inner.state.counters.add(&key, amount);
            inner.uncounted += u64::from(!counted);
        }
    }

    /// Sets the total of the budget; an error leaves the old one.
    pub fn set_total(&self, total: u64) -> Result<(), BudgetSettingsError> {
        let mut inner = self.inner.borrow_mut();
        let mut calls = inner.state.budgets.iter_mut().filter(|budget| !is_lease(budget));
        calls.try_for_each(|budget| budget.set_total(total))
    }

    /// Receives messages of other members.
    pub fn receive(&self, bodies: Vec<Vec<u8>>) {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        for body in bodies {
            if let Err(fault) = inner.state.receive(reading, &body) {
                tracing::debug!(target: "fleet", %fault, "shared state");
            }
        }
    }

    /// Bodies of other topics that came, each with its sender.
    pub fn take_received(&self) -> Vec<(ServerId, u16, Vec<u8>)> {
        let received = self.inner.borrow_mut().state.take_received();
        received.into_iter().map(|other| (other.from, other.topic, other.body)).collect()
    }

    /// Sends a body of another topic to a member, by name.
    pub fn send_other(&self, to: &str, topic: u16, body: Vec<u8>) {
        self.inner.borrow_mut().state.send_other(to, topic, body);
    }

    /// Does what is due, with these members alive.
    pub fn advance(&self, alive: &[String], counters: &Counters) -> Advanced {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        inner.count_own(counters);
        inner.state_demand(time);
        inner.state.advance(reading, alive);
        inner.update_health(reading.monotonic, time);
        let has_capacity = inner.has_refused && inner.has_capacity(reading.monotonic, time);
        inner.has_refused &= !has_capacity;
        Advanced { outgoing: inner.state.take_outgoing(), has_capacity }
    }

    /// Nanoseconds until [`Self::advance`] is due, at most.
    pub fn due_in(&self) -> u64 {
        self.inner.borrow().state.due_in()
    }

    /// Budget and tier as the log shows them.
    pub fn status(&self) -> SharedStatus {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let Inner { state, permits, tier, .. } = &mut *inner;
        let time = state.read_clocks(reading);
        let names = state.outlier_detector.as_ref().map(|judge| &judge.settings().services);
        let ejected = tier.iter().flat_map(|tier| &tier.ejected);
        let ejected = ejected.filter_map(|i| names?.get(*i).cloned()).collect();
        let Some(budget) = calls(state) else { return SharedStatus { ejected, ..SharedStatus::default() } };
        let ceiling = budget.allowance(time);
        SharedStatus {
            floor: ceiling.floor,
            leased: ceiling.leased,
            uses: permits.in_use(time),
            gives: budget.is_grantor(time),
            outstanding: budget.outstanding(),
            ejected,
        }
    }

    /// The tier as the log shows it.
    pub fn tier_status(&self) -> TierStatus {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        let tier = inner.tier.as_ref().zip(inner.state.outlier_detector.as_ref());
        tier.map_or_else(TierStatus::default, |(tier, detector)| tier.status(time, detector))
    }

    /// The fleet's totals and what was refused, as JSON for the log.
    pub fn totals(&self) -> (String, String) {
        let inner = self.inner.borrow();
        let totals = serde_json::to_string(&inner.state.counters.totals()).unwrap_or_default();
        let budget = calls(&inner.state).map(|budget| budget.counters);
        let (refused, apart) = (inner.state.counters.rejected, inner.state.clock_disagreements());
        let tally = (inner.state.messages, budget, refused, apart, inner.uncounted);
        (totals, serde_json::to_string(&tally).unwrap_or_default())
    }
}

impl Inner {
    /// Adds this server's own counts to those of the fleet.
    fn count_own(&mut self, counters: &Counters) {
        let now = [&counters.invocations, &counters.succeeded, &counters.throttled, &counters.errored];
        for ((key, now), counted) in COUNTED.iter().zip(now).zip(&mut self.counted) {
            self.state.counters.add(key, now.get() - *counted);
            *counted = now.get();
        }
    }

    /// Tells the budget what this server uses and would use.
    fn state_demand(&mut self, time: Time) {
        for budget in self.state.budgets.iter_mut().filter(|budget| !is_lease(budget)) {
            let lately = 2 * budget.settings().refresh_interval;
            let (wanted, in_use) = (self.permits.demand(time, lately), self.permits.in_use(time));
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

    /// Whether a call that may be spent on a health check could go out.
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

/// The budget of downstream calls.
fn calls(state: &SharedState) -> Option<&Budget> {
    state.budgets.iter().find(|budget| !is_lease(budget))
}

/// Keys of the counts of every server, which are words of the wire.
const COUNTED: [&str; 4] = ["invocations", "succeeded", "throttled", "errored"];

fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64)
}
