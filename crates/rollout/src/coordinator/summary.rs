//! Sentences for the operator: the phase of a plan, and which servers run the change.

use super::state::{PersistedState, Phase};

impl PersistedState {
    /// Describes the phase of the plan in one line. The end of a plan names the servers that differ from what
    /// its outcome suggests.
    pub fn describe_phase(&self) -> String {
        match &self.phase {
            Phase::Waiting => "waiting".into(),
            Phase::Applying => "applying".into(),
            Phase::Baking => "baking".into(),
            Phase::RollingBack { reason } => format!("rolling back: {reason}"),
            Phase::Done => with_names("done: all stages went through", "NOT CHANGED:", &self.left_out),
            Phase::Stopped { reason } => {
                with_names(&format!("stopped: {reason}"), "NOT ROLLED BACK:", &self.changed)
            }
            Phase::RolledBack { reason, unconfirmed } => {
                with_names(&format!("rolled back: {reason}"), "NOT CONFIRMED by", unconfirmed)
            }
        }
    }

    /// Describes in one line which servers run the change or may run it, as far as the plan knows. An order
    /// to run the change is not taken for its execution, nor an order to roll back for a confirmation.
    pub fn describe_servers(&self) -> String {
        match (&self.phase, &self.pending_rollback) {
            (Phase::Waiting, _) => count_names("were ordered to run the change", &self.changed),
            (Phase::Applying | Phase::Baking, _) => {
                count_names("are ordered to run the change", &self.changed)
            }
            (Phase::Done, _) => count_names("have adopted the change", &self.changed),
            (Phase::Stopped { .. }, _) if self.changed.is_empty() => {
                count_names("were ordered to run the change", &self.changed)
            }
            (Phase::Stopped { .. }, _) => {
                count_names("were ordered to run the change and keep it", &self.changed)
            }
            (Phase::RollingBack { .. }, Some(pending)) => {
                count_names("have not confirmed yet that they went back", pending)
            }
            (Phase::RolledBack { .. }, Some(pending)) if pending.is_empty() => {
                "all changed servers have confirmed that they went back".into()
            }
            (Phase::RolledBack { .. }, Some(pending)) => count_names("may still run the change", pending),
            (Phase::RolledBack { unconfirmed, .. }, None) if !unconfirmed.is_empty() => {
                count_names("may still run the change", unconfirmed)
            }
            // Release 0.2 did not save which servers it had changed before a rollback.
            (Phase::RollingBack { .. } | Phase::RolledBack { .. }, None) => {
                "the state does not say which servers have to go back".into()
            }
        }
    }
}

fn join<'a>(names: impl IntoIterator<Item = &'a String>) -> String {
    names.into_iter().map(String::as_str).collect::<Vec<_>>().join(", ")
}

/// Appends the names to an outcome, preceded by what they have in common; nothing if there are no names.
fn with_names<'a>(outcome: &str, label: &str, names: impl IntoIterator<Item = &'a String>) -> String {
    let names = join(names);
    if names.is_empty() { outcome.to_string() } else { format!("{outcome}; {label} {names}") }
}

fn count_names<'a, Names>(statement: &str, names: Names) -> String
where
    Names: IntoIterator<Item = &'a String, IntoIter: ExactSizeIterator>,
{
    let names = names.into_iter();
    let count = names.len();
    let separator = if count == 0 { "" } else { ": " };
    format!("{count} servers {statement}{separator}{}", join(names))
}
