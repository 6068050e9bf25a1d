//! Schedule of the events in the simulated day.

use super::DayScale;
use crate::scale::{FAILURES_PER_DAY, RACK_DOWN_NS, RESTARTS_PER_DAY, SECOND_NS};
use meadowstream_replication::simulation::EventQueue;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;

/// Number of configuration changes proposed in a day.
pub const CHANGES: usize = 790;

/// An event of the simulated day.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A configuration change is proposed. The value is the number of the change, counted from 0 at the start
    /// of the day.
    Change(usize),
    /// A random server restarts.
    Restart,
    /// A random server fails. Its replacement starts with an empty disk.
    Fail,
    /// A server starts again after a restart, or the replacement of a failed server starts. The value is the
    /// index of the server.
    ServerReturned(usize),
    /// All servers of a rack stop.
    RackLost,
    /// All servers of the failed rack start again.
    RackReturned,
    /// A network partition between one zone and the other zones begins.
    ZoneCut,
    /// A network partition between one region and the other regions begins.
    RegionCut,
    /// The current network partition ends.
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
    // The failed rack is down for [`RACK_DOWN_NS`], or for 6% of the day if 6% of the day is shorter.
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
