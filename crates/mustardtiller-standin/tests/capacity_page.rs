//! The capacity page has the table that follows from the measured slopes.
//!
//! The page goes out of date when a slope or the formula of a figure changes.

use mustardtiller::config::Source;
use mustardtiller_standin::FleetSize;
use mustardtiller_standin::Slopes;
use mustardtiller_standin::capacity_table;

#[test]
fn the_page_has_the_current_table() {
    let slopes = Source::new("slopes.ini", include_str!("../../../docs/slopes.ini"));
    let slopes = Slopes::read(&slopes).expect("the slopes are valid");
    let target = FleetSize {
        upstreams: 4_800,
        services: 190,
        services_called: 22,
        subset: 20,
        data_centres: 13,
        readers: 3,
        changes_per_day: 8_000,
        hosts_every_s: 60,
    };
    let page = include_str!("../../../docs/CAPACITY.md");
    let table = capacity_table(&slopes, &target);
    assert!(
        page.contains(&table),
        "docs/CAPACITY.md should have this table:\n{table}"
    );
}

#[test]
fn a_misspelt_slope_is_a_fault() {
    let faults = Slopes::read(&Source::new("slopes.ini", "[slopes]\nrest_byte = 1\n"));
    let faults = faults.expect_err("a slope is misspelt");
    assert!(
        faults
            .iter()
            .any(|fault| fault.advice == "did you mean `rest_bytes`?")
    );
}
