//! The help pages of the commands.

/// The page of the program: all commands.
pub const OVERVIEW: &str = "\
meadowstream: a server with overload control inside

  meadowstream serve [--config FILE]   serve until SIGTERM or SIGINT
  meadowstream check FILE              say whether a configuration can be served
  meadowstream rehearse                play many tenants and an overload on loopback
  meadowstream fleet rehearse          play crashes, stalls and a partition between servers on loopback
  meadowstream fleet capacity          measure what a fleet of hundreds of servers costs each of them
  meadowstream rollout PLAN            bring a change of settings to the fleet in stages
  meadowstream control                 keep the fleet's configuration with other control machines
  meadowstream publish CHANGE          bring a change of configuration to all servers within seconds
  meadowstream version                 say which version this is

meadowstream COMMAND --help says more. Exit codes: 0 done, 1 failed, 2 wrong usage.
";
/// The page of `serve`.
pub const SERVE: &str = "\
meadowstream serve [--config FILE] [--options FILE] [--log json]

Serves until SIGTERM or SIGINT, then answers all that has come and ends. FILE is what $ROUTER_CONFIG
names where it is not given. The log goes to standard error; RUST_LOG=debug says more, and SIGUSR1 adds
the counters to it, SIGHUP reads the files again. --options names a file of this project's own settings
(deploy/meadowstream.xsd); without it tenants are not told apart, and the fleet's view is off.
--log json writes the log as JSON lines, one object a line.
";
/// The page of `check`.
pub const CHECK: &str = "\
meadowstream check FILE [--options FILE]

Reads a configuration as serve would and says what it would do, or names the part that cannot be served.
";
/// The page of `rehearse`.
pub const REHEARSE: &str = "\
meadowstream rehearse [--tenants N] [--seconds N] [--log]

Starts this program with test doubles for all it speaks to, on loopback, and plays an overload: N small
tenants (200) and one that floods, for N seconds (20), the first third of them without it. Ends with a table
of each group's share, latency and advice kept. --log shows what the program says of shares. Nothing else
is needed.
";
/// The page of `fleet`.
pub const FLEET: &str = "\
meadowstream fleet rehearse [--servers N]

Starts N processes of this program (5; 4 to 64) on loopback, each behind a fault relay, with the fleet's
view on, and plays a join, a crash (SIGKILL), a stall (SIGSTOP, then SIGCONT), a partition into halves and
its heal. Ends with a table of when each server's own log showed each change, and when the views agreed.

meadowstream fleet capacity [--servers N] [--quick] [--seed N] [--json FILE]

Plays a scale model of N servers (690; 80 to 2000) in simulated time at five sizes, with failures, and
measures real processes beside it: added time with 64,000 tenants, memory of connections, some dozens of
processes. --quick ends within two minutes, the whole takes about a quarter of an hour. Prints a table of
costs with their slopes (docs/CAPACITY.md); --json writes it to a file, too. Exit codes: 0 every bound holds,
1 one was passed, 2 wrong usage.
";
/// The page of `rollout`.
pub const ROLLOUT: &str = "\
meadowstream rollout PLAN --options FILE [--state FILE] [--wait SECONDS]
meadowstream rollout status PLAN [--state FILE]
meadowstream rollout abort PLAN [--state FILE]

Brings a change of settings to the servers in stages, compares those changed with the others, and rolls back
by itself where they do worse (docs/rollout.md). PLAN is an XML file (deploy/meadowstream.xsd); the options
name the fleet to join. Its state is kept beside the plan, or where --state says: one that was killed goes on
from there when it is started again. It waits 120 seconds for the lease that one plan at a time holds.
Exit codes: 0 all stages went through, 1 it was stopped or rolled back, or could not be done, 2 wrong usage.
";
/// The page of `control`.
pub const CONTROL: &str = "\
meadowstream control --options FILE [--log json]

Keeps the log of the fleet's configuration with the other <replica>s of the options, and publishes while it
holds the lease (docs/replication.md). Serves nothing; runs until SIGTERM or SIGINT.
";
/// The page of `publish`.
pub const PUBLISH: &str = "\
meadowstream publish CHANGE --options FILE [--wait SECONDS]
meadowstream publish revert NUMBER --options FILE [--wait SECONDS]
meadowstream publish status --options FILE [--wait SECONDS]

Hands a change (XML, deploy/meadowstream.xsd) to the publisher and waits until all servers go by it, or takes
the change of a revision back, or says who goes by the newest. The options name the fleet to join; at most 10
seconds are waited where --wait says nothing. Exit codes: 0 all go by it, 1 refused or not all do in time,
2 wrong usage.
";
/// The page of `version`.
pub const VERSION: &str = "\
meadowstream version

Prints the version.
";

/// The page of a command, or the one of the program where there is no such command.
pub fn page(command: Option<&str>) -> &'static str {
    match command {
        Some("serve") => SERVE,
        Some("check") => CHECK,
        Some("rehearse") => REHEARSE,
        Some("fleet") => FLEET,
        Some("rollout") => ROLLOUT,
        Some("control") => CONTROL,
        Some("publish") => PUBLISH,
        Some("version") => VERSION,
        _ => OVERVIEW,
    }
}
