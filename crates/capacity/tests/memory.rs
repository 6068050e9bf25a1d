//! Memory as the allocator counts it. The count is the whole process's, so this file has one test and no
//! other: cargo runs each test file in a process of its own, and nothing else allocates there meanwhile.

use meadowstream_capacity::tenants::{self, TenantCosts};

/// What a tenant more takes, in bytes, may differ by this part between one pair of sizes and another: tables
/// grow by doubling.
const TOLERANCE: f64 = 0.25;
const TENANT_BYTES_MAX: f64 = 2_000.0;

fn each_more(smaller: &TenantCosts, larger: &TenantCosts) -> f64 {
    (larger.memory_bytes - smaller.memory_bytes) / (larger.tenants - smaller.tenants) as f64
}

#[test]
fn tenants_take_memory_in_proportion() {
    let [small, middle, large] = [500, 2_000, 8_000].map(tenants::measure);
    let (low, high) = (each_more(&small, &middle), each_more(&middle, &large));
    assert!(low > 0.0 && large.memory_bytes < 8_000.0 * TENANT_BYTES_MAX, "{small:?} {middle:?} {large:?}");
    assert!((high / low - 1.0).abs() < TOLERANCE, "{low} {high}: {small:?} {middle:?} {large:?}");
}
