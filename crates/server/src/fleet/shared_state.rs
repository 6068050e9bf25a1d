//! What this server shares with the others: the pure core, the calls out below against the fleet's budget,
//! and readings of both clocks. The fleet's task and the module's owner both use it, on the one thread.

use crate::configuration::leases::LEASES;
use crate::fleet::tier::Over;
use crate::fleet::tier::Tier;
use crate::lifecycle::changes::TenantNames;
use crate::resources::counters::Counters;
use meadowstream_routing::CallPreference;
use meadowstream_shared_state::budget::{Budget, BudgetSettingsError};
use meadowstream_shared_state::clock::{Reading, Time};
use meadowstream_shared_state::permits::Permits;
use meadowstream_shared_state::{ServerId, Settings, SharedState};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub struct Shared {
    inner: RefCell<Inner>,
    /// Tenants that are counted by name: those that the options name.
    named: RefCell<TenantNames>,
    began: Instant,
}

struct Inner {
    state: SharedState,
    permits: Permits,
    /// Where calls go to one of several services below.
    tier: Option<Tier>,
    /// The module was told that there is no room, and wants to hear when there is.
    refused: bool,
    counted: [u64; 4],
    /// Counts that found no room.
    uncounted: u64,
}

/// What the log says of it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    pub floor: u64,
    pub leased: u64,
    pub uses: u64,
    pub gives: bool,
    pub outstanding: u64,
    /// Services below that are ejected, by name.
    pub ejected: Vec<String>,
}

/// Where a call goes, in place of the address of the configuration.
pub struct Place {
    pub service: usize,
    pub to: SocketAddr,
}

impl Shared {
    /// `tier` are the addresses of the services that the settings judge, in their order.
    pub fn new(me: ServerId, settings: &Settings, tier: &[SocketAddr], seed: u64) -> Result<Shared, String> {
        let began = Instant::now();
        let reading = Reading { monotonic: 0, wall: wall() };
        let state =
            SharedState::new(me, settings.clone(), seed, reading).map_err(|fault| fault.to_string())?;
        let tier =
            settings.outlier_detection.as_ref().map(|judge| Tier::new(tier.to_vec(), judge.expiry, seed));
        let tier = tier.transpose().map_err(|fault| fault.to_string())?;
        let inner =
            Inner { state, permits: Permits::default(), tier, refused: false, counted: [0; 4], uncounted: 0 };
        Ok(Shared { inner: RefCell::new(inner), named: RefCell::default(), began })
    }

    fn reading(&self) -> Reading {
        Reading { monotonic: self.began.elapsed().as_nanos() as u64, wall: wall() }
    }

    /// Whether one more call may go out; where not, so many wait. The fleet's budget and its judgements of
    /// the services below both have a say.
    pub fn may_call(&self, waiting: usize, wish: CallPreference) -> bool {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let Inner { state, permits, tier, refused, .. } = &mut *inner;
        let time = state.read_clocks(reading);
        if tier.as_ref().is_some_and(|tier| !tier.can_route(reading.monotonic, wish)) {
            *refused = true;
            return false;
        }
        let Some(budget) = calls(state) else { return true };
        let may = budget.may_acquire(time, permits.in_use(time));
        if !may {
            permits.refuse(time, waiting as u64);
            *refused = true;
        }
        may
    }

    /// A call goes out; it is given up after so many nanoseconds at the latest. Where it goes, if to one of a
    /// tier.
    pub fn called(&self, number: u64, timeout: u64, wish: CallPreference) -> (u64, Option<Place>) {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        inner.permits.acquire(time, number);
        let place = inner.tier.as_mut().map(|tier| tier.call(reading.monotonic, number, wish));
        let most = calls(&inner.state).map_or(timeout, |budget| timeout.min(budget.settings().use_max));
        (most, place.map(|(service, to)| Place { service, to }))
    }

    /// A call is over; `surely` where what lies below is known to be done with it.
    pub fn ended(&self, number: u64, surely: bool, over: Over) {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        let Inner { state, tier, .. } = &mut *inner;
        if let Some((tier, judge)) = tier.as_mut().zip(state.outlier_detector.as_mut()) {
            tier.ended(reading.monotonic, time, number, over, judge);
        }
        let use_most = calls(&inner.state).map_or(0, |budget| budget.settings().use_max);
        inner.permits.release(number, surely, use_most);
    }

    /// Tenants counted by name from now on; returns those that were so far.
    pub fn name_tenants(&self, names: TenantNames) -> TenantNames {
        self.named.replace(names)
    }

    /// The tenant's name in keys of counts; `None` for those that are not counted by name, so that peers
    /// cannot make up keys.
    pub fn tenant(&self, name: &[u8]) -> Option<String> {
        self.named.borrow().contains(name).then(|| String::from_utf8_lossy(name).into_owned())
    }

    /// Counts for the whole fleet: `what/operation` and, for a named tenant, `what/operation/tenant`. What
    /// finds no room among the keys is not counted, and the log says how often.
    pub fn count(&self, what: &str, operation: &str, tenant: Option<&str>, more: u64) {
        let mut inner = self.inner.borrow_mut();
        let of_all = format!("{what}/{operation}");
        let of_tenant = tenant.map(|tenant| format!("{of_all}/{tenant}"));
        for key in std::iter::once(of_all).chain(of_tenant) {
            let counted = inner.state.counters.add(&key, more);
            inner.uncounted += u64::from(!counted);
        }
    }

    /// A total from a reload; `Err` leaves the old one.
    pub fn set_total(&self, total: u64) -> Result<(), BudgetSettingsError> {
        let mut inner = self.inner.borrow_mut();
        let mut calls = inner.state.budgets.iter_mut().filter(|budget| !is_lease(budget));
        calls.try_for_each(|budget| budget.set_total(total))
    }

    pub fn heard(&self, bodies: Vec<Vec<u8>>) {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        for body in bodies {
            if let Err(fault) = inner.state.receive(reading, &body) {
                tracing::debug!(target: "fleet", %fault, "shared state");
            }
        }
    }

    /// Bodies of other topics that came.
    pub fn others(&self) -> Vec<(ServerId, u16, Vec<u8>)> {
        let received = self.inner.borrow_mut().state.take_received();
        received.into_iter().map(|other| (other.from, other.topic, other.body)).collect()
    }

    pub fn send_other(&self, to: &str, topic: u16, body: Vec<u8>) {
        self.inner.borrow_mut().state.send_other(to, topic, body);
    }

    /// Does what is due; what to send to whom by name, and whether the module is to look again at calls that
    /// it held back.
    pub fn advance(&self, alive: &[String], counters: &Counters) -> (Vec<(String, Vec<u8>)>, bool) {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let Inner { state, permits, tier, refused, counted, .. } = &mut *inner;
        let time = state.read_clocks(reading);
        let now = [&counters.invocations, &counters.succeeded, &counters.throttled, &counters.errored];
        for ((key, now), counted) in COUNTED.iter().zip(now).zip(counted) {
            state.counters.add(key, now.get() - *counted);
            *counted = now.get();
        }
        for budget in state.budgets.iter_mut().filter(|budget| !is_lease(budget)) {
            let lately = 2 * budget.settings().refresh_interval;
            let (wants, uses) = (permits.wanted(time, lately), permits.in_use(time));
            budget.set_demand(wants, uses);
        }
        state.advance(reading, alive);
        if let Some((tier, judge)) = tier.as_mut().zip(state.outlier_detector.as_ref())
            && tier.judged(reading.monotonic, time, judge)
        {
            let ejected: Vec<&String> = tier.ejected.iter().map(|i| &judge.settings().services[*i]).collect();
            let accusers: Vec<usize> = tier.ejected.iter().map(|i| judge.accusers(time, *i)).collect();
            tracing::info!(target: "fleet", ?ejected, ?accusers, alone = judge.is_isolated(time), "judged");
        }
        let may_probe = CallPreference { last_service: None, may_probe: true };
        let open = tier.as_ref().is_none_or(|tier| tier.can_route(reading.monotonic, may_probe));
        let free = |time: Time, permits: &mut Permits| {
            let uses = permits.in_use(time);
            calls(state).is_none_or(|budget| budget.may_acquire(time, uses))
        };
        let again = *refused && open && free(time, permits);
        *refused &= !again;
        (state.take_outgoing(), again)
    }

    /// In nanoseconds, at most.
    pub fn due_in(&self) -> u64 {
        self.inner.borrow().state.due_in()
    }

    pub fn shown(&self) -> Shown {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let Inner { state, permits, tier, .. } = &mut *inner;
        let time = state.read_clocks(reading);
        let names = state.outlier_detector.as_ref().map(|judge| &judge.settings().services);
        let ejected = tier.iter().flat_map(|tier| &tier.ejected);
        let ejected = ejected.filter_map(|i| names?.get(*i).cloned()).collect();
        let Some(budget) = calls(state) else { return Shown { ejected, ..Shown::default() } };
        let ceiling = budget.allowance(time);
        Shown {
            floor: ceiling.floor,
            leased: ceiling.leased,
            uses: permits.in_use(time),
            gives: budget.is_grantor(time),
            outstanding: budget.outstanding(),
            ejected,
        }
    }

    /// Calls to the tier below and its services, as JSON for the log; empty where there is none.
    pub fn tier(&self) -> (String, String) {
        let reading = self.reading();
        let mut inner = self.inner.borrow_mut();
        let time = inner.state.read_clocks(reading);
        let shown = inner.tier.as_ref().zip(inner.state.outlier_detector.as_ref());
        shown.map_or_else(Default::default, |(tier, judge)| tier.shown(time, judge))
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

fn is_lease(budget: &Budget) -> bool {
    LEASES.contains(&budget.settings().name.as_str())
}

/// The budget of calls below.
fn calls(state: &SharedState) -> Option<&Budget> {
    state.budgets.iter().find(|budget| !is_lease(budget))
}

const COUNTED: [&str; 4] = ["invocations", "succeeded", "throttled", "errored"];

fn wall() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_nanos() as u64)
}
