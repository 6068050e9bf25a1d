//! The simulated servers: one isolated controller for each instance that has started.

use crate::codec::{Batch, Event, EventError, GaugeReadings, Record, Reply, code};
use meadowstream_deployment_settings::{DeploymentSettings, SettingsError};
use meadowstream_overload_control::{Arrival, Gauges, Nanos, controller::Controller};
use thiserror::Error;

/// Why an event cannot be handled.
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

/// Why a batch cannot be handled, with the index of the record.
#[derive(Debug, Error)]
pub enum BatchError {
    #[error("record {index}: no instance named before it")]
    NoInstance { index: usize },
    #[error("record {index}")]
    Record {
        index: usize,
        #[source]
        source: InstanceError,
    },
}

/// A simulated server.
struct Instance {
    controller: Controller,
    utilization_gauge: Option<usize>,
    runnable_gauge: Option<usize>,
    operations: usize,
    /// At least 1: without tenants all arrivals are those of tenant 0.
    tenants: usize,
}

impl Instance {
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

    fn check(&self, arrival: &Arrival) -> Result<(), InstanceError> {
        if arrival.operation >= self.operations {
            return Err(InstanceError::UnknownOperation { operation: arrival.operation });
        }
        if arrival.tenant >= self.tenants {
            return Err(InstanceError::UnknownTenant { tenant: arrival.tenant });
        }
        Ok(())
    }

    fn gauges(&self, readings: GaugeReadings) -> Result<Gauges, EventError> {
        let reading = |index: Option<usize>| match index {
            Some(index) => readings.get(index),
            None => Ok(None),
        };
        Ok(Gauges { utilization: reading(self.utilization_gauge)?, runnable: reading(self.runnable_gauge)? })
    }

    /// Hands an event other than the start and the end to the controller.
    fn handle(&mut self, event: Event, now: Nanos, reply: &mut Reply) -> Result<(), InstanceError> {
        match event {
            Event::Arrived { arrival } => {
                self.check(&arrival)?;
                self.controller.on_arrival(now, arrival, reply);
            }
            Event::RunFinished { id, outcome } => self.controller.on_run_finished(now, id, outcome, reply),
            Event::CallNeeded { id } => self.controller.on_call_needed(now, id, reply),
            Event::CallFinished { id, outcome, took } => {
                self.controller.on_call_finished(now, id, outcome, took, reply);
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

/// All instances, by number.
#[derive(Default)]
pub struct Instances {
    slots: Vec<Option<Instance>>,
}

impl Instances {
    /// Handles the records of a batch in their order.
    pub fn handle_batch(&mut self, batch: &Batch, reply: &mut Reply) -> Result<(), BatchError> {
        let mut named = None;
        for index in 0..batch.count {
            let record = batch.record(index);
            if record.code() == code::INSTANCE {
                named = Some(Event::instance(record));
                continue;
            }
            let instance = named.ok_or(BatchError::NoInstance { index })?;
            reply.select_instance(instance);
            let handled = self.handle_record(instance, record, batch.clock, reply);
            handled.map_err(|source| BatchError::Record { index, source })?;
        }
        Ok(())
    }

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

    fn running(&mut self, slot: usize) -> Option<&mut Instance> {
        self.slots.get_mut(slot)?.as_mut()
    }
}
