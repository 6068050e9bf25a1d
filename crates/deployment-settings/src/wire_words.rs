//! The platform's words for choices.

use meadowstream_overload_control::{Advertisement, Effect, Preemption};

/// Words with what they mean.
pub type Words<T> = &'static [(&'static str, T)];

/// What running an operation twice does.
pub const EFFECTS: Words<Effect> = &[
    ("repeatable", Effect::Idempotent),
    ("by_key", Effect::IdempotentWithKey),
    ("once", Effect::NonIdempotent),
];

/// What stopping a run does.
pub const PREEMPTIONS: Words<Preemption> =
    &[("off", Preemption::Unsupported), ("discard", Preemption::Discards), ("freeze", Preemption::Pauses)];

/// What the advertised load means to callers.
pub const ADVERTISEMENTS: Words<Advertisement> = &[
    ("off", Advertisement::None),
    ("floor", Advertisement::MinimumRank),
    ("allowance", Advertisement::ConcurrencyAllowance),
    ("weight", Advertisement::Weight),
];

/// What runs call; the settings of a shared dependency stand beside.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownstreamKind {
    None,
    Tier,
    Shared,
}

/// Words for what runs call.
pub const DOWNSTREAMS: Words<DownstreamKind> =
    &[("off", DownstreamKind::None), ("tier", DownstreamKind::Tier), ("one_for_all", DownstreamKind::Shared)];

/// Names of the gauges that the controller reads.
pub const UTILIZATION_GAUGE: &str = "cpu_busy";
pub const RUNNABLE_GAUGE: &str = "runnable";
