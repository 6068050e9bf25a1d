//! Fair sharing of a server's capacity among tenants, in bounded memory for any number of tenants. The method
//! is start-time fair queueing (Goyal, Vin and Cheng, 1996). A rejected arrival can get a promise that its
//! retry will be admitted.
//!
//! This crate only advises its caller, which admits and rejects arrivals. For each arrival, [`FairScheduler`]
//! reports whether the arrival is within its tenant's share, and the arrival's start tag in the fair order.
//! For a rejected arrival, it also reports when the tenant's share will have capacity for a retry.
//!
//! - [`fair_rate`]: the max-min fair rate of a unit of weight, and the virtual time that advances at this
//!   rate.
//! - [`usage`]: each tenant's finish (the virtual time up to which it has used its share) and queue tails
//!   (the start tags of its next arrivals). An established tenant has its own account ([`accounts`]). If no
//!   account is free, the tenant's finish is kept in a sketch that never underestimates usage
//!   ([`finish_sketch`]). Tenants with new names share one record for each origin, since a sender can invent
//!   names but not its origin ([`origins`]).
//! - [`known_names`] and [`hyperloglog`]: the table of recently seen names, and estimates of the number of
//!   distinct names.
//! - [`promises`] and [`timer_wheel`]: promises that a retry after a given time will be admitted, and the
//!   tickets that identify them.
//! - [`reconfiguration`]: changes of settings while the server runs.
//!
//! `docs/fair-queues.md` describes the alternatives considered. Times are in nanoseconds, work is in
//! nanoseconds of one core, and virtual time is in nanoseconds of one core per unit of weight.
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

/// A point in time or a duration, in nanoseconds. Points in time are readings of the caller's clock.
pub type Nanos = u64;
