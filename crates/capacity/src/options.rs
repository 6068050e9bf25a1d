//! Creates XML elements for the options files of the measured processes.

use std::fmt::Write;

/// Number of servers that vote on leases. Leases assign units of the call budget to servers.
const VOTERS: usize = 3;
/// Number of units in the call budget, per server of the fleet.
const BUDGET_UNITS_PER_SERVER: usize = 10;
/// Number of accounts that are shared by tenants without an entry in the options.
const OTHER_ACCOUNTS: usize = 16;

/// Returns the `<tenants>` element with `count` named tenants of equal weight.
pub(crate) fn tenants(count: usize, weight: u32) -> String {
    let accounts = 2 * count + OTHER_ACCOUNTS;
    let mut text = format!(
        "<tenants by=\"field\" field=\"venue\" origin=\"sender\">\n<ceilings accounts=\"{accounts}\"/>\n"
    );
    for tenant in 0..count {
        writeln!(text, "<tenant name=\"t{tenant}\" weight=\"{weight}\"/>")
            .expect("writing to a String cannot fail");
    }
    text.push_str("</tenants>");
    text
}

/// Returns the `<membership>` and `<shared-state>` elements for the server called `name`. The server joins
/// the fleet through `seed`. Without a seed, the server joins no other server. The shared state holds one
/// call budget and the replicated counters.
pub(crate) fn fleet(name: &str, servers: usize, seed: Option<&str>) -> String {
    let seed = seed.map_or(String::new(), |seed| format!("<seed address=\"{seed}\"/>"));
    let voters: String = (0..VOTERS).map(|voter| format!("<voter name=\"c{voter}\"/>")).collect();
    let total = BUDGET_UNITS_PER_SERVER * servers;
    let servers = servers.max(1);
    format!(
        "<membership bind=\"127.0.0.1:0\" name=\"{name}\" fleet=\"capacity\" key-file=\"key\" \
         expected-members=\"{servers}\">{seed}</membership>\n\
         <shared-state gossip-ms=\"500\"><budget name=\"calls\" total=\"{total}\" floor=\"1\" \
         servers=\"{servers}\" lease-ms=\"4000\" use-most-ms=\"1000\">{voters}</budget></shared-state>"
    )
}
