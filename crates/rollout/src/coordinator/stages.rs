//! Measures the baselines, selects the servers of each stage, and applies the change to these servers.

use super::{Action, Coordinator, FleetView, Interval, Phase};
use crate::Nanos;
use crate::baseline::BASELINE_INTERVALS_MIN;
use crate::canary::Canary;
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};

impl Coordinator {
    /// While the view is settled, adds the new metrics of servers to the baselines. Begins the first stage
    /// when each server has a complete baseline and runs its own settings or program, without the change.
    pub(super) fn handle_waiting(&mut self, interval: &Interval, actions: &mut Vec<Action>) {
        let view = interval.view;
        if !interval.is_settled {
            return self.notify(actions, "waits until the fleet's view stands");
        }
        for new_interval in self.take_new_intervals(view) {
            self.state.baselines.add(&new_interval.server, &new_interval.metrics);
        }
        if let Some(reason) = self.find_failure() {
            // The rollout stops without a rollback, because no server has been changed yet.
            return self.end(Phase::Stopped { reason }, actions);
        }
        let has_baseline = |server: &String| self.state.baselines.intervals(server) >= BASELINE_INTERVALS_MIN;
        if !view.alive.iter().all(|server| self.complies(server) && has_baseline(server)) {
            return self.notify(actions, "measures the baseline of each server");
        }
        self.begin_stage(interval.now, 0, view, actions);
    }

    /// Begins a stage and selects its servers. The names of the servers are saved before the first order to
    /// apply the change is sent.
    pub(super) fn begin_stage(
        &mut self,
        now: Nanos,
        stage: usize,
        view: &FleetView,
        actions: &mut Vec<Action>,
    ) {
        let size = self.plan.stages[stage].size.server_count(view.alive.len());
        let chosen = self.choose_servers(size, view);
        self.state.changed.extend(chosen);
        self.state.stage = stage;
        self.state.phase = Phase::Applying;
        self.phase_began = now;
        self.baked = 0;
        self.verdicts = 0;
        self.canary = Canary::default();
        self.overdue.clear();
        self.save(actions);
        let changed: Vec<&str> = self.state.changed.iter().map(String::as_str).collect();
        let message = format!(
            "stage {} of {}: {} of {} servers: {}",
            stage + 1,
            self.plan.stages.len(),
            changed.len(),
            view.alive.len(),
            changed.join(", ")
        );
        self.notify(actions, &message);
    }

    /// Selects the servers to change, so that `size` alive servers are changed in total. The order of
    /// selection depends on the plan's name, so that different plans begin with different servers.
    fn choose_servers(&self, size: usize, view: &FleetView) -> Vec<String> {
        let mut unchanged = self.unchanged_servers(view);
        unchanged.sort_by_key(|server| (order_key(&self.plan.name, server), server.clone()));
        let changed_count = view.alive.len() - unchanged.len();
        unchanged.truncate(size.saturating_sub(changed_count));
        unchanged
    }

    /// Returns the names of the alive servers that the plan has not changed.
    pub(super) fn unchanged_servers(&self, view: &FleetView) -> Vec<String> {
        view.alive.iter().filter(|server| !self.state.changed.contains(*server)).cloned().collect()
    }

    /// Returns the names of the servers that the current stage should have changed and has not: if it is to
    /// change the whole fleet, all others that are alive or have a baseline. These servers were away when the
    /// stage began, or have joined since.
    pub(super) fn left_out_servers(&self, view: &FleetView) -> BTreeSet<String> {
        let known: BTreeSet<String> = self.state.baselines.servers().chain(&view.alive).cloned().collect();
        let size = self.plan.stages[self.state.stage].size.server_count(known.len());
        if size < known.len() {
            return BTreeSet::new();
        }
        known.difference(&self.state.changed).cloned().collect()
    }

    /// Begins the comparison phase (baking) when the view is settled and all servers have recently reported
    /// that they comply with their orders.
    pub(super) fn handle_applying(&mut self, interval: &Interval, actions: &mut Vec<Action>) {
        // The returned metrics are dropped, because they are from intervals that ended before the comparison
        // phase.
        self.take_new_intervals(interval.view);
        if let Some(reason) = self.find_failure() {
            return self.stop_or_roll_back(interval.now, reason, actions);
        }
        if interval.is_settled && self.first_unready(interval).is_none() {
            self.state.phase = Phase::Baking;
            self.phase_began = interval.now;
            self.save(actions);
            self.notify(
                actions,
                &format!(
                    "stage {}: all go by it (each runs what it was ordered to), bakes",
                    self.state.stage + 1
                ),
            );
        }
    }
}

/// Returns the sort key of a server in a plan. Servers with lower keys are changed first.
fn order_key(plan: &str, server: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    (plan, server).hash(&mut hasher);
    hasher.finish()
}
