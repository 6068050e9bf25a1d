//! Where servers stand: regions, zones in them, racks in zones, and how long a datagram takes between two.

use meadowstream_membership::Nanos;

/// Servers of one rack or behind one switch.
pub const RACK_SERVERS: usize = 23;
pub const REGIONS: usize = 3;
pub const ZONES: usize = 10;

const MICROSECOND: Nanos = 1_000;
const MILLISECOND: Nanos = 1_000_000;
/// One-way delays, estimates of ours: within a zone, a region, and between regions.
const SAME_ZONE: Nanos = 250 * MICROSECOND;
const SAME_REGION: Nanos = MILLISECOND;
const BETWEEN_REGIONS: Nanos = 40 * MILLISECOND;
/// Most that is added at random, as a part of the delay.
const JITTER_PARTS: u64 = 2;

/// Where one server stands. Servers are dealt to zones in turn, and zones to regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub region: usize,
    pub zone: usize,
    pub rack: usize,
}

impl Place {
    pub fn of(server: usize) -> Place {
        let zone = server % ZONES;
        Place { region: zone % REGIONS, zone, rack: zone + ZONES * (server / ZONES / RACK_SERVERS) }
    }

    pub fn zone_name(&self) -> String {
        format!("zone-{}", self.zone)
    }

    pub fn region_name(&self) -> String {
        format!("region-{}", self.region)
    }
}

/// The least one-way delay between two servers, and the most that is added to it at random.
pub fn delay(from: Place, to: Place) -> (Nanos, Nanos) {
    let least = if from.zone == to.zone {
        SAME_ZONE
    } else if from.region == to.region {
        SAME_REGION
    } else {
        BETWEEN_REGIONS
    };
    (least, least / JITTER_PARTS)
}
