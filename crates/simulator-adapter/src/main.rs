//! `meadowstream-simulator-adapter`: hosts one isolated instance of the module for each simulated server, on
//! standard input and output. It decides nothing.

mod codec;

use anyhow::{Context, Result, bail, ensure};
use codec::{Batch, Event, Reply};
use meadowstream_overload_control::{Arrival, Gauges, controller::Controller};
use std::io::{Read, Write};

struct Life {
    controller: Controller,
    utilization_gauge: Option<usize>,
    runnable_gauge: Option<usize>,
    operations: usize,
    tenants: usize,
}

#[derive(Default)]
struct Hosting {
    lives: Vec<Option<Life>>,
}

impl Hosting {
    fn handle(&mut self, instance: u16, event: Event, now: u64, reply: &mut Reply) -> Result<()> {
        let slot = usize::from(instance);
        let code = event.u8(0);
        reply.speaks(instance);
        if code == 10 {
            let read = meadowstream_deployment_settings::DeploymentSettings::from_lines(event.text(9)?)?;
            let (operations, tenants) =
                (read.deployment.operations.len(), read.deployment.tenant_allowance.len());
            let controller = Controller::new(read.deployment, event.u64(1), now, reply);
            if self.lives.len() <= slot {
                self.lives.resize_with(slot + 1, || None);
            }
            self.lives[slot] = Some(Life {
                controller,
                utilization_gauge: read.utilization_gauge,
                runnable_gauge: read.runnable_gauge,
                operations,
                tenants,
            });
            return Ok(());
        }
        let life = self.lives.get_mut(slot).and_then(Option::as_mut);
        let life =
            life.with_context(|| format!("event {code} for instance {instance}, which has not started"))?;
        let controller = &mut life.controller;
        match code {
            20 => {
                let arrival = arrival(event)?;
                ensure!(arrival.operation < life.operations, "unknown operation {}", arrival.operation);
                ensure!(arrival.tenant < life.tenants.max(1), "unknown tenant {}", arrival.tenant);
                controller.on_arrival(now, arrival, reply);
            }
            30 => controller.on_run_finished(now, event.u64(1), event.ending(9)?, reply),
            40 => controller.on_call_needed(now, event.u64(1), reply),
            50 => controller.on_call_finished(now, event.u64(1), event.ending(9)?, event.span(11), reply),
            60 => controller.on_drain_notice(now, event.span(1), reply),
            70 => controller.on_caller_gone(now, event.u64(1), reply),
            80 => {
                let gauges = usize::from(event.u8(5));
                if gauges > 4 {
                    bail!("{gauges} gauges where 4 fit");
                }
                let gauge = |place: Option<usize>| {
                    place.filter(|i| *i < gauges).map(|i| event.number(6 + 4 * i)).transpose()
                };
                let gauges = Gauges {
                    utilization: gauge(life.utilization_gauge)?,
                    runnable: gauge(life.runnable_gauge)?,
                };
                controller.on_timer(now, event.u32(1), gauges, reply);
            }
            90 => self.lives[slot] = None,
            _ => bail!("unknown event code {code}"),
        }
        Ok(())
    }

    fn batch(&mut self, batch: &Batch, reply: &mut Reply) -> Result<()> {
        let mut instance = None;
        for i in 0..batch.count {
            let event = batch.event(i);
            if event.u8(0) == 100 {
                instance = Some(event.u16(1));
                continue;
            }
            let at = instance.with_context(|| format!("record {i}: no instance named before it"))?;
            self.handle(at, event, batch.clock, reply).with_context(|| format!("record {i}"))?;
        }
        Ok(())
    }
}

fn arrival(event: Event) -> Result<Arrival> {
    let (repeats, patience, flags) = (event.u64(13), event.span(21), event.u8(25));
    Ok(Arrival {
        id: event.u64(1),
        age: event.span(9),
        repeats: (repeats != 0).then_some(repeats),
        remaining_deadline: (patience != 0).then_some(patience),
        is_marked_retry: flags & 2 != 0,
        cost_hint: (flags & 1 != 0).then(|| event.span(30)),
        held_kb: event.number(38)?,
        tenant: event.u32(42) as usize,
        sender: None,
        key_not_stored: false,
        operation: usize::from(event.u8(46)),
    })
}

fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<()> {
    let (mut hosting, mut batch, mut reply) = (Hosting::default(), Batch::default(), Reply::default());
    let mut frame = Vec::new();
    for nth in 0u64.. {
        if !batch.read(input).with_context(|| format!("batch {nth}"))? {
            break;
        }
        hosting.batch(&batch, &mut reply).with_context(|| format!("batch {nth}"))?;
        reply.finish(&mut frame);
        output.write_all(&frame).and_then(|()| output.flush()).context("writing a reply")?;
    }
    Ok(())
}

fn main() {
    if let Err(trouble) = serve(&mut std::io::stdin().lock(), &mut std::io::stdout().lock()) {
        eprintln!("meadowstream-simulator-adapter: {trouble:#}");
        std::process::exit(1);
    }
}
