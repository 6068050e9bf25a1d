//! Words that the platform's settings use for the choices of a setting.

use meadowstream_overload_control::{Advertisement, Effect, Preemption};

/// List of the words that a setting accepts, each with its meaning.
pub type Words<T> = &'static [(&'static str, T)];

/// Words for the effect of running an operation more than once.
pub const EFFECTS: Words<Effect> = &[
    ("repeatable", Effect::Idempotent),
    ("by_key", Effect::IdempotentWithKey),
    ("once", Effect::NonIdempotent),
];

/// Words for the effect of preempting a run: preemption is unsupported, discards the work, or pauses the run.
pub const PREEMPTIONS: Words<Preemption> =
    &[("off", Preemption::Unsupported), ("discard", Preemption::Discards), ("freeze", Preemption::Pauses)];

/// Words for the kind of load that the server advertises to callers.
pub const ADVERTISEMENTS: Words<Advertisement> = &[
    ("off", Advertisement::None),
    ("floor", Advertisement::MinimumRank),
    ("allowance", Advertisement::ConcurrencyAllowance),
    ("weight", Advertisement::Weight),
];

/// Kind of the downstream services that running invocations call. The other settings of a shared dependency,
/// such as its quota, are read separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownstreamKind {
    None,
    Tier,
    Shared,
}

/// Words for the kind of the downstream services.
pub const DOWNSTREAMS: Words<DownstreamKind> =
    &[("off", DownstreamKind::None), ("tier", DownstreamKind::Tier), ("one_for_all", DownstreamKind::Shared)];

/// Name of the platform's gauge for the utilization of the cores. The next constant is the name of the gauge
/// for the number of runnable threads.
pub const UTILIZATION_GAUGE: &str = "cpu_busy";
pub const RUNNABLE_GAUGE: &str = "runnable";
