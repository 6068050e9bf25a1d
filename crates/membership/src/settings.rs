//! What a member is told at its start, and what foca is given of it.

use crate::envelope::{DATAGRAM_BYTES_MAX, HEADER_BYTES, TAG_BYTES};
use crate::identity::NAME_BYTES_MAX;
use crate::{ENVELOPE_BYTES, GOSSIP_MEMBERS, Nanos};
use foca::Config;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

const SECOND: Nanos = 1_000_000_000;
/// By default more than a member of a thousand sends: the fleet has one view soonest. A smaller figure keeps
/// to a bound on the network's load, and one view of a large fleet takes longer.
pub const BYTES_A_SECOND: u64 = 200_000;
/// Smallest packet that holds the names of two members, and full ones that a second has to have room for.
const PACKET_LEAST: usize = 256;
const BYTES_LEAST_PACKETS: usize = 4;

/// Settings of the core, in whole nanoseconds. Bad values are refused by [`Settings::check`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    pub fleet: String,
    pub key: Vec<u8>,
    /// How often a member probes another.
    pub probe_period: Nanos,
    /// How long a direct probe waits before asking others to probe; under the period.
    pub probe_rtt: Nanos,
    /// A suspect is declared down after this many probe periods.
    pub suspicion_multiplier: u32,
    /// Largest body of a datagram in bytes; those of gossip are shorter, see [`Settings::bytes_per_second`].
    pub packet_max: usize,
    /// Fleet size that the dissemination is tuned for; updates are sent about 4 log10(n+1) times.
    pub expected_members: u32,
    /// How often each member gossips to three others, and how often it announces itself to one again.
    pub gossip_period: Nanos,
    pub announce_period: Nanos,
    /// Bytes that the view's own datagrams take in any second. Gossip in full packets takes half of them;
    /// gossip and members' lists wait where there is no room, probes, answers and verdicts do not. What
    /// carries shared state is not counted.
    pub bytes_per_second: u64,
}

impl Settings {
    /// Defaults for a fleet on one network: a probe a second, suspicion of four periods.
    pub fn lan(fleet: &str, key: &[u8]) -> Settings {
        Settings {
            fleet: fleet.to_string(),
            key: key.to_vec(),
            probe_period: 1_000_000_000,
            probe_rtt: 400_000_000,
            suspicion_multiplier: 4,
            packet_max: 1400,
            expected_members: 64,
            gossip_period: 200_000_000,
            announce_period: 10_000_000_000,
            bytes_per_second: BYTES_A_SECOND,
        }
    }

    /// Suspicion time: period times multiplier.
    pub fn suspicion(&self) -> Nanos {
        self.probe_period.saturating_mul(self.suspicion_multiplier as u64)
    }

    /// What is wrong, naming the setting; `Ok` where all may be used.
    pub fn check(&self) -> Result<(), String> {
        if self.fleet.is_empty() || self.fleet.len() > NAME_BYTES_MAX {
            return Err(format!("fleet: a name of 1 to {NAME_BYTES_MAX} bytes, not {}", self.fleet.len()));
        }
        if self.key.len() < 16 {
            return Err(format!("key: at least 16 bytes, not {}", self.key.len()));
        }
        if self.probe_period < 10_000_000 {
            return Err("probe-period: at least 10 ms".into());
        }
        if self.probe_rtt == 0 || self.probe_rtt >= self.probe_period {
            return Err("probe-rtt: above 0 and under the probe period".into());
        }
        if !(1..=60).contains(&self.suspicion_multiplier) {
            return Err("suspicion-multiplier: 1 to 60".into());
        }
        if !(PACKET_LEAST..=DATAGRAM_BYTES_MAX - HEADER_BYTES - TAG_BYTES).contains(&self.packet_max) {
            return Err("packet-max: 256 to 65,445 bytes".into());
        }
        let least = (BYTES_LEAST_PACKETS * (self.packet_max + ENVELOPE_BYTES)) as u64;
        if self.bytes_per_second < least {
            return Err(format!("bytes-a-second: {least} at least with packets of {}", self.packet_max));
        }
        if self.expected_members == 0 || self.gossip_period == 0 || self.announce_period == 0 {
            return Err("expected-members, gossip-period and announce-period: above 0".into());
        }
        Ok(())
    }

    /// Longest body of gossip, probes and their answers: half of the bytes of a second go to gossip where all
    /// its packets are full, and half to what else there is. Guards against a second in which gossip alone
    /// takes 22 kB a member, after a long cut of a large fleet; it may hurt how soon a large fleet joins.
    pub(crate) fn gossip_packet(&self) -> usize {
        let packets = GOSSIP_MEMBERS as u64 * SECOND.div_ceil(self.gossip_period);
        let full = (self.bytes_per_second / (2 * packets)) as usize;
        full.saturating_sub(ENVELOPE_BYTES).clamp(PACKET_LEAST, self.packet_max)
    }

    pub(crate) fn foca(&self) -> Config {
        let transmissions = (4.0 * ((self.expected_members as f64) + 1.0).log10()).ceil().clamp(1.0, 255.0);
        let periodic = |every: Nanos, members: usize| {
            Some(foca::PeriodicParams {
                frequency: Duration::from_nanos(every),
                num_members: NonZeroUsize::new(members).expect("above 0"),
            })
        };
        Config {
            probe_period: Duration::from_nanos(self.probe_period),
            probe_rtt: Duration::from_nanos(self.probe_rtt),
            num_indirect_probes: NonZeroUsize::new(3).expect("3"),
            max_transmissions: NonZeroU8::new(transmissions as u8).expect("above 0"),
            suspect_to_down_after: Duration::from_nanos(self.suspicion()),
            // Down members are forgotten after a while, so that memory stays bounded by the live fleet.
            remove_down_after: Some(Duration::from_nanos(self.suspicion().saturating_mul(30))),
            max_packet_size: NonZeroUsize::new(self.gossip_packet()).expect("above 0"),
            notify_down_members: true,
            periodic_announce: periodic(self.announce_period, 1),
            periodic_announce_to_down_members: periodic(self.announce_period, 2),
            periodic_gossip: periodic(self.gossip_period, GOSSIP_MEMBERS),
        }
    }
}
