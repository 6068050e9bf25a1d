//! The catalog's datagrams.

pub fn report(name: &str, healthy: bool) -> String {
    format!("alive {name} {}", if healthy { "passing" } else { "critical" })
}
