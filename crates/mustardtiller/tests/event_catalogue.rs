//! `docs/EVENTS.md` lists exactly the events that the code defines.

use std::collections::HashSet;

use mustardtiller::Event;

const CATALOGUE: &str = include_str!("../../../docs/EVENTS.md");

#[test]
fn every_event_is_in_the_catalogue() {
    for event in Event::ALL {
        let row = format!(
            "| E{} | {:?} | {} |",
            event.number(),
            event.level(),
            event.text()
        );
        assert!(
            CATALOGUE.contains(&row),
            "docs/EVENTS.md has no row `{row}`"
        );
    }
}

#[test]
fn the_catalogue_has_no_other_event() {
    let rows = CATALOGUE
        .lines()
        .filter(|line| line.starts_with("| E"))
        .count();
    assert_eq!(rows, Event::ALL.len());
}

#[test]
fn numbers_are_unique_and_rise() {
    let numbers: Vec<u16> = Event::ALL.iter().map(|event| event.number()).collect();
    let unique: HashSet<u16> = numbers.iter().copied().collect();
    assert_eq!(unique.len(), numbers.len());
    assert!(numbers.is_sorted());
}
