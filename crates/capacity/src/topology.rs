//! Where servers are: regions, zones in them, racks in zones, and how long a datagram takes between two.

use meadowstream_membership::Nanos;
use meadowstream_replication::simulation::Delay;

/// Servers of one rack, behind one switch.
pub const RACK_SERVERS: usize = 23;
/// Regions of the fleet.
pub const REGIONS: usize = 3;
/// Zones of all regions together.
pub const ZONES: usize = 10;
/// The region and the zone that incidents cut off.
pub(crate) const CUT_REGION: usize = 2;
pub(crate) const CUT_ZONE: usize = 9;

const MICROSECOND_NS: Nanos = 1_000;
const MILLISECOND_NS: Nanos = 1_000_000;
/// Least one-way delays. They are estimates.
const SAME_ZONE_NS: Nanos = 250 * MICROSECOND_NS;
const SAME_REGION_NS: Nanos = MILLISECOND_NS;
const BETWEEN_REGIONS_NS: Nanos = 40 * MILLISECOND_NS;
/// The jitter is at most the delay over this.
const JITTER_DIVISOR: u64 = 2;

/// Where one server is. Servers are dealt to zones in turn, and zones to regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// The region, from 0.
    pub region: usize,
    /// The zone, from 0, counted over all regions.
    pub zone: usize,
    /// The rack, counted over all zones.
    pub rack: usize,
}

impl Place {
    /// Where a server is, by its index.
    pub fn of(server: usize) -> Place {
        let zone = server % ZONES;
        Place { region: zone % REGIONS, zone, rack: zone + ZONES * (server / ZONES / RACK_SERVERS) }
    }

    /// The zone's name in settings.
    pub fn zone_name(&self) -> String {
        format!("zone-{}", self.zone)
    }

    /// The region's name in settings.
    pub fn region_name(&self) -> String {
        format!("region-{}", self.region)
    }
}

/// The one-way delay between two servers.
pub fn delay(from: Place, to: Place) -> Delay {
    let least = if from.zone == to.zone {
        SAME_ZONE_NS
    } else if from.region == to.region {
        SAME_REGION_NS
    } else {
        BETWEEN_REGIONS_NS
    };
    Delay { least, jitter: least / JITTER_DIVISOR }
}
