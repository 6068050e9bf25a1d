//! `meadowstream rollout`: the coordinator of one change by stages. It is a member of the fleet's view that
//! serves nothing, holds the lease on rollouts, orders and listens each interval, and keeps its state on
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

/// Members of that name are coordinators, which no change reaches.
const NAMED: &str = "rollout-";

/// What `rollout` is given.
pub struct Given {
    pub plan: PathBuf,
    pub options: PathBuf,
    pub state: PathBuf,
    /// How long it waits for the lease before anything has begun.
    pub wait: Duration,
}

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
    ensure!(!saved.phase.is_over(), "the plan has ended already: {}", said(&saved.phase));
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
    let name = format!("{NAMED}{:08x}", hash_of(plan.name.as_bytes()) as u32);
    let mut fleet = fleet::fleet(own, &name, &given.options)?;
    fleet.name = name;
    // It takes no part in what else is shared.
    let alone = Options { shared_state: None, replication: None, ..options };
    fleet.shared = fleet::shared(&alone, fleet.settings.packet_max)?;
    Ok((plan, fleet))
}

pub fn run(given: &Given) -> Result<()> {
    let (plan, fleet) = prepare(given)?;
    let lock = std::fs::File::options().create(true).append(true).open(state_lock(&given.state))?;
    let alone = rustix::fs::flock(&lock, rustix::fs::FlockOperation::NonBlockingLockExclusive);
    ensure!(alone.is_ok(), "{}: another coordinator goes by this state", given.state.display());
    let saved = read_state(&given.state)?;
    if let Some(ended) = saved.as_ref().filter(|saved| saved.phase.is_over()) {
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

async fn coordinate(
    given: &Given,
    plan: Plan,
    saved: Option<PersistedState>,
    fleet: &Fleet,
) -> Result<Phase> {
    let mut joined = Joined::join(fleet)?;
    let life = joined.life;
    let (interval, resumes) = (plan.interval, saved.is_some());
    let mut coordinator =
        Coordinator::new(plan, saved, life, joined.now()).map_err(|fault| anyhow!(fault))?;
    let mut next = joined.now() + interval;
    let say = |what: &str, now: u64| println!("{:8.1} s  {what}", (now - life) as f64 / 1e9);
    say(if resumes { "goes on from its state" } else { "joins the fleet" }, joined.now());
    loop {
        let now = joined.now();
        let has_lease = joined.lease(ROLLOUTS, true);
        if now >= next {
            next = now + interval;
            if abort_of(&given.state).exists() {
                let acts = coordinator.handle_abort(now);
                carry_out(acts, given, &mut joined, &say)?;
                let _ = std::fs::remove_file(abort_of(&given.state));
            }
            let fresh = coordinator.state().phase == Phase::Waiting;
            let waited = Duration::from_nanos(now - life);
            ensure!(
                has_lease || !fresh || waited < given.wait,
                "no lease on rollouts within {:?}: another plan \
                holds it, or no majority of <voter>s is heard",
                given.wait
            );
            let acts = coordinator.handle_interval(now, &seen(&mut joined.membership, now), has_lease);
            carry_out(acts, given, &mut joined, &say)?;
        }
        if coordinator.state().phase.is_over() {
            // What is still to be said goes out before it leaves.
            joined.turn(joined.now()).await;
            joined.leave().await;
            return Ok(coordinator.state().phase.clone());
        }
        for said in joined.turn(next).await.into_iter().filter(|said| said.topic == ROLLOUT_REPORTS) {
            if let Some(report) = wire::decode(&said.body) {
                let now = joined.now();
                coordinator.handle_report(now, &said.from.name, report);
            }
        }
    }
}

/// Saves before what follows from it is sent; a state that cannot be written ends the coordinator, and the
/// servers stay as they are until it is started again.
fn carry_out(acts: Vec<Action>, given: &Given, joined: &mut Joined, say: &impl Fn(&str, u64)) -> Result<()> {
    for act in acts {
        match act {
            Action::Save(saved) => {
                let text = serde_json::to_string_pretty(&saved)?;
                files::write(&given.state, text.as_bytes())
                    .with_context(|| format!("cannot write {}", given.state.display()))?;
            }
            Action::SendOrder { server, order } => joined.send(&server, ROLLOUT_ORDERS, wire::encode(&order)),
            Action::Notify { message } => say(&message, joined.now()),
        }
    }
    Ok(())
}

fn seen(core: &mut Membership, now: u64) -> FleetView {
    let mut view = FleetView { settled_for: now.saturating_sub(core.last_change()), ..FleetView::default() };
    for member in core.observe_view(now).into_iter().filter(|member| !member.name.starts_with(NAMED)) {
        match member.state {
            MemberState::Alive => view.alive.push(member.name),
            // One held down is waited for until it is forgotten: a partition looks the same.
            MemberState::Suspect | MemberState::Down => view.missing.push(member.name),
        }
    }
    view
}
