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

/// Choose up to `near_size` of the near names and `far_size` of the others.
///
/// An entry sends most requests to its own data centre and needs few links to others,
/// however large the service is. Returns the indices in ascending order.
#[must_use]
pub fn subset_by_data_centre<N: Hash>(
    entry: &str,
    names: &[N],
    is_near: impl Fn(usize) -> bool,
    near_size: usize,
    far_size: usize,
) -> Vec<usize> {
    let (near, far): (Vec<usize>, Vec<usize>) = (0..names.len()).partition(|&n| is_near(n));
    let choose = |group: &[usize], size: usize| -> Vec<usize> {
        let group_names: Vec<&N> = group.iter().map(|&index| &names[index]).collect();
        let chosen = subset(entry, &group_names, size);
        chosen.into_iter().map(|index| group[index]).collect()
    };
    let mut chosen = choose(&near, near_size);
    chosen.extend(choose(&far, far_size));
    chosen.sort_unstable();
    chosen
}

fn weight<N: Hash>(entry: &str, name: &N) -> u64 {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    name.hash(&mut hasher);
    hasher.finish()
}
