//! Start-time fair queueing among tenants (Goyal, Vin and Cheng, 1996) in bounded memory, however many
//! tenants there are, with promises of admission for rejected arrivals.
//!
//! The crate only advises; its caller admits and rejects. For each arrival, [`FairScheduler`] reports whether
//! it is within its tenant's share and its start tag in the fair order. For a rejected arrival, it reports
//! when the tenant will have capacity again.
//!
//! - [`fair_rate`]: the max-min fair rate of a unit of weight, and the virtual time that advances at this
//!   rate.
//! - [`usage`]: the virtual time up to which each tenant has used its share (its finish), and the tails of
//!   its queues. Established tenants have an account each ([`accounts`]). Established tenants without a free
//!   account share the cells of a sketch, which never underestimates their use ([`finish_sketch`]). Tenants
//!   with new names share one record for each origin, since a sender can invent names but not its origin
//!   ([`origins`]).
//! - [`known_names`] and [`hyperloglog`]: the set of names seen, and estimates of the number of distinct
//!   names.
//! - [`promises`] and [`timer_wheel`]: the time at which a rejected arrival may return, and the ticket that
//!   identifies its promise.
//! - [`reconfiguration`]: changes of settings while the server runs.
//!
//! `docs/fair-queues.md` names the alternatives considered. Times are in nanoseconds, work is in nanoseconds
//! of one core, and virtual time is in nanoseconds of one core per unit of weight.
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
pub use scheduler::{Admission, FairScheduler, RetryAdvice, ServiceOutcome};
pub use settings::{Settings, SettingsError};
pub use tenant::{Fingerprint, NamedTenant, TenantKey};

/// A point in time or a duration, in nanoseconds.
pub type Nanos = u64;
