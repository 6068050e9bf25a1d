//! Events, decoded from records.

use super::{EventError, Record};
use meadowstream_overload_control::{Arrival, Nanos, Outcome};

/// Codes of event records.
pub mod code {
    pub const STARTED: u8 = 10;
    pub const ARRIVED: u8 = 20;
    pub const RUN_FINISHED: u8 = 30;
    pub const CALL_NEEDED: u8 = 40;
    pub const CALL_FINISHED: u8 = 50;
    pub const DRAIN_NOTICE: u8 = 60;
    pub const CALLER_GONE: u8 = 70;
    pub const TIMER: u8 = 80;
    pub const ENDED: u8 = 90;
    /// Code of a record that is not an event. The record selects the instance (simulated server) that the
    /// following event records refer to.
    pub const INSTANCE: u8 = 100;
}

/// Offsets of the fields in an event record, in bytes. Offset 0 contains the code of the record.
mod offset {
    pub const INSTANCE: usize = 1;
    pub const SEED: usize = 1;
    pub const SETTINGS: usize = 9;
    /// Offset of the invocation's identifier. Applies to the records of all events that concern an
    /// invocation.
    pub const ID: usize = 1;
    pub const OUTCOME: usize = 9;
    /// Offset of the call's duration. Applies to records that report the end of a downstream call.
    pub const CALL_DURATION: usize = 11;
    pub const DRAIN_GRACE: usize = 1;
    pub const TIMER: usize = 1;
    pub const GAUGE_COUNT: usize = 5;
    pub const GAUGES: usize = 6;
    pub const GAUGE_BYTES: usize = 4;

    /// Offsets of the fields in the record of an arrival, in bytes.
    pub mod arrival {
        pub const AGE: usize = 9;
        pub const REPEATS: usize = 13;
        pub const REMAINING_DEADLINE: usize = 21;
        pub const FLAGS: usize = 25;
        pub const COST_HINT: usize = 30;
        pub const HELD_KB: usize = 38;
        pub const TENANT: usize = 42;
        pub const OPERATION: usize = 46;
    }
}

/// Codes for the outcome of a run or of a downstream call. Several codes may stand for the same outcome.
mod outcome_code {
    pub const SUCCEEDED: u16 = 0;
    pub const NEVER_RAN: [u16; 3] = [249, 252, 254];
    pub const CANCELLED: u16 = 250;
    pub const UNKNOWN: [u16; 2] = [251, 253];
    pub const FAILED: u16 = 255;
}

/// Bit in the flags of an arrival: the record contains a cost hint. A cost hint is the caller's estimate of
/// the core time that the invocation needs.
const HAS_COST_HINT: u8 = 1;
/// Bit in the flags of an arrival: the caller has marked the request as a retry.
const IS_MARKED_RETRY: u8 = 2;

/// Maximum number of gauge readings in a timer event. A record has space for more, but the protocol does not
/// allow them, so a record with more is rejected.
const GAUGES_MAX: usize = 4;

/// Gauge readings in a timer event, in the order in which the settings list the gauges.
#[derive(Clone, Copy)]
pub struct GaugeReadings<'a> {
    record: Record<'a>,
    count: usize,
}

impl GaugeReadings<'_> {
    /// Returns the reading of the gauge with the given index. Returns `None` if the event has no reading for
    /// this index, and an error if the reading is not a finite number.
    pub fn get(&self, index: usize) -> Result<Option<f64>, EventError> {
        if index >= self.count {
            return Ok(None);
        }
        self.record.number(offset::GAUGES + offset::GAUGE_BYTES * index).map(Some)
    }
}

/// An event of one instance.
pub enum Event<'a> {
    /// The instance starts.
    Started { seed: u64, settings: &'a str },
    /// An invocation arrived.
    Arrived { arrival: Arrival },
    /// A run has finished.
    RunFinished { id: u64, outcome: Outcome },
    /// The run of the invocation `id` now needs to call the downstream service.
    CallNeeded { id: u64 },
    /// A call to the downstream service has finished. `duration` is the duration of the call, in nanoseconds.
    CallFinished { id: u64, outcome: Outcome, duration: Nanos },
    /// The server was notified that it will be stopped after the time `grace`, in nanoseconds.
    DrainNotice { grace: Nanos },
    /// The caller of the invocation no longer waits for the answer.
    CallerGone { id: u64 },
    /// A timer has fired.
    Timer { timer: u32, gauges: GaugeReadings<'a> },
    /// The instance ends.
    Ended,
}

impl<'a> Event<'a> {
    /// Decodes the event in a record. The record must not have the code [`code::INSTANCE`], which is not an
    /// event.
    pub fn decode(record: Record<'a>) -> Result<Self, EventError> {
        let id = record.u64(offset::ID);
        Ok(match record.code() {
            code::STARTED => {
                Self::Started { seed: record.u64(offset::SEED), settings: record.text(offset::SETTINGS)? }
            }
            code::ARRIVED => Self::Arrived { arrival: arrival(record)? },
            code::RUN_FINISHED => Self::RunFinished { id, outcome: outcome(record)? },
            code::CALL_NEEDED => Self::CallNeeded { id },
            code::CALL_FINISHED => Self::CallFinished {
                id,
                outcome: outcome(record)?,
                duration: record.duration(offset::CALL_DURATION),
            },
            code::DRAIN_NOTICE => Self::DrainNotice { grace: record.duration(offset::DRAIN_GRACE) },
            code::CALLER_GONE => Self::CallerGone { id },
            code::TIMER => Self::Timer { timer: record.u32(offset::TIMER), gauges: gauges(record)? },
            code::ENDED => Self::Ended,
            code => return Err(EventError::UnknownCode { code }),
        })
    }

    /// Returns the number of the instance that a record selects. The record must have the code
    /// [`code::INSTANCE`].
    pub fn instance(record: Record) -> u16 {
        record.u16(offset::INSTANCE)
    }
}

fn arrival(record: Record) -> Result<Arrival, EventError> {
    use offset::arrival::{AGE, COST_HINT, FLAGS, HELD_KB, OPERATION, REMAINING_DEADLINE, REPEATS, TENANT};
    let flags = record.u8(FLAGS);
    let (repeats, remaining_deadline) = (record.u64(REPEATS), record.duration(REMAINING_DEADLINE));
    let has_cost_hint = flags & HAS_COST_HINT != 0;
    Ok(Arrival {
        id: record.u64(offset::ID),
        age: record.duration(AGE),
        repeats: (repeats != 0).then_some(repeats),
        remaining_deadline: (remaining_deadline != 0).then_some(remaining_deadline),
        is_marked_retry: flags & IS_MARKED_RETRY != 0,
        cost_hint: has_cost_hint.then(|| record.duration(COST_HINT)),
        held_kb: record.number(HELD_KB)?,
        tenant: record.u32(TENANT) as usize,
        sender: None,
        key_not_stored: false,
        operation: usize::from(record.u8(OPERATION)),
    })
}

fn gauges(record: Record<'_>) -> Result<GaugeReadings<'_>, EventError> {
    let count = usize::from(record.u8(offset::GAUGE_COUNT));
    if count > GAUGES_MAX {
        return Err(EventError::TooManyGauges { count, max: GAUGES_MAX });
    }
    Ok(GaugeReadings { record, count })
}

pub(super) fn outcome(record: Record) -> Result<Outcome, EventError> {
    match record.u16(offset::OUTCOME) {
        outcome_code::SUCCEEDED => Ok(Outcome::Succeeded),
        outcome_code::FAILED => Ok(Outcome::Failed),
        outcome_code::CANCELLED => Ok(Outcome::Cancelled),
        code if outcome_code::NEVER_RAN.contains(&code) => Ok(Outcome::NeverRan),
        code if outcome_code::UNKNOWN.contains(&code) => Ok(Outcome::Unknown),
        code => Err(EventError::UnknownOutcome { code }),
    }
}
