//! The platform's names for choices.

use meadowstream_overload_control::{Advertisement, Effect, Preemption};

/// Pairs of a word in the settings and its meaning.
pub type Words<T> = &'static [(&'static str, T)];

/// Words for the effect of running an operation more than once.
pub const EFFECTS: Words<Effect> = &[
    ("repeatable", Effect::Idempotent),
    ("by_key", Effect::IdempotentWithKey),
    ("once", Effect::NonIdempotent),
];

/// Words for the effect of preempting a running invocation.
pub const PREEMPTIONS: Words<Preemption> =
    &[("off", Preemption::Unsupported), ("discard", Preemption::Discards), ("freeze", Preemption::Pauses)];

/// Words for the meaning of the advertised load.
pub const ADVERTISEMENTS: Words<Advertisement> = &[
    ("off", Advertisement::None),
    ("floor", Advertisement::MinimumRank),
    ("allowance", Advertisement::ConcurrencyAllowance),
    ("weight", Advertisement::Weight),
];

/// Kind of the downstream services that are called by running invocations. A shared dependency has settings
/// at separate paths.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownstreamKind {
    None,
    Tier,
    Shared,
}

/// Words for the kind of downstream services.
pub const DOWNSTREAMS: Words<DownstreamKind> =
    &[("off", DownstreamKind::None), ("tier", DownstreamKind::Tier), ("one_for_all", DownstreamKind::Shared)];

/// Name of the gauge that reports the utilization of the cores. The next constant is the name of the gauge
/// that reports the number of runnable threads.
pub const UTILIZATION_GAUGE: &str = "cpu_busy";
pub const RUNNABLE_GAUGE: &str = "runnable";
