//! Tests that the documentation matches the code.

use bulrushtrestle_core::verdict::Reason;

#[test]
fn callers_find_every_reason() {
    let page = include_str!("../../../docs/CALLERS.md");
    for reason in Reason::ALL {
        let row = format!("| `{reason}` | {} |", reason.status());
        assert!(page.contains(&row), "no row for {reason}");
    }
}
