//! The datagrams to the service registry.

/// The report that a server is there, and whether it is healthy.
pub fn report(name: &str, healthy: bool) -> String {
    format!("alive {name} {}", if healthy { "passing" } else { "critical" })
}
