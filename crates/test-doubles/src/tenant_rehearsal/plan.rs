//! Plans of rehearsals.

use std::time::Duration;

/// A group of tenants with the same load.
#[derive(Clone, Debug)]
pub struct TenantGroup {
    /// Name of the group, and prefix of its tenants' names.
    pub name: &'static str,
    /// Number of tenants.
    pub tenants: usize,
    /// Invocations per second of each tenant in the baseline phase.
    pub baseline_rate: f64,
    /// Invocations per second of each tenant in the overload phase.
    pub overload_rate: f64,
    /// Core time of each invocation.
    pub work: Duration,
    /// Share of the invocations, from 0 to 1, that are retried as the server advises if they are rejected.
    /// Other invocations are not retried.
    pub follows_advice: f64,
    /// Number of names under which each tenant sends in turn; 1 for an honest tenant.
    pub names_per_tenant: u64,
    /// Maximum number of connections of the group's balancer.
    pub connections: usize,
}

/// Plan of a rehearsal.
#[derive(Clone, Debug)]
pub struct RehearsalPlan {
    /// The groups of tenants that send.
    pub groups: Vec<TenantGroup>,
    /// Number of cores of the interpreter.
    pub cores: f64,
    /// Latency objective of the operation.
    pub objective: Duration,
    /// Duration of the baseline phase.
    pub baseline: Duration,
    /// Duration of the overload phase, which follows the baseline phase.
    pub overload: Duration,
    /// Seed of the arrivals and of the program.
    pub seed: u64,
    /// Whether the program is stopped while invocations are still in flight.
    pub stops_early: bool,
    /// Text of the program's options file.
    pub options: String,
    /// Downstream service that the runs call; `None` for runs without downstream calls.
    pub dependency: Option<SharedDependency>,
}

/// A downstream service that all servers share.
#[derive(Clone, Debug)]
pub struct SharedDependency {
    /// Mean number of calls in flight to this service that the program is configured to allow.
    pub quota: f64,
    /// Duration of a call in the baseline phase.
    pub baseline_call_time: Duration,
    /// Duration of a call in the overload phase.
    pub overload_call_time: Duration,
}

const OPTIONS: &str = "<meadowstream xmlns=\"urn:meadowstream:options:1\">\n  \
    <tenants by=\"field\" field=\"venue\" origin=\"sender\">\n    \
    <share at-once-ms=\"5000\" probation-ms=\"1000\" late-ms=\"500\"/>\n  </tenants>\n</meadowstream>\n";

/// Plan with `light_tenants` tenants that stay within their quotas and one tenant that floods the program. In
/// the overload phase all tenants together send three times the capacity of the cores; the flooding tenant
/// sends nine tenths of this load.
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

/// Plan with a shared downstream service that is eight times as slow in the overload phase. The demand for
/// downstream calls is then four times the program's quota, while the cores still have spare capacity.
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
