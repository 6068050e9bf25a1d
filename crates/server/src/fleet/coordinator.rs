//! `meadowstream rollout`: runs the coordinator of a rollout. The coordinator is a member of the fleet, but
//! serves no callers. The coordinator holds the rollout lease and saves its state to disk. In each interval,
//! the coordinator sends orders to the servers and receives their reports.

use crate::configuration::candidate;
use crate::configuration::candidate::hash_of;
use crate::configuration::fleet;
use crate::configuration::fleet::FleetSettings;
use crate::configuration::leases::ROLLOUTS;
use crate::fleet::joined::NonServingMember;
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

/// Prefix of the member names of coordinators. A rollout does not treat members with this prefix as servers.
const NAME_PREFIX: &str = "rollout-";

/// Arguments of the `rollout` command: three files, and the time to wait for the rollout lease.
pub struct RolloutArguments {
    /// Path of the plan file.
    pub plan: PathBuf,
    /// Path of the options file that contains the fleet settings.
    pub options: PathBuf,
    /// Path of the file in which the coordinator saves its state.
    pub state: PathBuf,
    /// Maximum time to wait for the rollout lease before the first stage begins. After this time the
    /// `rollout` command fails.
    pub wait: Duration,
}

/// Returns the default path of the coordinator's state file: the path of the plan with `.state` appended.
pub fn default_state_path(plan: &Path) -> PathBuf {
    let mut state = plan.as_os_str().to_os_string();
    state.push(".state");
    PathBuf::from(state)
}

fn abort_path(state: &Path) -> PathBuf {
    let mut abort = state.as_os_str().to_os_string();
    abort.push(".abort");
    PathBuf::from(abort)
}

/// Reads the coordinator's state file. Returns `None` if the file does not exist.
fn read_state(path: &Path) -> Result<Option<PersistedState>> {
    let text = match std::fs::read_to_string(path) {
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        text => text.with_context(|| format!("cannot read {}", path.display()))?,
    };
    let saved = serde_json::from_str(&text)
        .with_context(|| format!("{}: not a rollout state file", path.display()))?;
    Ok(Some(saved))
}

/// Prints the progress of a rollout, which the coordinator has saved in the state file.
pub fn status(state: &Path) -> Result<()> {
    let saved = read_state(state)?.with_context(|| format!("{}: no rollout has begun", state.display()))?;
    println!("plan {:?}, settings {:016x}, stage {}", saved.plan, saved.candidate, saved.stage + 1);
    println!("{}", saved.describe_phase());
    println!("{}", saved.describe_servers());
    Ok(())
}

/// Requests the rollback of a rollout by writing a request file next to the state file. A running coordinator
/// reads the request in its next interval. If no coordinator is running, the next coordinator that is started
/// with this state file reads the request.
pub fn abort(state: &Path) -> Result<()> {
    let saved = read_state(state)?.with_context(|| format!("{}: no rollout has begun", state.display()))?;
    ensure!(!saved.phase.has_ended(), "the plan has ended already: {}", saved.describe_phase());
    files::write(&abort_path(state), b"abort\n").context("cannot write")?;
    println!("the coordinator will roll back; if it is not running, it does so when it is started again");
    Ok(())
}

/// Reads the plan, the candidate and the options. Called before the process joins the fleet, so that errors
/// in these files are reported first.
fn prepare(arguments: &RolloutArguments) -> Result<(Plan, FleetSettings)> {
    let file = PlanFile::load(&arguments.plan)?;
    let candidate = arguments.plan.parent().unwrap_or(Path::new(".")).join(&file.candidate);
    let bytes = std::fs::read(&candidate).with_context(|| format!("cannot read {}", candidate.display()))?;
    if file.plan.kind == ChangeKind::Settings {
        candidate::read_change(&candidate)?;
    }
    let plan = Plan { candidate: hash_of(&bytes), ..file.plan };
    let options = Options::load(&arguments.options)?;
    let membership = options.membership.as_ref();
    let membership =
        membership.with_context(|| format!("{}: <membership> is missing", arguments.options.display()))?;
    ensure!(options.rollout.is_some(), "{}: <rollout> is missing", arguments.options.display());
    let name = format!("{NAME_PREFIX}{:08x}", hash_of(plan.name.as_bytes()) as u32);
    let mut fleet = fleet::fleet_settings(membership, &name, &arguments.options)?;
    fleet.name = name;
    // A coordinator uses neither the fleet's budget of downstream calls nor replicated configuration.
    let rollout_only = Options { shared_state: None, replication: None, ..options };
    fleet.shared = fleet::shared_state_settings(&rollout_only, fleet.settings.packet_max)?;
    Ok((plan, fleet))
}

/// Coordinates a rollout until it ends. Returns `Ok` only if every stage was completed.
pub fn run(arguments: &RolloutArguments) -> Result<()> {
    let (plan, fleet) = prepare(arguments)?;
    let lock = std::fs::File::options().create(true).append(true).open(lock_path(&arguments.state))?;
    let locked = rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive);
    ensure!(locked.is_ok(), "{}: another coordinator is using this state", arguments.state.display());
    let saved = read_state(&arguments.state)?;
    if let Some(ended) = saved.as_ref().filter(|saved| saved.phase.has_ended()) {
        let (state, outcome) = (arguments.state.display(), ended.describe_phase());
        bail!("this plan has ended ({outcome}); remove {state} to start it again");
    }
    let ended = async_io::block_on(coordinate(arguments, plan, saved, &fleet))?;
    ensure!(ended.phase == Phase::Done, "{}", ended.describe_phase());
    Ok(())
}

fn lock_path(state: &Path) -> PathBuf {
    let mut lock = state.as_os_str().to_os_string();
    lock.push(".lock");
    PathBuf::from(lock)
}

/// State of a running coordinator, which is also a member of the fleet.
struct Coordination<'a> {
    arguments: &'a RolloutArguments,
    fleet_member: NonServingMember,
    coordinator: Coordinator,
    /// Time between two rounds of orders, in nanoseconds. In each round the coordinator sends orders, to
    /// which the servers reply with reports.
    interval: u64,
    /// Time of the next round of orders, in Unix nanoseconds.
    next_interval: u64,
}

async fn coordinate(
    arguments: &RolloutArguments,
    plan: Plan,
    saved: Option<PersistedState>,
    fleet: &FleetSettings,
) -> Result<PersistedState> {
    let fleet_member = NonServingMember::join(fleet)?;
    let (interval, resumes) = (plan.interval, saved.is_some());
    let coordinator = Coordinator::new(plan, saved, fleet_member.incarnation, fleet_member.now());
    let coordinator = coordinator.map_err(|fault| anyhow!(fault))?;
    let next_interval = fleet_member.now() + interval;
    let mut coordination = Coordination { arguments, fleet_member, coordinator, interval, next_interval };
    coordination.print(if resumes { "goes on from its state" } else { "joins the fleet" });
    coordination.run().await
}

impl Coordination<'_> {
    /// Prints `line`, preceded by the time since the start of this process in seconds.
    fn print(&self, line: &str) {
        let elapsed_ns = self.fleet_member.now() - self.fleet_member.incarnation;
        println!("{:8.1} s  {line}", elapsed_ns as f64 / 1e9);
    }

    async fn run(&mut self) -> Result<PersistedState> {
        loop {
            let now = self.fleet_member.now();
            let has_lease = self.fleet_member.request_lease(ROLLOUTS, true);
            if now >= self.next_interval {
                self.next_interval = now + self.interval;
                self.handle_interval(now, has_lease)?;
            }
            if self.coordinator.state().phase.has_ended() {
                // Sends the last orders to the servers before the coordinator leaves the fleet.
                self.fleet_member.step(self.fleet_member.now()).await;
                self.fleet_member.leave().await;
                return Ok(self.coordinator.state().clone());
            }
            self.receive_reports().await;
        }
    }

    fn handle_interval(&mut self, now: u64, has_lease: bool) -> Result<()> {
        if abort_path(&self.arguments.state).exists() {
            let actions = self.coordinator.handle_abort(now);
            self.carry_out(actions)?;
            let _ = std::fs::remove_file(abort_path(&self.arguments.state));
        }
        let has_begun = self.coordinator.state().phase != Phase::Waiting;
        let waited = Duration::from_nanos(now - self.fleet_member.incarnation);
        ensure!(
            has_lease || has_begun || waited < self.arguments.wait,
            "no lease on rollouts within {:?}: another plan \
            holds it, or no majority of <voter>s is reachable",
            self.arguments.wait
        );
        let view = fleet_view(&mut self.fleet_member.membership, now);
        let actions = self.coordinator.handle_interval(now, &view, has_lease);
        self.carry_out(actions)
    }

    async fn receive_reports(&mut self) {
        for message in self.fleet_member.step(self.next_interval).await {
            if message.topic == ROLLOUT_REPORTS
                && let Some(report) = wire::decode(&message.body)
            {
                let now = self.fleet_member.now();
                self.coordinator.handle_report(now, &message.from.name, report);
            }
        }
    }

    /// Executes the coordinator's actions in the order of the list. The state must be saved before orders
    /// that depend on the state are sent.
    ///
    /// If the state cannot be written, the coordinator exits. Each server then keeps its current version
    /// until the coordinator is started again.
    fn carry_out(&mut self, actions: Vec<Action>) -> Result<()> {
        for action in actions {
            match action {
                Action::Save(saved) => {
                    let text = serde_json::to_string_pretty(&saved)?;
                    let path = &self.arguments.state;
                    files::write(path, text.as_bytes())
                        .with_context(|| format!("cannot write {}", path.display()))?;
                }
                Action::SendOrder { server, order } => {
                    self.fleet_member.send(&server, ROLLOUT_ORDERS, wire::encode(&order));
                }
                Action::Notify { message } => self.print(&message),
            }
        }
        Ok(())
    }
}

/// Returns the names of the fleet's servers in two lists: alive servers and missing servers. Coordinators are
/// not included.
fn fleet_view(membership: &mut Membership, now: u64) -> FleetView {
    let mut view =
        FleetView { settled_for: now.saturating_sub(membership.last_change()), ..FleetView::default() };
    for member in
        membership.observe_view(now).into_iter().filter(|member| !member.name.starts_with(NAME_PREFIX))
    {
        match member.state {
            MemberState::Alive => view.alive.push(member.name),
            // A member that is down is listed as missing until the membership protocol forgets the member.
            // The member may still be running on the other side of a network partition.
            MemberState::Suspect | MemberState::Down => view.missing.push(member.name),
        }
    }
    view
}
