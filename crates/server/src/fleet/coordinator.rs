//! `meadowstream rollout`: the coordinator of one rollout. It is a member of the fleet that serves nothing,
//! holds the lease on rollouts, sends orders and receives reports in each interval, and keeps its state on
//! disk.

use crate::configuration::candidate;
use crate::configuration::candidate::hash_of;
use crate::configuration::fleet;
use crate::configuration::fleet::Fleet;
use crate::configuration::leases::ROLLOUTS;
use crate::fleet::joined::Joined;
use crate::lifecycle::files;
use anyhow::{Context, Result, anyhow, bail, ensure};
use meadowstream_configuration::{Options, PlanFile};
use meadowstream_membership::{MemberState, Membership};
use meadowstream_rollout::coordinator::{Action, Coordinator, FleetView, PersistedState, Phase};
use meadowstream_rollout::plan::{ChangeKind, Plan};
use meadowstream_rollout::wire;
use meadowstream_shared_state::{ROLLOUT_ORDERS, ROLLOUT_REPORTS};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Names of members that are coordinators begin with this; no rollout reaches them.
const NAME_PREFIX: &str = "rollout-";

/// What `rollout` is given.
pub struct Given {
    /// The file of the plan.
    pub plan: PathBuf,
    /// The options file of the fleet.
    pub options: PathBuf,
    /// The file of the coordinator's state.
    pub state: PathBuf,
    /// How long it waits for the lease before anything has begun.
    pub wait: Duration,
}

/// The file of the state of a plan, unless another is given.
pub fn state_of(plan: &Path) -> PathBuf {
    let mut state = plan.as_os_str().to_os_string();
    state.push(".state");
    PathBuf::from(state)
}

fn abort_of(state: &Path) -> PathBuf {
    let mut abort = state.as_os_str().to_os_string();
    abort.push(".abort");
    PathBuf::from(abort)
}

/// `None` where there is no state yet.
fn read_state(path: &Path) -> Result<Option<PersistedState>> {
    let text = match std::fs::read_to_string(path) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        text => text.with_context(|| format!("cannot read {}", path.display()))?,
    };
    let saved =
        serde_json::from_str(&text).with_context(|| format!("{}: no state of a rollout", path.display()))?;
    Ok(Some(saved))
}

/// Prints how far a rollout has come.
pub fn status(state: &Path) -> Result<()> {
    let saved = read_state(state)?.with_context(|| format!("{}: nothing has begun", state.display()))?;
    let changed: Vec<&str> = saved.changed.iter().map(String::as_str).collect();
    println!("plan {:?}, settings {:016x}, stage {}", saved.plan, saved.candidate, saved.stage + 1);
    println!("{}", said(&saved.phase));
    println!("{} servers go by the change: {}", changed.len(), changed.join(", "));
    Ok(())
}

fn said(phase: &Phase) -> String {
    match phase {
        Phase::Waiting => "waiting".into(),
        Phase::Applying => "applying".into(),
        Phase::Baking => "baking".into(),
        Phase::RollingBack { reason } => format!("rolling back: {reason}"),
        Phase::Done => "done".into(),
        Phase::Stopped { reason } => format!("stopped: {reason}"),
        Phase::RolledBack { reason, unconfirmed } if unconfirmed.is_empty() => {
            format!("rolled back: {reason}")
        }
        Phase::RolledBack { reason, unconfirmed } => {
            format!("rolled back: {reason}; not confirmed by {}", unconfirmed.join(", "))
        }
    }
}

/// Asks the coordinator, the one that runs or the next that goes on from the state, to roll back.
pub fn abort(state: &Path) -> Result<()> {
    let saved = read_state(state)?.with_context(|| format!("{}: nothing has begun", state.display()))?;
    ensure!(!saved.phase.has_ended(), "the plan has ended already: {}", said(&saved.phase));
    files::write(&abort_of(state), b"abort\n").context("cannot write")?;
    println!("the coordinator will roll back; one that does not run does so when it is started again");
    Ok(())
}

/// Reads all it is given and refuses what cannot be done before the fleet hears of it.
fn prepare(given: &Given) -> Result<(Plan, Fleet)> {
    let file = PlanFile::load(&given.plan)?;
    let candidate = given.plan.parent().unwrap_or(Path::new(".")).join(&file.candidate);
    let bytes = std::fs::read(&candidate).with_context(|| format!("cannot read {}", candidate.display()))?;
    if file.plan.kind == ChangeKind::Settings {
        candidate::read_change(&candidate)?;
    }
    let plan = Plan { candidate: hash_of(&bytes), ..file.plan };
    let options = Options::load(&given.options)?;
    let own = options.membership.as_ref();
    let own = own.with_context(|| format!("{}: <membership> is missing", given.options.display()))?;
    ensure!(options.rollout.is_some(), "{}: <rollout> is missing", given.options.display());
    let name = format!("{NAME_PREFIX}{:08x}", hash_of(plan.name.as_bytes()) as u32);
    let mut fleet = fleet::fleet(own, &name, &given.options)?;
    fleet.name = name;
    // It takes no part in what else is shared.
    let alone = Options { shared_state: None, replication: None, ..options };
    fleet.shared = fleet::shared(&alone, fleet.settings.packet_max)?;
    Ok((plan, fleet))
}

/// Coordinates a rollout to its end; an error unless every stage is done.
pub fn run(given: &Given) -> Result<()> {
    let (plan, fleet) = prepare(given)?;
    let lock = std::fs::File::options().create(true).append(true).open(state_lock(&given.state))?;
    let alone = rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive);
    ensure!(alone.is_ok(), "{}: another coordinator goes by this state", given.state.display());
    let saved = read_state(&given.state)?;
    if let Some(ended) = saved.as_ref().filter(|saved| saved.phase.has_ended()) {
        let (state, said) = (given.state.display(), said(&ended.phase));
        bail!("this plan has ended ({said}); remove {state} to begin it anew");
    }
    let phase = async_io::block_on(coordinate(given, plan, saved, &fleet))?;
    match phase {
        Phase::Done => Ok(()),
        other => Err(anyhow!("{}", said(&other))),
    }
}

fn state_lock(state: &Path) -> PathBuf {
    let mut lock = state.as_os_str().to_os_string();
    lock.push(".lock");
    PathBuf::from(lock)
}

/// A coordinator and its place in the fleet.
struct Coordination<'a> {
    given: &'a Given,
    joined: Joined,
    coordinator: Coordinator,
    /// Length of an interval, in nanoseconds.
    interval: u64,
    next_interval: u64,
}

async fn coordinate(
    given: &Given,
    plan: Plan,
    saved: Option<PersistedState>,
    fleet: &Fleet,
) -> Result<Phase> {
    let joined = Joined::join(fleet)?;
    let (interval, resumes) = (plan.interval, saved.is_some());
    let coordinator = Coordinator::new(plan, saved, joined.incarnation, joined.now());
    let coordinator = coordinator.map_err(|fault| anyhow!(fault))?;
    let next_interval = joined.now() + interval;
    let mut coordination = Coordination { given, joined, coordinator, interval, next_interval };
    coordination.print(if resumes { "goes on from its state" } else { "joins the fleet" });
    coordination.run().await
}

impl Coordination<'_> {
    /// Prints a line with the time since the start.
    fn print(&self, line: &str) {
        let elapsed_ns = self.joined.now() - self.joined.incarnation;
        println!("{:8.1} s  {line}", elapsed_ns as f64 / 1e9);
    }

    async fn run(&mut self) -> Result<Phase> {
        loop {
            let now = self.joined.now();
            let has_lease = self.joined.lease(ROLLOUTS, true);
            if now >= self.next_interval {
                self.next_interval = now + self.interval;
                self.handle_interval(now, has_lease)?;
            }
            if self.coordinator.state().phase.has_ended() {
                // The last orders go out before it leaves.
                self.joined.turn(self.joined.now()).await;
                self.joined.leave().await;
                return Ok(self.coordinator.state().phase.clone());
            }
            self.receive_reports().await;
        }
    }

    fn handle_interval(&mut self, now: u64, has_lease: bool) -> Result<()> {
        if abort_of(&self.given.state).exists() {
            let actions = self.coordinator.handle_abort(now);
            self.carry_out(actions)?;
            let _ = std::fs::remove_file(abort_of(&self.given.state));
        }
        let has_begun = self.coordinator.state().phase != Phase::Waiting;
        let waited = Duration::from_nanos(now - self.joined.incarnation);
        ensure!(
            has_lease || has_begun || waited < self.given.wait,
            "no lease on rollouts within {:?}: another plan \
            holds it, or no majority of <voter>s is heard",
            self.given.wait
        );
        let view = fleet_view(&mut self.joined.membership, now);
        let actions = self.coordinator.handle_interval(now, &view, has_lease);
        self.carry_out(actions)
    }

    async fn receive_reports(&mut self) {
        for message in self.joined.turn(self.next_interval).await {
            if message.topic == ROLLOUT_REPORTS
                && let Some(report) = wire::decode(&message.body)
            {
                let now = self.joined.now();
                self.coordinator.handle_report(now, &message.from.name, report);
            }
        }
    }

    /// Carries out actions in their order: the state is saved before the orders that follow from it are sent.
    /// A state that cannot be written ends the coordinator, and the servers stay as they are until it is
    /// started again.
    fn carry_out(&mut self, actions: Vec<Action>) -> Result<()> {
        for action in actions {
            match action {
                Action::Save(saved) => {
                    let text = serde_json::to_string_pretty(&saved)?;
                    let path = &self.given.state;
                    files::write(path, text.as_bytes())
                        .with_context(|| format!("cannot write {}", path.display()))?;
                }
                Action::SendOrder { server, order } => {
                    self.joined.send(&server, ROLLOUT_ORDERS, wire::encode(&order));
                }
                Action::Notify { message } => self.print(&message),
            }
        }
        Ok(())
    }
}

/// The servers of the fleet.
fn fleet_view(membership: &mut Membership, now: u64) -> FleetView {
    let mut view =
        FleetView { settled_for: now.saturating_sub(membership.last_change()), ..FleetView::default() };
    for member in
        membership.observe_view(now).into_iter().filter(|member| !member.name.starts_with(NAME_PREFIX))
    {
        match member.state {
            MemberState::Alive => view.alive.push(member.name),
            // A member that is down is waited for until it is forgotten: a partition looks the same.
            MemberState::Suspect | MemberState::Down => view.missing.push(member.name),
        }
    }
    view
}
