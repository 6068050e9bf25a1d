//! Reads `<plan>`, the plan file of a rollout. The coordinator of the rollout reads this file.

use crate::error::Fault;
use crate::xml::{Element, Result, in_file, parse, read_file};
use meadowstream_rollout::plan::{ChangeKind, OnRegression, Plan, Stage, StageSize, Thresholds};
use roxmltree::{Document, Node};
use std::path::{Path, PathBuf};

/// Attributes of `<plan>`.
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
/// Attributes of `<stage>`.
pub const STAGE: &[&str] = &["servers", "share", "bake-ms"];
/// Maximum bake time of a stage, in milliseconds: one week. During the bake time, changed servers are
/// compared with unchanged ones.
const BAKE_MS_MAX: usize = 604_800_000;

/// Content of a plan file (`docs/rollout.md`).
#[derive(Clone, Debug, PartialEq)]
pub struct PlanFile {
    /// Path of the candidate, which is the settings file or the program to roll out. The path is stored as
    /// written in the plan file and is relative to that file.
    pub candidate: PathBuf,
    /// Plan of the rollout. Its hash of the candidate is 0, because reading the plan file does not compute
    /// this hash.
    pub plan: Plan,
}

impl PlanFile {
    /// Reads a plan file. Errors contain the path, the line and the element.
    pub fn load(path: &Path) -> Result<Self> {
        in_file(path, Self::read(&read_file(path)?))
    }

    /// Reads the text of a plan file. Errors contain the line, the element, and the number of the stage.
    pub fn read(text: &str) -> Result<Self> {
        let document = parse(text)?;
        let root = Element::root(&document, "plan", PLAN)?;
        let on_regression = read_on_regression(&root)?;
        let thresholds = read_thresholds(&root)?;
        let (candidate, kind) = read_candidate(&root)?;
        let stages = read_stages(&document, &root)?;
        let interval = root.duration_ns("interval-ms", 1_000, 50, 60_000)?;
        let plan = Plan {
            name: root.required("name")?.to_string(),
            candidate: 0,
            kind,
            stages,
            on_regression,
            thresholds,
            interval,
            settle_time: root.duration_ns("settled-ms", 5_000, 0, 600_000)?,
            warm_up: root.duration_ns("warm-up-ms", 0, 0, 3_600_000)?,
            response_timeout: root.duration_ns("patience-ms", 30_000, 50, 3_600_000)?,
        };
        plan.check().map_err(|fault| root.error(Fault::Plan(fault)))?;
        Ok(PlanFile { candidate, plan })
    }
}

fn read_on_regression(root: &Element) -> Result<OnRegression> {
    match root.text("on-worse").unwrap_or("roll-back") {
        "roll-back" => Ok(OnRegression::RollBack),
        "stop" => Ok(OnRegression::Stop),
        other => {
            let choice = other.to_string();
            Err(root.error(Fault::UnknownChoice { attribute: "on-worse", choice }))
        }
    }
}

fn read_thresholds(root: &Element) -> Result<Thresholds> {
    let default = Thresholds::default();
    Ok(Thresholds {
        throttled: root.number("throttled", default.throttled, 1e-6, 1.0)?,
        errored: root.number("errored", default.errored, 1e-6, 1.0)?,
        late: root.number("late", default.late, 1e-6, 1.0)?,
        latency: root.number("latency", default.latency, 1e-6, 100.0)?,
        alpha: root.number("alpha", default.alpha, 1e-9, 0.2)?,
    })
}

/// Reads the path of the candidate and its kind: a settings file or a program.
fn read_candidate(root: &Element) -> Result<(PathBuf, ChangeKind)> {
    match (root.text("candidate"), root.text("program")) {
        (Some(settings), None) => Ok((PathBuf::from(settings), ChangeKind::Settings)),
        (None, Some(program)) => Ok((PathBuf::from(program), ChangeKind::Program)),
        _ => Err(root.error(Fault::Either { first: "candidate", second: "program" })),
    }
}

fn read_stages<'d>(document: &Document<'d>, root: &Element<'_, 'd>) -> Result<Vec<Stage>> {
    let mut stages = Vec::new();
    for child in root.children(&["stage"], &["stage"])? {
        stages.push(read_stage(document, child, stages.len() + 1)?);
    }
    Ok(stages)
}

fn read_stage<'d>(document: &Document<'d>, node: Node<'_, 'd>, number: usize) -> Result<Stage> {
    let stage = Element::new(document, node, STAGE)?;
    let error = |fault| stage.error(Fault::Stage { number, fault: Box::new(fault) });
    if stage.text("bake-ms").is_none() {
        return Err(error(Fault::Missing { name: "bake-ms".to_string() }));
    }
    let size = match (stage.text("servers"), stage.text("share")) {
        (Some(_), None) => StageSize::Servers(stage.parsed("servers", 0)?),
        (None, Some(_)) => StageSize::Share(stage.parsed("share", 0.0)?),
        _ => return Err(error(Fault::Either { first: "servers", second: "share" })),
    };
    Ok(Stage { size, bake_time: stage.duration_ns("bake-ms", 0, 0, BAKE_MS_MAX)? })
}
