//! Tests the measured heap memory of tenant accounts. This file must contain only one test, because the
//! allocator counts the memory of the whole process. Cargo runs each test file in its own process, so no
//! other test allocates memory during the measurement.

use meadowstream_capacity::tenants::{self, TenantCosts};

/// Maximum relative difference between two measurements of the memory per additional tenant. The measurements
/// cover a lower and a higher range of tenant counts. The memory per tenant differs because the allocated
/// tables grow by doubling.
const TOLERANCE: f64 = 0.25;
/// Upper bound of the memory per tenant, in bytes.
const TENANT_BYTES_MAX: f64 = 2_000.0;

/// Returns the memory per additional tenant, in bytes, from one measurement with fewer tenants and one with
/// more tenants.
fn bytes_per_added_tenant(smaller: &TenantCosts, larger: &TenantCosts) -> f64 {
    (larger.memory_bytes - smaller.memory_bytes) / (larger.tenants - smaller.tenants) as f64
}

#[test]
fn memory_grows_linearly_with_the_number_of_tenants() {
    let [small, middle, large] = [500, 2_000, 8_000].map(tenants::measure);
    let (low, high) = (bytes_per_added_tenant(&small, &middle), bytes_per_added_tenant(&middle, &large));
    assert!(low > 0.0 && large.memory_bytes < 8_000.0 * TENANT_BYTES_MAX, "{small:?} {middle:?} {large:?}");
    assert!((high / low - 1.0).abs() < TOLERANCE, "{low} {high}: {small:?} {middle:?} {large:?}");
}
