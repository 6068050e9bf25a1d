//! The reply to a batch of events. It contains records of the actions that the instances' controllers have
//! decided.

use meadowstream_overload_control::{Host, Nanos};

/// Length of the header of a reply, in bytes.
const HEADER_BYTES: usize = 8;
/// Length of each action record in a reply, in bytes.
const RECORD_BYTES: usize = 16;
const NS_PER_US: u64 = 1_000;

/// Codes of action records.
mod code {
    pub const LOG: u8 = 10;
    pub const SET_TIMER: u8 = 20;
    pub const REMEMBER_KEY: u8 = 30;
    pub const REJECT: u8 = 40;
    pub const FORGET_KEY: u8 = 60;
    pub const FAIL: u8 = 70;
    pub const ADVERTISE_LOAD: u8 = 80;
    /// Code of a record that is not an action. The record selects the instance (simulated server) that the
    /// following action records belong to.
    pub const INSTANCE: u8 = 90;
    pub const SKIP_CALL: u8 = 100;
    pub const START_RUN: u8 = 110;
    pub const CLOSE_IDLE_CONNECTIONS: u8 = 120;
    pub const SET_HEALTH: u8 = 130;
    pub const STOP_RUN: u8 = 140;
    pub const REPLAY_RESULT: u8 = 150;
    pub const START_CALL: u8 = 160;
}

/// Collects the actions for the reply to one batch. The controllers use this type as their [`Host`]. Each
/// action is recorded for the selected instance.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    /// Number of the selected instance, to which the next actions belong.
    selected: Option<u16>,
    /// Number of the instance that the last [`code::INSTANCE`] record of the reply selects; `None` if there
    /// is no such record yet.
    recorded: Option<u16>,
}

impl Reply {
    /// Selects the instance to which the next actions belong.
    pub fn select_instance(&mut self, instance: u16) {
        self.selected = Some(instance);
    }

    /// Writes the reply into `out` as a frame, replacing the content of `out`. Then clears the reply for the
    /// next batch.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        let bytes = HEADER_BYTES + self.records.len() + self.tail.len();
        let count = self.records.len() / RECORD_BYTES;
        out.clear();
        out.extend_from_slice(&(bytes as u32).to_le_bytes());
        out.extend_from_slice(&(count as u32).to_le_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        self.records.clear();
        self.tail.clear();
        (self.selected, self.recorded) = (None, None);
    }

    /// Adds an action of the selected instance. If this is the reply's first action, or the previous action
    /// belongs to another instance, first adds a record that selects the instance.
    fn push(&mut self, code: u8, fields: &[&[u8]]) {
        if self.recorded != self.selected {
            self.recorded = self.selected;
            let instance =
                self.selected.expect("an instance is selected before its controller is called").to_le_bytes();
            self.push_record(code::INSTANCE, &[&instance]);
        }
        self.push_record(code, fields);
    }

    /// Adds a record of fixed length. The record contains its code and then its fields without gaps. The rest
    /// is filled with zeros.
    fn push_record(&mut self, code: u8, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        for field in fields {
            self.records.extend_from_slice(field);
        }
        self.records.resize(start + RECORD_BYTES, 0);
    }
}

/// Converts a duration to whole microseconds. Rounds up, so that no timer or time limit expires early. The
/// protocol's maximum is [`u32::MAX`] microseconds (71 minutes). A longer duration is reduced to this
/// maximum.
fn micros(duration: Nanos) -> [u8; 4] {
    u32::try_from(duration.div_ceil(NS_PER_US)).unwrap_or(u32::MAX).to_le_bytes()
}

impl Host for Reply {
    fn start_run(&mut self, invocation: u64) {
        self.push(code::START_RUN, &[&invocation.to_le_bytes()]);
    }

    fn stop_run(&mut self, invocation: u64) {
        self.push(code::STOP_RUN, &[&invocation.to_le_bytes()]);
    }

    fn reject(&mut self, invocation: u64, no_retry: bool, retry_after: Nanos) {
        let id = invocation.to_le_bytes();
        self.push(code::REJECT, &[&id, &[u8::from(no_retry)], &micros(retry_after)]);
    }

    fn fail(&mut self, invocation: u64) {
        self.push(code::FAIL, &[&invocation.to_le_bytes()]);
    }

    fn start_call(&mut self, invocation: u64, timeout: Nanos) {
        self.push(code::START_CALL, &[&invocation.to_le_bytes(), &micros(timeout)]);
    }

    fn skip_call(&mut self, invocation: u64) {
        self.push(code::SKIP_CALL, &[&invocation.to_le_bytes()]);
    }

    fn remember_key(&mut self, invocation: u64, lifetime: Nanos) {
        self.push(code::REMEMBER_KEY, &[&invocation.to_le_bytes(), &micros(lifetime)]);
    }

    fn forget_key(&mut self, invocation: u64) {
        self.push(code::FORGET_KEY, &[&invocation.to_le_bytes()]);
    }

    fn replay_result(&mut self, invocation: u64) {
        self.push(code::REPLAY_RESULT, &[&invocation.to_le_bytes()]);
    }

    fn set_health(&mut self, healthy: bool, cached: bool) {
        self.push(code::SET_HEALTH, &[&[u8::from(healthy), u8::from(cached)]]);
    }

    fn advertise_load(&mut self, load: f64) {
        self.push(code::ADVERTISE_LOAD, &[&(load as f32).to_le_bytes()]);
    }

    fn close_idle_connections(&mut self, after: Nanos) {
        self.push(code::CLOSE_IDLE_CONNECTIONS, &[&micros(after)]);
    }

    fn set_timer(&mut self, after: Nanos, timer: u32) {
        self.push(code::SET_TIMER, &[&micros(after), &timer.to_le_bytes()]);
    }

    fn log(&mut self, line: &str) {
        let (offset, len) = (self.tail.len() as u32, line.len() as u32);
        self.tail.extend_from_slice(line.as_bytes());
        self.push(code::LOG, &[&offset.to_le_bytes(), &len.to_le_bytes()]);
    }
}
