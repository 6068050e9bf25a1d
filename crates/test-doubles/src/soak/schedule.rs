//! Actions that the harness of a soak run takes, in the order of their start times.

use super::plan::{Event, Plan};
use std::time::Duration;

/// Call time that is set at the downstream service to keep it from answering calls. The time is longer than a
/// whole soak run.
const SILENT: Duration = Duration::from_secs(60);

/// Action that the harness takes on a server or on the downstream service.
pub enum Action {
    Signal(&'static str),
    Reload,
    CallTime(Duration),
    IdleConnections(usize),
    CoreSpeed(f64),
    LoseCommands,
    ResetLink,
}

pub struct ScheduledAction {
    pub at: Duration,
    pub server: usize,
    pub action: Action,
}

/// Converts the events of a plan to actions with start times. The actions are not sorted by start time.
pub fn schedule(plan: &Plan) -> Vec<ScheduledAction> {
    let mut actions = Vec::new();
    for scheduled in &plan.events {
        let (at, server) = (scheduled.at, scheduled.server);
        let mut add = |at, action| actions.push(ScheduledAction { at, server, action });
        match scheduled.event {
            Event::Reload => add(at, Action::Reload),
            Event::LogCounters => add(at, Action::Signal("USR1")),
            Event::Stop { span } => {
                add(at, Action::Signal("STOP"));
                add(at + span, Action::Signal("CONT"));
            }
            Event::SilentService { span } => {
                add(at, Action::CallTime(SILENT));
                add(at + span, Action::CallTime(plan.call_time));
            }
            Event::Cores { speed, span } => {
                add(at, Action::CoreSpeed(speed));
                add(at + span, Action::CoreSpeed(1.0));
            }
            Event::ResetLink { loses } => {
                add(at.saturating_sub(loses), Action::LoseCommands);
                add(at, Action::ResetLink);
            }
            Event::IdleConnections { connections } => add(at, Action::IdleConnections(connections)),
        }
    }
    actions
}
