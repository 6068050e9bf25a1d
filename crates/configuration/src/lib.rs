//! Reads the project's own settings: an XML file whose shape `deploy/meadowstream.xsd` states. The platform's
//! settings stay what they are; this file holds what the platform does not know, and all of it is optional.
//! Every fault is named with its line and element. Times are given in milliseconds.

pub mod replication;

use anyhow::{Context, Result, anyhow, bail, ensure};
use meadowstream_fair_queueing::{NamedTenant, Settings};
use meadowstream_rollout::plan::{OnWorse, Plan, Size, Stage, Thresholds};
use meadowstream_rollout::wire::Kind;
use roxmltree::{Document, Node, ParsingOptions};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::str::FromStr;

pub const NAMESPACE: &str = "urn:meadowstream:options:1";
/// A longer file is not read.
const FILE_MAX: u64 = 4 << 20;
/// Longest name of a tenant, in bytes, and of a field.
const NAME_MAX: usize = 2048;
const FIELD_MAX: usize = 64;
/// Fields of a call that already mean something else.
const TAKEN: &[&str] = &["ref", "since", "room", "class_rank", "lookup", "ticket"];

/// How a tenant is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum By {
    /// The number of the sender in the call.
    Sender,
    /// The address of the peer, without its port.
    Peer,
    /// This field of the call.
    Field(String),
}

/// What a tenant cannot make up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    Connection,
    Peer,
    /// Where senders are the operator's own.
    Sender,
}

#[derive(Clone, Debug)]
pub struct Tenants {
    pub by: By,
    pub origin: Origin,
    /// Part of its billed value that an invocation beyond its tenant's share counts with.
    pub surplus_value: f64,
    /// Tenants counted by name, the heaviest first.
    pub shown: usize,
    pub fair: Settings,
}

/// Where a tokened call carries its token, and how much is remembered of such calls.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tokens {
    pub field: String,
    pub entries: usize,
    pub result_bytes: usize,
}

/// How this server takes part in the fleet's view (`docs/membership.md`). Times in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Membership {
    /// The UDP address that peers reach this server at.
    pub bind: SocketAddr,
    /// The address that peers are told to send to, where it is not `bind` (behind a relay or a NAT).
    pub advertise: Option<SocketAddr>,
    /// The member's name; the platform's name of the server where absent.
    pub name: Option<String>,
    pub fleet: String,
    /// The file that holds the fleet's shared key, as written (relative to the options file).
    pub key_file: PathBuf,
    pub seeds: Vec<SocketAddr>,
    pub probe_period: u64,
    pub probe_rtt: u64,
    pub suspicion_multiplier: u32,
    pub expected_members: u32,
    pub gossip_period: u64,
    pub announce_period: u64,
    /// Bytes that the view's own datagrams take in any second.
    pub bytes_a_second: u64,
}

/// A budget of the whole fleet for calls to what lies below (`docs/shared-state.md`). Times in nanoseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Budget {
    pub name: String,
    pub total: u64,
    pub floor: u64,
    pub servers: u64,
    pub lease: u64,
    pub use_most: u64,
    pub voters: Vec<String>,
}

/// The services of the tier below, judged by the fleet (`docs/shared-state.md`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Tier {
    /// Servers that must find a service slow or failing.
    pub reports: usize,
    /// Part of the tier that is ejected at most, in thousandths.
    pub share_thousandths: usize,
    /// How long a report counts, in nanoseconds.
    pub expiry: u64,
    /// Names and addresses, the same on every server and in the same order.
    pub services: Vec<(String, SocketAddr)>,
}

/// What this server shares with the others of the fleet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SharedState {
    pub gossip: u64,
    pub budget: Option<Budget>,
    pub tier: Option<Tier>,
}

/// How this server takes part in changes by stages (`docs/rollout.md`).
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rollout {
    /// The file with the settings of a change, as written (relative to the options file).
    pub candidate: PathBuf,
    /// The program of a change, likewise. Where it is named, whoever starts this server starts what stands
    /// in the file of its mark, and starts it again when it ends.
    pub program: Option<PathBuf>,
    /// Servers that run at once, coordinators included, at most; who elects the holder of the lease on
    /// rollouts, and how long it lasts, in nanoseconds.
    pub servers: u64,
    pub voters: Vec<String>,
    pub lease: u64,
}

#[derive(Clone, Debug, Default)]
pub struct Options {
    /// Busy share of the cores to steer to, where it is not the usual one.
    pub reference: Option<f64>,
    /// Off where absent; goes with `membership`.
    pub rollout: Option<Rollout>,
    pub tenants: Option<Tenants>,
    pub tokens: Option<Tokens>,
    /// Off where absent; goes with `membership`.
    pub replication: Option<replication::Replication>,
    /// Off where absent.
    pub membership: Option<Membership>,
    /// Off where absent; goes with `membership`.
    pub shared_state: Option<SharedState>,
    /// What a run hears in place of a reply to its call, where the call is left out.
    pub left_out: Option<String>,
}

/// An element, with all its attributes known.
struct Element<'a, 'd> {
    node: Node<'a, 'd>,
    document: &'a Document<'d>,
}

impl<'a, 'd> Element<'a, 'd> {
    /// Names where a fault is.
    fn at(&self) -> String {
        let line = self.document.text_pos_at(self.node.range().start).row;
        format!("line {line}, <{}>", self.node.tag_name().name())
    }

    fn new(document: &'a Document<'d>, node: Node<'a, 'd>, known: &[&str]) -> Result<Self> {
        let element = Self { node, document };
        let strange = node.attributes().find(|given| !known.contains(&given.name()));
        if let Some(strange) = strange {
            bail!("{}: unknown attribute {:?}", element.at(), strange.name());
        }
        Ok(element)
    }

    /// The elements in it, each of one of these names; each name once but for `many`.
    fn children(&self, known: &[&str], many: &[&str]) -> Result<Vec<Node<'a, 'd>>> {
        let mut found: Vec<Node> = Vec::new();
        for child in self.node.children() {
            if child.is_text() && !child.text().unwrap_or("").trim().is_empty() {
                bail!("{}: text where elements are due", self.at());
            }
            if !child.is_element() {
                continue;
            }
            let name = child.tag_name().name();
            // The line is counted from the start of the file, so only where a fault needs it.
            let at = || Self { node: child, document: self.document }.at();
            let ours = child.tag_name().namespace() == Some(NAMESPACE);
            ensure!(ours && known.contains(&name), "{}: unknown element", at());
            let twice = || found.iter().any(|other| other.tag_name().name() == name);
            ensure!(many.contains(&name) || !twice(), "{}: given twice", at());
            found.push(child);
        }
        Ok(found)
    }

    fn text(&self, name: &str) -> Option<&'a str> {
        self.node.attribute(name)
    }

    fn get<T: FromStr>(&self, name: &str, absent: T) -> Result<T> {
        let Some(text) = self.text(name) else { return Ok(absent) };
        text.parse().map_err(|_| anyhow!("{}: {name}: cannot read {text:?}", self.at()))
    }

    fn number(&self, name: &str, absent: f64, least: f64, most: f64) -> Result<f64> {
        let number: f64 = self.get(name, absent)?;
        let good = number.is_finite() && (least..=most).contains(&number);
        ensure!(good, "{}: {name}: {number} is not within {least} and {most}", self.at());
        Ok(number)
    }

    fn whole(&self, name: &str, absent: usize, least: usize, most: usize) -> Result<usize> {
        let number: usize = self.get(name, absent)?;
        let good = (least..=most).contains(&number);
        ensure!(good, "{}: {name}: {number} is not within {least} and {most}", self.at());
        Ok(number)
    }

    /// Milliseconds, as nanoseconds.
    fn span(&self, name: &str, absent: u64, least_ms: usize, most_ms: usize) -> Result<u64> {
        let ms = self.whole(name, (absent / 1_000_000) as usize, least_ms, most_ms)?;
        Ok(ms as u64 * 1_000_000)
    }
}

fn text_of(path: &Path) -> Result<String> {
    let size = std::fs::metadata(path).with_context(|| format!("cannot read {}", path.display()))?.len();
    ensure!(size <= FILE_MAX, "{}: {size} bytes are more than {FILE_MAX}", path.display());
    std::fs::read_to_string(path).with_context(|| format!("cannot read {}", path.display()))
}

fn parse(text: &str) -> Result<Document<'_>> {
    let limits = ParsingOptions { nodes_limit: 200_000, ..ParsingOptions::default() };
    Document::parse_with_options(text, limits).map_err(|fault| {
        let at = fault.pos();
        anyhow!("line {}, column {}: {fault}", at.row, at.col)
    })
}

/// A plan of a change by stages as its file has it: the root `<plan>` of the same namespace
/// (`docs/rollout.md`).
#[derive(Clone, Debug, PartialEq)]
pub struct PlanFile {
    /// The file with the settings of the change or its program, as written (relative to the plan's file).
    pub candidate: PathBuf,
    /// All but the candidate's hash, which is 0 here.
    pub plan: Plan,
}

/// The attributes of `<plan>` and `<stage>`, each read below.
pub const PLAN: &[&str] = &[
    "name",
    "candidate",
    "program",
    "on-worse",
    "interval-ms",
    "settled-ms",
    "warm-up-ms",
    "patience-ms",
    "throttled",
    "errored",
    "late",
    "latency",
    "alpha",
];
pub const STAGE: &[&str] = &["servers", "share", "bake-ms"];

impl PlanFile {
    pub fn load(path: &Path) -> Result<Self> {
        Self::read(&text_of(path)?).with_context(|| path.display().to_string())
    }

    /// Every fault names its line and element, and those of stages their number.
    pub fn read(text: &str) -> Result<Self> {
        let document = parse(text)?;
        let root = Element::new(&document, document.root_element(), PLAN)?;
        let name = document.root_element().tag_name();
        ensure!(
            name.name() == "plan" && name.namespace() == Some(NAMESPACE),
            "{}: the root is to be <plan xmlns={NAMESPACE:?}>",
            root.at()
        );
        let needs = |name: &str| root.text(name).with_context(|| format!("{}: {name} is missing", root.at()));
        let on_worse = match root.text("on-worse").unwrap_or("roll-back") {
            "roll-back" => OnWorse::RollBack,
            "stop" => OnWorse::Stop,
            other => bail!("{}: on-worse: unknown choice {other:?}", root.at()),
        };
        let usual = Thresholds::default();
        let thresholds = Thresholds {
            throttled: root.number("throttled", usual.throttled, 1e-6, 1.0)?,
            errored: root.number("errored", usual.errored, 1e-6, 1.0)?,
            late: root.number("late", usual.late, 1e-6, 1.0)?,
            latency: root.number("latency", usual.latency, 1e-6, 100.0)?,
            alpha: root.number("alpha", usual.alpha, 1e-9, 0.2)?,
        };
        let (candidate, kind) = match (root.text("candidate"), root.text("program")) {
            (Some(settings), None) => (settings, Kind::Settings),
            (None, Some(program)) => (program, Kind::Program),
            _ => bail!("{}: either candidate or program", root.at()),
        };
        let mut stages = Vec::new();
        for child in root.children(&["stage"], &["stage"])? {
            let stage = Element::new(&document, child, STAGE)?;
            let number = stages.len() + 1;
            ensure!(stage.text("bake-ms").is_some(), "{}: stage {number}: bake-ms is missing", stage.at());
            let size = match (stage.text("servers"), stage.text("share")) {
                (Some(_), None) => Size::Servers(stage.get("servers", 0)?),
                (None, Some(_)) => Size::Share(stage.get("share", 0.0)?),
                _ => bail!("{}: stage {number}: either servers or share", stage.at()),
            };
            stages.push(Stage { size, bake: stage.span("bake-ms", 0, 0, 604_800_000)? });
        }
        let interval = root.span("interval-ms", 1_000_000_000, 50, 60_000)?;
        let plan = Plan {
            name: needs("name")?.to_string(),
            candidate: 0,
            kind,
            stages,
            on_worse,
            thresholds,
            interval,
            settled: root.span("settled-ms", 5_000_000_000, 0, 600_000)?,
            warm_up: root.span("warm-up-ms", 0, 0, 3_600_000)?,
            patience: root.span("patience-ms", 30_000_000_000, 50, 3_600_000)?,
        };
        plan.check().map_err(|fault| anyhow!("{}: {fault}", root.at()))?;
        Ok(PlanFile { candidate: PathBuf::from(candidate), plan })
    }
}

impl Options {
    /// What a change names takes the place of what stands here; what it does not name stays.
    pub fn overlay(&mut self, change: Options) {
        fn put<T>(own: &mut Option<T>, new: Option<T>) {
            if new.is_some() {
                *own = new;
            }
        }
        put(&mut self.reference, change.reference);
        put(&mut self.tenants, change.tenants);
        put(&mut self.tokens, change.tokens);
        put(&mut self.left_out, change.left_out);
    }

    pub fn load(path: &Path) -> Result<Self> {
        Self::read(&text_of(path)?).with_context(|| path.display().to_string())
    }

    pub fn read(text: &str) -> Result<Self> {
        let document = parse(text)?;
        let root = Element::new(&document, document.root_element(), &[])?;
        let name = document.root_element().tag_name();
        ensure!(
            name.name() == "meadowstream" && name.namespace() == Some(NAMESPACE),
            "{}: the root is to be <meadowstream xmlns={NAMESPACE:?}>",
            root.at()
        );
        let mut options = Self::default();
        for node in root.children(CHILDREN, &[])? {
            match node.tag_name().name() {
                "tenants" => options.tenants = Some(tenants(&document, node)?),
                "tokens" => options.tokens = Some(tokens(&document, node)?),
                "membership" => options.membership = Some(membership(&document, node)?),
                "replication" => options.replication = Some(replication::replication(&document, node)?),
                "rollout" => options.rollout = Some(rollout(&document, node)?),
                "control" => {
                    let control = Element::new(&document, node, &["reference"])?;
                    options.reference = Some(control.number("reference", 0.9, 0.05, 1.0)?);
                }
                "shared-state" => options.shared_state = Some(shared_state(&document, node)?),
                _ => {
                    let calls = Element::new(&document, node, &["left-out"])?;
                    options.left_out = calls.text("left-out").map(str::to_string);
                }
            }
        }
        if let (Some(Tenants { by: By::Field(tenant), .. }), Some(Tokens { field, .. })) =
            (&options.tenants, &options.tokens)
        {
            ensure!(tenant != field, "<tokens>: field: {field:?} names tenants already");
        }
        ensure!(
            options.shared_state.is_none() || options.membership.is_some(),
            "<shared-state>: goes with <membership>, which is absent"
        );
        ensure!(
            options.rollout.is_none() || options.membership.is_some(),
            "<rollout>: goes with <membership>, which is absent"
        );
        ensure!(
            options.replication.is_none() || options.membership.is_some(),
            "<replication>: goes with <membership>, which is absent"
        );
        Ok(options)
    }
}

const CHILDREN: &[&str] =
    &["tenants", "tokens", "calls", "membership", "shared-state", "rollout", "replication", "control"];

/// The attributes of `<rollout>`, each read below.
pub const ROLLOUT: &[&str] = &["candidate", "program", "servers", "lease-ms"];

fn rollout<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Rollout> {
    let element = Element::new(document, node, ROLLOUT)?;
    let candidate =
        element.text("candidate").with_context(|| format!("{}: candidate is missing", element.at()))?;
    ensure!(element.text("servers").is_some(), "{}: servers is missing", element.at());
    Ok(Rollout {
        candidate: PathBuf::from(candidate),
        program: element.text("program").map(PathBuf::from),
        servers: element.whole("servers", 0, 1, 100_000)? as u64,
        voters: voters(document, &element)?,
        lease: element.span("lease-ms", 4_000_000_000, 100, 600_000)?,
    })
}

fn voters<'d>(document: &Document<'d>, element: &Element<'_, 'd>) -> Result<Vec<String>> {
    let mut voters = Vec::new();
    for child in element.children(&["voter"], &["voter"])? {
        let voter = Element::new(document, child, &["name"])?;
        let name = voter.text("name").with_context(|| format!("{}: name is missing", voter.at()))?;
        voters.push(name.to_string());
    }
    Ok(voters)
}

/// A field of a call that means nothing else.
fn free_field<'a>(element: &Element<'a, '_>, what: &str) -> Result<&'a str> {
    let field = element.text("field").with_context(|| format!("{}: field is missing", element.at()))?;
    let plain = field.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'_' || b == b'-');
    ensure!(
        plain && !field.is_empty() && field.len() <= FIELD_MAX && !TAKEN.contains(&field),
        "{}: field: {field:?} cannot name {what}",
        element.at()
    );
    Ok(field)
}

fn tokens<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Tokens> {
    let element = Element::new(document, node, &["field", "entries", "results-kb"])?;
    Ok(Tokens {
        field: free_field(&element, "a token")?.to_string(),
        entries: element.whole("entries", 4096, 16, 1 << 20)?,
        result_bytes: element.whole("results-kb", 1024, 4, 1 << 20)? << 10,
    })
}

fn tenants<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Tenants> {
    let known = ["by", "field", "origin", "default-weight", "surplus-value", "shown"];
    let element = Element::new(document, node, &known)?;
    let by = match (element.text("by"), element.text("field")) {
        (Some("sender"), None) => By::Sender,
        (Some("peer"), None) => By::Peer,
        (Some("field"), Some(_)) => By::Field(free_field(&element, "a tenant")?.to_string()),
        (Some("field"), None) => bail!("{}: by=\"field\" needs a field", element.at()),
        (Some(_), Some(_)) => bail!("{}: field goes with by=\"field\" alone", element.at()),
        (Some(other), None) => bail!("{}: by: unknown choice {other:?}", element.at()),
        (None, _) => bail!("{}: by is missing", element.at()),
    };
    let origin = match element.text("origin").unwrap_or("peer") {
        "connection" => Origin::Connection,
        "peer" => Origin::Peer,
        "sender" => Origin::Sender,
        other => bail!("{}: origin: unknown choice {other:?}", element.at()),
    };
    let mut fair =
        Settings { weight: element.number("default-weight", 1.0, 1e-3, 1e3)?, ..Settings::default() };
    let children = element.children(&["ceilings", "share", "tenant"], &["tenant"])?;
    let (named, limits): (Vec<_>, Vec<_>) =
        children.into_iter().partition(|child| child.tag_name().name() == "tenant");
    for child in limits {
        match child.tag_name().name() {
            "ceilings" => ceilings(&Element::new(document, child, CEILINGS)?, &mut fair)?,
            _ => share(&Element::new(document, child, SHARE)?, &mut fair)?,
        }
    }
    fair.named = named_tenants(document, named, &fair)?.into();
    if let Some((what, why)) = fair.fault() {
        bail!("{}: {what}: {why}", element.at());
    }
    let (surplus_value, shown) =
        (element.number("surplus-value", 0.1, 1e-6, 1.0)?, element.whole("shown", 8, 0, 64)?);
    Ok(Tenants { by, origin, surplus_value, shown, fair })
}

/// The `<tenant>` elements in the order of the file, each name once, as many as `<ceilings accounts>` allows.
fn named_tenants<'d>(
    document: &Document<'d>,
    elements: Vec<Node<'_, 'd>>,
    fair: &Settings,
) -> Result<Vec<NamedTenant>> {
    let (most, count) = (fair.named_most(), elements.len());
    let mut named = Vec::with_capacity(elements.len());
    let mut names = HashSet::with_capacity(elements.len());
    for child in elements {
        let tenant = Element::new(document, child, &["name", "weight"])?;
        let name = tenant.text("name").with_context(|| format!("{}: name is missing", tenant.at()))?;
        ensure!(name.len() <= NAME_MAX, "{}: name: over {NAME_MAX} bytes", tenant.at());
        let weight = tenant.number("weight", fair.weight, 1e-3, 1e3)?;
        ensure!(names.insert(name), "{}: name: {name:?} is given twice", tenant.at());
        if named.len() == most {
            let wanted = Settings { named: vec![(Vec::new(), 1.0); count].into(), ..fair.clone() };
            let (what, why) = wanted.fault().unwrap_or_default();
            bail!("{}: {what}: {why} for {count} named tenants; {most} may be named", tenant.at());
        }
        named.push((name.as_bytes().to_vec(), weight));
    }
    Ok(named)
}

const CEILINGS: &[&str] = &["accounts", "cells", "origins", "promises", "names-per-origin"];
const SHARE: &[&str] = &["at-once-ms", "probation-ms", "late-ms"];

fn ceilings(element: &Element, fair: &mut Settings) -> Result<()> {
    fair.accounts = element.whole("accounts", fair.accounts, 16, 1 << 20)?;
    fair.cells = element.whole("cells", fair.cells, 64, 1 << 26)?;
    fair.origins = element.whole("origins", fair.origins, 1, 1 << 16)?;
    fair.promises = element.whole("promises", fair.promises, 1, 1 << 20)?;
    fair.names = element.number("names-per-origin", fair.names, 1.0, 1e9)?;
    Ok(())
}

fn share(element: &Element, fair: &mut Settings) -> Result<()> {
    fair.at_once = element.span("at-once-ms", fair.at_once, 1, 3_600_000)?;
    fair.probation = element.span("probation-ms", fair.probation, 0, 3_600_000)?;
    fair.late = element.span("late-ms", fair.late, 1, 60_000)?;
    Ok(())
}

/// The attributes of `<budget>`, each read below.
pub const BUDGET: &[&str] = &["name", "total", "floor", "servers", "lease-ms", "use-most-ms"];

fn shared_state<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<SharedState> {
    let element = Element::new(document, node, &["gossip-ms"])?;
    let gossip = element.span("gossip-ms", 500_000_000, 10, 60_000)?;
    let (mut budget, mut tier) = (None, None);
    for child in element.children(&["budget", "tier"], &[])? {
        match child.tag_name().name() {
            "budget" => budget = Some(budget_of(document, child)?),
            _ => tier = Some(tier_of(document, child)?),
        }
    }
    Ok(SharedState { gossip, budget, tier })
}

/// The attributes of `<tier>`, each read below.
pub const TIER: &[&str] = &["reports", "eject-share", "expiry-ms"];
/// Services named at most.
const SERVICES_MAX: usize = 256;

fn tier_of<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Tier> {
    let element = Element::new(document, node, TIER)?;
    let mut services: Vec<(String, SocketAddr)> = Vec::new();
    for child in element.children(&["service"], &["service"])? {
        let service = Element::new(document, child, &["name", "address"])?;
        ensure!(services.len() < SERVICES_MAX, "{}: more than {SERVICES_MAX}", service.at());
        let name = service.text("name").with_context(|| format!("{}: name is missing", service.at()))?;
        let named = (1..=64).contains(&name.len());
        ensure!(named, "{}: name: 1 to 64 bytes, not {}", service.at(), name.len());
        let address = address(&service, "address")?;
        let twice = services.iter().any(|(other, at)| other == name || *at == address);
        ensure!(!twice, "{}: name, address: {name:?} or {address} is given twice", service.at());
        services.push((name.to_string(), address));
    }
    ensure!(!services.is_empty(), "{}: service is missing", element.at());
    Ok(Tier {
        reports: element.whole("reports", 2, 1, 1000)?,
        share_thousandths: (element.number("eject-share", 0.5, 0.0, 1.0)? * 1000.0).round() as usize,
        expiry: element.span("expiry-ms", 5_000_000_000, 100, 600_000)?,
        services,
    })
}

fn address(element: &Element, name: &str) -> Result<SocketAddr> {
    let text = element.text(name).with_context(|| format!("{}: {name} is missing", element.at()))?;
    text.parse().map_err(|_| anyhow!("{}: {name}: {text:?} is no address and port", element.at()))
}

fn budget_of<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Budget> {
    let element = Element::new(document, node, BUDGET)?;
    let needs = |name: &str| {
        ensure!(element.text(name).is_some(), "{}: {name} is missing", element.at());
        element.whole(name, 0, 1, 1 << 40).map(|whole| whole as u64)
    };
    let voters = voters(document, &element)?;
    let name = element.text("name").with_context(|| format!("{}: name is missing", element.at()))?;
    Ok(Budget {
        name: name.to_string(),
        total: needs("total")?,
        servers: needs("servers")?,
        floor: element.whole("floor", 0, 0, 1 << 40)? as u64,
        lease: element.span("lease-ms", 4_000_000_000, 100, 600_000)?,
        use_most: element.span("use-most-ms", 1_000_000_000, 1, 600_000)?,
        voters,
    })
}

/// The attributes of `<membership>`, each read below.
pub const MEMBERSHIP: &[&str] = &[
    "bind",
    "advertise",
    "name",
    "fleet",
    "key-file",
    "probe-period-ms",
    "probe-rtt-ms",
    "suspicion-multiplier",
    "expected-members",
    "gossip-period-ms",
    "announce-period-ms",
    "bytes-a-second",
];
/// Seeds named at most.
const SEEDS_MAX: usize = 64;

fn membership<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<Membership> {
    let element = Element::new(document, node, MEMBERSHIP)?;
    let short = |element: &Element, name: &str| -> Result<Option<String>> {
        let Some(text) = element.text(name) else { return Ok(None) };
        let plain = text.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.".contains(&b));
        ensure!(
            plain && (1..=64).contains(&text.len()),
            "{}: {name}: 1 to 64 letters, digits, '-', '_' or '.'",
            element.at()
        );
        Ok(Some(text.to_string()))
    };
    let fleet = short(&element, "fleet")?.with_context(|| format!("{}: fleet is missing", element.at()))?;
    let key_file =
        element.text("key-file").with_context(|| format!("{}: key-file is missing", element.at()))?;
    let probe_period = element.span("probe-period-ms", 1_000_000_000, 10, 60_000)?;
    let probe_rtt = element.span("probe-rtt-ms", probe_period * 2 / 5, 1, 60_000)?;
    ensure!(probe_rtt < probe_period, "{}: probe-rtt-ms: under probe-period-ms", element.at());
    let mut seeds = Vec::new();
    for child in element.children(&["seed"], &["seed"])? {
        let seed = Element::new(document, child, &["address"])?;
        ensure!(seeds.len() < SEEDS_MAX, "{}: more than {SEEDS_MAX} seeds", seed.at());
        seeds.push(address(&seed, "address")?);
    }
    Ok(Membership {
        bind: address(&element, "bind")?,
        advertise: element.text("advertise").map(|_| address(&element, "advertise")).transpose()?,
        name: short(&element, "name")?,
        fleet,
        key_file: PathBuf::from(key_file),
        seeds,
        probe_period,
        probe_rtt,
        suspicion_multiplier: element.whole("suspicion-multiplier", 4, 1, 60)? as u32,
        expected_members: element.whole("expected-members", 64, 1, 100_000)? as u32,
        gossip_period: element.span("gossip-period-ms", 200_000_000, 10, 60_000)?,
        announce_period: element.span("announce-period-ms", 10_000_000_000, 100, 600_000)?,
        bytes_a_second: element.whole("bytes-a-second", 200_000, 6_000, 1_000_000_000)? as u64,
    })
}
