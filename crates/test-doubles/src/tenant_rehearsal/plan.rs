//! What a rehearsal plays.

use std::time::Duration;

/// Tenants that are alike.
#[derive(Clone, Debug)]
pub struct TenantGroup {
    /// Name of the group, the start of its tenants' names.
    pub name: &'static str,
    /// Number of tenants.
    pub tenants: usize,
    /// Invocations a second of each tenant in the baseline phase.
    pub baseline_rate: f64,
    /// The same in the overload phase.
    pub overload_rate: f64,
    /// Core time of an invocation.
    pub work: Duration,
    /// Part of the rejected invocations that are retried as the server advised; the others end.
    pub follows_advice: f64,
    /// Names that each tenant uses in turn; 1 for an honest one.
    pub names_per_tenant: u64,
    /// Connections of the group's balancer at most.
    pub connections: usize,
}

/// A rehearsal.
#[derive(Clone, Debug)]
pub struct RehearsalPlan {
    /// The groups of tenants that send.
    pub groups: Vec<TenantGroup>,
    /// Cores of the interpreter.
    pub cores: f64,
    /// Latency objective of the operation.
    pub objective: Duration,
    /// Length of the baseline phase.
    pub baseline: Duration,
    /// Length of the overload phase, which follows.
    pub overload: Duration,
    /// Seed of arrivals and of the program.
    pub seed: u64,
    /// The program is stopped while invocations are still in flight.
    pub stops_early: bool,
    /// The program's options file.
    pub options: String,
    /// The dependency that its runs call.
    pub dependency: Option<SharedDependency>,
}

/// A dependency that all servers share.
#[derive(Clone, Debug)]
pub struct SharedDependency {
    /// Mean number of calls in flight that is the program's quota.
    pub quota: f64,
    /// How long a call takes in the baseline phase.
    pub baseline_call_time: Duration,
    /// How long a call takes in the overload phase.
    pub overload_call_time: Duration,
}

const OPTIONS: &str = "<meadowstream xmlns=\"urn:meadowstream:options:1\">\n  \
    <tenants by=\"field\" field=\"venue\" origin=\"sender\">\n    \
    <share at-once-ms=\"5000\" probation-ms=\"1000\" late-ms=\"500\"/>\n  </tenants>\n</meadowstream>\n";

/// `light_tenants` that stay within their quotas, and one that sends nine tenths of three times what the
/// cores can do.
pub fn overload_plan(baseline: Duration, overload: Duration, light_tenants: usize) -> RehearsalPlan {
    let (cores, work) = (2.0, Duration::from_millis(4));
    let capacity_rate = cores / work.as_secs_f64();
    let total_rate = 3.0 * capacity_rate;
    let light_rate = total_rate * 0.1 / light_tenants as f64;
    let light = TenantGroup {
        name: "light",
        tenants: light_tenants,
        baseline_rate: light_rate,
        overload_rate: light_rate,
        work,
        follows_advice: 1.0,
        names_per_tenant: 1,
        connections: 16,
    };
    let flood = TenantGroup {
        name: "flood",
        tenants: 1,
        baseline_rate: 40.0,
        overload_rate: total_rate * 0.9,
        follows_advice: 0.3,
        connections: 48,
        ..light.clone()
    };
    RehearsalPlan {
        groups: vec![light, flood],
        cores,
        objective: Duration::from_secs(1),
        baseline,
        overload,
        seed: 11,
        stops_early: false,
        options: OPTIONS.to_string(),
        dependency: None,
    }
}

/// A dependency of all servers that is eight times as slow in the overload phase: the calls then demanded are
/// four times the program's quota, while the cores have capacity left.
pub fn slow_dependency_plan(baseline: Duration, overload: Duration) -> RehearsalPlan {
    let plan = overload_plan(baseline, overload, 20);
    let group = TenantGroup { baseline_rate: 5.0, overload_rate: 5.0, ..plan.groups[0].clone() };
    let options = plan.options.replace("</meadowstream>", "  <calls left-out=\"none\"/>\n</meadowstream>");
    let dependency = SharedDependency {
        quota: 1.0,
        baseline_call_time: Duration::from_millis(5),
        overload_call_time: Duration::from_millis(40),
    };
    RehearsalPlan { groups: vec![group], seed: 12, options, dependency: Some(dependency), ..plan }
}
