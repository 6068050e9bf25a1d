//! Settings of a member, their bounds, and foca's configuration made from them.

use crate::Nanos;
use crate::envelope::{DATAGRAM_BYTES_MAX, ENVELOPE_BYTES};
use crate::identity::NAME_BYTES_MAX;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

const SECOND_NS: Nanos = 1_000_000_000;
const MILLISECOND_NS: Nanos = 1_000_000;

/// Default of [`Settings::bytes_per_second`]: above what a member of a fleet of a thousand sends, so that
/// views agree soonest. A smaller figure bounds the load on the network, and views of a large fleet agree
/// later.
pub const DEFAULT_BYTES_PER_SECOND: u64 = 200_000;
/// Smallest body of a datagram, in bytes: it holds two members with the longest names.
const PACKET_BYTES_MIN: usize = 256;
/// Largest body of a datagram, in bytes.
const PACKET_BYTES_MAX: usize = DATAGRAM_BYTES_MAX - ENVELOPE_BYTES;
/// Full datagrams that a second must have capacity for.
const PACKETS_PER_SECOND_MIN: usize = 4;
const KEY_BYTES_MIN: usize = 16;
const PROBE_PERIOD_MIN_NS: Nanos = 10 * MILLISECOND_NS;
const SUSPICION_MULTIPLIER_MAX: u32 = 60;

/// Members that foca gossips to in one round.
pub(crate) const GOSSIP_MEMBERS: usize = 3;
/// Members that an announce goes to once an announce period: of those alive, and of those down.
const ANNOUNCE_MEMBERS: usize = 1;
const ANNOUNCE_DOWN_MEMBERS: usize = 2;
/// Members asked to probe another one that did not answer (`k` of the SWIM paper).
const INDIRECT_PROBES: usize = 3;
/// Transmissions of an update for each decade of members (`lambda` of the SWIM paper).
const TRANSMISSIONS_PER_LOG10: f64 = 4.0;
/// Members down are forgotten after so many suspicion times, which bounds memory by the live fleet.
const FORGET_SUSPICIONS: u64 = 30;

/// Settings of a member. Times are in nanoseconds; [`Settings::check`] has the bounds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Name of the fleet; datagrams of another one are dropped.
    pub fleet: String,
    /// Secret that authenticates the fleet's datagrams, in bytes.
    pub key: Vec<u8>,
    /// How often a member probes another.
    pub probe_period: Nanos,
    /// How long a direct probe waits before others are asked to probe; below the probe period.
    pub probe_rtt: Nanos,
    /// Suspicion time in probe periods: a suspect that does not refute it is declared down.
    pub suspicion_multiplier: u32,
    /// Largest body of a datagram, in bytes. Bodies of gossip may be shorter, see
    /// [`Settings::bytes_per_second`].
    pub packet_max: usize,
    /// Fleet size that the dissemination is tuned for: updates are sent about 4 log10(n + 1) times.
    pub expected_members: u32,
    /// How often a member gossips to three others.
    pub gossip_period: Nanos,
    /// How often a member announces itself to another again, and compares its view with another's.
    pub announce_period: Nanos,
    /// Bytes that the view's own datagrams take in any second, shared state not counted. Gossip in full
    /// packets takes half of them. Gossip and lists of members wait for capacity; probes, their answers and
    /// verdicts do not.
    pub bytes_per_second: u64,
}

/// A setting that cannot be used. The text begins with the field's name, in hyphens; periods are in
/// nanoseconds. The attributes of the options file have units in their names (`probe-period-ms`).
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum SettingsError {
    /// The fleet's name is empty or too long.
    #[error("fleet: a name of 1 to {NAME_BYTES_MAX} bytes, not {bytes}")]
    Fleet {
        /// Length of the name given.
        bytes: usize,
    },
    /// The key is too short.
    #[error("key: at least {KEY_BYTES_MIN} bytes, not {bytes}")]
    Key {
        /// Length of the key given.
        bytes: usize,
    },
    /// Probes follow too fast on each other.
    #[error("probe-period: at least 10 ms, not {given} ns")]
    ProbePeriod {
        /// The period given, in nanoseconds.
        given: Nanos,
    },
    /// The wait for a direct probe is zero or not below the probe period.
    #[error("probe-rtt: above 0 and under the probe period of {probe_period} ns, not {given} ns")]
    ProbeRtt {
        /// The wait given, in nanoseconds.
        given: Nanos,
        /// The probe period, in nanoseconds.
        probe_period: Nanos,
    },
    /// The suspicion is too short or too long.
    #[error("suspicion-multiplier: 1 to {SUSPICION_MULTIPLIER_MAX}, not {given}")]
    SuspicionMultiplier {
        /// The multiplier given.
        given: u32,
    },
    /// The body of a datagram is too short or too long.
    #[error("packet-max: 256 to 65,445 bytes, not {given}")]
    PacketMax {
        /// The size given, in bytes.
        given: usize,
    },
    /// A second has no capacity for a few full datagrams.
    #[error("bytes-a-second: {least} at least with packets of {packet_max}, not {given}")]
    BytesPerSecond {
        /// The bound given, in bytes.
        given: u64,
        /// The least bound with datagrams of this size.
        least: u64,
        /// Largest body of a datagram, in bytes.
        packet_max: usize,
    },
    /// A fleet of no member, or a period of no time.
    #[error(
        "expected-members, gossip-period and announce-period: above 0, not {expected_members}, \
         {gossip_period} ns and {announce_period} ns"
    )]
    Zero {
        /// Members given.
        expected_members: u32,
        /// Gossip period given, in nanoseconds.
        gossip_period: Nanos,
        /// Announce period given, in nanoseconds.
        announce_period: Nanos,
    },
}

impl Settings {
    /// Defaults for a fleet on one network: a probe a second, suspicion of four periods.
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

    /// Suspicion time in nanoseconds: probe period times multiplier.
    pub fn suspicion(&self) -> Nanos {
        self.probe_period.saturating_mul(self.suspicion_multiplier as u64)
    }

    /// The first setting that cannot be used, if there is one.
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
            return Err(SettingsError::ProbePeriod { given: probe_period });
        }
        if probe_rtt == 0 || probe_rtt >= probe_period {
            return Err(SettingsError::ProbeRtt { given: probe_rtt, probe_period });
        }
        if !(1..=SUSPICION_MULTIPLIER_MAX).contains(&self.suspicion_multiplier) {
            return Err(SettingsError::SuspicionMultiplier { given: self.suspicion_multiplier });
        }
        Ok(())
    }

    fn check_datagrams(&self) -> Result<(), SettingsError> {
        let packet_max = self.packet_max;
        if !(PACKET_BYTES_MIN..=PACKET_BYTES_MAX).contains(&packet_max) {
            return Err(SettingsError::PacketMax { given: packet_max });
        }
        let least = (PACKETS_PER_SECOND_MIN * (packet_max + ENVELOPE_BYTES)) as u64;
        if self.bytes_per_second < least {
            return Err(SettingsError::BytesPerSecond { given: self.bytes_per_second, least, packet_max });
        }
        Ok(())
    }

    /// Longest body of gossip, probes and their answers, in bytes: so short that gossip in full packets takes
    /// half of the bytes of a second and leaves the other half to probes and lists of members.
    pub(crate) fn gossip_packet_bytes(&self) -> usize {
        let packets_per_second = GOSSIP_MEMBERS as u64 * SECOND_NS.div_ceil(self.gossip_period);
        let datagram_bytes = (self.bytes_per_second / (2 * packets_per_second)) as usize;
        datagram_bytes.saturating_sub(ENVELOPE_BYTES).clamp(PACKET_BYTES_MIN, self.packet_max)
    }

    pub(crate) fn foca(&self) -> Config {
        let decades = (f64::from(self.expected_members) + 1.0).log10();
        let transmissions = (TRANSMISSIONS_PER_LOG10 * decades).ceil().clamp(1.0, 255.0) as u8;
        let forget_after = self.suspicion().saturating_mul(FORGET_SUSPICIONS);
        Config {
            probe_period: Duration::from_nanos(self.probe_period),
            probe_rtt: Duration::from_nanos(self.probe_rtt),
            num_indirect_probes: count(INDIRECT_PROBES),
            max_transmissions: NonZeroU8::new(transmissions).expect("clamped to 1 at least"),
            suspect_to_down_after: Duration::from_nanos(self.suspicion()),
            remove_down_after: Some(Duration::from_nanos(forget_after)),
            max_packet_size: count(self.gossip_packet_bytes()),
            notify_down_members: true,
            periodic_announce: periodic(self.announce_period, ANNOUNCE_MEMBERS),
            periodic_announce_to_down_members: periodic(self.announce_period, ANNOUNCE_DOWN_MEMBERS),
            periodic_gossip: periodic(self.gossip_period, GOSSIP_MEMBERS),
        }
    }
}

fn count(value: usize) -> NonZeroUsize {
    NonZeroUsize::new(value).expect("constants and checked sizes are above 0")
}

fn periodic(period: Nanos, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency: Duration::from_nanos(period), num_members: count(members) })
}
