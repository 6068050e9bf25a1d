//! Settings of a member, their allowed ranges, and the foca configuration derived from them.

use crate::Nanos;
use crate::envelope::{DATAGRAM_BYTES_MAX, ENVELOPE_BYTES};
use crate::identity::NAME_BYTES_MAX;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

const SECOND_NS: Nanos = 1_000_000_000;
const MILLISECOND_NS: Nanos = 1_000_000;

/// Default of [`Settings::bytes_per_second`]. The value exceeds the traffic per member in a fleet of 1,000
/// members, so the budget does not delay the agreement of views. With a smaller value, a member loads the
/// network less, but the views of a large fleet agree later.
pub const DEFAULT_BYTES_PER_SECOND: u64 = 200_000;
/// Smallest allowed value of [`Settings::packet_max`], in bytes. A body of this size holds two members with
/// names of maximum length.
const PACKET_BYTES_MIN: usize = 256;
/// Largest allowed value of [`Settings::packet_max`], in bytes.
const PACKET_BYTES_MAX: usize = DATAGRAM_BYTES_MAX - ENVELOPE_BYTES;
/// The budget [`Settings::bytes_per_second`] must allow at least this many datagrams of maximum size per
/// second.
const PACKETS_PER_SECOND_MIN: usize = 4;
const KEY_BYTES_MIN: usize = 16;
const PROBE_PERIOD_MIN_NS: Nanos = 10 * MILLISECOND_NS;
const SUSPICION_MULTIPLIER_MAX: u32 = 60;

/// In each gossip round, foca sends gossip to this number of members. There is one round per gossip period.
pub(crate) const GOSSIP_MEMBERS: usize = 3;
/// Once per announce period, foca announces this member to this number of alive or suspect members.
const ANNOUNCE_MEMBERS: usize = 1;
/// Once per announce period, foca announces this member to this number of members that are recorded as down.
const ANNOUNCE_DOWN_MEMBERS: usize = 2;
/// If a member does not answer a direct probe, the prober requests an indirect probe of that member from this
/// number of other members (`k` in the SWIM paper).
const INDIRECT_PROBES: usize = 3;
/// Each member transmits an update about a member's state `TRANSMISSIONS_PER_LOG10 * log10(n)` times, rounded
/// up (`lambda` in the SWIM paper). `n` is the fleet's size: the expected number of members plus 1.
const TRANSMISSIONS_PER_LOG10: f64 = 4.0;
/// A member that was recorded as down is removed from the view after this number of suspicion times. Without
/// removal, the use of memory would grow with the number of all members that have ever been down.
const REMOVE_AFTER_SUSPICION_TIMES: u64 = 30;

/// Settings of a member. Times are in nanoseconds. [`Settings::check`] enforces the allowed ranges.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the fleet. Datagrams of other fleets are dropped.
    pub fleet: String,
    /// Secret key that authenticates the fleet's datagrams.
    pub key: Vec<u8>,
    /// Interval at which each member probes one other member.
    pub probe_period: Nanos,
    /// Time for which the prober waits for the answer to a direct probe. If no answer arrives in this time,
    /// the prober requests other members to probe the same member. Must be shorter than the probe period.
    pub probe_rtt: Nanos,
    /// Suspicion time, as a multiple of the probe period. A suspect that does not refute the suspicion within
    /// the suspicion time is declared down.
    pub suspicion_multiplier: u32,
    /// Maximum size of a datagram's body, in bytes. The maximum for gossip may be smaller, so that gossip
    /// stays within half of [`Settings::bytes_per_second`].
    pub packet_max: usize,
    /// Expected number of members in the fleet, `n`. Each member transmits each update approximately 4
    /// log10(n + 1) times. An update reports a member's state.
    pub expected_members: u32,
    /// Interval between two gossip rounds. In each round, a member sends gossip to three other members.
    pub gossip_period: Nanos,
    /// Interval at which a member repeats two actions: announcing itself to other members, and comparing its
    /// view with another member's view.
    pub announce_period: Nanos,
    /// Budget for datagrams of the membership protocol, in bytes per second. When it is used up, gossip and
    /// lists of members are postponed. Failure detection (probes, their answers and verdicts) is not
    /// postponed. Gossip in packets of maximum size takes at most half of the budget. Shared state is not
    /// charged to the budget.
    pub bytes_per_second: u64,
}

/// Reason why a setting is invalid. The message starts with the name of the setting, spelled with hyphens.
/// The message states periods in nanoseconds. In the options file, by contrast, the attribute names contain
/// the unit (`probe-period-ms`).
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The fleet's name is empty or too long.
    #[error("fleet: a name of 1 to {NAME_BYTES_MAX} bytes, not {bytes}")]
    Fleet {
        /// Length of the name, in bytes.
        bytes: usize,
    },
    /// The key is too short.
    #[error("key: at least {KEY_BYTES_MIN} bytes, not {bytes}")]
    Key {
        /// Length of the key, in bytes.
        bytes: usize,
    },
    /// The probe period is too short.
    #[error("probe-period: at least 10 ms, not {actual} ns")]
    ProbePeriod {
        /// The rejected probe period, in nanoseconds.
        actual: Nanos,
    },
    /// The time to wait for the answer to a direct probe is invalid: it is zero or not shorter than the probe
    /// period.
    #[error("probe-rtt: above 0 and under the probe period of {probe_period} ns, not {actual} ns")]
    ProbeRtt {
        /// The rejected time to wait for the answer, in nanoseconds.
        actual: Nanos,
        /// The probe period, in nanoseconds. The time to wait for the answer must be shorter than this
        /// period.
        probe_period: Nanos,
    },
    /// The multiplier is too small or too large. The suspicion time is the probe period times this
    /// multiplier.
    #[error("suspicion-multiplier: 1 to {SUSPICION_MULTIPLIER_MAX}, not {actual}")]
    SuspicionMultiplier {
        /// The configured multiplier.
        actual: u32,
    },
    /// The maximum size of a datagram's body is too small or too large.
    #[error("packet-max: 256 to 65,445 bytes, not {actual}")]
    PacketMax {
        /// The configured size, in bytes.
        actual: usize,
    },
    /// The budget of bytes per second is too small: it must allow four datagrams of maximum size per second.
    #[error("bytes-a-second: {min} at least with packets of {packet_max}, not {actual}")]
    BytesPerSecond {
        /// The rejected budget, in bytes per second.
        actual: u64,
        /// The minimum budget for datagrams of `packet_max` bytes, in bytes per second.
        min: u64,
        /// Maximum size of a datagram's body, in bytes. The minimum budget depends on this size.
        packet_max: usize,
    },
    /// The expected number of members, the gossip period or the announce period is zero.
    #[error(
        "expected-members, gossip-period and announce-period: above 0, not {expected_members}, \
         {gossip_period} ns and {announce_period} ns"
    )]
    Zero {
        /// The expected number of members. Invalid if 0.
        expected_members: u32,
        /// The gossip period, in nanoseconds. Invalid if 0.
        gossip_period: Nanos,
        /// The announce period, in nanoseconds. Invalid if 0.
        announce_period: Nanos,
    },
}

impl Settings {
    /// Creates settings with defaults for a fleet on a local network: one probe per second, and a suspicion
    /// time of four probe periods.
    pub fn lan(fleet: &str, key: &[u8]) -> Settings {
        Settings {
            fleet: fleet.to_string(),
            key: key.to_vec(),
            probe_period: SECOND_NS,
            probe_rtt: 400 * MILLISECOND_NS,
            suspicion_multiplier: 4,
            packet_max: 1400,
            expected_members: 64,
            gossip_period: 200 * MILLISECOND_NS,
            announce_period: 10 * SECOND_NS,
            bytes_per_second: DEFAULT_BYTES_PER_SECOND,
        }
    }

    /// Returns the suspicion time in nanoseconds: the probe period times the multiplier.
    pub fn suspicion(&self) -> Nanos {
        self.probe_period.saturating_mul(self.suspicion_multiplier as u64)
    }

    /// Checks that all settings are within their allowed ranges.
    ///
    /// # Errors
    /// Returns the error for the first invalid setting.
    pub fn check(&self) -> Result<(), SettingsError> {
        self.check_fleet()?;
        self.check_probes()?;
        self.check_datagrams()?;
        if self.expected_members == 0 || self.gossip_period == 0 || self.announce_period == 0 {
            return Err(SettingsError::Zero {
                expected_members: self.expected_members,
                gossip_period: self.gossip_period,
                announce_period: self.announce_period,
            });
        }
        Ok(())
    }

    fn check_fleet(&self) -> Result<(), SettingsError> {
        if self.fleet.is_empty() || self.fleet.len() > NAME_BYTES_MAX {
            return Err(SettingsError::Fleet { bytes: self.fleet.len() });
        }
        if self.key.len() < KEY_BYTES_MIN {
            return Err(SettingsError::Key { bytes: self.key.len() });
        }
        Ok(())
    }

    fn check_probes(&self) -> Result<(), SettingsError> {
        let (probe_period, probe_rtt) = (self.probe_period, self.probe_rtt);
        if probe_period < PROBE_PERIOD_MIN_NS {
            return Err(SettingsError::ProbePeriod { actual: probe_period });
        }
        if probe_rtt == 0 || probe_rtt >= probe_period {
            return Err(SettingsError::ProbeRtt { actual: probe_rtt, probe_period });
        }
        if !(1..=SUSPICION_MULTIPLIER_MAX).contains(&self.suspicion_multiplier) {
            return Err(SettingsError::SuspicionMultiplier { actual: self.suspicion_multiplier });
        }
        Ok(())
    }

    fn check_datagrams(&self) -> Result<(), SettingsError> {
        let packet_max = self.packet_max;
        if !(PACKET_BYTES_MIN..=PACKET_BYTES_MAX).contains(&packet_max) {
            return Err(SettingsError::PacketMax { actual: packet_max });
        }
        let min = (PACKETS_PER_SECOND_MIN * (packet_max + ENVELOPE_BYTES)) as u64;
        if self.bytes_per_second < min {
            return Err(SettingsError::BytesPerSecond { actual: self.bytes_per_second, min, packet_max });
        }
        Ok(())
    }

    /// Returns the maximum body size of gossip, probes and answers to probes, in bytes. With this limit,
    /// gossip in packets of maximum size takes at most half of the budget of bytes per second. The other half
    /// is left to probes and lists of members. The limit is never below [`PACKET_BYTES_MIN`], even if gossip
    /// takes more than half of the budget with this minimum.
    pub(crate) fn gossip_packet_bytes(&self) -> usize {
        let packets_per_second = GOSSIP_MEMBERS as u64 * SECOND_NS.div_ceil(self.gossip_period);
        let datagram_bytes = (self.bytes_per_second / (2 * packets_per_second)) as usize;
        datagram_bytes.saturating_sub(ENVELOPE_BYTES).clamp(PACKET_BYTES_MIN, self.packet_max)
    }

    /// Returns the foca configuration for these settings. The settings must have passed [`Settings::check`].
    pub(crate) fn foca(&self) -> Config {
        let decades = (f64::from(self.expected_members) + 1.0).log10();
        let transmissions = (TRANSMISSIONS_PER_LOG10 * decades).ceil().clamp(1.0, 255.0) as u8;
        let remove_after = self.suspicion().saturating_mul(REMOVE_AFTER_SUSPICION_TIMES);
        Config {
            probe_period: Duration::from_nanos(self.probe_period),
            probe_rtt: Duration::from_nanos(self.probe_rtt),
            num_indirect_probes: non_zero(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(transmissions).expect("clamped to at least 1"),
            suspect_to_down_after: Duration::from_nanos(self.suspicion()),
            remove_down_after: Some(Duration::from_nanos(remove_after)),
            max_packet_size: non_zero(self.gossip_packet_bytes()),
            notify_down_members: true,
            periodic_announce: periodic(self.announce_period, ANNOUNCE_MEMBERS),
            periodic_announce_to_down_members: periodic(self.announce_period, ANNOUNCE_DOWN_MEMBERS),
            periodic_gossip: periodic(self.gossip_period, GOSSIP_MEMBERS),
        }
    }
}

fn non_zero(value: usize) -> NonZeroUsize {
    NonZeroUsize::new(value).expect("constants and checked sizes are above 0")
}

fn periodic(period: Nanos, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency: Duration::from_nanos(period), num_members: non_zero(members) })
}
