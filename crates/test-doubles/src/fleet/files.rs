//! The configuration and options files of the processes.

use serde_json::{Value, json};
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Period of health checks between members, short so that a rehearsal ends within a minute.
pub const PROBE_PERIOD_MS: u64 = 200;
/// Probe periods for which a member is suspect before it is down.
pub const SUSPICION_PERIODS: u64 = 5;

/// What a harness gives its processes beside the membership.
#[derive(Default)]
pub struct HarnessOptions {
    /// Cores of an interpreter for each; none is started where 0.
    pub cores: f64,
    /// Downstream service of each.
    pub downstream_services: Vec<SocketAddr>,
    /// Attributes of `<membership>` beside those that each process has.
    pub membership_attributes: String,
    /// Elements of the options file beside `<membership>`.
    pub options: String,
    /// Further elements, for each server its own.
    pub server_options: Vec<String>,
    /// The first so many are control machines, which keep the log of configuration and serve nothing.
    pub control_servers: usize,
    /// Where each accepts calls; a free port of its own where not given.
    pub listen_addresses: Vec<SocketAddr>,
    /// Programs of the first servers, where these are not the harness's.
    pub programs: Vec<PathBuf>,
    /// Where the first server binds its membership; a free port where not given.
    pub first_membership_bind: Option<SocketAddr>,
}

/// Addresses in the configuration of one server.
pub struct ServerAddresses {
    pub listen: String,
    pub interpreter: String,
    pub downstream_service: String,
    pub registry: String,
}

/// The configuration of server `index`.
pub fn configuration(index: usize, cores: f64, addresses: &ServerAddresses) -> Value {
    json!({
        "name": format!("s{index}"), "listen": addresses.listen, "vm": addresses.interpreter,
        "records": addresses.downstream_service,
        "directory": addresses.registry, "seed": "8c1f30d27a5be964",
        "stop_ms": 2000, "limits": {"cores": cores, "memory_mb": 192, "sockets": 256},
        "settings": {
            "grades": [{"name": "load", "effect": "repeatable", "target": 8_000_000, "give-up": 9_000_000,
                "worth": 1.0}],
            "peers-total": 1, "orgs": [],
            "contract": {"drain-grace": 200_000, "grace-to-answer": 50_000, "fall-multiple": 8.0,
                "cold-from": 0.2, "cold": 1},
            "family-info": {"below": "tier", "cores": cores, "memory-kb": 100_000, "run-factor": 4.0,
                "entry-kb": 7, "preemption": "discard", "say": "weight", "idle": 15_000_000,
                "own-stats": ["cpu_busy", "runnable"]},
        },
    })
}

/// The options file of one server, as XML.
pub struct OptionsFile<'a> {
    pub index: usize,
    /// Where the others reach it.
    pub advertised: SocketAddr,
    /// The member that it joins through.
    pub seed: SocketAddr,
    pub members: usize,
    pub given: &'a HarnessOptions,
}

impl Display for OptionsFile<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { index, advertised, seed, members, given } = self;
        let HarnessOptions { membership_attributes, options, .. } = given;
        let given_bind = given.first_membership_bind.filter(|_| *index == 0);
        let bind = given_bind.map_or("127.0.0.1:0".to_string(), |bind| bind.to_string());
        let server_options = given.server_options.get(*index).map_or("", String::as_str);
        write!(
            formatter,
            r#"<meadowstream xmlns="urn:meadowstream:options:1">
  <membership bind="{bind}" advertise="{advertised}" name="s{index}" fleet="rehearsal" key-file="key"
      probe-period-ms="{PROBE_PERIOD_MS}" probe-rtt-ms="80" suspicion-multiplier="{SUSPICION_PERIODS}"
      gossip-period-ms="100" announce-period-ms="1000" expected-members="{members}" {membership_attributes}>
    <seed address="{seed}"/>
  </membership>
  {options}{server_options}
</meadowstream>"#
        )
    }
}
