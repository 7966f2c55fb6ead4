//! Which kinds of request are made by runs, learned from where requests come from.

use mustardtiller_core::KIND_SLOTS;
use mustardtiller_core::KindSources;
use mustardtiller_core::nested_kinds;

/// Services beside whose upstreams requests begin, with their hosts.
const CATALOGUE: usize = 0;
const ORDERS: usize = 1;
const ARCHIVE: usize = 2;

/// Kinds by their digests.
const PLACE: u32 = 3;
const STATUS: u32 = 7;
const AUDIT: u32 = 9;

/// A kind, its requests by source, and those from idle hosts.
type Row<'a> = (u32, &'a [(usize, u32)], u32);

fn kinds(list: &[Row<'_>]) -> [KindSources; KIND_SLOTS] {
    let mut kinds = [KindSources::default(); KIND_SLOTS];
    for (kind, sources, from_idle_hosts) in list {
        let entry = &mut kinds[*kind as usize];
        for (source, count) in *sources {
            entry.by_source[*source] = *count;
        }
        entry.from_idle_hosts = *from_idle_hosts;
    }
    kinds
}

/// Orders begin on all hosts; their status is read only by runs of the catalogue.
const PLACED: &[(usize, u32)] = &[(CATALOGUE, 30), (ORDERS, 60), (ARCHIVE, 25)];

#[test]
fn calls_of_one_service_are_nested() {
    let counts = kinds(&[(PLACE, PLACED, 4), (STATUS, &[(CATALOGUE, 20)], 0)]);
    let nested = nested_kinds(&counts);
    assert!(nested.contains(STATUS));
    assert!(!nested.contains(PLACE));
}

#[test]
fn nothing_is_known_of_few_requests() {
    let counts = kinds(&[(PLACE, PLACED, 4), (STATUS, &[(CATALOGUE, 8)], 0)]);
    assert!(!nested_kinds(&counts).contains(STATUS));
}

#[test]
fn calls_from_idle_hosts_are_made_by_callers() {
    let counts = kinds(&[(PLACE, PLACED, 4), (STATUS, &[(CATALOGUE, 60)], 2)]);
    assert!(!nested_kinds(&counts).contains(STATUS));
}

#[test]
fn nothing_is_known_if_all_calls_begin_beside_one_service() {
    let counts = kinds(&[
        (PLACE, &[(CATALOGUE, 500)], 0),
        (STATUS, &[(CATALOGUE, 400)], 0),
    ]);
    assert_eq!(nested_kinds(&counts).0, 0);
}

/// Two kinds that runs of different services make say nothing of each other.
#[test]
fn nothing_is_known_if_all_kinds_may_be_nested() {
    let counts = kinds(&[
        (STATUS, &[(CATALOGUE, 60)], 0),
        (AUDIT, &[(ORDERS, 60), (ARCHIVE, 60)], 0),
    ]);
    assert_eq!(nested_kinds(&counts).0, 0);
}

/// At full load no host is idle, so no kind is proved to be made by callers.
#[test]
fn nothing_is_known_if_no_host_is_idle() {
    let counts = kinds(&[(PLACE, PLACED, 0), (STATUS, &[(CATALOGUE, 60)], 0)]);
    assert_eq!(nested_kinds(&counts).0, 0);
}

/// A kind of unknown origin adds nothing to what callers' requests show.
#[test]
fn only_proved_kinds_are_compared() {
    let counts = kinds(&[
        (PLACE, &[(CATALOGUE, 60)], 4),
        (STATUS, &[(CATALOGUE, 60)], 0),
        (AUDIT, &[(ORDERS, 60)], 0),
    ]);
    let nested = nested_kinds(&counts);
    assert!(!nested.contains(STATUS));
    assert!(nested.contains(AUDIT));
}
