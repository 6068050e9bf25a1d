//! The scheduler: classifies arrivals, orders them and makes promises.

use crate::Nanos;
use crate::account::Account;
use crate::counters::{SchedulerCounters, TopTenant};
use crate::fair_rate::FairRate;
use crate::promises::{Promise, Promises, Redemption};
use crate::queue_order::ServiceClock;
use crate::reconfiguration::SettingsChange;
use crate::settings::Settings;
use crate::tenant::{Fingerprint, FingerprintKey, TenantKey};
use crate::usage::{Located, Present, Usage, UsageLocation};

/// A promise does not hold where virtual time has fallen short by more than this share of the expected
/// advance.
const SHORTFALL_MAX_RATIO: f64 = 0.5;
/// Least work of an arrival, in nanoseconds of one core.
const WORK_MIN: f64 = 1.0;
const SECOND_NS: f64 = 1e9;

/// What was decided of one arrival; its owner keeps it and gives it back when the arrival is over.
#[derive(Clone, Copy, Debug, Default)]
pub struct Admission {
    /// Start tag of start-time fair queueing, in nanoseconds of one core for a unit of weight: lower ones
    /// first.
    pub start_tag: u64,
    /// It is beyond its tenant's share.
    pub surplus: bool,
    /// It returned as promised, and the promise holds.
    pub promised: bool,
    location: UsageLocation,
    tenant: Fingerprint,
    weight: f64,
    /// Usual work of its operation; this and the other work, in nanoseconds of one core.
    usual_work: f64,
    /// Work estimated from its tenant's past.
    estimated_work: f64,
    /// Work charged to its tenant's share.
    charged_work: f64,
    /// Span of start tags that it takes in its tenant's queue: its estimated work over its weight.
    queued_span: f64,
}

/// How an arrival ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServiceOutcome {
    /// It ran for so many nanoseconds of one core.
    Ran(Nanos),
    /// It never ran.
    NeverRan,
}

/// What a rejected arrival is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReturnAdvice {
    /// How long to stay away, in nanoseconds.
    pub retry_after: Nanos,
    /// The ticket of the promise; `None` where nothing is promised.
    pub ticket: Option<u64>,
}

/// Fair queueing among all tenants of one server.
pub struct FairScheduler {
    settings: Settings,
    fingerprints: FingerprintKey,
    rate: FairRate,
    usage: Usage,
    promises: Promises,
    /// Most work of a tenant of weight 1 that may be admitted ahead of virtual time, whatever the rate;
    /// nanoseconds of one core.
    allowance_max: f64,
    served: ServiceClock,
    /// Events since the start.
    pub counters: SchedulerCounters,
}

impl FairScheduler {
    /// `cores` is the most that all tenants may have together. All random choices come from `seed`.
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
        // Named tenants have accounts from here on; the list stays with its owner.
        for (name, weight) in std::mem::take(&mut scheduler.settings.named).iter() {
            scheduler.pin(name, *weight, 0.0, now);
        }
        scheduler
    }

    fn pin(&mut self, name: &[u8], weight: f64, finish: f64, now: Nanos) {
        let tenant = self.fingerprints.fingerprint(name);
        self.usage.accounts.pin(tenant, Account::new(name, weight, finish, now));
    }

    /// Advances to `now`; returns the latest time there was.
    fn advance(&mut self, now: Nanos) -> Nanos {
        let now = self.rate.advance(now);
        self.counters.lapsed += self.promises.expire(now);
        now
    }

    /// Classifies an arrival that will usually need `work` nanoseconds of one core; `ticket` is that of a
    /// promise.
    pub fn arrive(&mut self, now: Nanos, key: TenantKey<'_>, work: f64, ticket: Option<u64>) -> Admission {
        let now = self.advance(now);
        let tenant = self.fingerprints.fingerprint(key.name);
        let usual_work = work.max(WORK_MIN);
        let virtual_time = self.rate.virtual_time();
        let present = Present { now, virtual_time, allowance: self.allowance() };
        let Located { location, weight, estimated_work } =
            self.usage.locate(present, tenant, &key, usual_work, &self.settings, &mut self.counters);
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

    /// The promise of a ticket, if it holds.
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

    /// Decides whether an arrival is within its tenant's share, charges it if so, and gives it its start tag.
    fn classify(&mut self, mut admission: Admission) -> Admission {
        let virtual_time = self.rate.virtual_time();
        let begins = self.begins(&admission);
        admission.surplus = begins - virtual_time > self.allowance();
        self.usage.count(admission.location, admission.surplus);
        if admission.surplus {
            self.counters.surplus += 1;
        } else {
            self.counters.within += 1;
            admission.charged_work = admission.estimated_work;
            self.charge(&admission, begins, admission.estimated_work);
        }
        self.enqueue(&mut admission, begins - virtual_time);
        admission
    }

    /// Admits a return as promised: it has queued since its rejection, ahead of what its tenant has sent
    /// later.
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
        // In the sketch it was charged when it was promised.
        if admission.location != UsageLocation::Sketch {
            let begins = self.begins(&admission);
            self.charge(&admission, begins, promise.work);
        }
        admission
    }

    /// How far ahead of virtual time a finish may lie within the share.
    fn allowance(&self) -> f64 {
        (self.rate.cores() * self.settings.burst as f64).min(self.allowance_max)
    }

    fn finish(&mut self, admission: &Admission) -> f64 {
        self.usage.finish(admission.location, admission.tenant, self.rate.virtual_time())
    }

    /// Virtual time at which an arrival begins in its tenant's share; time without use gives no credit.
    fn begins(&mut self, admission: &Admission) -> f64 {
        self.finish(admission).max(self.rate.virtual_time())
    }

    /// Moves its tenant's finish on by work from where it begins; work under 0 is given back where that can
    /// be done.
    fn charge(&mut self, admission: &Admission, begins: f64, work: f64) {
        let finish = begins + work / admission.weight;
        self.usage.set_finish(admission.location, admission.tenant, finish, self.rate.virtual_time());
    }

    /// Gives an arrival its start tag: behind what its tenant has queued already, else at the tag served
    /// last.
    fn enqueue(&mut self, admission: &mut Admission, ahead: f64) {
        let served = self.served.tag(admission.surplus);
        let Some(tails) = self.usage.tails_mut(admission.location) else {
            // The sketch keeps no queues: a tenant ahead of its share stands back by as much.
            admission.start_tag = (served + ahead) as u64;
            return;
        };
        let tail = tails.get_mut(admission.surplus);
        let start_tag = tail.max(served);
        admission.start_tag = start_tag as u64;
        admission.queued_span = admission.estimated_work / admission.weight;
        *tail = start_tag + admission.queued_span;
    }

    /// An arrival begins to be served.
    pub fn start_service(&mut self, admission: &Admission) {
        self.served.advance(admission.surplus, admission.start_tag);
    }

    /// An arrival is over: what it was charged is corrected by what it used.
    pub fn end(&mut self, now: Nanos, admission: &Admission, outcome: ServiceOutcome) {
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

    /// Learns how the work used compares with the usual work. The account may have been evicted while it ran;
    /// then there is nothing to learn for, nor a queue.
    fn learn_ratio(&mut self, admission: &Admission, used: f64) {
        if let Some(ratio) = self.usage.ratio_mut(admission.location) {
            ratio.learn(used / admission.usual_work);
        }
    }

    /// One that never ran gives its span in its tenant's queue back.
    fn shorten_queue(&mut self, admission: &Admission) {
        if let Some(tails) = self.usage.tails_mut(admission.location) {
            *tails.get_mut(admission.surplus) -= admission.queued_span;
        }
    }

    /// What a rejected arrival is told: when its tenant will have capacity for it, but `least` nanoseconds at
    /// least, and the ticket to come back with. Nothing is promised where the time would be too long or too
    /// many promises stand.
    ///
    /// Promises to a tenant follow one another at its fair rate, so that whoever asks again gets a later one.
    /// They are charged on return: one for which nobody returns costs its tenant nothing. Those in the sketch
    /// are charged when they are made, and what nobody returns for stays charged.
    pub fn promise(&mut self, now: Nanos, admission: &Admission, least: Nanos) -> ReturnAdvice {
        let now = self.advance(now);
        let (virtual_time, cores) = (self.rate.virtual_time(), self.rate.cores());
        let free_from = self.finish(admission) - self.allowance();
        let booked_until = self.usage.booked_until_mut(admission.location).map(|booked_until| *booked_until);
        let booked_start = booked_until.map_or(free_from, |until| until.max(free_from)).max(virtual_time);
        let wait = ((booked_start - virtual_time) / cores).max(least as f64);
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
            return ReturnAdvice { retry_after, ticket: None };
        };
        self.counters.promised += 1;
        self.book(admission, booked_start);
        ReturnAdvice { retry_after: ticket.wait, ticket: Some(ticket.number) }
    }

    /// Books a promise from where it begins in its tenant's share. The sketch keeps no bookings: there the
    /// work is charged at once.
    fn book(&mut self, admission: &Admission, booked_start: f64) {
        match self.usage.booked_until_mut(admission.location) {
            Some(booked_until) => *booked_until = booked_start + admission.estimated_work / admission.weight,
            None => self.charge(admission, booked_start, admission.estimated_work),
        }
    }

    /// Takes one part of a change of settings; limits stay as they are until a restart. The time it takes
    /// grows with the names in the part alone.
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

    /// Finds the fair rate anew for the recent demands, once a control period. `capacity` is the work a
    /// second that is to be given out, in cores; `allowance_max` the work that a tenant of weight 1 may have
    /// admitted: an arrival that is admitted and then rejected for want of time would be charged to nobody.
    pub fn update_fair_rate(&mut self, now: Nanos, capacity: f64, allowance_max: f64) {
        self.allowance_max = allowance_max;
        let now = self.advance(now);
        self.rate.update(now, capacity, self.usage.demands(now, self.settings.default_weight));
        self.usage.sweep(self.rate.virtual_time());
    }

    /// The fair rate of a unit of weight, in cores.
    pub fn fair_rate(&self) -> f64 {
        self.rate.cores()
    }

    /// Tenants with an account.
    pub fn accounts(&self) -> usize {
        self.usage.accounts.len()
    }

    /// Promises that stand.
    pub fn promises(&self) -> usize {
        self.promises.len()
    }

    /// Bytes held now; never over [`Settings::bytes_max`].
    pub fn bytes(&self) -> usize {
        self.usage.bytes() + self.promises.bytes() + size_of::<FairScheduler>()
    }

    /// The `limit` tenants with most recent demand.
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
    /// All bytes that a [`FairScheduler`] with these settings may ever hold.
    pub fn bytes_max(&self) -> usize {
        self.parts_bytes_max() + size_of::<FairScheduler>()
    }
}
