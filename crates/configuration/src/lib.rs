//! Reads this project's own settings: XML files whose shape `deploy/meadowstream.xsd` states.
//!
//! The platform's settings stay what they are; these files hold what the platform does not know, and all of
//! it is optional. [`Options`] is the file of a server, [`PlanFile`] that of a rollout, and [`change`] reads
//! a change to publish. An error names the line and the element. Times are milliseconds in the files and
//! nanoseconds in the types.
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

/// The attributes that the reader of each element knows, for a test that compares them with the schema.
pub mod attributes {
    pub use crate::change::ATTRIBUTES as CHANGE;
    pub use crate::membership::ATTRIBUTES as MEMBERSHIP;
    pub use crate::plan::{PLAN, STAGE};
    pub use crate::replication::ATTRIBUTES as REPLICATION;
    pub use crate::rollout::ATTRIBUTES as ROLLOUT;
    pub use crate::shared_state::{BUDGET, TIER};
}
