//! The coordinator of one plan. Each interval it is told the time, the fleet's view, whether it holds the
//! lease on rollouts and what servers reported; out comes what to save, and an order for each server.
//!
//! Orders say what a server is to go by, not what to do: they are the same until the stage changes, so that a
//! lost one is made good by the next. What the orders of a new stage follow from is saved before the first of
//! them goes out; one that is started again orders the same, and bakes the stage anew.

use crate::Nanos;
use crate::canary::{BASELINE_MIN, Baselines, Canary, Figures, Verdict};
use crate::plan::{INTERVALS_MIN, OnWorse, Plan};
use crate::wire::{Order, Report};
use serde::{Deserialize, Serialize};
use siphasher::sip::SipHasher13;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// For the lease, a view that stands, and what servers do without the change.
    Waiting,
    /// Servers of the stage are told; not all have said that they go by the change.
    Applying,
    Baking,
    RollingBack {
        why: String,
    },
    /// Ended.
    Done,
    Stopped {
        why: String,
    },
    /// `left` are the servers that did not say that they went back.
    RolledBack {
        why: String,
        left: Vec<String>,
    },
}

impl Phase {
    pub fn is_over(&self) -> bool {
        matches!(self, Phase::Done | Phase::Stopped { .. } | Phase::RolledBack { .. })
    }
}

/// What is on disk: enough to go on from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Saved {
    pub plan: String,
    pub candidate: u64,
    pub phase: Phase,
    pub stage: usize,
    /// Servers that are to go by the change.
    pub changed: BTreeSet<String>,
    pub baselines: Baselines,
}

/// The fleet as the coordinator's own view has it.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Servers alive, by name.
    pub alive: Vec<String>,
    /// Servers suspect, or down for less than they are remembered.
    pub missing: Vec<String>,
    /// For how long nothing has changed.
    pub settled: Nanos,
}

#[derive(Clone, Debug, PartialEq)]
pub enum Act {
    /// To disk, and there to stay, before anything that follows is done.
    Save(Box<Saved>),
    Tell(String, Order),
    /// For the operator.
    Say(String),
}

struct Heard {
    at: Nanos,
    report: Report,
    /// The last interval of its that was taken.
    taken: Option<u64>,
}

pub struct Coordinator {
    plan: Plan,
    life: u64,
    number: u64,
    saved: Saved,
    /// When the phase began, and how much of the bake time has counted.
    began: Nanos,
    baked: Nanos,
    /// Since when each server has been owing what it was told, the time without lease or view not counted.
    owing: BTreeMap<String, Nanos>,
    /// For how long changed servers have been missing from the view, and no others.
    gone: Nanos,
    heard: BTreeMap<String, Heard>,
    canary: Canary,
    last: Option<Nanos>,
    said: String,
    /// Intervals of the bake, quiet ones left out.
    looked: usize,
}

impl Coordinator {
    /// Goes on from what was saved of the same plan, or begins. `Err` says what does not fit.
    pub fn new(plan: Plan, saved: Option<Saved>, life: u64, now: Nanos) -> Result<Coordinator, String> {
        plan.check()?;
        let fresh = Saved {
            plan: plan.name.clone(),
            candidate: plan.candidate,
            phase: Phase::Waiting,
            stage: 0,
            changed: BTreeSet::new(),
            baselines: Baselines::default(),
        };
        let saved = saved.unwrap_or(fresh);
        if saved.plan != plan.name {
            return Err(format!("the state is that of plan {:?}, not {:?}", saved.plan, plan.name));
        }
        if saved.candidate != plan.candidate && !saved.phase.is_over() {
            return Err("the candidate is not the one that the plan began with".into());
        }
        if saved.stage >= plan.stages.len() {
            return Err(format!("the state is at stage {}, which the plan has not", saved.stage + 1));
        }
        Ok(Coordinator {
            plan,
            life,
            number: 0,
            saved,
            began: now,
            baked: 0,
            owing: BTreeMap::new(),
            gone: 0,
            heard: BTreeMap::new(),
            canary: Canary::default(),
            last: None,
            said: String::new(),
            looked: 0,
        })
    }

    pub fn saved(&self) -> &Saved {
        &self.saved
    }

    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// A server's report, as it came. What answers no order of this life, or one long gone, is passed over.
    pub fn heard(&mut self, now: Nanos, server: &str, report: Report) {
        if report.number > self.number
            || report.number == 0
            || report.classes.len() > crate::wire::CLASSES_MAX
        {
            return;
        }
        match self.heard.get_mut(server) {
            Some(known) if known.report.number >= report.number => {}
            Some(known) => (known.at, known.report) = (now, report),
            None => {
                self.heard.insert(server.to_string(), Heard { at: now, report, taken: None });
            }
        }
    }

    /// The operator wants no more of it.
    pub fn abort(&mut self, now: Nanos) -> Vec<Act> {
        if self.saved.phase.is_over() || matches!(self.saved.phase, Phase::RollingBack { .. }) {
            return Vec::new();
        }
        self.roll_back(now, "aborted by the operator".into())
    }

    /// An interval is over.
    pub fn advance(&mut self, now: Nanos, view: &View, has_lease: bool) -> Vec<Act> {
        let passed = now.saturating_sub(self.last.unwrap_or(now));
        self.last = Some(now);
        if self.saved.phase.is_over() {
            return Vec::new();
        }
        let mut acts = Vec::new();
        if !has_lease {
            // Another may hold it: nobody is told anything. Guards against two plans at once.
            self.canary.close(false);
            self.say(
                &mut acts,
                "waits for the lease on rollouts: another plan holds it, or no majority is heard",
            );
            return acts;
        }
        let steady = view.missing.is_empty() && view.settled >= self.plan.settled && !view.alive.is_empty();
        self.count_what_is_owed(view, passed, steady);
        let only_changed = view.missing.iter().all(|server| self.saved.changed.contains(server));
        self.gone = if only_changed && !view.missing.is_empty() { self.gone + passed } else { 0 };
        match self.saved.phase.clone() {
            Phase::Waiting => self.wait(now, view, steady, &mut acts),
            Phase::Applying => self.apply(now, view, steady, &mut acts),
            Phase::Baking => self.bake(now, passed, view, steady, &mut acts),
            Phase::RollingBack { why } => self.go_back(now, view, why, &mut acts),
            Phase::Done | Phase::Stopped { .. } | Phase::RolledBack { .. } => {}
        }
        if !self.saved.phase.is_over() {
            self.order(view, &mut acts);
        }
        acts
    }

    /// One order for each server that is not known to be gone.
    fn order(&mut self, view: &View, acts: &mut Vec<Act>) {
        self.number += 1;
        for server in view.alive.iter().chain(&view.missing) {
            let adopt = self.saved.changed.contains(server).then_some(self.plan.candidate);
            let (plan, life, number, kind) = (self.plan.name.clone(), self.life, self.number, self.plan.kind);
            acts.push(Act::Tell(server.clone(), Order { plan, life, number, kind, adopt }));
        }
    }

    /// Whether a server says that it goes by what it is told.
    fn complies(&self, server: &str) -> bool {
        let told = self.saved.changed.contains(server);
        let report = self.heard.get(server).map(|heard| &heard.report);
        report.is_some_and(|r| if told { r.settings == self.plan.candidate } else { !r.adopted })
    }

    fn is_fresh(&self, now: Nanos, server: &str) -> bool {
        let heard = self.heard.get(server);
        heard.is_some_and(|heard| now.saturating_sub(heard.at) < self.plan.patience)
    }

    /// Time in which a server could have done as it is told and has not.
    fn count_what_is_owed(&mut self, view: &View, passed: Nanos, steady: bool) {
        let owes: Vec<(String, bool)> = (view.alive.iter())
            .map(|server| {
                let newest = self.heard.get(server).map(|heard| heard.report.number);
                // One that answered the last orders but two is silent.
                let silent = newest.is_none_or(|newest| newest + 2 < self.number);
                (server.clone(), silent || !self.complies(server))
            })
            .collect();
        let back = matches!(self.saved.phase, Phase::RollingBack { .. });
        for (server, owes) in owes {
            if !owes {
                self.owing.remove(&server);
            } else if steady || back {
                *self.owing.entry(server).or_default() += passed;
            }
        }
    }

    /// A server that has owed for longer than the patience, or refuses, with why.
    fn fails(&self, view: &View) -> Option<String> {
        if self.gone >= self.plan.patience {
            // A cut takes servers of both kinds; where only changed ones go, the change is the first to ask.
            return Some(format!("{} gone since the change", view.missing.join(", ")));
        }
        let over = self.owing.iter().find(|(_, owed)| **owed >= self.plan.patience);
        over.map(|(server, _)| match self.heard.get(server) {
            None => format!("{server} never reports"),
            Some(Heard { report: Report { refused: Some(why), .. }, .. }) => {
                format!("{server} refuses: {why}")
            }
            Some(_) => format!("{server} does not report that it goes by what it is told"),
        })
    }

    fn wait(&mut self, now: Nanos, view: &View, steady: bool, acts: &mut Vec<Act>) {
        if !steady {
            return self.say(acts, "waits until the fleet's view stands");
        }
        for (server, figures) in self.fresh_figures(view) {
            self.saved.baselines.add(&server, &figures);
        }
        if let Some(why) = self.fails(view) {
            // Nothing was changed yet.
            return self.end(Phase::Stopped { why }, acts);
        }
        let known = |server: &String| self.saved.baselines.intervals(server) >= BASELINE_MIN;
        let ready = view.alive.iter().all(|server| self.complies(server) && known(server));
        if !ready {
            return self.say(acts, "learns what the servers do without the change");
        }
        self.begin(now, 0, view, acts);
    }

    /// Chooses the servers of a stage: those already changed, then others in an order that the plan's name
    /// gives, so that two plans do not begin with the same one.
    fn begin(&mut self, now: Nanos, stage: usize, view: &View, acts: &mut Vec<Act>) {
        let size = self.plan.stages[stage].size.of(view.alive.len());
        let mut others: Vec<&String> =
            view.alive.iter().filter(|server| !self.saved.changed.contains(*server)).collect();
        others.sort_by_key(|server| (mark(&self.plan.name, server), (*server).clone()));
        let more = size.saturating_sub(self.saved.changed.len());
        let chosen: Vec<String> = others.into_iter().take(more).cloned().collect();
        self.saved.changed.extend(chosen);
        (self.saved.stage, self.saved.phase) = (stage, Phase::Applying);
        (self.began, self.baked, self.looked) = (now, 0, 0);
        self.canary = Canary::default();
        self.owing.clear();
        self.gone = 0;
        acts.push(Act::Save(Box::new(self.saved.clone())));
        let (of, changed) = (self.plan.stages.len(), self.saved.changed.len());
        let changed_names: Vec<&str> = self.saved.changed.iter().map(String::as_str).collect();
        let names = changed_names.join(", ");
        self.say(
            acts,
            &format!("stage {} of {of}: {changed} of {} servers: {names}", stage + 1, view.alive.len()),
        );
    }

    fn apply(&mut self, now: Nanos, view: &View, steady: bool, acts: &mut Vec<Act>) {
        self.fresh_figures(view);
        if let Some(why) = self.fails(view) {
            return self.worse(now, why, acts);
        }
        let all = view.alive.iter().all(|server| self.complies(server) && self.is_fresh(now, server));
        if steady && all {
            (self.saved.phase, self.began) = (Phase::Baking, now);
            acts.push(Act::Save(Box::new(self.saved.clone())));
            self.say(acts, &format!("stage {}: all go by it, bakes", self.saved.stage + 1));
        }
    }

    fn bake(&mut self, now: Nanos, passed: Nanos, view: &View, steady: bool, acts: &mut Vec<Act>) {
        if let Some(why) = self.fails(view) {
            return self.worse(now, why, acts);
        }
        for (server, figures) in self.fresh_figures(view) {
            if self.complies(&server) {
                let new = self.saved.changed.contains(&server);
                self.canary.add(&server, new, &figures, &self.saved.baselines);
            }
        }
        // While the view moves, what servers do is no sign of the change.
        self.canary.close(steady);
        if !steady {
            return self.say(
                acts,
                &format!("stage {}: the fleet's view moves, nothing counts", self.saved.stage + 1),
            );
        }
        if now.saturating_sub(self.began) < self.plan.warm_up {
            self.canary = Canary::default();
            return self.say(acts, &format!("stage {}: warms up", self.saved.stage + 1));
        }
        self.baked += passed;
        let stage = self.saved.stage;
        let (bake, looks) = (self.plan.stages[stage].bake, self.plan.looks(stage));
        let whole = self.saved.changed.len() >= view.alive.len();
        let verdict = if self.looked < 4 * looks {
            self.canary.verdict(&self.plan.thresholds, looks)
        } else {
            Verdict::Good
        };
        self.looked += usize::from(self.canary.intervals() >= INTERVALS_MIN);
        match verdict {
            Verdict::Worse { class, metric, difference, p } => {
                let why = format!("{class}: {metric:?} worse by {difference:.3} (p {p:.1e})");
                self.worse(now, why, acts);
            }
            // Where every server is changed there is none left to compare with.
            Verdict::TooFew if !whole && self.baked < bake.saturating_mul(3) => {
                self.say(acts, &format!("stage {}: too few answers to compare", stage + 1));
            }
            Verdict::TooFew if !whole => self.worse(now, "too few answers to compare".into(), acts),
            _ if self.baked < bake => {
                let seconds = |t: Nanos| t as f64 / 1e9;
                let of = format!("{:.0} of {:.0} s", seconds(self.baked), seconds(bake));
                self.say(acts, &format!("stage {}: baked {of}", stage + 1));
            }
            _ if stage + 1 < self.plan.stages.len() => self.begin(now, stage + 1, view, acts),
            _ => self.end(Phase::Done, acts),
        }
    }

    fn worse(&mut self, now: Nanos, why: String, acts: &mut Vec<Act>) {
        match self.plan.on_worse {
            OnWorse::Stop => self.end(Phase::Stopped { why }, acts),
            OnWorse::RollBack => acts.extend(self.roll_back(now, why)),
        }
    }

    fn roll_back(&mut self, now: Nanos, why: String) -> Vec<Act> {
        let mut acts = Vec::new();
        self.saved.changed.clear();
        self.saved.phase = Phase::RollingBack { why: why.clone() };
        self.began = now;
        self.owing.clear();
        acts.push(Act::Save(Box::new(self.saved.clone())));
        self.say(&mut acts, &format!("rolls back: {why}"));
        acts
    }

    /// A server that is gone has nothing to go back from: it is told when it comes again, and until the
    /// patience ends the others are given time.
    fn go_back(&mut self, now: Nanos, view: &View, why: String, acts: &mut Vec<Act>) {
        let fresh = |server: &String| {
            let heard = self.heard.get(server);
            heard.is_some_and(|heard| heard.at > self.began && !heard.report.adopted)
        };
        let servers: Vec<&String> = view.alive.iter().chain(&view.missing).collect();
        let left: Vec<String> = servers.into_iter().filter(|server| !fresh(server)).cloned().collect();
        let late = now.saturating_sub(self.began) >= self.plan.patience.saturating_mul(2);
        if left.is_empty() || late {
            self.end(Phase::RolledBack { why, left }, acts);
        }
    }

    fn end(&mut self, phase: Phase, acts: &mut Vec<Act>) {
        let said = match &phase {
            Phase::Done => "done: all stages went through".to_string(),
            Phase::Stopped { why } => format!("stopped: {why}"),
            Phase::RolledBack { why, left } if left.is_empty() => format!("rolled back: {why}"),
            Phase::RolledBack { why, left } => {
                format!("rolled back: {why}; NOT CONFIRMED by {}", left.join(", "))
            }
            _ => String::new(),
        };
        self.saved.phase = phase;
        acts.push(Act::Save(Box::new(self.saved.clone())));
        self.say(acts, &said);
    }

    /// The figures of each server that has a new interval to tell of.
    fn fresh_figures(&mut self, view: &View) -> Vec<(String, Vec<Figures>)> {
        let mut fresh = Vec::new();
        for server in &view.alive {
            let Some(heard) = self.heard.get_mut(server) else { continue };
            if heard.taken != Some(heard.report.interval) {
                heard.taken = Some(heard.report.interval);
                fresh.push((server.clone(), heard.report.classes.clone()));
            }
        }
        fresh
    }

    /// Once for each new thing to say.
    fn say(&mut self, acts: &mut Vec<Act>, what: &str) {
        if self.said != what {
            self.said = what.to_string();
            acts.push(Act::Say(what.to_string()));
        }
    }
}

/// Which server comes before which, for this plan.
fn mark(plan: &str, server: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    (plan, server).hash(&mut hasher);
    hasher.finish()
}
