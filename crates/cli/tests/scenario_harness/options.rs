//! Builds the `<tenants>` element for the options files of scenarios.

/// Returns a `<tenants>` element with `count` tenants, all of weight `weight`. The limit on the number of
/// accounts is `2 * count + 16`.
pub fn many_tenants(count: &str, weight: &str) -> String {
    let count: usize = count.parse().unwrap();
    let tenants: Vec<String> =
        (0..count).map(|n| format!(r#"<tenant name="t{n}" weight="{weight}"/>"#)).collect();
    let accounts = 2 * count + 16;
    format!(
        "<tenants by=\"field\" field=\"venue\" origin=\"sender\">\n<ceilings accounts=\"{accounts}\"/>\n\
         {}\n</tenants>",
        tenants.join("\n")
    )
}

pub fn one_tenant(name: &str, weight: &str, accounts: &str) -> String {
    format!(
        "<tenants by=\"field\" field=\"venue\" origin=\"sender\"><ceilings accounts=\"{accounts}\"/>\
         <tenant name=\"{name}\" weight=\"{weight}\"/></tenants>"
    )
}
