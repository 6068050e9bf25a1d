//! Reads the options file of a server, whose root element is `<meadowstream>`.

use crate::error::{ConfigurationError, Fault};
use crate::idempotency_keys::{self, IdempotencyKeys};
use crate::membership::{self, Membership};
use crate::replication::{self, Replication};
use crate::rollout::{self, Rollout};
use crate::shared_state::{self, SharedState};
use crate::tenants::{self, TenantSource, Tenants};
use crate::xml::{Element, Result, in_file, parse, read_file};
use roxmltree::{Document, Node};
use std::path::Path;

/// Child elements of the root.
const CHILDREN: &[&str] =
    &["tenants", "tokens", "calls", "membership", "shared-state", "rollout", "replication", "control"];
/// Minimum target utilization of the cores in `<control reference>`, as a ratio. The next two constants are
/// the maximum and the default of this setting.
pub(crate) const UTILIZATION_MIN: f64 = 0.05;
pub(crate) const UTILIZATION_MAX: f64 = 1.0;
const UTILIZATION_DEFAULT: f64 = 0.9;

/// Content of an options file. If the file does not contain the element of a feature, the feature is off.
#[derive(Clone, Debug, Default)]
pub struct Options {
    /// `<control reference>`: target utilization of the cores, as a ratio; `None` selects the default.
    pub target_utilization: Option<f64>,
    /// `<tenants>`: how tenants are identified, and their weights and quotas.
    pub tenants: Option<Tenants>,
    /// `<tokens>`: idempotency keys.
    pub idempotency_keys: Option<IdempotencyKeys>,
    /// `<calls left-out>`: reply that a running operation receives instead of the result of its downstream
    /// call if the server skips the call.
    pub skipped_call_reply: Option<String>,
    /// `<membership>`: settings of the server as a member of a fleet.
    pub membership: Option<Membership>,
    /// `<shared-state>`: call budget and outlier detection that the servers of the fleet share; requires
    /// `membership`.
    pub shared_state: Option<SharedState>,
    /// `<rollout>`: settings of staged rollouts; requires `membership`.
    pub rollout: Option<Rollout>,
    /// `<replication>`: settings of replicated configuration; requires `membership`.
    pub replication: Option<Replication>,
}

impl Options {
    /// Reads an options file. Errors contain the path, the line and the element.
    pub fn load(path: &Path) -> Result<Self> {
        in_file(path, Self::read(&read_file(path)?))
    }

    /// Reads the text of an options file. Errors contain the line and the element.
    pub fn read(text: &str) -> Result<Self> {
        let document = parse(text)?;
        let root = Element::root(&document, "meadowstream", &[])?;
        let mut options = Self::default();
        for node in root.children(CHILDREN, &[])? {
            options.read_child(&document, node)?;
        }
        options.check_keys_and_tenants()?;
        options.check_membership()?;
        Ok(options)
    }

    fn read_child<'d>(&mut self, document: &Document<'d>, node: Node<'_, 'd>) -> Result<()> {
        match node.tag_name().name() {
            "tenants" => self.tenants = Some(tenants::read(document, node)?),
            "tokens" => self.idempotency_keys = Some(idempotency_keys::read(document, node)?),
            "membership" => self.membership = Some(membership::read(document, node)?),
            "replication" => self.replication = Some(replication::read(document, node)?),
            "rollout" => self.rollout = Some(rollout::read(document, node)?),
            "shared-state" => self.shared_state = Some(shared_state::read(document, node)?),
            "control" => self.target_utilization = Some(read_target_utilization(document, node)?),
            _ => {
                let calls = Element::new(document, node, &["left-out"])?;
                self.skipped_call_reply = calls.text("left-out").map(str::to_string);
            }
        }
        Ok(())
    }

    /// Checks that idempotency keys and tenants are read from different call fields.
    fn check_keys_and_tenants(&self) -> Result<()> {
        let Some(Tenants { source: TenantSource::Field(tenant), .. }) = &self.tenants else { return Ok(()) };
        match &self.idempotency_keys {
            Some(keys) if keys.field == *tenant => {
                let fault = Fault::FieldOfTenants(tenant.clone());
                Err(ConfigurationError::Options { element: "tokens", fault })
            }
            _ => Ok(()),
        }
    }

    fn check_membership(&self) -> Result<()> {
        let needing = [
            ("shared-state", self.shared_state.is_some()),
            ("rollout", self.rollout.is_some()),
            ("replication", self.replication.is_some()),
        ];
        match needing.into_iter().find(|(_, is_on)| *is_on && self.membership.is_none()) {
            Some((element, _)) => Err(ConfigurationError::Options { element, fault: Fault::NeedsMembership }),
            None => Ok(()),
        }
    }

    /// Replaces the settings of each element that is present in `change`. The settings of all other elements
    /// stay unchanged.
    pub fn overlay(&mut self, change: Options) {
        fn replace<T>(own: &mut Option<T>, new: Option<T>) {
            if new.is_some() {
                *own = new;
            }
        }
        replace(&mut self.target_utilization, change.target_utilization);
        replace(&mut self.tenants, change.tenants);
        replace(&mut self.idempotency_keys, change.idempotency_keys);
        replace(&mut self.skipped_call_reply, change.skipped_call_reply);
    }
}

fn read_target_utilization<'d>(document: &Document<'d>, node: Node<'_, 'd>) -> Result<f64> {
    let control = Element::new(document, node, &["reference"])?;
    control.number("reference", UTILIZATION_DEFAULT, UTILIZATION_MIN, UTILIZATION_MAX)
}
