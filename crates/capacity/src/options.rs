//! Options files of the processes that are measured.

use std::fmt::Write;

/// Servers that vote on the budget of calls.
const VOTERS: usize = 3;
/// Units of the budget of calls for each server.
const BUDGET_UNITS_PER_SERVER: usize = 10;
/// Accounts of tenants that are not named.
const OTHER_ACCOUNTS: usize = 16;

/// The element of so many named tenants, all of one weight.
pub(crate) fn tenants(count: usize, weight: u32) -> String {
    let accounts = 2 * count + OTHER_ACCOUNTS;
    let mut text = format!(
        "<tenants by=\"field\" field=\"venue\" origin=\"sender\">\n<ceilings accounts=\"{accounts}\"/>\n"
    );
    for tenant in 0..count {
        writeln!(text, "<tenant name=\"t{tenant}\" weight=\"{weight}\"/>").expect("a String takes any text");
    }
    text.push_str("</tenants>");
    text
}

/// The elements of the fleet's mechanisms: membership with a seed's address, a budget and counters.
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
