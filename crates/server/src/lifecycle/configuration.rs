//! What the server is told at its start, from one JSON file, and what of it a reload changes.

use crate::fleet::replication::read_file;
use crate::fleet::shared_state::LEASES;
use crate::fleet::shared_state::PUBLISHING;
use crate::fleet::shared_state::ROLLOUTS;
use crate::resources::idempotency::ENTRY_BYTES;
use anyhow::{Context, Result, anyhow, bail, ensure};
use meadowstream_configuration::change::overlay_replicated;
use meadowstream_configuration::{IdempotencyKeys, Options};
use meadowstream_deployment_settings::DeploymentSettings;
use meadowstream_overload_control::{Advertisement, Downstream, Effect, Nanos};
use meadowstream_replication::snapshot::Snapshot;
use meadowstream_replication::state::State;
use meadowstream_shared_state::Settings as SharedSettings;
use meadowstream_shared_state::budget::BudgetSettings;
use meadowstream_shared_state::counters::Limits;
use meadowstream_shared_state::outlier_detection::Settings as JudgeSettings;
use serde_json::Value;
use sha2::{Digest, Sha256};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::Arc;

/// What is remembered of tokened calls takes this part of the memory at most, like what connections hold.
const TOKENS_PART: usize = 4;
/// Where a token and a tenant stand in a call unless the options name another field.
const TOKEN_FIELD: &str = "replay";
pub const TENANT_FIELD: &str = "project";

/// Half of that part for entries, half for results.
fn usual_tokens(memory_mb: u64) -> IdempotencyKeys {
    let half = (memory_mb << 20) as usize / TOKENS_PART / 2;
    IdempotencyKeys { field: TOKEN_FIELD.to_string(), entries: half / ENTRY_BYTES, result_bytes: half }
}

/// Where the other parties are.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    pub interpreter: SocketAddr,
    pub catalog: SocketAddr,
    /// Where calls go; the last tier makes none.
    pub records: Option<SocketAddr>,
}

pub struct Configuration {
    /// The file it was read from.
    pub path: PathBuf,
    pub name: String,
    pub listen: SocketAddr,
    /// Only these may change while the server runs.
    pub addresses: Cell<Addresses>,
    pub seed: u64,
    /// From the notice to leave to the stop, in milliseconds.
    pub stop_ms: u64,
    pub memory_mb: u64,
    pub sockets: usize,
    pub settings: DeploymentSettings,
    /// What is done in a way that nobody has said, for the log.
    pub notes: Vec<String>,
    /// This project's own settings and the file they stand in, where there is one.
    pub options: RefCell<Arc<Options>>,
    pub options_path: Option<PathBuf>,
    /// Busy share of the cores to steer to; a reload may change it.
    pub reference: Cell<f64>,
    /// The settings of a change that this server may be told to go by, where the options name them.
    pub candidate: RefCell<Option<Candidate>>,
    /// The revision of replicated configuration that lies over the options, where one is in force.
    pub replicated: RefCell<Option<Snapshot>>,
    /// The fleet's view, where `<membership>` is in the options; off otherwise.
    pub membership: Option<Fleet>,
}

/// How this server takes part in the fleet's view, as read at the start; a reload does not change it.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub bind: SocketAddr,
    pub advertise: Option<SocketAddr>,
    pub name: String,
    pub seeds: Vec<SocketAddr>,
    pub settings: meadowstream_membership::Settings,
    /// What is shared beside the view.
    pub shared: Option<meadowstream_shared_state::Settings>,
    /// Where the services are that it judges, in their order.
    pub tier: Vec<SocketAddr>,
}

/// The settings of a change by stages, as found at the start.
#[derive(Clone, Debug)]
pub struct Candidate {
    pub path: PathBuf,
    /// Says on disk that the server goes by them.
    pub mark: PathBuf,
    /// Hash of the server's own options file.
    pub own: u64,
    /// Their hash, where the server goes by them.
    pub adopted: Option<u64>,
    /// The program of a change, and the file that names it to whoever starts the server.
    pub program: Option<PathBuf>,
    pub program_mark: PathBuf,
}

/// What lies over a server's own options file, the later over the earlier.
#[derive(Clone, Copy, Default)]
pub struct Layers<'a> {
    /// The file of a change by stages.
    pub change: Option<&'a Path>,
    pub replicated: Option<&'a State>,
}

/// What settings are known by: the first eight bytes of the SHA-256 of their file.
pub fn hash_of(bytes: &[u8]) -> u64 {
    let hash = Sha256::digest(bytes);
    u64::from_be_bytes(hash[..8].try_into().expect("32 bytes"))
}

/// The file of a change: an options file with the elements that take the place of the server's own.
pub fn read_change(path: &Path) -> Result<Options> {
    let change = Options::load(path)?;
    let fixed = change.membership.is_some() || change.rollout.is_some() || change.shared_state.is_some();
    let shown = path.display();
    ensure!(!fixed, "{shown}: a change cannot hold <membership>, <shared-state> or <rollout>");
    Ok(change)
}

/// A shorter key is refused, and so is a longer file.
const KEY_LEAST: usize = 16;
const KEY_MOST: usize = 1024;

/// The shared key by reference to a file that only its owner may read: a key that others can read is no
/// secret, so it is refused with the mode named.
fn read_key(path: &Path) -> Result<Vec<u8>> {
    use std::os::unix::fs::PermissionsExt;
    let shown = path.display();
    let meta =
        std::fs::metadata(path).with_context(|| format!("<membership>: key-file: cannot read {shown}"))?;
    let mode = meta.permissions().mode() & 0o777;
    ensure!(mode & 0o077 == 0, "<membership>: key-file: {shown} has mode {mode:o}; others may read it");
    ensure!(meta.len() <= KEY_MOST as u64, "<membership>: key-file: {shown} is over {KEY_MOST} bytes");
    let key = std::fs::read(path).with_context(|| format!("<membership>: key-file: cannot read {shown}"))?;
    let key = key.trim_ascii().to_vec();
    ensure!(key.len() >= KEY_LEAST, "<membership>: key-file: {shown} holds under {KEY_LEAST} bytes");
    Ok(key)
}

/// What the options say is shared; `None` where they name nothing.
pub fn shared(options: &Options, body_max: usize) -> Result<Option<SharedSettings>> {
    let (given, rollout) = (options.shared_state.as_ref(), options.rollout.as_ref());
    let replication = options.replication.as_ref();
    if given.is_none() && rollout.is_none() && replication.is_none() {
        return Ok(None);
    }
    let plan = |b: &meadowstream_configuration::Budget| {
        BudgetSettings::new(&b.name, b.total, b.floor, b.servers, b.voters.clone(), b.lease, b.use_most)
    };
    let of_calls = given.and_then(|given| given.budget.as_ref());
    let lease = of_calls.filter(|budget| LEASES.contains(&budget.name.as_str()));
    ensure!(lease.is_none(), "<shared-state>: budget: name: one of {LEASES:?} is that of a lease");
    let of_rollouts = rollout.map(|rollout| {
        let (servers, voters) = (rollout.servers, rollout.voters.clone());
        BudgetSettings::new(ROLLOUTS, 1, 0, servers, voters, rollout.lease, 1)
    });
    let of_publishing = replication.map(|given| {
        let (servers, voters) = (given.replicas.len() as u64, given.replicas.clone());
        BudgetSettings::new(PUBLISHING, 1, 0, servers, voters, given.lease, 1)
    });
    let settings = SharedSettings {
        budgets: of_calls.map(plan).into_iter().chain(of_rollouts).chain(of_publishing).collect(),
        counters: Limits::default(),
        outlier_detection: given.and_then(|given| given.tier.as_ref()).map(|tier| JudgeSettings {
            services: tier.services.iter().map(|service| service.name.clone()).collect(),
            reports: tier.reports,
            max_ejected_thousandths: tier.share_thousandths,
            expiry: tier.expiry,
        }),
        gossip_interval: given.map_or(500_000_000, |given| given.gossip),
        body_max,
    };
    settings.check().map_err(|fault| {
        let element = match (given, rollout) {
            (Some(_), _) => "<shared-state>",
            (None, Some(_)) => "<rollout>",
            (None, None) => "<replication>",
        };
        anyhow!("{element}: {fault}")
    })?;
    Ok(Some(settings))
}

pub fn fleet(given: &meadowstream_configuration::Membership, server: &str, options: &Path) -> Result<Fleet> {
    let key_file = options.parent().unwrap_or(Path::new(".")).join(&given.key_file);
    let mut settings = meadowstream_membership::Settings::lan(&given.fleet, &read_key(&key_file)?);
    settings.probe_period = given.probe_period;
    settings.probe_rtt = given.probe_rtt;
    settings.suspicion_multiplier = given.suspicion_multiplier;
    settings.expected_members = given.expected_members;
    settings.gossip_period = given.gossip_period;
    settings.announce_period = given.announce_period;
    settings.bytes_per_second = given.bytes_a_second;
    settings.check().map_err(|fault| anyhow!("<membership>: {fault}"))?;
    let name = given.name.clone().unwrap_or_else(|| server.to_string());
    ensure!(name.len() <= meadowstream_membership::NAME_BYTES_MAX, "<membership>: name: over 64 bytes");
    Ok(Fleet {
        bind: given.bind,
        advertise: given.advertise,
        name,
        seeds: given.seeds.clone(),
        settings,
        shared: None,
        tier: Vec::new(),
    })
}

impl Configuration {
    /// As the server starts: by the last good revision of replicated configuration, if there is one on its
    /// disk. Where it cannot be used it starts without.
    pub fn load_standing(path: &Path, options: Option<&Path>) -> Result<Self> {
        let own = Self::load_adopted(path, options)?;
        let Some((file, options_path)) = own.replication_file().zip(options) else { return Ok(own) };
        let started = match read_file(&file) {
            Ok(None) => return Ok(own),
            Ok(Some(saved)) => own.over(path, options_path, saved.committed),
            Err(error) => Err(error),
        };
        let written = std::fs::metadata(&file).and_then(|meta| meta.modified()).ok();
        let written_s = written.and_then(|at| at.elapsed().ok()).map_or(0, |age| age.as_secs());
        match started {
            Ok(started) => {
                let number =
                    started.replicated.borrow().as_ref().map_or(0, |one| one.revision.position.number);
                tracing::info!(target: "fleet", number, written_s, "starts by the configuration on its disk");
                Ok(started)
            }
            Err(error) => {
                let why = format!("{error:#}");
                tracing::warn!(target: "fleet", why, "starts without the configuration on its disk");
                Ok(own)
            }
        }
    }

    /// Where the last good revision is kept.
    pub fn replication_file(&self) -> Option<PathBuf> {
        let options = self.options.borrow();
        let folder = self.options_path.as_deref()?.parent().unwrap_or(Path::new("."));
        options.replication.as_ref().map(|given| folder.join(&given.file))
    }

    /// The same with a revision of replicated configuration over it.
    fn over(&self, path: &Path, options: &Path, snapshot: Snapshot) -> Result<Self> {
        let candidate = self.candidate.borrow().clone();
        let adopted = candidate.as_ref().filter(|candidate| candidate.adopted.is_some());
        let change = adopted.map(|candidate| candidate.path.clone());
        let layers = Layers { change: change.as_deref(), replicated: Some(&snapshot.state) };
        let over = Self::load(path, Some(options), layers)?;
        *over.candidate.borrow_mut() = candidate;
        *over.replicated.borrow_mut() = Some(snapshot);
        Ok(over)
    }

    /// By the settings of a change by stages where it went by them before, and they are still the same. Where
    /// they cannot be used it starts by its own.
    fn load_adopted(path: &Path, options: Option<&Path>) -> Result<Self> {
        let own = Self::load(path, options, Layers::default())?;
        let candidate = own.candidate.borrow().clone();
        let Some(candidate) = candidate else { return Ok(own) };
        let Ok(mark) = std::fs::read_to_string(&candidate.mark) else { return Ok(own) };
        let adopted = u64::from_str_radix(mark.trim(), 16).ok();
        let same = |bytes: &Vec<u8>| Some(hash_of(bytes)) == adopted;
        let found = std::fs::read(&candidate.path).ok().filter(same);
        let layers = Layers { change: Some(&candidate.path), replicated: None };
        let changed = found.map(|_| Self::load(path, options, layers));
        match changed {
            Some(Ok(changed)) => {
                *changed.candidate.borrow_mut() = Some(Candidate { adopted, ..candidate });
                Ok(changed)
            }
            other => {
                let why = other.and_then(Result::err).map_or("another file".into(), |e| format!("{e:#}"));
                tracing::warn!(target: "fleet", why,
                    "starts by its own settings, not by those of the change");
                Ok(own)
            }
        }
    }

    pub fn load(path: &Path, options: Option<&Path>, layers: Layers) -> Result<Self> {
        let text =
            std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
        let mut read = Self::read(&text, path)?;
        if let Some(path) = options {
            let mut options = Options::load(path)?;
            if let Some(change) = layers.change {
                options.overlay(read_change(change)?);
            }
            if let Some(state) = layers.replicated {
                overlay_replicated(&mut options, state.iter()).context("replicated configuration")?;
            }
            read.reference
                .set(options.target_utilization.unwrap_or(meadowstream_overload_control::TARGET_UTILIZATION));
            let folder = path.parent().unwrap_or(Path::new("."));
            if let Some(rollout) = &options.rollout {
                let mut mark = path.as_os_str().to_os_string();
                mark.push(".adopted");
                let own = hash_of(&std::fs::read(path)?);
                let mut program_mark = path.as_os_str().to_os_string();
                program_mark.push(".program");
                *read.candidate.borrow_mut() = Some(Candidate {
                    path: folder.join(&rollout.candidate),
                    mark: PathBuf::from(mark),
                    own,
                    adopted: None,
                    program: rollout.program.as_ref().map(|program| folder.join(program)),
                    program_mark: PathBuf::from(program_mark),
                });
            }
            let site = &mut read.settings.deployment;
            if let Some(tenants) = &options.tenants {
                site.fair_queueing = Some(tenants.fair.clone());
                site.over_quota_value_ratio = tenants.surplus_value;
            }
            if let Some(given) = &options.membership {
                let mut fleet = fleet(given, &read.name, path)?;
                let body_max = fleet.settings.packet_max;
                fleet.shared = shared(&options, body_max)?;
                let tier = options.shared_state.as_ref().and_then(|shared| shared.tier.as_ref());
                let calls = read.addresses.get().records.is_some();
                ensure!(calls || tier.is_none(), "<tier>: the configuration names no records to call");
                fleet.tier = tier.iter().flat_map(|t| &t.services).map(|service| service.address).collect();
                read.membership = Some(fleet);
            }
            (read.options, read.options_path) = (RefCell::new(Arc::new(options)), Some(path.to_path_buf()));
        }
        read.settle_what_the_wire_leaves_open()?;
        read.refuse_mixed_shapes()?;
        Ok(read)
    }

    /// The longest time that the clients of any operation wait.
    pub fn longest_client_timeout(&self) -> Nanos {
        let operations = &self.settings.deployment.operations;
        operations.iter().map(|operation| operation.client_timeout).max().unwrap_or(0)
    }

    /// The shortest time that the clients of any operation wait.
    pub fn shortest_client_timeout(&self) -> Nanos {
        let operations = &self.settings.deployment.operations;
        operations.iter().map(|operation| operation.client_timeout).min().unwrap_or(0)
    }

    pub fn read(text: &str, path: &Path) -> Result<Self> {
        let file: Value = serde_json::from_str(text).context("not JSON")?;
        let at = |path: &str| {
            let place = path.split('.').try_fold(&file, |value, name| value.get(name));
            place.with_context(|| format!("{path} is missing"))
        };
        let text = |path: &str| at(path)?.as_str().with_context(|| format!("{path} is no text"));
        let address = |path: &str| {
            let given = text(path)?;
            given.parse::<SocketAddr>().map_err(|_| anyhow!("{path}: {given:?} is no address with a port"))
        };
        let whole = |path: &str| at(path)?.as_u64().with_context(|| format!("{path} is no whole number"));
        let seed = text("seed")?;
        let name = text("name")?;
        ensure!(!name.is_empty() && !name.contains(char::is_whitespace), "name: {name:?} is not one word");
        let records = at("records").is_ok_and(|value| !value.is_null()).then(|| address("records"));
        let configuration = Self {
            path: path.to_path_buf(),
            name: name.to_string(),
            listen: address("listen")?,
            addresses: Cell::new(Addresses {
                interpreter: address("vm")?,
                catalog: address("directory")?,
                records: records.transpose()?,
            }),
            seed: u64::from_str_radix(seed, 16).map_err(|_| anyhow!("seed: {seed:?} is not hexadecimal"))?,
            stop_ms: whole("stop_ms")?,
            memory_mb: whole("limits.memory_mb")?,
            sockets: whole("limits.sockets")? as usize,
            settings: DeploymentSettings::from_json(at("settings")?).context("settings")?,
            notes: Vec::new(),
            options: RefCell::default(),
            options_path: None,
            reference: Cell::new(meadowstream_overload_control::TARGET_UTILIZATION),
            candidate: RefCell::default(),
            replicated: RefCell::default(),
            membership: None,
        };
        Ok(configuration)
    }

    /// What the settings ask for and neither the protocol nor the options say how to do is done in a way that
    /// keeps the rules, and noted: another customer's settings are no reason to refuse a start.
    fn settle_what_the_wire_leaves_open(&mut self) -> Result<()> {
        let site = &mut self.settings.deployment;
        let options = Arc::make_mut(self.options.get_mut());
        let mut note = |key: &str, what: &str| self.notes.push(format!("settings: {key}: {what}"));
        // What is remembered of calls lies in this process, under its own limit, not in the interpreter's.
        site.idempotency_entry_kb = 0.0;
        let tokened = site.operations.iter().position(|op| op.effect == Effect::IdempotentWithKey);
        if let Some(i) = tokened.filter(|_| options.idempotency_keys.is_none()) {
            options.idempotency_keys = Some(usual_tokens(self.memory_mb));
            note(&format!("grades.{i}.effect"), &format!("the token is read from the field {TOKEN_FIELD}"));
        }
        if options.skipped_call_reply.is_none()
            && site.operations.iter().any(|op| op.degraded_value_ratio > 0.0)
        {
            site.operations.iter_mut().for_each(|op| op.degraded_value_ratio = 0.0);
            note("family-info.degraded-worth", "no call is left out, as <calls> does not say the reply");
        }
        if !site.tenant_allowance.is_empty() && options.tenants.is_none() {
            note("orgs", &format!("tenants are told apart by the field {TENANT_FIELD}"));
        }
        if self.settings.read_sharing_window > 0 {
            note("family-info.share-for", "answers of reads are not shared: each runs");
        }
        let ranks = site.operations.iter().map(|op| op.priority_weight.to_bits());
        if site.advertisement == Advertisement::MinimumRank
            && ranks.collect::<std::collections::BTreeSet<_>>().len() < 2
        {
            note("family-info.say", "a floor says little where all operations have one worth");
        }
        if self.addresses.get().records.is_none() && site.downstream != Downstream::None {
            bail!("records is missing, though settings: family-info.below names a tier or a dependency");
        }
        Ok(())
    }

    /// Settings of two shapes in one file: one of them was forgotten in a move, and either would go wrong.
    fn refuse_mixed_shapes(&self) -> Result<()> {
        let (site, options) = (&self.settings.deployment, self.options.borrow());
        let tokened = site.operations.iter().any(|op| op.effect == Effect::IdempotentWithKey);
        ensure!(tokened || options.idempotency_keys.is_none(), "options: <tokens>: no operation is by_key");
        let partly = site.operations.iter().any(|op| op.degraded_value_ratio > 0.0);
        ensure!(
            partly || options.skipped_call_reply.is_none(),
            "options: <calls>: no operation has a degraded-worth"
        );
        let shared = matches!(site.downstream, Downstream::Shared { .. });
        ensure!(
            shared || self.settings.dependency_quota <= 0.0,
            "settings: family-info.dep-share: given, though family-info.below names no one_for_all"
        );
        if let Some(tokens) = &options.idempotency_keys {
            let bytes = tokens.entries * ENTRY_BYTES + tokens.result_bytes;
            let most = (self.memory_mb << 20) as usize / TOKENS_PART;
            ensure!(
                bytes <= most,
                "options: <tokens>: {bytes} bytes in all, of limits.memory_mb {most} at most"
            );
        }
        Ok(())
    }
}
