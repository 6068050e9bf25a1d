//! Cooperation between the servers of a fleet: membership, shared state, replicated configuration, and staged
//! rollouts. Each feature is off by default and is enabled in the options.

pub mod control_machine;
pub mod coordinator;
pub mod interval_report;
pub mod joined;
pub mod membership;
pub mod publish;
pub mod replication;
pub mod rollout;
pub mod rollout_state;
pub mod shared_state;
mod sharing;
pub mod tier;
mod view_log;
