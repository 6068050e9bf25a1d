//! Schedule of the events in the simulated day.

use super::DayScale;
use crate::scale::{FAILURES_PER_DAY, RACK_DOWN_NS, RESTARTS_PER_DAY, SECOND_NS};
use meadowstream_replication::simulation::EventQueue;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;

/// Number of configuration changes in a day.
pub const CHANGES: usize = 790;

/// An event of the simulated day.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A configuration change is proposed. The field is the number of the change in the day, from 0.
    Change(usize),
    /// A random server restarts.
    Restart,
    /// A random server fails and loses its disk.
    Fail,
    /// A restarted server, or the replacement of a failed one, starts. The field is the index of the server.
    ServerReturned(usize),
    /// All servers of a rack stop.
    RackLost,
    /// All servers of the rack start again.
    RackReturned,
    /// A network partition separates one zone from the others.
    ZoneCut,
    /// A network partition separates one region from the others.
    RegionCut,
    /// The network partition of a zone or a region ends.
    Heal,
    /// All control machines stop.
    ControlLost,
    /// All control machines start again.
    ControlReturned,
}

/// Returns all events of the day, each with its time in nanoseconds since the start of the day.
pub(super) fn schedule(scale: &DayScale, rng: &mut ChaCha8Rng) -> EventQueue<Event> {
    let day = scale.day_seconds * SECOND_NS;
    let mut events = EventQueue::default();
    for change in 0..CHANGES {
        events.push(rng.next_u64() % day, Event::Change(change));
    }
    for _ in 0..RESTARTS_PER_DAY {
        events.push(rng.next_u64() % day, Event::Restart);
    }
    for _ in 0..FAILURES_PER_DAY {
        events.push(rng.next_u64() % day, Event::Fail);
    }
    let tenth = day / 10;
    // In a shortened day, the rack is down for at most 6% of the day, instead of [`RACK_DOWN_NS`].
    let rack_down = RACK_DOWN_NS.min(60 * (tenth / 100));
    events.push(tenth, Event::RackLost);
    events.push(tenth + rack_down, Event::RackReturned);
    events.push(3 * tenth, Event::ZoneCut);
    events.push(3 * tenth + scale.zone_cut_seconds * SECOND_NS, Event::Heal);
    events.push(5 * tenth, Event::RegionCut);
    events.push(5 * tenth + scale.region_cut_seconds * SECOND_NS, Event::Heal);
    events.push(8 * tenth, Event::ControlLost);
    events.push(8 * tenth + scale.control_down_seconds * SECOND_NS, Event::ControlReturned);
    events
}
