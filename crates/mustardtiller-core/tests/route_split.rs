//! Weighted split of a route, the offers of a request, and subsets by data centre.

use mustardtiller_core::OfferRule;
use mustardtiller_core::Offers;
use mustardtiller_core::QueueMode;
use mustardtiller_core::Splitter;
use mustardtiller_core::subset_by_group;

#[test]
fn every_300_requests_match_the_weights() {
    let mut rng = fastrand::Rng::with_seed(2);
    for weights in [[90, 10], [50, 50], [1, 99], [70, 30]] {
        // Twelve daemons, each with its own sequence, interleaved at random.
        let splitters: Vec<Splitter> = (0..12).map(|_| Splitter::new(rng.u32(..))).collect();
        let parts: Vec<usize> = (0..3_000)
            .map(|_| splitters[rng.usize(..12)].next(&weights))
            .collect();
        for window in parts.windows(300) {
            let first = window.iter().filter(|part| **part == 0).count() as f64 / 300.0;
            let share = f64::from(weights[0]) / 100.0;
            assert!(
                (first - share).abs() < 0.1,
                "share {first}, expected {share}"
            );
        }
    }
}

#[test]
fn parts_of_weight_zero_get_nothing() {
    let splitter = Splitter::new(9);
    assert!((0..1_000).all(|_| splitter.next(&[0, 5, 0]) == 1));
}

#[test]
fn immediate_offers_precede_queued_ones() {
    let mut offers = Offers::new(OfferRule {
        immediate: 2,
        queued: 1,
    });
    let mut order = Vec::new();
    while let Some(queue_mode) = offers.next() {
        order.push(queue_mode);
        offers.record_refusal(queue_mode);
    }
    assert_eq!(order, [QueueMode::None, QueueMode::None, QueueMode::Queue]);
}

#[test]
fn subset_prefers_the_own_data_centre() {
    let names: Vec<String> = (0..185).map(|n| format!("u{n}")).collect();
    let mut chosen_by = vec![0_u32; names.len()];
    for entry in 0..185 {
        let is_near = |index: usize| index % 5 == entry % 5;
        let group_of = |index: usize| usize::from(!is_near(index));
        let chosen = subset_by_group(&format!("e{entry}"), &names, group_of, &[10, 6]);
        assert_eq!(chosen.len(), 16);
        assert_eq!(chosen.iter().filter(|&&index| is_near(index)).count(), 10);
        assert!(chosen.is_sorted());
        for index in chosen {
            chosen_by[index] += 1;
        }
    }
    // 16 on average: no upstream has less than a quarter or three times as many.
    assert!(chosen_by.iter().all(|&count| (4..48).contains(&count)));
}

#[test]
fn subset_of_a_small_service_is_all_of_it() {
    let names = ["a", "b", "c", "d"];
    let chosen = subset_by_group("me", &names, |index| usize::from(index != 2), &[10, 6]);
    assert_eq!(chosen, [0, 1, 2, 3]);
}
