//! The simulated servers, called instances. Each running instance has its own, isolated controller.

use crate::codec::{Batch, Event, EventError, GaugeReadings, Record, Reply, code};
use meadowstream_deployment_settings::{DeploymentSettings, SettingsError};
use meadowstream_overload_control::{Arrival, Gauges, Nanos, controller::Controller};
use thiserror::Error;

/// Error on handling an event.
#[derive(Debug, Error)]
pub enum InstanceError {
    #[error("event {code} for instance {instance}, which has not started")]
    NotStarted { code: u8, instance: u16 },
    #[error("unknown operation {operation}")]
    UnknownOperation { operation: usize },
    #[error("unknown tenant {tenant}")]
    UnknownTenant { tenant: usize },
    #[error(transparent)]
    Event(#[from] EventError),
    #[error(transparent)]
    Settings(#[from] SettingsError),
}

/// Error that occurs when a batch of events is handled. Contains the index of the record that caused the
/// error.
#[derive(Debug, Error)]
pub enum BatchError {
    #[error("record {index}: no instance was selected before")]
    NoInstance { index: usize },
    #[error("record {index}")]
    Record {
        index: usize,
        #[source]
        source: InstanceError,
    },
}

/// A simulated server: its controller, and the values that are needed to check and decode its events.
struct Instance {
    controller: Controller,
    /// Index of the gauge that reports the utilization of the CPU cores. The index is the position among the
    /// gauge readings of a timer event. `None` if no gauge reports the utilization.
    utilization_gauge: Option<usize>,
    /// Index of the gauge that reports the number of runnable threads. The index is the position among the
    /// gauge readings of a timer event. `None` if no gauge reports this number.
    runnable_gauge: Option<usize>,
    /// Number of operations.
    operations: usize,
    /// Number of tenants, at least 1. If the settings contain no tenants, all arrivals belong to tenant 0.
    tenants: usize,
}

impl Instance {
    /// Starts an instance. `settings` is the text of its settings.
    fn start(settings: &str, seed: u64, now: Nanos, reply: &mut Reply) -> Result<Self, SettingsError> {
        let settings = DeploymentSettings::from_lines(settings)?;
        Ok(Self {
            utilization_gauge: settings.utilization_gauge,
            runnable_gauge: settings.runnable_gauge,
            operations: settings.deployment.operations.len(),
            tenants: settings.deployment.tenant_allowance.len().max(1),
            controller: Controller::new(settings.deployment, seed, now, reply),
        })
    }

    /// Checks that the operation and the tenant of an arrival exist in the settings.
    fn check(&self, arrival: &Arrival) -> Result<(), InstanceError> {
        if arrival.operation >= self.operations {
            return Err(InstanceError::UnknownOperation { operation: arrival.operation });
        }
        if arrival.tenant >= self.tenants {
            return Err(InstanceError::UnknownTenant { tenant: arrival.tenant });
        }
        Ok(())
    }

    /// Extracts the two gauge readings that the controller uses from the readings of a timer event.
    fn gauges(&self, readings: GaugeReadings) -> Result<Gauges, EventError> {
        let reading = |index: Option<usize>| match index {
            Some(index) => readings.get(index),
            None => Ok(None),
        };
        Ok(Gauges { utilization: reading(self.utilization_gauge)?, runnable: reading(self.runnable_gauge)? })
    }

    /// Passes an event to the instance's controller. Ignores the events that start and end an instance:
    /// `Instances::handle_record` handles these events.
    fn handle(&mut self, event: Event, now: Nanos, reply: &mut Reply) -> Result<(), InstanceError> {
        match event {
            Event::Arrived { arrival } => {
                self.check(&arrival)?;
                self.controller.on_arrival(now, arrival, reply);
            }
            Event::RunFinished { id, outcome } => self.controller.on_run_finished(now, id, outcome, reply),
            Event::CallNeeded { id } => self.controller.on_call_needed(now, id, reply),
            Event::CallFinished { id, outcome, duration } => {
                self.controller.on_call_finished(now, id, outcome, duration, reply);
            }
            Event::DrainNotice { grace } => self.controller.on_drain_notice(now, now, grace, reply),
            Event::CallerGone { id } => self.controller.on_caller_gone(now, id, reply),
            Event::Timer { timer, gauges } => {
                let gauges = self.gauges(gauges)?;
                self.controller.on_timer(now, timer, gauges, reply);
            }
            Event::Started { .. } | Event::Ended => {}
        }
        Ok(())
    }
}

/// All simulated servers, indexed by the number of the instance. An entry is `None` if no instance with this
/// number is running.
#[derive(Default)]
pub struct Instances {
    slots: Vec<Option<Instance>>,
}

impl Instances {
    /// Handles all records of a batch, in their order. Adds the resulting actions to `reply`.
    pub fn handle_batch(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), BatchError> {
        let mut selected = None;
        for index in 0..batch.count {
            let record = batch.record(index);
            if record.code() == code::INSTANCE {
                selected = Some(Event::instance(record));
                continue;
            }
            let instance = selected.ok_or(BatchError::NoInstance { index })?;
            reply.select_instance(instance);
            let result = self.handle_record(instance, record, batch.clock, reply);
            result.map_err(|source| BatchError::Record { index, source })?;
        }
        Ok(())
    }

    /// Handles one event record for the instance with the number `number`.
    fn handle_record(
        &mut self,
        number: u16,
        record: Record,
        now: Nanos,
        reply: &mut Reply,
    ) -> Result<(), InstanceError> {
        let slot = usize::from(number);
        if record.code() != code::STARTED && self.running(slot).is_none() {
            return Err(InstanceError::NotStarted { code: record.code(), instance: number });
        }
        match Event::decode(record)? {
            Event::Started { seed, settings } => {
                let instance = Instance::start(settings, seed, now, reply)?;
                if self.slots.len() <= slot {
                    self.slots.resize_with(slot + 1, || None);
                }
                self.slots[slot] = Some(instance);
            }
            Event::Ended => self.slots[slot] = None,
            event => {
                if let Some(instance) = self.running(slot) {
                    instance.handle(event, now, reply)?;
                }
            }
        }
        Ok(())
    }

    /// Returns the running instance with the number `slot`; `None` if no instance with this number is
    /// running.
    fn running(&mut self, slot: usize) -> Option<&mut Instance> {
        self.slots.get_mut(slot)?.as_mut()
    }
}
