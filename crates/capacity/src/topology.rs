//! Assigns servers to regions, zones and racks, and defines the network delays between them.

use meadowstream_membership::Nanos;
use meadowstream_replication::simulation::Delay;

/// Number of servers in one rack. The servers of a rack share a network switch.
pub const RACK_SERVERS: usize = 23;
/// Number of regions.
pub const REGIONS: usize = 3;
/// Total number of zones in all regions.
pub const ZONES: usize = 10;
/// Index of the region that is cut off when the network partition of a region is simulated.
pub(crate) const CUT_REGION: usize = 2;
/// Index of the zone that is cut off when the network partition of a zone is simulated.
pub(crate) const CUT_ZONE: usize = 9;

const MICROSECOND_NS: Nanos = 1_000;
const MILLISECOND_NS: Nanos = 1_000_000;
/// Minimum one-way network delay between servers of one zone, in nanoseconds. The value is an estimate.
const SAME_ZONE_NS: Nanos = 250 * MICROSECOND_NS;
/// Minimum one-way network delay between two zones of one region, in nanoseconds. The value is an estimate.
const SAME_REGION_NS: Nanos = MILLISECOND_NS;
/// Minimum one-way network delay between two regions, in nanoseconds. The value is an estimate.
const BETWEEN_REGIONS_NS: Nanos = 40 * MILLISECOND_NS;
/// Divisor for the maximum jitter of a network delay. The maximum jitter is the minimum delay divided by this
/// number.
const JITTER_DIVISOR: u64 = 2;

/// Region, zone and rack of one server. Servers are assigned to zones round-robin, and zones to regions
/// round-robin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    /// Index of the region, from 0.
    pub region: usize,
    /// Index of the zone, from 0. Zones of different regions have different indexes.
    pub zone: usize,
    /// Index of the rack, from 0. Racks of different zones have different indexes.
    pub rack: usize,
}

impl Place {
    /// Returns the location of the server with this index.
    pub fn of(server: usize) -> Place {
        let zone = server % ZONES;
        Place { region: zone % REGIONS, zone, rack: zone + ZONES * (server / ZONES / RACK_SERVERS) }
    }

    /// Returns the name by which the settings identify this zone.
    pub fn zone_name(&self) -> String {
        format!("zone-{}", self.zone)
    }

    /// Returns the name by which the settings identify this region.
    pub fn region_name(&self) -> String {
        format!("region-{}", self.region)
    }
}

/// Returns the one-way network delay between two servers, as a minimum delay and a maximum jitter.
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
