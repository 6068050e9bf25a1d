//! Configuration and options files of the processes in a fleet.

use serde_json::{Value, json};
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Period of the probes between members in milliseconds; short, so that a rehearsal ends within a minute.
pub const PROBE_PERIOD_MS: u64 = 200;
/// Number of probe periods for which a member is suspect before it is declared down.
pub const SUSPICION_PERIODS: u64 = 5;

/// Options of a fleet harness, such as the programs and addresses of its processes and additional content for
/// their options files.
#[derive(Default)]
pub struct HarnessOptions {
    /// Number of cores of each server's interpreter. With 0 the harness starts no interpreters.
    pub cores: f64,
    /// Address of each server's downstream service, by the server's index.
    pub downstream_services: Vec<SocketAddr>,
    /// Further attributes of the element `<membership>`, the same for all processes.
    pub membership_attributes: String,
    /// Further elements of the options file, the same for all processes.
    pub options: String,
    /// Further elements of each server's options file, by the server's index.
    pub server_options: Vec<String>,
    /// Number of control machines, which have the lowest indices. Control machines keep the configuration log
    /// and serve no calls.
    pub control_servers: usize,
    /// Address at which each server accepts calls, by the server's index; servers without an entry take a
    /// free port.
    pub listen_addresses: Vec<SocketAddr>,
    /// Program of each server, by the server's index; servers without an entry run the harness's program.
    pub programs: Vec<PathBuf>,
    /// Address to which the first server binds its membership socket; by default a free port.
    pub first_membership_bind: Option<SocketAddr>,
}

/// Addresses in the configuration of a server.
pub struct ServerAddresses {
    pub listen: String,
    pub interpreter: String,
    pub downstream_service: String,
    pub registry: String,
}

/// Returns the JSON configuration of server `index`.
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

/// Options file of one server. Its [`Display`] implementation writes the file as XML.
pub struct OptionsFile<'a> {
    pub index: usize,
    /// Membership address at which other members reach the server.
    pub advertised: SocketAddr,
    /// Membership address of the member through which the server joins.
    pub seed: SocketAddr,
    pub members: usize,
    pub harness_options: &'a HarnessOptions,
}

impl Display for OptionsFile<'_> {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let Self { index, advertised, seed, members, harness_options } = self;
        let HarnessOptions { membership_attributes, options, .. } = harness_options;
        let fixed_bind = harness_options.first_membership_bind.filter(|_| *index == 0);
        let bind = fixed_bind.map_or("127.0.0.1:0".to_string(), |bind| bind.to_string());
        let server_options = harness_options.server_options.get(*index).map_or("", String::as_str);
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
