//! Compares changed and unchanged servers in a stage until the bake time of the stage is over. This phase of
//! a stage is called baking.

use super::{Action, Coordinator, Interval, Phase};
use crate::Nanos;
use crate::canary::{Canary, Verdict};
use crate::plan::{INTERVALS_MIN, OnRegression};

/// Maximum time for which a stage waits for enough values for a comparison, as a multiple of the stage's bake
/// time. After this time, the rollout is stopped or rolled back, as the plan specifies.
const INSUFFICIENT_DATA_FACTOR: Nanos = 3;
/// Maximum number of verdicts in a stage, as a multiple of the planned number. Each verdict adds to the
/// probability of a false stop. If servers report once per planned interval, the planned number is not
/// exceeded. If servers report more often, there are more verdicts. The probability of a false stop is then
/// at most this multiple of the plan's `alpha`.
const VERDICTS_FACTOR: usize = 4;

impl Coordinator {
    pub(super) fn handle_baking(&mut self, interval: &Interval, actions: &mut Vec<Action>) {
        if let Some(reason) = self.find_failure() {
            return self.stop_or_roll_back(interval.now, reason, actions);
        }
        self.add_to_canary(interval);
        let stage = self.state.stage;
        if !interval.is_settled {
            return self.notify_unsettled(actions);
        }
        if interval.now.saturating_sub(self.phase_began) < self.plan.warm_up {
            self.canary = Canary::default();
            return self.notify(actions, &format!("stage {}: warms up", stage + 1));
        }
        self.baked += interval.elapsed;
        let bake_time = self.plan.stages[stage].bake_time;
        let has_unchanged = !self.unchanged_servers(interval.view).is_empty();
        match self.next_verdict() {
            Verdict::Regression { class, metric, difference, p_value } => {
                let reason = format!("{class}: {metric:?} worse by {difference:.3} (p {p_value:.1e})");
                self.stop_or_roll_back(interval.now, reason, actions);
            }
            // Without unchanged servers, no comparison is possible, and waiting would not help. Only stages
            // with unchanged servers wait for more values.
            Verdict::InsufficientData if has_unchanged => {
                if self.baked < bake_time.saturating_mul(INSUFFICIENT_DATA_FACTOR) {
                    self.notify(actions, &format!("stage {}: too few answers to compare", stage + 1));
                } else {
                    self.stop_or_roll_back(interval.now, "too few answers to compare".into(), actions);
                }
            }
            Verdict::InsufficientData | Verdict::Pass => self.handle_no_regression(interval, actions),
        }
    }

    /// Shows the operator that the stage is suspended, and which changed servers are absent.
    fn notify_unsettled(&mut self, actions: &mut Vec<Action>) {
        let stage = self.state.stage + 1;
        let mut message =
            format!("stage {stage}: the fleet's view moves, nothing counts (no comparison, no bake time)");
        if !self.absent_for.is_empty() {
            message.push_str(&format!("; changed and gone: {}", self.absent_servers()));
        }
        self.notify(actions, &message);
    }

    /// Adds the new metrics of servers that comply with their orders to the comparison. The metrics are
    /// dropped while the membership view is not settled, for example because a server is missing. A
    /// membership change may then be the cause of a difference between servers.
    fn add_to_canary(&mut self, interval: &Interval) {
        for new_interval in self.take_new_intervals(interval.view) {
            if self.complies(&new_interval.server) {
                let is_changed = self.state.changed.contains(&new_interval.server);
                self.canary.add(
                    &new_interval.server,
                    is_changed,
                    &new_interval.metrics,
                    &self.state.baselines,
                );
            }
        }
        if interval.is_settled {
            self.canary.close_interval();
        } else {
            self.canary.discard_interval();
        }
    }

    /// Computes the verdict of this interval. After [`VERDICTS_FACTOR`] times the planned number of verdicts,
    /// returns [`Verdict::Pass`] without a comparison. From then on, only the bake time and failed servers
    /// affect the stage.
    fn next_verdict(&mut self) -> Verdict {
        let planned = self.plan.planned_verdicts(self.state.stage);
        let may_compare = self.verdicts < VERDICTS_FACTOR * planned;
        if self.canary.intervals() >= INTERVALS_MIN {
            self.verdicts += 1;
        }
        if may_compare { self.canary.verdict(&self.plan.thresholds, planned) } else { Verdict::Pass }
    }

    /// Handles an interval without a regression. After the bake time, begins the next stage, or ends the plan
    /// if this is the last stage. A server that does not comply delays this until it complies or has failed.
    fn handle_no_regression(&mut self, interval: &Interval, actions: &mut Vec<Action>) {
        let stage = self.state.stage;
        let bake_time = self.plan.stages[stage].bake_time;
        if self.baked < bake_time {
            let (baked, planned) = (seconds(self.baked), seconds(bake_time));
            self.notify(actions, &format!("stage {}: baked {baked:.0} of {planned:.0} s", stage + 1));
        } else if let Some(server) = self.first_unready(interval) {
            let message = format!("stage {}: waits until {server} runs what it was ordered to", stage + 1);
            self.notify(actions, &message);
        } else if stage + 1 < self.plan.stages.len() {
            self.begin_stage(interval.now, stage + 1, interval.view, actions);
        } else {
            self.state.left_out = self.left_out_servers(interval.view);
            self.end(Phase::Done, actions);
        }
    }

    /// Stops the rollout or rolls it back, as the plan specifies. `reason` describes the cause: a regression,
    /// a failed server, a server that sends no reports, or too few values for a comparison.
    pub(super) fn stop_or_roll_back(&mut self, now: Nanos, reason: String, actions: &mut Vec<Action>) {
        match self.plan.on_regression {
            OnRegression::Stop => self.end(Phase::Stopped { reason }, actions),
            OnRegression::RollBack => self.roll_back(now, reason, actions),
        }
    }
}

fn seconds(time: Nanos) -> f64 {
    time as f64 / 1e9
}
