//! What happens in the course of the day, and when.

use super::DayScale;
use crate::scale::{FAILURES_PER_DAY, RACK_DOWN_NS, RESTARTS_PER_DAY, SECOND_NS};
use meadowstream_replication::simulation::EventQueue;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::Rng;

/// Changes of the configuration in a day.
pub const CHANGES: usize = 790;

/// Something that happens to the fleet.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A change is proposed; its number in the day.
    Change(usize),
    /// A server is restarted.
    Restart,
    /// A server fails and loses its disk.
    Fail,
    /// A server that was restarted, or the replacement of one that failed, is back.
    ServerReturned(usize),
    /// All servers of a rack stop.
    RackLost,
    /// They start again.
    RackReturned,
    /// A zone is cut from the rest.
    ZoneCut,
    /// A region is cut from the rest.
    RegionCut,
    /// All cuts end.
    Heal,
    /// All control machines stop.
    ControlLost,
    /// They start again.
    ControlReturned,
}

/// The events of the day, by nanoseconds from its start.
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
    // In a short day the rack is away for 6% of it.
    let rack_lost = RACK_DOWN_NS.min(60 * (tenth / 100));
    events.push(tenth, Event::RackLost);
    events.push(tenth + rack_lost, Event::RackReturned);
    events.push(3 * tenth, Event::ZoneCut);
    events.push(3 * tenth + scale.zone_cut_seconds * SECOND_NS, Event::Heal);
    events.push(5 * tenth, Event::RegionCut);
    events.push(5 * tenth + scale.region_cut_seconds * SECOND_NS, Event::Heal);
    events.push(8 * tenth, Event::ControlLost);
    events.push(8 * tenth + scale.control_down_seconds * SECOND_NS, Event::ControlReturned);
    events
}
