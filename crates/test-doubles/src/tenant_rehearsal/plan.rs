//! Defines the plan of a rehearsal and creates two kinds of plans.

use std::time::Duration;

/// Group of tenants that all send an equal load.
#[derive(Clone, Debug)]
pub struct TenantGroup {
    /// Name of the group. The names of its tenants begin with this name.
    pub name: &'static str,
    /// Number of tenants.
    pub tenants: usize,
    /// Invocations per second that each tenant sends in the baseline phase.
    pub baseline_rate: f64,
    /// Invocations per second that each tenant sends in the overload phase.
    pub overload_rate: f64,
    /// CPU time that the interpreter spends on each invocation.
    pub work: Duration,
    /// Share of the invocations that follow the server's advice, from 0 to 1. If such an invocation is
    /// rejected, it is retried as advised. Other invocations are not retried.
    pub follows_advice: f64,
    /// Number of tenant names that each tenant sends in turn with its invocations. An honest tenant sends
    /// only one name.
    pub names_per_tenant: u64,
    /// Maximum number of connections that the balancer of the group opens.
    pub connections: usize,
}

/// Plan of a rehearsal.
#[derive(Clone, Debug)]
pub struct RehearsalPlan {
    /// Groups of tenants that send invocations.
    pub groups: Vec<TenantGroup>,
    /// Number of cores of the interpreter.
    pub cores: f64,
    /// Latency objective of the operation that the tenants invoke.
    pub objective: Duration,
    /// Duration of the baseline phase.
    pub baseline: Duration,
    /// Duration of the overload phase. The overload phase follows the baseline phase.
    pub overload: Duration,
    /// Seed of the random arrivals and of the program under test.
    pub seed: u64,
    /// Whether the program is stopped without waiting for the invocations in flight.
    pub stops_early: bool,
    /// Text of the options file of the program under test.
    pub options: String,
    /// Downstream service that invocations call; `None` if invocations make no downstream calls.
    pub dependency: Option<SharedDependency>,
}

/// Downstream service that the invocations of all tenants share.
#[derive(Clone, Debug)]
pub struct SharedDependency {
    /// Quota of the program for this service: the mean number of calls in flight that the configuration
    /// allows.
    pub quota: f64,
    /// Time that the service takes for a call in the baseline phase.
    pub baseline_call_time: Duration,
    /// Time that the service takes for a call in the overload phase.
    pub overload_call_time: Duration,
}

const OPTIONS: &str = "<meadowstream xmlns=\"urn:meadowstream:options:1\">\n  \
    <tenants by=\"field\" field=\"venue\" origin=\"sender\">\n    \
    <share at-once-ms=\"5000\" probation-ms=\"1000\" late-ms=\"500\"/>\n  </tenants>\n</meadowstream>\n";

/// Returns a plan with `light_tenants` tenants that stay within their quotas and one tenant that floods the
/// program. In the overload phase, all tenants together send three times the load that the cores can handle.
/// The flooding tenant sends nine tenths of this load.
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

/// Returns a plan with a downstream service whose calls take eight times as long in the overload phase. The
/// demand for downstream calls is then four times the program's quota, while the cores still have spare
/// capacity.
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
