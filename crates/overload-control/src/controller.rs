//! Every decision of meadowstream: one `Controller` lives in each server and sees that server alone.
//!
//! How it is called: the host makes it with `Controller::new` and passes on what happens as `arrived`,
//! `finished`, `needs_call`, `call_ended`, `told_to_leave`, `caller_gone` and `woken`. Each call notes
//! what it brings, then goes through `RULES` in order, from the top again after each rule that fires,
//! until none does. What is decided goes out through the `Host` passed with the call.
//! The interface (`Host`, `Deployment`, `Arrival`, `Outcome`) is in lib.rs, the regulator's sums in
//! lq.rs, the decaying sums in decay.rs. `docs/design.md` says what follows the paper and what departs.

use crate::decaying_mean::Decaying;
use crate::invocations::{Inv, Invs, State};
use crate::largest::Largest;
use crate::linear_quadratic::{self, Fit, Plant};
use crate::{
    Advertisement, Arrival, Deployment, Downstream, Effect, Gauges, Host, Nanos, Operation, Outcome,
    Preemption,
};
use meadowstream_fair_queueing::{FairScheduler, ServiceOutcome, TenantKey};
use meadowstream_pending_queue::expiring_keys::ExpiringKeys;
use meadowstream_pending_queue::{Capacity, UsualTimes};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The control period: the span that the gauge looks back over.
pub const CONTROL_PERIOD: Nanos = 500_000_000;
/// Connections stay where a caller comes back this often before it would close its own, else for a share of
/// the period.
const RETURNS: f64 = 4.0;
const PASSING: f64 = 0.02;
/// Busy share of the cores under which they idle.
const IDLE: f64 = 0.25;
/// UsualTimes time unread as a share of a run's, and the share of the shortest objective that is a flood.
const UNREAD_USUAL: f64 = 0.5;
const FLOODED: f64 = 0.25;
/// Weights of error and running sum, and of refusing premium and basic (the paper's).
const STATE_WEIGHTS: [f64; 2] = [1.0, 1.0];
const INPUT_WEIGHTS: [f64; 2] = [0.1, 0.001];
const RICCATI: (usize, f64) = (200, 1e-6);
/// The fit: doubt in the prior, forgetting, and how much rtr must have varied before it is believed.
const FIT_DOUBT: f64 = 1.0;
const FIT_FORGETTING: f64 = 0.97;
const EXCITED: f64 = 0.5;
/// Learned times are halved in weight after this many periods.
const MEMORY_PERIODS: u64 = 16;
/// Before anything is learned a run is taken to need this share of its latency objective.
const FIRST_GUESS: f64 = 0.15;
/// Share of the latency objective kept for the way back to the client.
const WAY_BACK: f64 = 0.02;
/// A throttled one may be tried elsewhere up to this refusal ratio of basic, or share of marked tries.
const WALK: f64 = 0.3;
/// Seconds of its share that a tenant may send at once before it counts as over it.
const SHARE_SECONDS: f64 = 15.0;
/// Work of one tenant within its share that may be in hand, as a share of what is done in the shortest
/// objective.
const SHARE_HELD: f64 = 0.25;
/// Share of memory and of the survivable crowd that is used.
const MEMORY_SHARE: f64 = 0.85;
const CROWD_SHARE: f64 = 0.7;
/// The limit of calls: growth in cores for each good call while it binds, cut for each one turned away.
const CALLS_UP: f64 = 0.1;
const CALLS_DOWN: f64 = 0.93;
/// A call that may be repeated is given up after this many usual call times, twice as many each time.
const CALL_PATIENCE: f64 = 2.0;
/// Share of the room for calls below that all but the top rank leave free.
const KEPT_FREE: f64 = 0.3;
/// One that may not be repeated is given so much longer.
const ONCE: f64 = 4.0;
/// A call that was turned away is made again after this share of a run's usual time.
const CALL_PAUSE: f64 = 0.25;
/// Reading takes its place under the running limit, up to this share of the cores.
const READING_SHARE: f64 = 0.25;
/// Steps of the running limit a reading, and the slowdown of runs at which it eases back.
const LIMIT_UP: f64 = 1.15;
const LIMIT_DOWN: f64 = 0.95;
const SLOWED: f64 = 1.3;
/// Growth of the learned base for each run, so that it follows a lasting change.
const BASE_DRIFT: f64 = 1.005;
/// Share of runs that fail: to act on, and most kept away for it; and runs to have seen.
const FAILING: f64 = 0.25;
const FAILING_MOST: f64 = 0.9;
const SEEN_FAILING: f64 = 2.0;
/// Nothing moved on the cores for this many usual run times: they stand still.
const STALLED: f64 = 6.0;

pub const CONTROL_TIMER: u32 = 0;
const DEADLINE_TIMER: u32 = 1;

/// What is learned of an operation: time on the cores, and from start to end, calls included.
struct Learned {
    work: Decaying,
    whole: Decaying,
    base: f64,
    hint: Decaying,
}

impl Learned {
    fn usual(&self) -> UsualTimes {
        UsualTimes { core_ns: self.work.mean(), elapsed_ns: self.whole.mean() }
    }
}

struct Regulator {
    sum: f64,
    /// Refusal ratios of premium and basic.
    ratio: [f64; 2],
    output: f64,
    fit: Fit,
    /// How much the output moved of late while basic was refused.
    varied: f64,
}

pub struct Controller {
    site: Deployment,
    now: Nanos,
    born: Nanos,
    invs: Invs,
    values: Vec<f64>,
    learned: Vec<Learned>,
    /// UsualTimes times on the cores of all operations, and their shortest objective.
    usual_runs: Largest,
    shortest_objective: Nanos,
    tenants: Vec<(f64, Nanos)>,
    fair: Option<FairScheduler>,
    tokens: ExpiringKeys,
    /// The learned running limit, and usual times as the hold asks for them.
    usual: Vec<UsualTimes>,
    limit: f64,
    unread_for: Decaying,
    reading: Decaying,
    retried: Decaying,
    calls_limit: f64,
    /// The fleet's budget has no call left for this server.
    calls_shut: bool,
    call_time: Decaying,
    /// Call time still allowed below, in ns; below none while what is out takes more than it may.
    below_room: f64,
    below_needed: f64,
    regulator: Regulator,
    period_start: Nanos,
    last_progress: Nanos,
    failing: Decaying,
    leave: Option<(Nanos, Nanos)>,
    alarm_at: Nanos,
    advertised: Option<f64>,
    healthy: bool,
    shut: bool,
    spare: bool,
}

/// A condition and an effect; `None` where the condition does not hold.
type Rule = fn(&mut Controller, &mut dyn Host) -> Option<()>;

/// Gone through in this order after every input, until none fires.
const RULES: &[Rule] = &[
    Controller::answer_what_is_due,
    Controller::stop_what_nobody_wants,
    Controller::refuse_in_the_window,
    Controller::refuse_beyond_memory,
    Controller::reuse_for_repeats,
    Controller::refuse_what_cannot_be_done_in_time,
    Controller::make_calls,
    Controller::run_next,
    Controller::tell_callers,
    Controller::set_alarm,
];

impl Controller {
    pub fn new(site: Deployment, seed: u64, now: Nanos, host: &mut dyn Host) -> Self {
        let shared = !site.tenant_allowance.is_empty() || site.fair_queueing.is_some();
        let over_share = if shared { site.over_quota_value_ratio } else { 1.0 };
        let billed = site.operations.iter().map(|op| op.priority_weight);
        let mut values: Vec<f64> = billed.flat_map(|value| [value * over_share, value]).collect();
        values.sort_by(f64::total_cmp);
        values.dedup();
        // A refused call throws away work done above: in a called tier none is basic, that rank is empty.
        if site.is_downstream_tier {
            values.insert(0, 0.0);
        }
        let memory = CONTROL_PERIOD * MEMORY_PERIODS;
        let learned = |op: &Operation| {
            let guess = op.latency_objective as f64 * FIRST_GUESS;
            let time = Decaying::starting_at(memory, now, guess, 1.0);
            Learned { work: time.clone(), whole: time, base: f64::INFINITY, hint: Decaying::new(memory, now) }
        };
        let learned: Vec<Learned> = site.operations.iter().map(learned).collect();
        let fit = Fit::new(&Plant { a: 0.0, b: [-site.target_utilization; 2] }, FIT_DOUBT, FIT_FORGETTING);
        host.set_timer(ChaCha8Rng::seed_from_u64(seed).random_range(0..CONTROL_PERIOD), CONTROL_TIMER);
        Self {
            now,
            born: now,
            invs: Invs::new(
                values.len(),
                site.operations.len(),
                site.run_memory_factor,
                site.preemption == Preemption::Pauses,
            ),
            usual_runs: learned.iter().map(|l| l.work.mean()).collect(),
            shortest_objective: site
                .operations
                .iter()
                .map(|op| op.latency_objective)
                .min()
                .unwrap_or(CONTROL_PERIOD),
            usual: learned.iter().map(Learned::usual).collect(),
            limit: site.cores,
            learned,
            tenants: site.tenant_allowance.iter().map(|each| (each / site.peers, now)).collect(),
            fair: site.fair_queueing.clone().map(|mut settings| {
                settings.promise_max = site.retry_after_max;
                FairScheduler::new(settings, site.cores * site.target_utilization, seed, now)
            }),
            tokens: ExpiringKeys::default(),
            unread_for: Decaying::new(CONTROL_PERIOD / 2, now),
            reading: Decaying::new(CONTROL_PERIOD * 2, now),
            retried: Decaying::new(CONTROL_PERIOD * 4, now),
            calls_limit: site.cores,
            calls_shut: false,
            call_time: Decaying::new(memory, now),
            below_room: f64::INFINITY,
            below_needed: 0.0,
            regulator: Regulator { sum: 0.0, ratio: [0.0; 2], output: 0.0, fit, varied: 0.0 },
            period_start: now,
            last_progress: now,
            failing: Decaying::new(memory / 4, now),
            leave: None,
            alarm_at: Nanos::MAX,
            advertised: None,
            healthy: true,
            shut: false,
            spare: false,
            values,
            site,
        }
    }

    pub fn on_arrival(&mut self, now: Nanos, arrival: Arrival, host: &mut dyn Host) {
        self.advance(now);
        self.unread_for.add(now, arrival.age as f64);
        self.retried.add(now, f64::from(arrival.is_marked_retry));
        let op = &self.site.operations[arrival.operation];
        let reached = now.saturating_sub(arrival.age);
        let waits = arrival.remaining_deadline.map_or(reached + op.client_timeout, |left| now + left);
        let wanted = reached + (op.latency_objective as f64 * (1.0 - WAY_BACK)) as Nanos;
        let hints = &mut self.learned[arrival.operation].hint;
        arrival.cost_hint.iter().for_each(|hint| hints.add(now, *hint as f64));
        let size = arrival.cost_hint.map_or(1.0, |hint| hint as f64 / hints.mean().max(1.0));
        let work = self.usual[arrival.operation].core_ns * size;
        let seat = self.fair.as_mut().zip(arrival.sender.as_ref()).map(|(fair, sender)| {
            let who = TenantKey { name: &sender.tenant, origin: sender.origin };
            fair.arrive(now, who, work, sender.ticket)
        });
        let over_share = seat.map_or(self.takes_more_than_its_share(arrival.tenant), |seat| seat.surplus);
        let op = &self.site.operations[arrival.operation];
        let value = op.priority_weight * if over_share { self.site.over_quota_value_ratio } else { 1.0 };
        // Kept while held already: a repeat that is read meanwhile must be known as one. What cannot be kept
        // must not run, or its repeat would run as well.
        if op.effect == Effect::IdempotentWithKey && arrival.repeats.is_none() && !arrival.key_not_stored {
            host.remember_key(arrival.id, op.idempotency_window);
            self.tokens.insert(arrival.id, now + op.idempotency_window);
        }
        let late = self.leave.is_some_and(|(last, _)| reached > last);
        let mut inv = Inv::new(now, &arrival);
        inv.rank = self.values.iter().position(|v| *v >= value).unwrap_or(self.values.len() - 1);
        (inv.due, inv.wanted, inv.size) = (waits.max(now), wanted.min(waits), size);
        // Who was told to come back now is let in, unless the server is worse off than it was to be.
        let welcome = seat.is_some_and(|seat| seat.promised) && !self.is_flooded() && self.sick() <= 0.0;
        inv.judged |= welcome;
        (inv.seat, inv.tag) = (seat, seat.map_or(0, |seat| seat.start_tag));
        self.invs.push(inv, late || arrival.key_not_stored);
        self.decide(host);
    }

    pub fn on_run_finished(&mut self, now: Nanos, id: u64, ending: Outcome, host: &mut dyn Host) {
        self.advance(now);
        if let Some(i) = self.invs.find(id) {
            let ran = self.invs[i].state() != State::Reusing;
            if self.invs[i].state() == State::Calling {
                // Its run ended under it, with no word of the call: given up where it stood.
                self.give_back(i, now - self.invs[i].since, Outcome::Unknown);
            }
            self.enter(i, State::Held);
            self.invs[i].stopped = false;
            let inv = self.invs[i].clone();
            let ended = matches!(ending, Outcome::Succeeded | Outcome::Failed);
            if ended && ran {
                self.failing.add(now, f64::from(ending == Outcome::Failed));
            }
            if ending == Outcome::Succeeded && ran {
                let learned = &mut self.learned[inv.operation];
                learned.work.add(now, inv.on_cores as f64);
                learned.whole.add(now, (now - inv.begun) as f64);
                learned.base = (learned.base * BASE_DRIFT).min(learned.work.mean());
                let before = std::mem::replace(&mut self.usual[inv.operation], learned.usual());
                self.usual_runs.replace(before.core_ns, self.usual[inv.operation].core_ns);
            }
            if ended || inv.answered {
                self.remove(i);
            } else if inv.ran && !self.is_idempotent(&inv) {
                // Stopped unasked, its work lost: held again, but only where running twice does no harm.
                self.answer(i, 0, host);
            }
        }
        self.decide(host);
    }

    pub fn on_call_needed(&mut self, now: Nanos, id: u64, host: &mut dyn Host) {
        self.advance(now);
        if let Some(i) = self.invs.find(id) {
            self.enter(i, State::AtCall);
        }
        self.decide(host);
    }

    pub fn on_call_finished(
        &mut self,
        now: Nanos,
        id: u64,
        ending: Outcome,
        took: Nanos,
        host: &mut dyn Host,
    ) {
        self.advance(now);
        if let Some(i) = self.invs.find(id) {
            self.give_back(i, took, ending);
            if ending == Outcome::Unknown {
                self.call_time.add(now, took as f64);
            }
            if ending == Outcome::Succeeded {
                self.call_time.add(now, took as f64);
                self.invs[i].calls = 0;
                self.calls_limit +=
                    CALLS_UP * self.site.cores / self.calls_limit * f64::from(self.calls_bind());
                self.enter(i, State::OnCores);
            } else {
                self.enter(i, State::AtCall);
                if ending == Outcome::NeverRan {
                    self.calls_limit = (self.calls_limit * CALLS_DOWN).max(1.0);
                    let pause = self.learned[self.invs[i].operation].whole.mean() * CALL_PAUSE;
                    self.invs[i].retry_call_at = now + pause as Nanos;
                } else if !self.is_idempotent(&self.invs[i]) {
                    self.answer(i, 0, host);
                }
            }
        }
        self.decide(host);
    }

    pub fn on_drain_notice(&mut self, now: Nanos, grace: Nanos, host: &mut dyn Host) {
        self.advance(now);
        self.leave = Some((now + self.site.drain_grace, now + grace));
        host.log("leaving");
        self.decide(host);
    }

    pub fn on_caller_gone(&mut self, now: Nanos, id: u64, host: &mut dyn Host) {
        self.advance(now);
        if let Some(i) = self.invs.find(id) {
            self.forget_unless_run(i, host);
            self.close(i);
        }
        self.decide(host);
    }

    pub fn on_timer(&mut self, now: Nanos, token: u32, gauges: Gauges, host: &mut dyn Host) {
        self.advance(now);
        if token == CONTROL_TIMER {
            host.set_timer(CONTROL_PERIOD, CONTROL_TIMER);
            let running = self.running();
            self.reading.add(now, (gauges.runnable.unwrap_or(0.0) - running).clamp(0.0, self.site.cores));
            let busy = gauges.utilization.unwrap_or(running / self.site.cores).min(1.0);
            self.learn_limit(busy);
            self.regulate(busy, host);
            if let Some(fair) = &mut self.fair {
                let capacity = self.limit.floor() * self.site.target_utilization;
                fair.update_fair_rate(now, capacity, capacity * self.shortest_objective as f64 * SHARE_HELD);
            }
            self.set_idle_limit(host);
            self.period_start = now;
        } else if now >= self.alarm_at {
            self.alarm_at = Nanos::MAX;
        }
        self.decide(host);
    }

    /// Time goes on, and with it grows what this server may take of a shared dependency's time.
    fn advance(&mut self, now: Nanos) {
        if let Downstream::Shared { quota: share, .. } = self.site.downstream {
            let gained = share * CROWD_SHARE * now.saturating_sub(self.now) as f64;
            self.below_room = (self.below_room + gained).min(self.below_most());
        }
        self.now = now;
    }

    /// Call time that may be gathered: with what comes in over the span of rule 4 it stays within the share.
    fn below_most(&self) -> f64 {
        let Downstream::Shared { quota: share, window: over, .. } = self.site.downstream else { return 0.0 };
        share * over as f64 * (1.0 - CROWD_SHARE)
    }

    /// What a call kept back and did not use; one that was given up stays below for a while.
    fn give_back(&mut self, i: usize, took: Nanos, ending: Outcome) {
        let linger = if ending == Outcome::Unknown { 0 } else { self.linger() };
        self.below_room += (self.invs[i].call_allowed + linger) as f64 - took as f64;
    }

    fn below_full_at(&self) -> Option<Nanos> {
        let Downstream::Shared { quota: share, .. } = self.site.downstream else { return None };
        let rest = (self.below_needed - self.below_room) / (share * CROWD_SHARE);
        (rest > 0.0).then(|| self.now + rest as Nanos + 1)
    }

    fn linger(&self) -> Nanos {
        if let Downstream::Shared { linger, .. } = self.site.downstream { linger } else { 0 }
    }

    fn decide(&mut self, host: &mut dyn Host) {
        self.tokens.expire(self.now);
        while RULES.iter().any(|rule| rule(self, host).is_some()) {}
    }

    // ---- The regulator ----

    /// Once a period: from measured utilisation to the refusal ratios of basic and premium.
    fn regulate(&mut self, busy: f64, host: &mut dyn Host) {
        let output = busy.max(f64::from(self.calls_full()));
        self.spare = output > busy && busy < self.site.target_utilization;
        let backlog = self.backlog();
        let r = &mut self.regulator;
        let error = output - self.site.target_utilization;
        if r.ratio[1] > 0.0 {
            r.fit.learn(r.output, r.ratio, output);
            r.varied = r.varied * FIT_FORGETTING + (r.output - output).abs() * r.ratio[1];
        }
        r.output = output;
        let prior = Plant { a: 0.0, b: [-output.max(self.site.target_utilization); 2] };
        let fitted = r.fit.plant();
        // Retries, a neighbour or a cold start bend it: of the wrong sign or unstable it is not believed.
        let sound =
            r.varied > EXCITED && fitted.a.abs() < 1.0 && fitted.b.iter().all(|b| (-2.0..-0.2).contains(b));
        let gains =
            |plant| linear_quadratic::gains(&plant, STATE_WEIGHTS, INPUT_WEIGHTS, RICCATI.0, RICCATI.1);
        let k = gains(if sound { fitted } else { prior }).or_else(|| gains(prior)).unwrap_or([[0.0; 2]; 2]);
        let frozen = (r.ratio[1] >= 1.0 && error > 0.0) || (r.ratio[1] <= 0.0 && error < 0.0);
        r.sum += if frozen { 0.0 } else { error };
        r.sum = r.sum.clamp(0.0, if k[1][1] > 0.0 { 1.0 / k[1][1] } else { 0.0 });
        let before = r.ratio[1];
        let [premium, basic] = k.map(|row| row[0] * error + row[1] * (r.sum + backlog));
        r.ratio = [premium, basic].map(|ratio| ratio.clamp(0.0, 1.0));
        if (before > 0.0) != (r.ratio[1] > 0.0) {
            host.log(if before > 0.0 { "refusing ends" } else { "refusing begins" });
        }
    }

    /// Idle connections stay where callers come back often enough for that to be worth their part of the
    /// table, else go at once. But once reading is in arrears, who finds none costs nothing: all stay until
    /// the cores idle. Guards against full tables and storms of tries in fleets of many callers; harms where
    /// few callers come in turns.
    fn set_idle_limit(&mut self, host: &mut dyn Host) {
        let most = self.site.idle_timeout_max as f64;
        let returns = self.retried.rate(self.now) * most / 1e9 / self.site.callers / RETURNS;
        self.shut = self.arrears() > 0.0 || (self.shut && self.regulator.output > IDLE);
        let stay = if self.shut { 1.0 } else { returns.min(1.0).powi(4) };
        host.close_idle_connections((most * stay).max(CONTROL_PERIOD as f64 * PASSING).min(most) as Nanos);
    }

    /// The error that the gauge hid, since it ends at 1: work that stands unread or in the hold, in
    /// periods of all cores. It belongs to the running sum, and leaves it as soon as the work is gone.
    fn backlog(&self) -> f64 {
        let work = self.invs.hold.queued_work(&self.usual);
        let calls = (self.count(&[State::AtCall, State::Calling]) / self.calls_limit - 1.0).max(0.0);
        (work / self.limit + self.arrears() + calls * self.call_time.mean()) / CONTROL_PERIOD as f64
    }

    /// Share of the period in which arrivals of a rank are refused: the lowest is basic, the next premium.
    fn refusal_ratio(&self, rank: usize) -> f64 {
        if self.is_flooded() && rank + 1 < self.values.len() {
            return 1.0;
        }
        let [premium, basic] = self.regulator.ratio;
        [basic, premium].get(rank).copied().unwrap_or(0.0).max(self.sick())
    }

    /// Share of arrivals to keep away. Guards against a server that looks idle because it is ill: runs fail
    /// by themselves, or nothing moves (bad release, lost disk, hang). Harms where long runs look like one.
    fn sick(&self) -> f64 {
        let on_cores = self.invs.active().filter(|(_, inv)| inv.state() == State::OnCores);
        let oldest = on_cores.map(|(_, inv)| inv.since).min();
        let still = oldest.map_or(0, |since| self.now - since.max(self.last_progress));
        let failing = if self.failing.weight(self.now) > SEEN_FAILING { self.failing.mean() } else { 0.0 };
        if still as f64 > self.usual_runs.get() * STALLED {
            1.0
        } else if failing > FAILING {
            failing.min(FAILING_MOST)
        } else {
            0.0
        }
    }

    /// The learned running limit: from the core count up to what the server survives.
    fn learn_limit(&mut self, busy: f64) {
        let waiting = !self.invs.hold.is_empty() && self.running() + 1.0 > self.limit;
        let slowed = self.learned.iter().any(|l| l.work.mean() > l.base * SLOWED);
        if waiting && busy < self.site.target_utilization {
            self.limit *= LIMIT_UP;
        } else if slowed || busy > self.site.target_utilization {
            self.limit *= LIMIT_DOWN;
        }
        self.limit = self.limit.clamp(self.site.cores, self.crowd().max(self.site.cores));
    }

    // ---- Rules ----

    /// Rule 1: all read is answered by its due time, and as soon as an answer in time is out of reach.
    fn answer_what_is_due(&mut self, host: &mut dyn Host) -> Option<()> {
        let active = |inv: &Inv| !inv.answered && self.now >= self.last_call_for(inv);
        let active = self.invs.first_active(active);
        let chance = last_chance(&self.usual, self.last_answers());
        let i = self.invs.first_due(self.now, chance, active)?;
        self.answer(i, CONTROL_PERIOD, host)
    }

    /// Work that nobody can use any more leaves the cores, where that can be done. A tokened run is of use
    /// to its repeats, which may not run: stopped, each of them would be errored for the rest of the window.
    fn stop_what_nobody_wants(&mut self, host: &mut dyn Host) -> Option<()> {
        let tokened = |inv: &Inv| self.site.operations[inv.operation].effect == Effect::IdempotentWithKey;
        let useless =
            |inv: &Inv| inv.answered && !inv.stopped && inv.state() == State::OnCores && !tokened(inv);
        let i =
            self.invs.first_active(useless).filter(|_| self.site.preemption != Preemption::Unsupported)?;
        self.stop(i, host)
    }

    /// The design's actuator: arrivals in the first rtr of the period are refused, by rank.
    fn refuse_in_the_window(&mut self, host: &mut dyn Host) -> Option<()> {
        let i = self.invs.judge_next()?;
        let window = (self.refusal_ratio(self.invs[i].rank) * CONTROL_PERIOD as f64) as Nanos;
        let passed = self.now - self.period_start;
        // Where calls bind and the cores do not, what makes none is let in.
        let spared = self.spare && !self.site.operations[self.invs[i].operation].makes_calls;
        if passed < window && !spared {
            let alone = self.is_flooded() || self.sick() > 0.0;
            let advice = if alone { self.site.retry_after_max } else { window - passed };
            self.turn_away(i, advice, 0, host);
        }
        Some(())
    }

    /// Rule 4: held, running and kept together stay within memory.
    fn refuse_beyond_memory(&mut self, host: &mut dyn Host) -> Option<()> {
        if self.memory_needed() <= self.site.memory_kb * MEMORY_SHARE {
            return None;
        }
        let i = self.invs.hold.lowest_priority()?;
        self.answer(i, CONTROL_PERIOD, host)
    }

    /// Rule 2: a repeat of what was kept is answered from its forerunner, not run.
    fn reuse_for_repeats(&mut self, host: &mut dyn Host) -> Option<()> {
        let i = self.invs.first_repeat()?;
        self.enter(i, State::Reusing);
        host.replay_result(self.invs[i].id);
        Some(())
    }

    /// Goes along the hold in the order it will run; where one would miss its objective, the least worthy
    /// (of equals the newest) of those up to it is refused, so that the rest can be in time.
    fn refuse_what_cannot_be_done_in_time(&mut self, host: &mut dyn Host) -> Option<()> {
        let free_slots = (self.limit - self.running()).floor().max(0.0) as usize;
        let capacity = Capacity { usual_times: &self.usual, concurrency_limit: self.limit, free_slots };
        let i = self.invs.hold.to_reject_for_deadlines(self.now, &capacity)?;
        self.answer(i, CONTROL_PERIOD, host)
    }

    /// Work already spent is worth finishing: calls are made while the answer is wanted.
    fn make_calls(&mut self, host: &mut dyn Host) -> Option<()> {
        let shared = matches!(self.site.downstream, Downstream::Shared { .. });
        if !shared && self.count(&[State::Calling]) + 1.0 > self.calls_limit {
            return None;
        }
        let ready =
            |inv: &Inv| inv.state() == State::AtCall && !inv.answered && self.now >= inv.retry_call_at;
        let i = self.invs.active().filter(|(_, inv)| ready(inv)).rev().max_by_key(|(_, inv)| inv.rank)?.0;
        let partly = self.site.operations[self.invs[i].operation].degraded_value_ratio > 0.0;
        if partly && self.invs[i].calls > 0 {
            return self.leave_out(i, host);
        }
        self.calls_shut = !host.may_start_call(self.invs[i].id, self.count(&[State::AtCall]) as usize);
        if self.calls_shut {
            return if partly { self.leave_out(i, host) } else { None };
        }
        let inv = &self.invs[i];
        let left = self.last_call_for(inv).saturating_sub(self.now).max(1);
        let usual = self.call_time.mean() * inv.size.max(1.0) * CALL_PATIENCE;
        let patience = usual * f64::from(2 << inv.calls.min(8));
        let repeatable = self.is_idempotent(inv) && patience > 0.0;
        let mut allowed = if repeatable { left.min(patience as Nanos) } else { left };
        if shared {
            let (most, linger) = (self.below_most(), self.linger() as f64);
            let wish = (allowed as f64).min(if patience > 0.0 { patience * ONCE } else { f64::INFINITY });
            // Downstream the top rank some room is left, or the worthiest find none where calls are slow.
            let spare = if inv.rank + 1 < self.values.len() { most * KEPT_FREE } else { 0.0 };
            self.below_needed = (wish + linger + spare).min(most);
            if self.below_room < self.below_needed {
                return if partly { self.leave_out(i, host) } else { None };
            }
            allowed =
                wish.min((self.below_room - linger).max(usual).max(most * (1.0 - CROWD_SHARE))) as Nanos;
            self.below_room -= allowed as f64 + linger;
        }
        self.enter(i, State::Calling);
        self.invs[i].calls += 1;
        self.invs[i].call_allowed = allowed;
        host.start_call(self.invs[i].id, allowed);
        Some(())
    }

    /// A call that failed or has no room is left out where the answer keeps some value without it.
    fn leave_out(&mut self, i: usize, host: &mut dyn Host) -> Option<()> {
        self.enter(i, State::OnCores);
        host.skip_call(self.invs[i].id);
        Some(())
    }

    fn run_next(&mut self, host: &mut dyn Host) -> Option<()> {
        let spared = |operation: usize| !self.site.operations[operation].makes_calls;
        let full = self.calls_full();
        let next = if full { self.invs.hold.next_to_run_among(spared) } else { self.invs.hold.next_to_run() };
        let i = next?.key;
        let inv = &self.invs[i];
        let more = inv.held_kb * self.site.run_memory_factor - self.invs.memory_of(inv);
        if self.memory_needed() + more > self.site.memory_kb * MEMORY_SHARE {
            return None;
        }
        let open = self.count(&[State::OnCores, State::AtCall, State::Calling]);
        let share = if self.site.is_downstream_tier { 0.0 } else { READING_SHARE };
        let limit = (self.limit - self.reading.mean().min(self.site.cores * share)).round();
        if self.running() + 1.0 > limit.min(self.crowd()).max(1.0) || open + 1.0 > self.crowd().max(1.0) {
            return None;
        }
        let inv = &mut self.invs[i];
        inv.begun = self.now;
        inv.ran = true;
        host.start_run(inv.id);
        if let (Some(fair), Some(seat)) = (&mut self.fair, &inv.seat) {
            fair.start_service(seat);
        }
        self.enter(i, State::OnCores);
        Some(())
    }

    fn stop(&mut self, i: usize, host: &mut dyn Host) -> Option<()> {
        self.invs[i].stopped = true;
        host.stop_run(self.invs[i].id);
        Some(())
    }

    /// A leaving server goes on for its grace where what the others keep free would not carry its work.
    fn tell_callers(&mut self, host: &mut dyn Host) -> Option<()> {
        let needed = (self.site.peers - 1.0) * (1.0 - self.site.target_utilization) < 1.0;
        let here = self.leave.is_none_or(|(last, _)| needed && self.now < last);
        let healthy = here && self.sick() <= 0.0;
        let value = match self.site.advertisement {
            Advertisement::None => None,
            Advertisement::Weight => Some((1.0 - self.refusal_ratio(0)) * self.warmth() * f64::from(here)),
            Advertisement::MinimumRank => Some(f64::from(!here)),
            Advertisement::ConcurrencyAllowance => Some(self.limit * f64::from(here)),
        };
        if std::mem::replace(&mut self.healthy, healthy) != healthy {
            host.set_health(healthy, !healthy);
            host.log(if healthy { "healthy" } else { "unhealthy" });
            return Some(());
        }
        let value = value.filter(|_| value != self.advertised)?;
        self.advertised = Some(value);
        host.advertise_load(value);
        Some(())
    }

    fn set_alarm(&mut self, host: &mut dyn Host) -> Option<()> {
        let active = self.invs.active().filter(|(_, inv)| !inv.answered).map(|(_, inv)| {
            let again = inv.state() == State::AtCall && inv.retry_call_at > self.now;
            self.last_call_for(inv).min(if again { inv.retry_call_at } else { Nanos::MAX })
        });
        let refill = (self.count(&[State::AtCall]) > 0.0).then(|| self.below_full_at()).flatten();
        let active = active.chain(refill);
        let chance = last_chance(&self.usual, self.last_answers());
        let next = active.chain(self.invs.hold.next_overdue_at(chance)).min();
        let next = next.filter(|next| *next < self.alarm_at)?;
        self.alarm_at = next;
        host.set_timer(next.saturating_sub(self.now).max(1), DEADLINE_TIMER);
        Some(())
    }

    fn count(&self, states: &[State]) -> f64 {
        self.invs.count(states)
    }

    fn enter(&mut self, i: usize, state: State) {
        let inv = &mut self.invs[i];
        if inv.state() == State::OnCores {
            inv.on_cores += self.now - inv.since;
            self.last_progress = self.now;
        }
        self.invs.enter(i, state, self.now);
    }

    fn running(&self) -> f64 {
        self.count(&[State::OnCores])
    }

    /// What lies below is the scarcer resource now: runs stand at calls that may not be made yet.
    fn calls_full(&self) -> bool {
        let shut = self.calls_shut && self.count(&[State::AtCall]) > 0.0;
        shut || self.calls_bind()
    }

    /// The learned limit binds, not the fleet's budget: only then does a good call say that it is too low.
    fn calls_bind(&self) -> bool {
        self.count(&[State::AtCall, State::Calling]) > self.calls_limit
    }

    fn is_idempotent(&self, inv: &Inv) -> bool {
        self.site.operations[inv.operation].effect == Effect::Idempotent
    }

    /// Share of its speed that a server which started cold has reached at the least.
    fn warmth(&self) -> f64 {
        let warmed = (self.now - self.born) as f64 / self.site.warm_up.max(1) as f64;
        let speed = self.site.cold_speed_ratio + (1.0 - self.site.cold_speed_ratio) * warmed;
        if self.site.starts_cold { speed.min(1.0) } else { 1.0 }
    }

    /// Runs that may be open at once, cut while the server may still be cold.
    fn crowd(&self) -> f64 {
        self.site.cores * (1.0 + (self.site.survivable_concurrency_ratio - 1.0) * self.warmth()) * CROWD_SHARE
    }

    fn memory_needed(&self) -> f64 {
        self.invs.memory() + self.tokens.len() as f64 * self.site.idempotency_entry_kb
    }

    /// Until when the answer of one that is not held may wait: its due time, the stop, or its last chance.
    fn last_call_for(&self, inv: &Inv) -> Nanos {
        let late = self.site.operations[inv.operation].late_value > 0.0;
        let chance = if !self.is_idempotent(inv) || late { inv.due } else { inv.wanted };
        inv.due.min(self.last_answers()).min(chance)
    }

    fn last_answers(&self) -> Nanos {
        self.leave.map_or(Nanos::MAX, |(_, stop)| stop.saturating_sub(2 * self.site.answer_grace))
    }

    /// How long invocations lie unread of late; it fades when none come.
    fn unread(&self) -> f64 {
        self.unread_for.mean() * self.unread_for.weight(self.now).min(1.0)
    }

    fn arrears(&self) -> f64 {
        (self.unread() - self.usual_runs.get() * UNREAD_USUAL).max(0.0)
    }

    /// Reading alone overloads the server: only callers that stay away can help it.
    fn is_flooded(&self) -> bool {
        self.unread() > FLOODED * self.shortest_objective as f64
    }

    fn takes_more_than_its_share(&mut self, tenant: usize) -> bool {
        let Some((room, at)) = self.tenants.get_mut(tenant) else { return false };
        let rate = self.site.tenant_allowance[tenant] / self.site.peers;
        let seconds = (self.now - *at) as f64 / 1e9;
        *room = (*room + rate * seconds).min((rate * SHARE_SECONDS).max(1.0));
        *at = self.now;
        let over = *room < 1.0;
        *room -= f64::from(!over);
        over
    }

    /// The one final answer: throttled where nothing was done or nothing can happen twice, else errored.
    fn answer(&mut self, i: usize, stay_away: Nanos, host: &mut dyn Host) -> Option<()> {
        self.turn_away(i, stay_away, stay_away, host)
    }

    /// A promise is for `least` at the least: for the window, which does not hold for it, that is nothing.
    fn turn_away(&mut self, i: usize, stay_away: Nanos, least: Nanos, host: &mut dyn Host) -> Option<()> {
        let pressed = if self.site.retries_marked { self.retried.mean() } else { self.regulator.ratio[1] };
        let (promised, stay_away) = self.advice(i, stay_away, least, host);
        let last = promised || self.now >= self.invs[i].wanted || pressed > WALK;
        let inv = &mut self.invs[i];
        let effect = self.site.operations[inv.operation].effect;
        if effect == Effect::Idempotent || (!inv.ran && inv.repeats.is_none()) {
            host.reject(inv.id, last, stay_away.min(self.site.retry_after_max));
        } else {
            host.fail(inv.id);
        }
        self.forget_unless_run(i, host);
        self.close(i);
        Some(())
    }

    /// What is over and never ran must not stand in the way of a repeat, which would be errored for it.
    fn forget_unless_run(&mut self, i: usize, host: &mut dyn Host) {
        let inv = &self.invs[i];
        let tokened = self.site.operations[inv.operation].effect == Effect::IdempotentWithKey;
        if tokened && !inv.ran && inv.repeats.is_none() && !inv.answered {
            host.forget_key(inv.id);
            self.tokens.remove(inv.id);
        }
    }

    /// One that never ran hears when its tenant has room, and has a place then. Not from a server that only
    /// lost callers can help, which has nothing to promise.
    fn advice(&mut self, i: usize, stay_away: Nanos, least: Nanos, host: &mut dyn Host) -> (bool, Nanos) {
        let worse = self.is_flooded() || self.sick() > 0.0 || self.leave.is_some();
        let Some(fair) = self.fair.as_mut().filter(|_| !worse && self.site.retry_after_max > 0) else {
            return (false, stay_away);
        };
        let inv = &mut self.invs[i];
        let Some(seat) = inv.seat.take_if(|_| !inv.ran) else { return (false, stay_away) };
        fair.end(self.now, &seat, ServiceOutcome::NeverRan);
        let advice = fair.promise(self.now, &seat, least);
        advice.ticket.iter().for_each(|ticket| host.promise_admission(inv.id, *ticket));
        (advice.ticket.is_some(), advice.retry_after)
    }

    /// Takes over a part of a change: new weights of tenants, and how much they may use at once.
    pub fn reconfigure_fair_queueing(
        &mut self,
        now: Nanos,
        change: &meadowstream_fair_queueing::SettingsChange,
    ) {
        self.fair.iter_mut().for_each(|fair| fair.reconfigure(change, now));
    }

    /// The busy share of the cores to steer to, from now on.
    pub fn set_target_utilization(&mut self, reference: f64) {
        self.site.target_utilization = reference;
    }

    /// What is known of tenants, where they are told apart.
    pub fn fair(&mut self) -> Option<&mut FairScheduler> {
        self.fair.as_mut()
    }

    /// Nothing more is owed; what still runs or calls stays until it ends.
    fn close(&mut self, i: usize) {
        (self.invs[i].answered, self.invs[i].stopped) = (true, false);
        if matches!(self.invs[i].state(), State::Held | State::Reusing) {
            self.remove(i);
        }
    }

    fn remove(&mut self, i: usize) {
        let inv = &self.invs[i];
        if let (Some(fair), Some(seat)) = (&mut self.fair, &inv.seat) {
            let outcome = if inv.ran { ServiceOutcome::Ran(inv.on_cores) } else { ServiceOutcome::NeverRan };
            fair.end(self.now, seat, outcome);
        }
        self.invs.remove(i);
    }
}

/// [`Controller::last_call_for`] for those in the hold, by operation and the time wanted, which is never after the
/// due time. Rule 3: what arrived later than the grace after the notice is not run; it is marked as it
/// arrives.
fn last_chance(usual: &[UsualTimes], last: Nanos) -> impl Fn(usize, Nanos) -> Nanos + '_ {
    move |operation, wanted| wanted.saturating_sub(usual[operation].elapsed_ns as Nanos).min(last)
}
