//! Help texts of the commands.

/// Overview of all commands.
pub const OVERVIEW: &str = "\
meadowstream: a server with overload control inside

  meadowstream serve [--config FILE]   serve until SIGTERM or SIGINT
  meadowstream check FILE              check whether a configuration is valid
  meadowstream rehearse                run an overload by many tenants on loopback
  meadowstream fleet rehearse          run crashes, stalls and a partition between servers on loopback
  meadowstream fleet capacity          measure the cost per server of a fleet of hundreds of servers
  meadowstream rollout PLAN            roll a change of settings out to the fleet in stages
  meadowstream control                 store the fleet's configuration with other control machines
  meadowstream publish CHANGE          publish a change of configuration to all servers within seconds
  meadowstream version                 print the version

See meadowstream COMMAND --help for details. Exit codes: 0 done, 1 failed, 2 wrong usage.
";
/// Help text of `serve`.
pub const SERVE: &str = "\
meadowstream serve [--config FILE] [--options FILE] [--log json]

Serves until SIGTERM or SIGINT, then answers all pending requests and exits. Without --config, FILE is the
value of $ROUTER_CONFIG. The log is written to standard error; RUST_LOG=debug makes it more detailed.
SIGUSR1 logs the counters, SIGHUP reads the files again. --options names a file of this project's own
settings (deploy/meadowstream.xsd); without it, tenants are not told apart, and fleet membership is off.
--log json writes the log as JSON, one object per line.
";
/// Help text of `check`.
pub const CHECK: &str = "\
meadowstream check FILE [--options FILE]

Reads a configuration like serve, and prints what the server would do, or which part of the configuration is
invalid.
";
/// Help text of `rehearse`.
pub const REHEARSE: &str = "\
meadowstream rehearse [--tenants N] [--seconds N] [--log]

Starts this program on loopback, with test doubles for all other processes, and runs an overload for N
seconds (default 20): N small tenants (default 200), and one tenant that floods after the first third of the
time. Prints a table of each group's share, its latency, and the part of its retries at the advised time that
were admitted. --log also prints the program's log lines about tenants. No other process or file is needed.
";
/// Help text of `fleet`.
pub const FLEET: &str = "\
meadowstream fleet rehearse [--servers N]

Starts N processes of this program (default 5; 4 to 64) on loopback, each behind a relay that injects faults,
with fleet membership on, and runs a join, a crash (SIGKILL), a stall (SIGSTOP, then SIGCONT), a partition
into halves and its end. Prints a table of the times at which each server's log showed each change, and at
which the views agreed.

meadowstream fleet capacity [--servers N] [--quick] [--seed N] [--json FILE]

Runs a scale model of N servers (default 690; 80 to 2000) in simulated time at five sizes, with failures, and
also measures real processes: added latency with 64,000 tenants, memory of connections, some dozens of
processes. With --quick it takes up to two minutes, otherwise about a quarter of an hour. Prints a table of
costs with their slopes (docs/CAPACITY.md); --json also writes it to a file. Exit codes: 0 every bound holds,
1 a bound was exceeded, 2 wrong usage.
";
/// Help text of `rollout`.
pub const ROLLOUT: &str = "\
meadowstream rollout PLAN --options FILE [--state FILE] [--wait SECONDS]
meadowstream rollout status PLAN [--state FILE]
meadowstream rollout abort PLAN [--state FILE]

Rolls a change of settings out to the servers in stages, compares changed servers with the others, and rolls
back automatically if they perform worse (docs/rollout.md). PLAN is an XML file (deploy/meadowstream.xsd); the
options name the fleet to join. The state is saved to a file beside the plan, or to the file named by --state;
a rollout that was killed resumes from it when it is started again. The lease on rollouts, which one plan at a
time holds, is awaited for 120 seconds unless --wait names another time.
Exit codes: 0 all stages completed, 1 stopped, rolled back or failed, 2 wrong usage.
";
/// Help text of `control`.
pub const CONTROL: &str = "\
meadowstream control --options FILE [--log json]

Stores the log of the fleet's configuration together with the other <replica>s in the options, and publishes
while it holds the lease (docs/replication.md). Serves no callers; runs until SIGTERM or SIGINT.
";
/// Help text of `publish`.
pub const PUBLISH: &str = "\
meadowstream publish CHANGE --options FILE [--wait SECONDS]
meadowstream publish revert NUMBER --options FILE [--wait SECONDS]
meadowstream publish status --options FILE [--wait SECONDS]

Submits a change (XML, deploy/meadowstream.xsd) to the publisher and waits until all servers have it in force;
or reverts the change of a revision; or prints which servers have the newest revision in force. The options
name the fleet to join. The time limit is 10 seconds unless --wait names another one. Exit codes: 0 in force
on all servers, 1 refused or not in force on all servers in time, 2 wrong usage.
";
/// Help text of `version`.
pub const VERSION: &str = "\
meadowstream version

Prints the version.
";

/// Returns the help text of a command, or the list of all commands if `command` is missing or unknown.
pub fn help_text(command: Option<&str>) -> &'static str {
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
