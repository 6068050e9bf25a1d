//! Sends the invocations of a tenant at random times. The arrivals are a Poisson process. Each group of
//! tenants has one arrival rate for the baseline phase and one for the overload phase.

use super::invocation::Invocation;
use super::load::{Load, Tenant};
use crate::balancers::Balancer;
use async_io::Timer;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::rc::Rc;
use std::time::Duration;

/// Interval in seconds at which a tenant with the rate 0 checks whether its rate has changed.
const IDLE_STEP_S: f64 = 0.1;

/// Sends the invocations of a tenant until the end of the load. The send times do not depend on the replies
/// to earlier invocations.
pub async fn send_arrivals(load: Rc<Load>, balancer: Rc<Balancer>, tenant: Tenant) {
    let seed = load.plan.seed ^ (tenant.group as u64) << 40 ^ tenant.index as u64;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let group = &load.plan.groups[tenant.group];
    let mut next = load.began;
    let mut sent = 0u64;
    loop {
        let rate = if next < load.overload_start { group.baseline_rate } else { group.overload_rate };
        let gap_s = if rate > 0.0 { -rng.random_range(1e-9_f64..1.0).ln() / rate } else { IDLE_STEP_S };
        next += Duration::from_secs_f64(gap_s);
        if next >= load.end {
            return;
        }
        Timer::at(next).await;
        if rate <= 0.0 {
            continue;
        }
        sent += 1;
        let invocation = Invocation {
            load: load.clone(),
            balancer: balancer.clone(),
            tenant,
            name: format!("{}-{}-{}", group.name, tenant.index, sent % group.names_per_tenant),
            follows_advice: rng.random_bool(group.follows_advice),
        };
        load.executor.spawn(invocation.run()).detach();
    }
}
