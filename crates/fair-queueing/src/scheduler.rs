//! Scheduler that classifies arrivals, assigns their start tags and issues promises.

use crate::Nanos;
use crate::account::Account;
use crate::counters::{SchedulerCounters, TopTenant};
use crate::fair_rate::FairRate;
use crate::promises::{Promise, Promises, Redemption};
use crate::queue_order::ServiceClock;
use crate::reconfiguration::SettingsChange;
use crate::settings::Settings;
use crate::tenant::{Fingerprint, FingerprintKey, TenantKey};
use crate::usage::{LocatedArrival, RateSnapshot, Usage, UsageLocation};

/// Maximum shortfall at which a promise to admit a retry is honoured, as a ratio of the predicted advance of
/// virtual time. The shortfall is how far virtual time is behind the start of the reservation at the retry.
const SHORTFALL_MAX_RATIO: f64 = 0.5;
/// Minimum work of an arrival's operation, in nanoseconds of one core. Smaller values from the caller are
/// raised to this minimum.
const WORK_MIN: f64 = 1.0;
const SECOND_NS: f64 = 1e9;

/// Result of classifying one arrival. The caller stores the result and passes it to
/// [`FairScheduler::end_service`] when the arrival ends.
#[derive(Clone, Copy, Debug, Default)]
pub struct Admission {
    /// Start tag of the arrival in start-time fair queueing, in nanoseconds of one core per unit of weight.
    /// Lower tags are served first.
    pub start_tag: u64,
    /// Whether the arrival is beyond its tenant's share.
    pub surplus: bool,
    /// Whether the arrival presented the ticket of a promise and the promise was honoured.
    pub promised: bool,
    location: UsageLocation,
    tenant: Fingerprint,
    weight: f64,
    /// Work that the arrival's operation usually needs, in nanoseconds of one core.
    usual_work: f64,
    /// Estimated work of the arrival, in nanoseconds of one core. The estimate uses the tenant's earlier
    /// invocations.
    estimated_work: f64,
    /// Work that was charged to the tenant's share when the arrival was classified, in nanoseconds of one
    /// core.
    charged_work: f64,
    /// Distance by which the arrival advances the tail of its tenant's queue, in nanoseconds of one core per
    /// unit of weight: the arrival's estimated work divided by the tenant's weight.
    queued_span: f64,
}

/// Outcome of an arrival: it ran and used some work, or it never ran.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceOutcome {
    /// The arrival ran. The value is the work that it used, in nanoseconds of one core.
    Ran(Nanos),
    /// The arrival never ran, for example because it was rejected.
    NeverRan,
}

/// Advice for the sender of a rejected arrival: when to retry, and with which ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAdvice {
    /// Time to wait between the rejection and the retry, in nanoseconds.
    pub retry_after: Nanos,
    /// Number of the ticket with which the retry will be admitted. `None` if the retry was not promised
    /// admission.
    pub ticket: Option<u64>,
}

/// Scheduler for fair queueing among all tenants of one server.
pub struct FairScheduler {
    settings: Settings,
    fingerprints: FingerprintKey,
    rate: FairRate,
    usage: Usage,
    promises: Promises,
    /// Maximum work that a tenant of weight 1 within its share may use in advance, in nanoseconds of one
    /// core. This limits the result of [`FairScheduler::allowance`] at any fair rate.
    allowance_max: f64,
    served: ServiceClock,
    /// Counters of scheduling events. Each counter starts at 0 when the scheduler is created.
    pub counters: SchedulerCounters,
}

impl FairScheduler {
    /// Creates a scheduler. `cores` is the capacity that all tenants share. `seed` determines the random
    /// choices and the key for hashing tenant names.
    pub fn new(settings: Settings, cores: f64, seed: u64, now: Nanos) -> Self {
        let (longest, grace) = (settings.promise_max, settings.return_grace);
        let mut scheduler = Self {
            fingerprints: FingerprintKey::new(seed),
            rate: FairRate::new(cores, now),
            usage: Usage::new(&settings),
            promises: Promises::new(settings.promises, longest, grace, seed, now),
            allowance_max: f64::INFINITY,
            served: ServiceClock::default(),
            counters: SchedulerCounters::default(),
            settings,
        };
        // Creates the accounts of the named tenants. The list of named tenants is needed only here, so it is
        // removed from the stored settings.
        for (name, weight) in std::mem::take(&mut scheduler.settings.named).iter() {
            scheduler.pin(name, *weight, 0.0, now);
        }
        scheduler
    }

    fn pin(&mut self, name: &[u8], weight: f64, finish: f64, now: Nanos) {
        let tenant = self.fingerprints.fingerprint(name);
        self.usage.accounts.pin(tenant, Account::new(name, weight, finish, now));
    }

    /// Advances virtual time up to the real time `now`, and removes expired promises. Returns the latest real
    /// time passed to any call.
    fn advance(&mut self, now: Nanos) -> Nanos {
        let now = self.rate.advance(now);
        self.counters.lapsed += self.promises.expire(now);
        now
    }

    /// Classifies an arrival of an operation that usually needs `work` nanoseconds of one core. `ticket` is
    /// the number of the ticket that the caller sent, if any.
    pub fn arrive(&mut self, now: Nanos, key: TenantKey<'_>, work: f64, ticket: Option<u64>) -> Admission {
        let now = self.advance(now);
        let tenant = self.fingerprints.fingerprint(key.name);
        let usual_work = work.max(WORK_MIN);
        let virtual_time = self.rate.virtual_time();
        let snapshot = RateSnapshot { now, virtual_time, allowance: self.allowance() };
        let LocatedArrival { location, weight, estimated_work } =
            self.usage.locate(snapshot, tenant, &key, usual_work, &self.settings, &mut self.counters);
        if location == UsageLocation::Sketch {
            self.rate.record_sketched_demand(now, tenant, weight, estimated_work);
        }
        let admission =
            Admission { location, tenant, weight, usual_work, estimated_work, ..Admission::default() };
        match ticket.and_then(|ticket| self.redeem(now, ticket, tenant)) {
            Some(promise) => self.admit_as_promised(admission, &promise),
            None => self.classify(admission),
        }
    }

    /// Redeems the ticket of a promise. Returns the promise if the ticket is valid and the promise can be
    /// honoured.
    fn redeem(&mut self, now: Nanos, ticket: u64, tenant: Fingerprint) -> Option<Promise> {
        match self.promises.redeem(now, ticket, tenant) {
            Redemption::InTime(promise) => {
                let shortfall = promise.booked_start - self.rate.virtual_time();
                if shortfall <= promise.expected_advance * SHORTFALL_MAX_RATIO {
                    self.counters.kept += 1;
                    return Some(promise);
                }
                self.counters.broken += 1;
            }
            Redemption::Early => self.counters.early += 1,
            Redemption::Unknown => self.counters.unknown += 1,
        }
        None
    }

    /// Decides whether an arrival is within its tenant's share, and assigns the arrival's start tag. If the
    /// arrival is within the share, its estimated work is charged to the share.
    fn classify(&mut self, mut admission: Admission) -> Admission {
        let virtual_time = self.rate.virtual_time();
        let start = self.share_start(&admission);
        admission.surplus = start - virtual_time > self.allowance();
        self.usage.count(admission.location, admission.surplus);
        if admission.surplus {
            self.counters.surplus += 1;
        } else {
            self.counters.within += 1;
            admission.charged_work = admission.estimated_work;
            self.charge(&admission, start, admission.estimated_work);
        }
        self.enqueue(&mut admission, start - virtual_time);
        admission
    }

    /// Admits a retry that redeems a promise. The retry's start tag was fixed with the promise. The retry is
    /// therefore not placed behind arrivals of its tenant that followed the rejected attempt.
    fn admit_as_promised(&mut self, mut admission: Admission, promise: &Promise) -> Admission {
        self.counters.within += 1;
        self.usage.count(admission.location, false);
        admission.promised = true;
        admission.estimated_work = promise.work;
        admission.charged_work = promise.work;
        admission.queued_span = promise.work / admission.weight;
        let start_tag = promise.start_tag.max(self.served.tag(false));
        admission.start_tag = start_tag as u64;
        if let Some(tails) = self.usage.tails_mut(admission.location) {
            tails.within = tails.within.max(start_tag) + admission.queued_span;
        }
        // For a tenant in the sketch, the arrival's work was already charged when the promise was issued.
        if admission.location != UsageLocation::Sketch {
            let start = self.share_start(&admission);
            self.charge(&admission, start, promise.work);
        }
        admission
    }

    /// Returns how far a tenant may use its share ahead of virtual time and still count as within its share.
    /// The unit is that of virtual time, nanoseconds of one core per unit of weight.
    fn allowance(&self) -> f64 {
        (self.rate.cores() * self.settings.burst as f64).min(self.allowance_max)
    }

    fn finish(&mut self, admission: &Admission) -> f64 {
        self.usage.finish(admission.location, admission.tenant, self.rate.virtual_time())
    }

    /// Returns the virtual time from which an arrival uses its tenant's share: the tenant's finish or the
    /// current virtual time, whichever is later. A tenant thus gets no credit for share that it left unused.
    fn share_start(&mut self, admission: &Admission) -> f64 {
        self.finish(admission).max(self.rate.virtual_time())
    }

    /// Charges `work` to the share of the arrival's tenant, beginning at the virtual time `start`. Negative
    /// work is a refund. A refund has no effect for a tenant that is recorded in the sketch.
    fn charge(&mut self, admission: &Admission, start: f64, work: f64) {
        let finish = start + work / admission.weight;
        self.usage.set_finish(admission.location, admission.tenant, finish, self.rate.virtual_time());
    }

    /// Assigns the start tag of an arrival: the tail of its tenant's queue or the highest start tag served so
    /// far, whichever is higher. `ahead` is how far the tenant has used its share ahead of virtual time.
    fn enqueue(&mut self, admission: &mut Admission, ahead: f64) {
        let served = self.served.tag(admission.surplus);
        let Some(tails) = self.usage.tails_mut(admission.location) else {
            // A tenant in the sketch has no queue tails. Its start tag is the highest tag served so far plus
            // the distance `ahead`, by which the tenant has used its share in advance.
            admission.start_tag = (served + ahead) as u64;
            return;
        };
        let tail = tails.get_mut(admission.surplus);
        let start_tag = tail.max(served);
        admission.start_tag = start_tag as u64;
        admission.queued_span = admission.estimated_work / admission.weight;
        *tail = start_tag + admission.queued_span;
    }

    /// Records that an arrival begins to be served. This updates the highest start tag served so far.
    pub fn start_service(&mut self, admission: &Admission) {
        self.served.advance(admission.surplus, admission.start_tag);
    }

    /// Records the end of an arrival. If the arrival's estimated work was charged to its tenant's share, the
    /// charge is corrected to the work that the arrival really used. A tenant in the sketch gets no refund.
    pub fn end_service(&mut self, now: Nanos, admission: &Admission, outcome: ServiceOutcome) {
        self.advance(now);
        let used = match outcome {
            ServiceOutcome::Ran(work) => work as f64,
            ServiceOutcome::NeverRan => 0.0,
        };
        match outcome {
            ServiceOutcome::Ran(_) => self.learn_ratio(admission, used),
            ServiceOutcome::NeverRan => self.shorten_queue(admission),
        }
        if admission.surplus {
            return;
        }
        let finish = self.finish(admission);
        let correction = used - admission.charged_work;
        let is_sketched = admission.location == UsageLocation::Sketch;
        if correction != 0.0 && (correction > 0.0 || !is_sketched) {
            self.charge(admission, finish, correction);
        }
    }

    /// Updates the tenant's learned ratio (used work divided by usually needed work) after an arrival has
    /// run. Has no effect if the tenant's account was evicted while the arrival ran.
    fn learn_ratio(&mut self, admission: &Admission, used: f64) {
        if let Some(ratio) = self.usage.ratio_mut(admission.location) {
            ratio.learn(used / admission.usual_work);
        }
    }

    /// Removes an arrival that never ran from its tenant's queue: the queue's tail is moved back as far as
    /// the arrival had advanced it. Has no effect if the tenant's account was evicted.
    fn shorten_queue(&mut self, admission: &Admission) {
        if let Some(tails) = self.usage.tails_mut(admission.location) {
            *tails.get_mut(admission.surplus) -= admission.queued_span;
        }
    }

    /// Returns how long a rejected arrival should wait before its retry and, if possible, a promise to admit
    /// the retry. The wait lasts until the tenant's share has capacity, but at least `wait_min` nanoseconds.
    /// No promise is issued if the wait would be too long or too many promises are active. The returned wait
    /// is then between half of [`Settings::promise_max`] and all of it.
    ///
    /// Promises to one tenant are spaced at its fair rate, so repeated requests get later and later times. A
    /// tenant is charged when a promise is redeemed, so a lapsed promise costs nothing. A tenant in the
    /// sketch is instead charged when a promise is issued, with no refund if the promise lapses.
    pub fn promise(&mut self, now: Nanos, admission: &Admission, wait_min: Nanos) -> RetryAdvice {
        let now = self.advance(now);
        let (virtual_time, cores) = (self.rate.virtual_time(), self.rate.cores());
        let free_from = self.finish(admission) - self.allowance();
        let booked_until = self.usage.booked_until_mut(admission.location).map(|booked_until| *booked_until);
        let booked_start = booked_until.map_or(free_from, |until| until.max(free_from)).max(virtual_time);
        let wait = ((booked_start - virtual_time) / cores).max(wait_min as f64);
        let tail = self.usage.tails_mut(admission.location).map_or(0.0, |tails| tails.within);
        let promise = Promise {
            tenant: admission.tenant,
            work: admission.estimated_work,
            start_tag: tail.max(self.served.tag(false)),
            booked_start,
            expected_advance: wait * cores,
        };
        let Some(ticket) = self.promises.make(now, wait, promise) else {
            self.counters.unpromised += 1;
            let longest = self.settings.promise_max as f64;
            let retry_after = wait.clamp(longest / 2.0, longest) as Nanos;
            return RetryAdvice { retry_after, ticket: None };
        };
        self.counters.promised += 1;
        self.book(admission, booked_start);
        RetryAdvice { retry_after: ticket.wait, ticket: Some(ticket.number) }
    }

    /// Reserves tenant share for the promised retry of a rejected arrival (`admission`). For a tenant in the
    /// sketch, which stores no reservations, the arrival's estimated work is charged to the share at once.
    fn book(&mut self, admission: &Admission, booked_start: f64) {
        match self.usage.booked_until_mut(admission.location) {
            Some(booked_until) => *booked_until = booked_start + admission.estimated_work / admission.weight,
            None => self.charge(admission, booked_start, admission.estimated_work),
        }
    }

    /// Applies one part of a change of settings. The limits on accounts, sketch cells, origins and promises
    /// change only at a restart. The running time depends only on the number of names in the part.
    pub fn reconfigure(&mut self, change: &SettingsChange, now: Nanos) {
        let now = self.advance(now);
        for name in &change.unnamed {
            let tenant = self.fingerprints.fingerprint(name);
            self.usage.accounts.unpin(tenant, self.settings.default_weight, now);
        }
        for (name, weight) in &change.named {
            self.pin(name, *weight, self.rate.virtual_time(), now);
        }
        self.usage.origins.set_names_per_origin(change.names_per_origin);
        self.settings.names_per_origin = change.names_per_origin;
        self.settings.default_weight = change.default_weight;
        self.settings.burst = change.burst;
        self.settings.probation = change.probation;
    }

    /// Recomputes the fair rate from the recent demands. The caller does this once per control period.
    /// `capacity` is the capacity to allocate, in cores. `allowance_max` is the maximum work that a tenant of
    /// weight 1 may use in advance, in nanoseconds of one core. Without this limit, an arrival could be
    /// admitted and later rejected because its deadline is too close. Its work would then be charged to no
    /// tenant.
    pub fn update_fair_rate(&mut self, now: Nanos, capacity: f64, allowance_max: f64) {
        self.allowance_max = allowance_max;
        let now = self.advance(now);
        self.rate.update(now, capacity, self.usage.demands(now, self.settings.default_weight));
        self.usage.sweep(self.rate.virtual_time());
    }

    /// Returns the fair rate: the share of a tenant of weight 1, in cores.
    pub fn fair_rate(&self) -> f64 {
        self.rate.cores()
    }

    /// Returns the number of tenants that have an account of their own.
    pub fn accounts(&self) -> usize {
        self.usage.accounts.len()
    }

    /// Returns the number of promises whose tickets have neither been redeemed nor expired.
    pub fn promises(&self) -> usize {
        self.promises.len()
    }

    /// Returns the memory that the scheduler uses now, in bytes. The maximum is [`Settings::bytes_max`].
    pub fn bytes(&self) -> usize {
        self.usage.bytes() + self.promises.bytes() + size_of::<FairScheduler>()
    }

    /// Returns statistics of the tenants with the highest recent demand, in descending order of demand. The
    /// list has at most `limit` tenants.
    pub fn top_tenants(&mut self, now: Nanos, limit: usize) -> Vec<TopTenant> {
        let now = self.advance(now);
        let (virtual_time, cores) = (self.rate.virtual_time(), self.rate.cores());
        let mut tenants = Vec::new();
        for account in self.usage.accounts.by_demand(now, limit) {
            tenants.push(TopTenant {
                name: account.display_name(),
                weight: account.weight,
                demand: account.demand(now),
                ahead: ((account.finish - virtual_time) / cores / SECOND_NS).max(0.0),
                within: account.within,
                surplus: account.surplus,
            });
        }
        tenants
    }
}

impl Settings {
    /// Returns the maximum memory that a [`FairScheduler`] with these settings can use, in bytes.
    pub fn bytes_max(&self) -> usize {
        self.parts_bytes_max() + size_of::<FairScheduler>()
    }
}
