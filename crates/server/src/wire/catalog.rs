//! Encoder for the datagrams sent to the service registry.

/// Encodes a report that a server is alive, and whether it is healthy.
pub fn report(name: &str, healthy: bool) -> String {
    format!("alive {name} {}", if healthy { "passing" } else { "critical" })
}
