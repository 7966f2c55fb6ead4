//! The subset of a large service's upstreams to which an entry keeps links.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Choose `size` of `names` for one entry, by rendezvous hash.
///
/// Returns the indices in ascending order. The same inputs give the same
/// subset, and the removal of one name replaces at most one member. Entries are
/// spread evenly over the names.
#[must_use]
pub fn subset<N: Hash>(entry: &str, names: &[N], size: usize) -> Vec<usize> {
    let mut ranked: Vec<(u64, usize)> = names
        .iter()
        .enumerate()
        .map(|(index, name)| (weight(entry, name), index))
        .collect();
    if ranked.len() > size {
        ranked.select_nth_unstable(size);
        ranked.truncate(size);
    }
    let mut chosen: Vec<usize> = ranked.into_iter().map(|(_, index)| index).collect();
    chosen.sort_unstable();
    chosen
}

/// Choose up to `sizes[group]` names of each group.
///
/// An entry sends most requests to its own data centre and needs few links to others,
/// however large the service is. Returns the indices in ascending order.
#[must_use]
pub fn subset_by_group<N: Hash>(
    entry: &str,
    names: &[N],
    group_of: impl Fn(usize) -> usize,
    sizes: &[usize],
) -> Vec<usize> {
    let choose = |(group, size): (usize, &usize)| -> Vec<usize> {
        let members = (0..names.len()).filter(|&index| group_of(index) == group);
        let members: Vec<usize> = members.collect();
        let member_names: Vec<&N> = members.iter().map(|&index| &names[index]).collect();
        let chosen = subset(entry, &member_names, *size);
        chosen.into_iter().map(|index| members[index]).collect()
    };
    let mut chosen: Vec<usize> = sizes.iter().enumerate().flat_map(choose).collect();
    chosen.sort_unstable();
    chosen
}

fn weight<N: Hash>(entry: &str, name: &N) -> u64 {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    name.hash(&mut hasher);
    hasher.finish()
}
