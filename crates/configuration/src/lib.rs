//! Reads this project's own settings: XML files that follow the schema `deploy/meadowstream.xsd`.
//!
//! The platform has its own settings file. The XML files add settings that the platform does not define. All
//! these added settings are optional. [`Options`] is the options file of a server, [`PlanFile`] is the plan
//! of a rollout, and [`change`] reads change files. Errors contain the line and the element. Times are
//! milliseconds in the files and nanoseconds in the types.
#![deny(missing_docs, clippy::too_many_lines)]

pub mod change;
mod error;
mod idempotency_keys;
mod membership;
mod options;
mod plan;
mod replication;
mod rollout;
mod shared_state;
mod tenants;
mod xml;

pub use error::{ConfigurationError, Fault, KeyError, Place};
pub use idempotency_keys::IdempotencyKeys;
pub use membership::Membership;
pub use options::Options;
pub use plan::PlanFile;
pub use replication::Replication;
pub use rollout::Rollout;
pub use shared_state::{Budget, SharedState, Tier, TierService};
pub use tenants::{Origin, TenantSource, Tenants};
pub use xml::NAMESPACE;

/// Names of the attributes that each element accepts. A test compares these lists with the schema.
pub mod attributes {
    pub use crate::change::ATTRIBUTES as CHANGE;
    pub use crate::membership::ATTRIBUTES as MEMBERSHIP;
    pub use crate::plan::{PLAN, STAGE};
    pub use crate::replication::ATTRIBUTES as REPLICATION;
    pub use crate::rollout::ATTRIBUTES as ROLLOUT;
    pub use crate::shared_state::{BUDGET, TIER};
}
