//! Tests the fleet's counters: the algebraic laws of merging rows, and the limits on the rows that peers can
//! add.

use meadowstream_shared_state::ServerId;
use meadowstream_shared_state::counters::{CounterRow, FleetCounters, Limits, RejectedRow};
use proptest::prelude::*;
use std::collections::BTreeMap;

const S: u64 = 1_000_000_000;

fn server(i: usize) -> ServerId {
    ServerId { name: format!("s{i}"), incarnation: 1 }
}

fn row() -> impl Strategy<Value = CounterRow> {
    proptest::collection::btree_map("[a-c]", 0u64..100, 0..4).prop_map(|counts| CounterRow { counts })
}

fn merged(rows: &[&CounterRow]) -> BTreeMap<String, u64> {
    let mut merged = CounterRow::default();
    rows.iter().for_each(|row| {
        merged.merge(row);
    });
    merged.counts
}

proptest! {
    /// Merging counter rows is idempotent, commutative and associative, and never loses a count.
    #[test]
    fn merging_is_idempotent_commutative_and_associative(a in row(), b in row(), c in row()) {
        prop_assert_eq!(merged(&[&a, &a]), a.counts.clone());
        prop_assert_eq!(merged(&[&a, &b]), merged(&[&b, &a]));
        let ab = CounterRow { counts: merged(&[&a, &b]) };
        let bc = CounterRow { counts: merged(&[&b, &c]) };
        prop_assert_eq!(merged(&[&ab, &c]), merged(&[&a, &bc]));
        prop_assert!(ab.version() >= a.version().max(b.version()));
    }

    /// Arbitrary counter rows from peers never cause a panic. The numbers of stored rows and keys are
    /// bounded, implausible counts are rejected, and no peer can raise this server's own row.
    #[test]
    fn rows_of_peers_are_bounded(
        names in proptest::collection::vec("[a-z]{0,80}", 0..60),
        count in any::<u64>(),
    ) {
        let limits = Limits { rows: 8, keys: 4, rate_max: 1000 };
        let mut counts = FleetCounters::new(server(0), limits);
        counts.add("mine", 5);
        for (i, name) in names.iter().enumerate() {
            let of = ServerId { name: format!("s{}", i % 20), incarnation: 1 };
            let row = CounterRow { counts: BTreeMap::from([(name.clone(), count)]) };
            let result = counts.merge(&of, &row, 61 * S);
            prop_assert!(count <= 121_000 || i % 20 == 0 || result.is_err());
        }
        prop_assert!(counts.rows() <= 8 && counts.totals().len() <= 8 * 4 + 1);
        let own_row_ahead = CounterRow { counts: BTreeMap::from([("mine".into(), 6)]) };
        prop_assert_eq!(counts.merge(&server(0), &own_row_ahead, 0), Err(RejectedRow::Own));
        prop_assert_eq!(counts.total("mine"), 5);
    }
}
