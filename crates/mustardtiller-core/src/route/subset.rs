//! Which upstreams of a large service an entry keeps links to.

use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;

/// Choose `size` of `names` for one entry, by rendezvous hash.
///
/// Returns the indices in rising order. The same inputs give the same subset,
/// and the loss of one name changes one place in it. Entries are spread evenly.
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

fn weight<N: Hash>(entry: &str, name: &N) -> u64 {
    let mut hasher = DefaultHasher::new();
    entry.hash(&mut hasher);
    name.hash(&mut hasher);
    hasher.finish()
}
