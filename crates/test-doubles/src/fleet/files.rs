//! Creates the configuration and options files for the processes of a fleet.

use crate::interpreter::Survivable;
use serde_json::{Value, json};
use std::fmt::{self, Display, Formatter};
use std::net::SocketAddr;
use std::path::PathBuf;

/// Period in milliseconds at which members probe each other. With this short period, a rehearsal ends within
/// a minute.
pub const PROBE_PERIOD_MS: u64 = 200;
/// Number of probe periods for which a member stays suspect before it is declared down.
pub const SUSPICION_PERIODS: u64 = 5;

/// Time from the drain notice to the stop of a server in the default configuration, in milliseconds.
const STOP_MS_DEFAULT: u64 = 2_000;
/// Limit on the file descriptors of a server in the default configuration.
const DESCRIPTORS_DEFAULT: u64 = 256;

/// Options of a fleet harness, such as the programs and addresses of its processes and additional content of
/// their options files.
#[derive(Default)]
pub struct HarnessOptions {
    /// Number of cores of each server's interpreter. If the number is 0, the harness starts no interpreters.
    pub cores: f64,
    /// Address of the downstream service of each server. The index in the list is the index of the server.
    pub downstream_services: Vec<SocketAddr>,
    /// Number of probe periods for which a member stays suspect; 0 selects [`SUSPICION_PERIODS`]. The view
    /// forgets a dead member after a multiple of this time.
    pub suspicion_periods: u64,
    /// Additional attributes of the element `<membership>` in the options files of all processes.
    pub membership_attributes: String,
    /// Additional XML elements in the options files of all processes.
    pub options: String,
    /// Additional XML elements in the options file of each server. The index in the list is the index of the
    /// server.
    pub server_options: Vec<String>,
    /// Number of control machines. The processes with the lowest indexes are control machines. A control
    /// machine keeps the configuration log and serves no calls.
    pub control_servers: usize,
    /// Address at which each server accepts calls. The index in the list is the index of the server. A server
    /// without an entry uses a free port.
    pub listen_addresses: Vec<SocketAddr>,
    /// Program of each server. The index in the list is the index of the server. A server without an entry
    /// runs the default program of the harness.
    pub programs: Vec<PathBuf>,
    /// Address to which the first server binds its membership socket. `None` selects a free port.
    pub first_membership_bind: Option<SocketAddr>,
    /// Time from the drain notice to the stop of a server, in milliseconds; 0 selects the default of the
    /// harness.
    pub stop_ms: u64,
    /// Additional environment variables of all processes.
    pub environment: Vec<(String, String)>,
    /// Limit on the file descriptors of each server; 0 selects the default of the harness.
    pub descriptors: u64,
    /// What the machine of each interpreter survives. The configuration of the servers states the same.
    pub survivable: Survivable,
    /// Settings that replace those of the default configuration. The key is a path such as
    /// `contract/fall-multiple` below the key `settings`, and the value is the setting.
    pub settings: Vec<(&'static str, Value)>,
}

impl HarnessOptions {
    fn suspicion_periods(&self) -> u64 {
        if self.suspicion_periods == 0 { SUSPICION_PERIODS } else { self.suspicion_periods }
    }
}

/// Addresses that the configuration of one server contains.
pub struct ServerAddresses {
    pub listen: String,
    pub interpreter: String,
    pub downstream_service: String,
    pub registry: String,
}

/// Returns the JSON configuration of the server with this index.
pub fn configuration(index: usize, options: &HarnessOptions, addresses: &ServerAddresses) -> Value {
    let cores = options.cores.max(1.0);
    let Survivable { ratio, window, cold_speed, warm_up } = options.survivable;
    let is_cold = cold_speed < 1.0;
    let stop_ms = if options.stop_ms == 0 { STOP_MS_DEFAULT } else { options.stop_ms };
    let descriptors = if options.descriptors == 0 { DESCRIPTORS_DEFAULT } else { options.descriptors };
    let mut configuration = json!({
        "name": format!("s{index}"), "listen": addresses.listen, "vm": addresses.interpreter,
        "records": addresses.downstream_service,
        "directory": addresses.registry, "seed": "8c1f30d27a5be964",
        "stop_ms": stop_ms, "limits": {"cores": cores, "memory_mb": 192, "sockets": descriptors},
        "settings": {
            "grades": [{"name": "load", "effect": "repeatable", "target": 8_000_000, "give-up": 9_000_000,
                "worth": 1.0}],
            "peers-total": 1, "orgs": [],
            "contract": {"drain-grace": 200_000, "grace-to-answer": 50_000, "fall-multiple": ratio,
                "fall": window.as_micros() as u64, "cold-from": if is_cold { cold_speed } else { 0.2 },
                "cold": (warm_up.as_micros() as u64).max(1)},
            "family-info": {"below": "tier", "cores": cores, "memory-kb": 100_000, "run-factor": 4.0,
                "entry-kb": 7, "preemption": "discard", "say": "weight", "idle": 15_000_000,
                "own-stats": ["cpu_busy", "runnable"]},
        },
    });
    for (path, value) in &options.settings {
        let setting = path.split('/').fold(&mut configuration["settings"], |value, key| &mut value[key]);
        *setting = value.clone();
    }
    configuration
}

/// Options file of one server. The [`Display`] implementation formats the file as XML.
pub struct OptionsFile<'a> {
    pub index: usize,
    /// Address to which other members send membership datagrams for this server.
    pub advertised: SocketAddr,
    /// Membership address of the member through which this server joins the fleet.
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
        let suspicion_periods = harness_options.suspicion_periods();
        let server_options = harness_options.server_options.get(*index).map_or("", String::as_str);
        write!(
            formatter,
            r#"<meadowstream xmlns="urn:meadowstream:options:1">
  <membership bind="{bind}" advertise="{advertised}" name="s{index}" fleet="rehearsal" key-file="key"
      probe-period-ms="{PROBE_PERIOD_MS}" probe-rtt-ms="80" suspicion-multiplier="{suspicion_periods}"
      gossip-period-ms="100" announce-period-ms="1000" expected-members="{members}" {membership_attributes}>
    <seed address="{seed}"/>
  </membership>
  {options}{server_options}
</meadowstream>"#
        )
    }
}
