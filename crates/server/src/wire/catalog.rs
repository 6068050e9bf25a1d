//! Encoder for the datagrams that a server sends to the service registry.

/// Encodes the datagram that tells the service registry that a server is alive, and whether the server is
/// healthy.
pub fn report(name: &str, healthy: bool) -> String {
    format!("alive {name} {}", if healthy { "passing" } else { "critical" })
}
