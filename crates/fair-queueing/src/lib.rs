//! Start-time fair queueing among tenants (Goyal, Vin and Cheng, 1996) in bounded memory for any number of
//! them, with promised admissions.
//!
//! The crate decides nothing. [`FairScheduler`] says of each arrival whether it lies within its tenant's
//! share and where it stands in fair order, and of one that is rejected when its tenant will have capacity
//! for it again.
//!
//! - [`fair_rate`]: the max-min fair rate of a unit of weight, and the virtual time that advances at it.
//! - [`usage`]: up to which virtual time each tenant has used its share (its finish), and where its queues
//!   end. Tenants seen for long enough have an account of their own ([`accounts`]); those beyond the accounts
//!   share cells that never say less than they have used ([`finish_sketch`]); names that are new share one
//!   record for each origin, which cannot be made up ([`origins`]).
//! - [`known_names`] and [`hyperloglog`]: which names have been seen, and how many.
//! - [`promises`] and [`timer_wheel`]: when a rejected arrival may come back, and the ticket that stands for
//!   it.
//! - [`reconfiguration`]: changes of settings while the server runs.
//!
//! `docs/fair-queues.md` names the alternatives considered. Times are nanoseconds, work is nanoseconds of one
//! core, and virtual time is nanoseconds of one core for a unit of weight.
#![deny(missing_docs, clippy::too_many_lines)]

pub mod account;
pub mod accounts;
pub mod counters;
pub mod demand;
pub mod fair_rate;
pub mod finish_sketch;
pub mod hyperloglog;
pub mod known_names;
pub mod learned_ratio;
mod memory;
pub mod origins;
pub mod promises;
pub mod queue_order;
pub mod reconfiguration;
pub mod scheduler;
pub mod settings;
pub mod tenant;
pub mod timer_wheel;
pub mod usage;

pub use counters::{SchedulerCounters, TopTenant};
pub use reconfiguration::SettingsChange;
pub use scheduler::{Admission, FairScheduler, ReturnAdvice, ServiceOutcome};
pub use settings::{Settings, SettingsError};
pub use tenant::{Fingerprint, NamedTenant, TenantKey};

/// Nanoseconds: a point in time or a duration.
pub type Nanos = u64;
