//! Frames of the wire, decoded field by field and encoded record by record.

use anyhow::{Context, Result, bail, ensure};
use meadowstream_overload_control::{Host, Nanos, Outcome};
use std::io::Read;

const HEADER: usize = 16;
const EVENT: usize = 56;
const ACTION: usize = 16;
const FRAME_MAX: usize = 1 << 30;

/// One batch; its buffer is used again for the next.
#[derive(Default)]
pub struct Batch {
    frame: Vec<u8>,
    pub count: usize,
    pub clock: Nanos,
}

impl Batch {
    /// Reads the next batch; false at a clean end of input.
    pub fn read(&mut self, input: &mut impl Read) -> Result<bool> {
        let mut header = [0; HEADER];
        let mut got = 0;
        while got < HEADER {
            match input.read(&mut header[got..]).context("reading a batch")? {
                0 if got == 0 => return Ok(false),
                0 => bail!("batch header cut off after {got} bytes"),
                n => got += n,
            }
        }
        self.decode_header(&header)?;
        let body = &mut self.frame[HEADER..];
        input.read_exact(body).with_context(|| format!("batch of {} bytes cut off", body.len() + HEADER))?;
        Ok(true)
    }

    fn decode_header(&mut self, header: &[u8; HEADER]) -> Result<()> {
        let field = |at: usize| u32::from_le_bytes(header[at..at + 4].try_into().expect("four bytes"));
        self.count = field(0) as usize;
        let len = field(4) as usize;
        let micros = u64::from_le_bytes(header[8..].try_into().expect("eight bytes"));
        self.clock = micros.checked_mul(1000).with_context(|| format!("clock {micros} is out of range"))?;
        ensure!(len <= FRAME_MAX, "batch of {len} bytes is too long");
        let records = HEADER + self.count * EVENT;
        ensure!(len >= records, "batch of {len} bytes cannot hold {} records", self.count);
        self.frame.clear();
        self.frame.resize(len, 0);
        Ok(())
    }

    pub fn event(&self, i: usize) -> Event<'_> {
        let start = HEADER + i * EVENT;
        Event { record: &self.frame[start..start + EVENT], tail: &self.frame[HEADER + self.count * EVENT..] }
    }
}

/// One event record; offsets are those of the wire page.
#[derive(Clone, Copy)]
pub struct Event<'a> {
    record: &'a [u8],
    tail: &'a [u8],
}

impl<'a> Event<'a> {
    fn bytes<const N: usize>(&self, at: usize) -> [u8; N] {
        self.record[at..at + N].try_into().expect("a field lies inside its record")
    }

    pub fn u8(&self, at: usize) -> u8 {
        self.record[at]
    }

    pub fn u16(&self, at: usize) -> u16 {
        u16::from_le_bytes(self.bytes(at))
    }

    pub fn u32(&self, at: usize) -> u32 {
        u32::from_le_bytes(self.bytes(at))
    }

    pub fn u64(&self, at: usize) -> u64 {
        u64::from_le_bytes(self.bytes(at))
    }

    pub fn number(&self, at: usize) -> Result<f64> {
        let number = f32::from_le_bytes(self.bytes(at));
        ensure!(number.is_finite(), "field at {at}: {number} is no number");
        Ok(f64::from(number))
    }

    pub fn span(&self, at: usize) -> Nanos {
        u64::from(self.u32(at)) * 1000
    }

    pub fn text(&self, at: usize) -> Result<&'a str> {
        let (offset, len) = (self.u32(at) as usize, self.u32(at + 4) as usize);
        let end = offset.checked_add(len).filter(|end| *end <= self.tail.len());
        let end = end.with_context(|| format!("text at {offset}+{len} lies outside the tail"))?;
        std::str::from_utf8(&self.tail[offset..end]).context("text is not UTF-8")
    }

    pub fn ending(&self, at: usize) -> Result<Outcome> {
        Ok(match self.u16(at) {
            0 => Outcome::Succeeded,
            255 => Outcome::Failed,
            254 | 252 | 249 => Outcome::NeverRan,
            253 | 251 => Outcome::Unknown,
            250 => Outcome::Cancelled,
            other => bail!("unknown outcome {other}"),
        })
    }
}

/// The reply under way. As a [`Host`] it turns results into records of the instance that speaks.
#[derive(Default)]
pub struct Reply {
    records: Vec<u8>,
    tail: Vec<u8>,
    speaking: Option<u16>,
    spoken: Option<u16>,
}

impl Reply {
    pub fn speaks(&mut self, instance: u16) {
        self.speaking = Some(instance);
    }

    /// The frame so far; the next one starts empty.
    pub fn finish(&mut self, out: &mut Vec<u8>) {
        let (len, count) = (8 + self.records.len() + self.tail.len(), self.records.len() / ACTION);
        out.clear();
        out.extend_from_slice(&(len as u32).to_le_bytes());
        out.extend_from_slice(&(count as u32).to_le_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        self.records.clear();
        self.tail.clear();
        (self.speaking, self.spoken) = (None, None);
    }

    fn put(&mut self, code: u8, fields: &[&[u8]]) {
        if self.spoken != self.speaking {
            self.spoken = self.speaking;
            let speaker = self.speaking.expect("an instance speaks").to_le_bytes();
            self.record(90, &[&speaker]);
        }
        self.record(code, fields);
    }

    fn record(&mut self, code: u8, fields: &[&[u8]]) {
        let start = self.records.len();
        self.records.push(code);
        fields.iter().for_each(|field| self.records.extend_from_slice(field));
        self.records.resize(start + ACTION, 0);
    }
}

/// Whole microseconds, rounded up, so that nothing comes due before its time.
fn micros(span: Nanos) -> [u8; 4] {
    u32::try_from(span.div_ceil(1000)).unwrap_or(u32::MAX).to_le_bytes()
}

impl Host for Reply {
    fn start_run(&mut self, inv: u64) {
        self.put(110, &[&inv.to_le_bytes()]);
    }

    fn stop_run(&mut self, inv: u64) {
        self.put(140, &[&inv.to_le_bytes()]);
    }

    fn reject(&mut self, inv: u64, no_retry: bool, retry_after: Nanos) {
        self.put(40, &[&inv.to_le_bytes(), &[u8::from(no_retry)], &micros(retry_after)]);
    }

    fn fail(&mut self, inv: u64) {
        self.put(70, &[&inv.to_le_bytes()]);
    }

    fn start_call(&mut self, inv: u64, timeout: Nanos) {
        self.put(160, &[&inv.to_le_bytes(), &micros(timeout)]);
    }

    fn skip_call(&mut self, inv: u64) {
        self.put(100, &[&inv.to_le_bytes()]);
    }

    fn remember_key(&mut self, inv: u64, life: Nanos) {
        self.put(30, &[&inv.to_le_bytes(), &micros(life)]);
    }

    fn forget_key(&mut self, inv: u64) {
        self.put(60, &[&inv.to_le_bytes()]);
    }

    fn replay_result(&mut self, inv: u64) {
        self.put(150, &[&inv.to_le_bytes()]);
    }

    fn set_health(&mut self, good: bool, stored: bool) {
        self.put(130, &[&[u8::from(good), u8::from(stored)]]);
    }

    fn advertise_load(&mut self, value: f64) {
        self.put(80, &[&(value as f32).to_le_bytes()]);
    }

    fn close_idle_connections(&mut self, after: Nanos) {
        self.put(120, &[&micros(after)]);
    }

    fn set_timer(&mut self, after: Nanos, token: u32) {
        self.put(20, &[&micros(after), &token.to_le_bytes()]);
    }

    fn log(&mut self, line: &str) {
        let offset = self.tail.len() as u32;
        self.tail.extend_from_slice(line.as_bytes());
        self.put(10, &[&offset.to_le_bytes(), &(line.len() as u32).to_le_bytes()]);
    }
}

#[cfg(test)]
mod tests;
