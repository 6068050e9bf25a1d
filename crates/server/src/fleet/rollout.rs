//! Executes the orders of a rollout on this server, and reports which version the server runs.
//!
//! An order asks the server to adopt the change of the rollout, which is either new settings or a new
//! program. An order can also ask the server to return to its own settings or program.
//!
//! An adopted change is recorded on disk before the server reports the change. The server therefore still
//! runs the change after a crash.

use crate::configuration::candidate::hash_of;
use crate::error::with_causes;
use crate::fleet::rollout_state::{LastOrder, OwnProgram, Rollout};
use crate::lifecycle::files;
use crate::lifecycle::reload;
use crate::lifecycle::reload::ReloadError;
use crate::server::Server;
use meadowstream_rollout::plan::ChangeKind;
use meadowstream_rollout::wire::{Order, Report};
use std::io::Error;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tracing::{info, warn};

/// Maximum length, in characters, of a refusal reason in a report. The reason states why this server refused
/// an order of a rollout.
const REASON_MAX: usize = 200;

/// Reason why an order of a rollout is refused. The server keeps its previous settings and its previous
/// program.
#[derive(Debug, thiserror::Error)]
enum AdoptError {
    #[error("cannot remove the file that marks the settings as adopted")]
    RemoveMark(#[source] Error),
    #[error("cannot write the file that marks the settings as adopted")]
    WriteMark(#[source] Error),
    #[error(transparent)]
    Reload(#[from] ReloadError),
    #[error("<rollout>: the options name no program")]
    NoProgram,
    #[error("cannot read {path}")]
    ReadProgram {
        path: PathBuf,
        #[source]
        error: Error,
    },
    #[error("{path} has the hash {found:016x}, not {expected:016x}")]
    OtherProgram { path: PathBuf, found: u64, expected: u64 },
    #[error(transparent)]
    ProgramMark(Error),
}

/// Computes the hash of the running program's file. Does nothing if no rollout can replace the program.
///
/// The file is large, so the blocking pool reads the file after the start. Callers of a restarted server
/// therefore do not wait until the file is read.
pub async fn read_program(server: Rc<Server>) {
    let Some(rollout) = server.rollout.as_ref().filter(|rollout| rollout.program.get().is_none()) else {
        return;
    };
    let mark = rollout.candidate.program_mark.clone();
    let read = blocking::unblock(move || -> std::io::Result<OwnProgram> {
        let hash = hash_of(&std::env::current_exe().and_then(std::fs::read)?);
        let marked = std::fs::read_to_string(mark).unwrap_or_default();
        Ok(OwnProgram { hash, adopted: marked.starts_with(&format!("{hash:016x} ")) })
    });
    match read.await {
        Ok(program) => rollout.program.set(Some(program)),
        Err(error) => warn!(target: "fleet", %error,
            "cannot read the file of the running program; orders to change the program are not answered"),
    }
}

/// Handles an order from an authenticated member, and returns the report to send in reply. Returns `None` in
/// three cases:
/// - The order is outdated or a duplicate.
/// - The order changes the program, but the file of the running program has not been read yet. The
///   coordinator sends the order again.
/// - An earlier order's change is still in progress. A report would state what is about to end, and the
///   coordinator could take it for the confirmation of a rollback. The coordinator sends the order again.
pub fn handle_order(server: &Rc<Server>, rollout: &Rollout, order: Order) -> Option<Report> {
    let now = server.clock.now();
    if rollout.is_stale(&order) {
        return None;
    }
    let program = match order.kind {
        ChangeKind::Settings => None,
        ChangeKind::Program => Some(rollout.program.get()?),
    };
    if let Some(plan) = rollout.plan_under_way(&order, now) {
        let refused = format!("plan {plan:?} is under way here");
        return Some(rollout.report(&order, program, Some(refused)));
    }
    accept(rollout, &order, now);
    if rollout.is_changing.get() {
        return None;
    }
    start_change(server, rollout, &order, program);
    rollout.intervals.set(rollout.intervals.get() + 1);
    let refused = rollout.refused.borrow().clone();
    // A report with a refusal reason contains no recorded answers, because the reason and the answers
    // together do not fit in one datagram.
    let classes = if refused.is_some() { Vec::new() } else { rollout.recorder.take() };
    Some(Report { classes, ..rollout.report(&order, program, refused) })
}

fn accept(rollout: &Rollout, order: &Order, now: u64) {
    let mut last = rollout.last_order.borrow_mut();
    if order.plan != last.plan {
        *rollout.refused.borrow_mut() = None;
    }
    let (incarnation, sequence) = (order.incarnation, order.sequence);
    *last = LastOrder { plan: order.plan.clone(), incarnation, sequence, at: now };
}

/// Starts the change that an order requests. Does nothing if the change is already made. No other change may
/// be in progress.
fn start_change(server: &Rc<Server>, rollout: &Rollout, order: &Order, program: Option<OwnProgram>) {
    let (kind, adopt) = (order.kind, order.adopt);
    let is_made = match program {
        None => adopt == rollout.adopted.get(),
        Some(program) => adopt == program.adopted.then_some(program.hash),
    };
    if is_made {
        return;
    }
    rollout.is_changing.set(true);
    let server_of_task = server.clone();
    let task = async move {
        match kind {
            ChangeKind::Settings => change_settings(server_of_task, adopt).await,
            ChangeKind::Program => change_program(server_of_task, adopt).await,
        }
    };
    server.executor.spawn(task).detach();
}

/// Adopts the candidate settings of a rollout, or returns to the server's own settings if `adopt` is `None`.
async fn change_settings(server: Rc<Server>, adopt: Option<u64>) {
    let Some(rollout) = &server.rollout else { return };
    let changed = match adopt {
        None => adopt_own(&server, rollout).await,
        Some(hash) => adopt_candidate(&server, rollout, hash).await,
    };
    match changed {
        Ok(()) => *rollout.refused.borrow_mut() = None,
        Err(error) => refuse(rollout, &error),
    }
    record_settings_in_force(&server, rollout);
    rollout.is_changing.set(false);
}

/// Records which settings are in force after a change that may have failed halfway, so that reports state
/// what the server runs. Does nothing if the settings are those of before.
fn record_settings_in_force(server: &Server, rollout: &Rollout) {
    let in_force = server.configuration.candidate.borrow().as_ref().and_then(|candidate| candidate.adopted);
    if rollout.adopted.replace(in_force) == in_force {
        return;
    }
    let settings = in_force.unwrap_or(rollout.candidate.own_hash);
    rollout.versions.borrow_mut().set_settings(settings);
    let settings = format!("{settings:016x}");
    info!(target: "fleet", adopted = in_force.is_some(), settings, "settings");
    // The answers recorded so far belong to the previous settings, so these answers are discarded.
    rollout.recorder.take();
}

/// Returns to the server's own settings. The file that marks the candidate settings as adopted is removed
/// first. If the server crashes before the settings are changed, the server restarts with its own settings.
async fn adopt_own(server: &Rc<Server>, rollout: &Rollout) -> Result<(), AdoptError> {
    let mark = rollout.candidate.mark.clone();
    let removed = blocking::unblock(move || files::remove(&mark)).await;
    removed.map_err(AdoptError::RemoveMark)?;
    Ok(reload::adopt(server, None).await?)
}

/// Adopts the candidate settings of a rollout. The file that marks the settings as adopted is written last.
/// If the server crashes before the file is written, the server restarts with its own settings. If the file
/// cannot be written, the server returns to its own settings.
async fn adopt_candidate(server: &Rc<Server>, rollout: &Rollout, hash: u64) -> Result<(), AdoptError> {
    reload::adopt(server, Some(hash)).await?;
    let mark = rollout.candidate.mark.clone();
    let line = format!("{hash:016x}\n");
    let written = blocking::unblock(move || files::write(&mark, line.as_bytes())).await;
    if let Err(error) = written {
        // The write may have failed after the file had its name, so the file is removed, too.
        adopt_own(server, rollout).await?;
        return Err(AdoptError::WriteMark(error));
    }
    Ok(())
}

/// Makes the server exit so that its supervisor starts another program. This function writes the path of the
/// other program to a file, the program mark, which the supervisor reads. If `adopt` is `None`, the program
/// mark is removed.
///
/// The server leaves as it does on SIGTERM. After the restart, the server reports which program it runs.
async fn change_program(server: Rc<Server>, adopt: Option<u64>) {
    let Some(rollout) = &server.rollout else { return };
    let mark = rollout.candidate.program_mark.clone();
    let program = rollout.candidate.program.clone();
    let changed = blocking::unblock(move || set_program_mark(&mark, program, adopt)).await;
    match changed {
        Ok(()) => {
            info!(target: "fleet", program = adopt.is_some(), "ends for another program");
            let stop_ns = server.configuration.stop_ms * 1_000_000;
            server.drain.end_by(server.clock.now() + stop_ns);
            let _ = rollout.leave.try_send(());
        }
        Err(error) => {
            refuse(rollout, &error);
            rollout.is_changing.set(false);
        }
    }
}

fn set_program_mark(mark: &Path, program: Option<PathBuf>, adopt: Option<u64>) -> Result<(), AdoptError> {
    let Some(expected) = adopt else { return files::remove(mark).map_err(AdoptError::ProgramMark) };
    let path = program.ok_or(AdoptError::NoProgram)?;
    let bytes = match std::fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) => return Err(AdoptError::ReadProgram { path, error }),
    };
    let found = hash_of(&bytes);
    if found != expected {
        return Err(AdoptError::OtherProgram { path, found, expected });
    }
    let line = format!("{expected:016x} {}\n", path.display());
    files::write(mark, line.as_bytes()).map_err(AdoptError::ProgramMark)
}

fn refuse(rollout: &Rollout, error: &AdoptError) {
    let why: String = with_causes(error).chars().take(REASON_MAX).collect();
    warn!(target: "fleet", why, "refused an order of a rollout");
    *rollout.refused.borrow_mut() = Some(why);
}
