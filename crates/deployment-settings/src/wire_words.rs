//! Words that the platform uses as values of settings with a fixed set of choices, each with its meaning.

use meadowstream_overload_control::{Advertisement, Effect, Preemption};

/// List of the words that a setting accepts as its value, each with the meaning of the word.
pub type Words<T> = &'static [(&'static str, T)];

/// Words with which the platform's settings state the effect of running an operation more than once.
pub const EFFECTS: Words<Effect> = &[
    ("repeatable", Effect::Idempotent),
    ("by_key", Effect::IdempotentWithKey),
    ("once", Effect::NonIdempotent),
];

/// Words with which the platform's settings state the effect of preempting a run: preemption is unsupported,
/// discards the work, or pauses the run.
pub const PREEMPTIONS: Words<Preemption> =
    &[("off", Preemption::Unsupported), ("discard", Preemption::Discards), ("freeze", Preemption::Pauses)];

/// Words with which the platform's settings state the kind of load that the server advertises to callers.
pub const ADVERTISEMENTS: Words<Advertisement> = &[
    ("off", Advertisement::None),
    ("floor", Advertisement::MinimumRank),
    ("allowance", Advertisement::ConcurrencyAllowance),
    ("weight", Advertisement::Weight),
];

/// Destination of this server's downstream calls: none, a tier of servers, or a dependency that all servers
/// of this server's tier share. The other settings of a shared dependency, such as its quota, are read
/// separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DownstreamKind {
    None,
    Tier,
    Shared,
}

/// Words with which the platform's settings state the destination of this server's downstream calls.
pub const DOWNSTREAMS: Words<DownstreamKind> =
    &[("off", DownstreamKind::None), ("tier", DownstreamKind::Tier), ("one_for_all", DownstreamKind::Shared)];

/// Name of the platform's gauge for the utilization of the cores. The next constant is the name of the gauge
/// for the number of runnable threads.
pub const UTILIZATION_GAUGE: &str = "cpu_busy";
pub const RUNNABLE_GAUGE: &str = "runnable";
