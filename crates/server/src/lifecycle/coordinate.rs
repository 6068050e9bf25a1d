//! `meadowstream rollout`: the coordinator of one change by stages. It is a member of the fleet's view that
//! serves nothing, holds the lease on rollouts, orders and listens each interval, and keeps its state on
//! disk.

use super::clock::Clock;
use super::configuration::{self, Fleet, hash_of};
use super::tasks::fleet::bind;
use super::tasks::rollout::write;
use anyhow::{Context, Result, anyhow, bail, ensure};
use async_io::{Async, Timer};
use futures_lite::future;
use meadowstream_membership::envelope::DATAGRAM_MAX;
use meadowstream_membership::{Id, Membership, Standing};
use meadowstream_options::{Options, PlanFile};
use meadowstream_rollout::machine::{Act, Coordinator, Phase, Saved, View};
use meadowstream_rollout::plan::Plan;
use meadowstream_rollout::wire::{self, Kind};
use meadowstream_shared_state::clock::Reading;
use meadowstream_shared_state::{ORDER_REPORTS, ORDERS, SharedState, Who};
use std::net::UdpSocket;
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
fn read_state(path: &Path) -> Result<Option<Saved>> {
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
        Phase::RollingBack { why } => format!("rolling back: {why}"),
        Phase::Done => "done".into(),
        Phase::Stopped { why } => format!("stopped: {why}"),
        Phase::RolledBack { why, left } if left.is_empty() => format!("rolled back: {why}"),
        Phase::RolledBack { why, left } => {
            format!("rolled back: {why}; not confirmed by {}", left.join(", "))
        }
    }
}

/// Asks the coordinator, the one that runs or the next that goes on from the state, to roll back.
pub fn abort(state: &Path) -> Result<()> {
    let saved = read_state(state)?.with_context(|| format!("{}: nothing has begun", state.display()))?;
    ensure!(!saved.phase.is_over(), "the plan has ended already: {}", said(&saved.phase));
    write(&abort_of(state), "abort\n").context("cannot write")?;
    println!("the coordinator will roll back; one that does not run does so when it is started again");
    Ok(())
}

/// Reads all it is given and refuses what cannot be done before the fleet hears of it.
fn prepare(given: &Given) -> Result<(Plan, Fleet)> {
    let file = PlanFile::load(&given.plan)?;
    let candidate = given.plan.parent().unwrap_or(Path::new(".")).join(&file.candidate);
    let bytes = std::fs::read(&candidate).with_context(|| format!("cannot read {}", candidate.display()))?;
    if file.plan.kind == Kind::Settings {
        configuration::read_change(&candidate)?;
    }
    let plan = Plan { candidate: hash_of(&bytes), ..file.plan };
    let options = Options::load(&given.options)?;
    let own = options.membership.as_ref();
    let own = own.with_context(|| format!("{}: <membership> is missing", given.options.display()))?;
    ensure!(options.rollout.is_some(), "{}: <rollout> is missing", given.options.display());
    let name = format!("{NAMED}{:08x}", hash_of(plan.name.as_bytes()) as u32);
    let mut fleet = configuration::fleet(own, &name, &given.options)?;
    fleet.name = name;
    // It takes no part in what else is shared.
    let alone = Options { shared_state: None, ..options };
    fleet.shared = configuration::shared(&alone, fleet.settings.packet_max)?;
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

async fn coordinate(given: &Given, plan: Plan, saved: Option<Saved>, fleet: &Fleet) -> Result<Phase> {
    let clock = Clock::start();
    let socket = bind(fleet).with_context(|| format!("<membership>: cannot bind {}", fleet.bind))?;
    let bound = socket.get_ref().local_addr()?;
    let life = clock.now();
    let me = Id { name: fleet.name.clone(), addr: fleet.advertise.unwrap_or(bound), incarnation: life };
    let mut core = Membership::new(me, &fleet.settings, life, clock.now()).map_err(|fault| anyhow!(fault))?;
    core.join(&fleet.seeds, clock.now());
    let who = Who { name: fleet.name.clone(), incarnation: life };
    let settings = fleet.shared.clone().context("<rollout> is missing")?;
    let reading = || Reading { monotonic: clock.now() - life, wall: clock.now() };
    let mut shared = SharedState::new(who, settings, life, reading()).map_err(|fault| anyhow!(fault))?;
    let (interval, resumes) = (plan.interval, saved.is_some());
    let mut coordinator = Coordinator::new(plan, saved, life, clock.now()).map_err(|fault| anyhow!(fault))?;
    let (mut next, mut due) = (clock.now() + interval, clock.now());
    let mut buffer = vec![0; DATAGRAM_MAX + 1];
    let say = |what: &str| println!("{:8.1} s  {what}", (clock.now() - life) as f64 / 1e9);
    say(if resumes { "goes on from its state" } else { "joins the fleet" });
    loop {
        let now = clock.now();
        if now >= due {
            due = now + shared.due_in();
            let view = core.view(now);
            let alive: Vec<String> =
                view.iter().filter(|s| s.state == Standing::Alive).map(|s| s.name.clone()).collect();
            shared.budgets.iter_mut().for_each(|budget| budget.note_use(1, 0));
            shared.advance(reading(), &alive);
        }
        if now >= next {
            next = now + interval;
            if abort_of(&given.state).exists() {
                let acts = coordinator.abort(now);
                carry_out(acts, given, &mut shared, &say)?;
                let _ = std::fs::remove_file(abort_of(&given.state));
            }
            let time = shared.read(reading());
            let has_lease = shared.budgets.first().is_some_and(|budget| budget.ceiling(time).leased > 0);
            let fresh = coordinator.saved().phase == Phase::Waiting;
            let waited = Duration::from_nanos(now - life);
            ensure!(
                has_lease || !fresh || waited < given.wait,
                "no lease on rollouts within {:?}: another plan \
                holds it, or no majority of <voter>s is heard",
                given.wait
            );
            let acts = coordinator.advance(now, &seen(&mut core, now), has_lease);
            carry_out(acts, given, &mut shared, &say)?;
        }
        let view = core.view(now);
        for (name, body) in shared.outgoing() {
            if let Some(to) = view.iter().find(|s| s.name == name && s.state != Standing::Down) {
                core.carry(to.addr, &body, now);
            }
        }
        if coordinator.saved().phase.is_over() {
            core.leave(now);
        }
        for (to, datagram) in core.outgoing() {
            let _ = socket.send_to(&datagram, to).await;
        }
        core.changes();
        if coordinator.saved().phase.is_over() {
            return Ok(coordinator.saved().phase.clone());
        }
        let wake = core.next_due().unwrap_or(u64::MAX).min(next).min(due);
        match receive(&socket, &mut buffer, Timer::at(clock.instant(wake))).await {
            Some((count, from)) => {
                let now = clock.now();
                let _ = core.receive(from, &buffer[..count], now);
                for body in core.carried() {
                    let _ = shared.receive(reading(), &body);
                }
                for (from, topic, body) in shared.others() {
                    if topic == ORDER_REPORTS
                        && let Some(report) = wire::decode(&body)
                    {
                        coordinator.heard(now, &from.name, report);
                    }
                }
                core.advance(now);
            }
            None => core.advance(clock.now()),
        }
    }
}

async fn receive(
    socket: &Async<UdpSocket>,
    buffer: &mut [u8],
    timer: Timer,
) -> Option<(usize, std::net::SocketAddr)> {
    let datagram = async { socket.recv_from(buffer).await.ok() };
    future::or(datagram, async {
        timer.await;
        None
    })
    .await
}

/// Saves before what follows from it is sent; a state that cannot be written ends the coordinator, and the
/// servers stay as they are until it is started again.
fn carry_out(acts: Vec<Act>, given: &Given, shared: &mut SharedState, say: &impl Fn(&str)) -> Result<()> {
    for act in acts {
        match act {
            Act::Save(saved) => {
                let text = serde_json::to_string_pretty(&saved)?;
                write(&given.state, &text)
                    .with_context(|| format!("cannot write {}", given.state.display()))?;
            }
            Act::Tell(to, order) => shared.send_other(&to, ORDERS, wire::encode(&order)),
            Act::Say(what) => say(&what),
        }
    }
    Ok(())
}

fn seen(core: &mut Membership, now: u64) -> View {
    let mut view = View { settled: now.saturating_sub(core.last_change()), ..View::default() };
    for member in core.view(now).into_iter().filter(|member| !member.name.starts_with(NAMED)) {
        match member.state {
            Standing::Alive => view.alive.push(member.name),
            // One held down is waited for until it is forgotten: a partition looks the same.
            Standing::Suspect | Standing::Down => view.missing.push(member.name),
        }
    }
    view
}
