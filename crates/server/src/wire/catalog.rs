//! Encoder for the datagrams sent to the service registry.

/// Encodes the datagram that reports a server to be alive, and whether it is healthy.
pub fn report(name: &str, healthy: bool) -> String {
    format!("alive {name} {}", if healthy { "passing" } else { "critical" })
}
