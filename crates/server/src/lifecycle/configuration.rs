//! What the server is told at its start, from one JSON file, and what of it a reload changes.

use crate::memory::repeats::ENTRY_BYTES;
use anyhow::{Context, Result, anyhow, bail, ensure};
use meadowstream::{Advert, Below, Effect};
use meadowstream_options::Options;
use meadowstream_settings::Read;
use meadowstream_shared_state::Settings as SharedSettings;
use meadowstream_shared_state::budget::Plan;
use meadowstream_shared_state::counts::Limits;
use meadowstream_shared_state::judge::Settings as JudgeSettings;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// What is remembered of tokened calls takes this part of the memory at most, like what connections hold.
const TOKENS_PART: usize = 4;

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
    pub settings: Read,
    /// This project's own settings and the file they stand in, where there is one.
    pub options: RefCell<Options>,
    pub options_path: Option<PathBuf>,
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

fn shared(given: &meadowstream_options::SharedState, body_max: usize) -> Result<SharedSettings> {
    let plan = |b: &meadowstream_options::Budget| {
        Plan::new(&b.name, b.total, b.floor, b.servers, b.voters.clone(), b.lease, b.use_most)
    };
    let settings = SharedSettings {
        budgets: given.budget.iter().map(plan).collect(),
        counts: Limits::default(),
        judge: given.tier.as_ref().map(|tier| JudgeSettings {
            services: tier.services.iter().map(|(name, _)| name.clone()).collect(),
            reports: tier.reports,
            share_thousandths: tier.share_thousandths,
            expiry: tier.expiry,
        }),
        gossip: given.gossip,
        body_max,
    };
    settings.check().map_err(|fault| anyhow!("<shared-state>: {fault}"))?;
    Ok(settings)
}

fn fleet(given: &meadowstream_options::Membership, server: &str, options: &Path) -> Result<Fleet> {
    let key_file = options.parent().unwrap_or(Path::new(".")).join(&given.key_file);
    let mut settings = meadowstream_membership::Settings::lan(&given.fleet, &read_key(&key_file)?);
    settings.probe_period = given.probe_period;
    settings.probe_rtt = given.probe_rtt;
    settings.suspicion_multiplier = given.suspicion_multiplier;
    settings.expected_members = given.expected_members;
    settings.gossip_period = given.gossip_period;
    settings.announce_period = given.announce_period;
    settings.check().map_err(|fault| anyhow!("<membership>: {fault}"))?;
    let name = given.name.clone().unwrap_or_else(|| server.to_string());
    ensure!(name.len() <= meadowstream_membership::NAME_MAX, "<membership>: name: over 64 bytes");
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
    pub fn load(path: &Path, options: Option<&Path>) -> Result<Self> {
        let text =
            std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))?;
        let mut read = Self::read(&text, path)?;
        if let Some(path) = options {
            let options = Options::load(path)?;
            let site = &mut read.settings.deployment;
            if let Some(tenants) = &options.tenants {
                site.fair = Some(tenants.fair.clone());
                site.over_share_value = tenants.surplus_value;
            }
            if let Some(given) = &options.membership {
                let mut fleet = fleet(given, &read.name, path)?;
                let body_max = fleet.settings.packet_max;
                fleet.shared =
                    options.shared_state.as_ref().map(|given| shared(given, body_max)).transpose()?;
                let tier = options.shared_state.as_ref().and_then(|shared| shared.tier.as_ref());
                let calls = read.addresses.get().records.is_some();
                ensure!(calls || tier.is_none(), "<tier>: the configuration names no records to call");
                fleet.tier = tier.iter().flat_map(|t| &t.services).map(|(_, address)| *address).collect();
                read.membership = Some(fleet);
            }
            (read.options, read.options_path) = (RefCell::new(options), Some(path.to_path_buf()));
        }
        read.refuse_what_the_wire_cannot_carry()?;
        read.refuse_mixed_shapes()?;
        Ok(read)
    }

    /// Reads the file once more and takes its addresses over; where it cannot be served all stays as it is.
    pub fn reload(&self) -> Result<()> {
        let new = Self::load(&self.path, self.options_path.as_deref())?;
        ensure!(
            (&new.name, new.listen) == (&self.name, self.listen),
            "name, listen: another takes a restart"
        );
        let before = self.addresses.get().records.is_some();
        ensure!(
            before == new.addresses.get().records.is_some(),
            "records: a call more or less takes a restart"
        );
        self.refuse_what_takes_a_restart(&new.options.borrow())?;
        let same = {
            let (before, after) = (self.options.borrow(), new.options.borrow());
            before.tokens == after.tokens && before.left_out == after.left_out
        };
        ensure!(same, "options: <tokens>, <calls>: others take a restart");
        let fleet = |c: &Configuration| {
            c.membership.as_ref().map(|f| (f.bind, f.advertise, f.name.clone(), f.seeds.clone()))
        };
        let same = fleet(self) == fleet(&new)
            && self.membership.as_ref().map(|f| &f.settings) == new.membership.as_ref().map(|f| &f.settings);
        ensure!(same, "options: <membership>: another takes a restart");
        let plans = |c: &Configuration| {
            let shared = c.membership.as_ref().and_then(|fleet| fleet.shared.as_ref());
            // A total may change while leases stand.
            let total = |plan: &Plan| Plan { total: 0, ..plan.clone() };
            let plans = shared.map(|shared| shared.budgets.iter().map(total).collect::<Vec<_>>());
            let tier = c.membership.as_ref().map(|fleet| fleet.tier.clone());
            (plans, shared.map(|shared| (shared.gossip, shared.judge.clone())), tier)
        };
        ensure!(plans(self) == plans(&new), "options: <shared-state>: all but a total takes a restart");
        self.addresses.set(new.addresses.get());
        self.options.swap(&new.options);
        Ok(())
    }

    /// Weights and how much may be used at once may change while the server runs.
    fn refuse_what_takes_a_restart(&self, new: &Options) -> Result<()> {
        let options = self.options.borrow();
        let Some((before, after)) = options.tenants.as_ref().zip(new.tenants.as_ref()) else {
            let same = options.tenants.is_some() == new.tenants.is_some();
            ensure!(same, "tenants: telling them apart or not takes a restart");
            return Ok(());
        };
        let ways = (&before.by, before.origin, before.surplus_value);
        ensure!(ways == (&after.by, after.origin, after.surplus_value), "tenants: this takes a restart");
        ensure!(before.fair.ceiling() == after.fair.ceiling(), "ceilings: others take a restart");
        Ok(())
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
            settings: meadowstream_settings::read_json(at("settings")?).context("settings")?,
            options: RefCell::default(),
            options_path: None,
            membership: None,
        };
        Ok(configuration)
    }

    /// Rather than half do it: what the protocol does not say must be named in the options, or be absent.
    fn refuse_what_the_wire_cannot_carry(&self) -> Result<()> {
        let (site, options) = (&self.settings.deployment, self.options.borrow());
        for (i, op) in site.operations.iter().enumerate() {
            let named = op.effect != Effect::Tokened || options.tokens.is_some();
            ensure!(
                named,
                "settings: grades.{i}.effect: <tokens> in the options is to name the field of the token"
            );
            let left_out = op.without_call_value <= 0.0 || options.left_out.is_some();
            ensure!(
                left_out,
                "settings: family-info.degraded-worth: <calls> in the options is to say the reply"
            );
        }
        let apart = site.tenant_allowance.is_empty() || options.tenants.is_some();
        ensure!(apart, "settings: orgs: <tenants ...> in the options is to tell them apart");
        ensure!(!self.settings.tells_gone, "settings: family-info.tells-gone: the wire does not tell");
        ensure!(
            self.settings.share_reads_for == 0,
            "settings: family-info.share-for: reads are not shared on this wire"
        );
        if self.addresses.get().records.is_none() && site.below != Below::Nothing {
            bail!("records is missing, though settings: family-info.below names a tier or a dependency");
        }
        Ok(())
    }

    /// Settings of two shapes in one file: one of them was forgotten in a move, and either would go wrong.
    fn refuse_mixed_shapes(&self) -> Result<()> {
        let (site, options) = (&self.settings.deployment, self.options.borrow());
        let tokened = site.operations.iter().any(|op| op.effect == Effect::Tokened);
        ensure!(tokened || options.tokens.is_none(), "options: <tokens>: no operation is by_key");
        let partly = site.operations.iter().any(|op| op.without_call_value > 0.0);
        ensure!(partly || options.left_out.is_none(), "options: <calls>: no operation has a degraded-worth");
        let shared = matches!(site.below, Below::Shared { .. });
        ensure!(
            shared || self.settings.dependency_share <= 0.0,
            "settings: family-info.dep-share: given, though family-info.below names no one_for_all"
        );
        let values = site.operations.iter().map(|op| op.billed_value.to_bits());
        let ranks = values.collect::<std::collections::BTreeSet<_>>().len();
        ensure!(
            site.advert != Advert::Floor || ranks > 1,
            "settings: family-info.say: a floor where all operations have one worth"
        );
        if let Some(tokens) = &options.tokens {
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
