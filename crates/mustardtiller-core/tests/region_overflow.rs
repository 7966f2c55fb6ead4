//! Demand that swells in one region and then in the other.
//!
//! Replays a wave over two regions, with offers as entries make them and gates that admit
//! by their slots. What crosses must be the overflow, as far as the other region has room.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use mustardtiller_core::OfferScope;
use mustardtiller_core::QueueMode;

/// Gates of each region.
const GATES: usize = 20;

/// Slots of each gate.
const SLOTS: u32 = 8;

/// Service time of every request, in microseconds.
const SERVICE_MICROS: u64 = 100_000;

/// Requests that one region can serve per second.
const CAPACITY: f64 = GATES as f64 * SLOTS as f64 * 1_000_000.0 / SERVICE_MICROS as f64;

/// Immediate offers of one request.
const IMMEDIATE: u32 = 4;

/// Requests that may wait at a gate.
const WAITING: u32 = 16;

/// Length of a window in which crossings are counted, in microseconds.
const WINDOW_MICROS: u64 = 250_000;

#[derive(Clone, Copy, Default)]
struct Gate {
    running: u32,
    waiting: u32,
}

#[derive(Clone, Copy, Debug, Default)]
struct Window {
    arrivals: [u32; 2],
    crossed: [u32; 2],
    refused: [u32; 2],
}

struct World {
    gates: [[Gate; GATES]; 2],
    ends: BinaryHeap<Reverse<(u64, usize, usize)>>,
    rng: fastrand::Rng,
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            gates: [[Gate::default(); GATES]; 2],
            ends: BinaryHeap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// End what has run by `now`; a waiting request takes the slot.
    fn advance(&mut self, now: u64) {
        while let Some(Reverse((end, region, gate))) = self.ends.peek().copied() {
            if end > now {
                return;
            }
            self.ends.pop();
            let state = &mut self.gates[region][gate];
            if state.waiting > 0 {
                state.waiting -= 1;
                let next = Reverse((end + SERVICE_MICROS, region, gate));
                self.ends.push(next);
            } else {
                state.running -= 1;
            }
        }
    }

    /// Offer a request for a start at once; the gate refuses if it is full.
    fn offer(&mut self, region: usize, now: u64) -> bool {
        let gate = self.rng.usize(..GATES);
        let state = &mut self.gates[region][gate];
        let starts = state.running < SLOTS && state.waiting == 0;
        if starts {
            state.running += 1;
            self.ends
                .push(Reverse((now + SERVICE_MICROS, region, gate)));
        }
        starts
    }

    /// Queue a request at home, at the less loaded of two gates.
    fn queue(&mut self, region: usize) -> bool {
        let draws = [self.rng.usize(..GATES), self.rng.usize(..GATES)];
        let gates = &mut self.gates[region];
        let gate = draws.into_iter().min_by_key(|gate| gates[*gate].waiting);
        let state = &mut gates[gate.unwrap_or_default()];
        let admitted = state.waiting < WAITING;
        state.waiting += u32::from(admitted);
        admitted
    }

    fn request(&mut self, home: usize, now: u64, window: &mut Window) {
        window.arrivals[home] += 1;
        for refused in 0..IMMEDIATE {
            let scope = OfferScope::of_offer(QueueMode::None, refused, GATES as u32 - refused);
            let region = if scope.admits(true, 0, 0) {
                1 - home
            } else {
                home
            };
            if self.offer(region, now) {
                window.crossed[home] += u32::from(region != home);
                return;
            }
        }
        assert_eq!(
            OfferScope::of_offer(QueueMode::Queue, IMMEDIATE, 0),
            OfferScope::Home
        );
        window.refused[home] += u32::from(!self.queue(home));
    }
}

/// Play loads, in shares of the capacity of each region at a time in seconds.
fn play(seconds: u64, load: impl Fn(f64) -> [f64; 2]) -> Vec<Window> {
    let mut world = World::new(11);
    let mut windows = Vec::new();
    let step = 1_000;
    for start in (0..seconds * 1_000_000).step_by(WINDOW_MICROS as usize) {
        let mut window = Window::default();
        for now in (start..start + WINDOW_MICROS).step_by(step) {
            world.advance(now);
            let loads = load(now as f64 / 1_000_000.0);
            for (home, share) in loads.into_iter().enumerate() {
                let mean = share * CAPACITY * step as f64 / 1_000_000.0;
                // A random number of arrivals with this mean.
                let mut arrivals = mean as u32;
                arrivals += u32::from(world.rng.f64() < mean.fract());
                for _ in 0..arrivals {
                    world.request(home, now, &mut window);
                }
            }
        }
        windows.push(window);
    }
    windows
}

fn crossed_share(windows: &[Window], home: usize) -> f64 {
    let crossed: u32 = windows.iter().map(|window| window.crossed[home]).sum();
    let arrivals: u32 = windows.iter().map(|window| window.arrivals[home]).sum();
    f64::from(crossed) / f64::from(arrivals.max(1))
}

#[test]
fn nothing_crosses_while_home_has_room() {
    let windows = play(20, |_| [0.75, 0.3]);
    assert!(
        crossed_share(&windows, 0) < 0.01,
        "{}",
        crossed_share(&windows, 0)
    );
    assert!(crossed_share(&windows, 1) < 0.001);
}

#[test]
fn the_overflow_crosses_where_there_is_room() {
    // A fifth more than one region can serve, while the other is half idle.
    let windows = &play(12, |_| [1.2, 0.5])[8..];
    let overflow = 0.2 / 1.2;
    let share = crossed_share(windows, 0);
    assert!(
        (overflow * 0.75..overflow * 1.5).contains(&share),
        "{share}"
    );
    let refused: u32 = windows.iter().map(|window| window.refused[0]).sum();
    let arrivals: u32 = windows.iter().map(|window| window.arrivals[0]).sum();
    assert!(refused * 20 < arrivals, "{refused} of {arrivals}");
    // Smoothly: no window has more than twice the mean.
    for window in windows {
        let of_window = f64::from(window.crossed[0]) / f64::from(window.arrivals[0]);
        assert!(of_window < share * 2.0, "{window:?}");
    }
    assert!(crossed_share(windows, 1) < 0.01);
}

#[test]
fn little_crosses_when_both_are_full() {
    let windows = &play(12, |_| [1.3, 1.3])[8..];
    for home in 0..2 {
        assert!(crossed_share(windows, home) < 0.02);
    }
}

#[test]
fn a_wave_from_place_to_place_is_served() {
    let wave = |at: f64| {
        let swing = 0.5 * (at / 13.0 * std::f64::consts::TAU).sin();
        [0.75 + swing, 0.75 - swing]
    };
    let windows = play(26, wave);
    let arrivals: u32 = windows.iter().map(|w| w.arrivals[0] + w.arrivals[1]).sum();
    let refused: u32 = windows.iter().map(|w| w.refused[0] + w.refused[1]).sum();
    assert!(refused * 100 < arrivals, "{refused} of {arrivals}");
    // In each half of the wave, the region with room keeps its own.
    for window in &windows {
        let (crossed, arrivals) = (window.crossed, window.arrivals);
        for home in 0..2 {
            let has_room = f64::from(arrivals[home]) < 0.7 * CAPACITY / 4.0;
            assert!(
                !has_room || crossed[home] * 50 <= arrivals[home],
                "{window:?}"
            );
        }
    }
}

#[test]
fn reports_of_a_full_region_spare_the_offers_there() {
    let scope = |refused, free| OfferScope::of_offer(QueueMode::None, refused, free);
    assert_eq!(scope(0, 1), OfferScope::Home);
    assert_eq!(scope(0, 0), OfferScope::Elsewhere);
    assert_eq!(scope(3, 5), OfferScope::Elsewhere);
}

#[test]
fn an_answer_that_comes_too_late_is_not_sought_elsewhere() {
    let scope = OfferScope::Elsewhere;
    assert!(scope.admits(true, 200_000, 200_000));
    assert!(!scope.admits(true, 200_001, 200_000));
    assert!(!scope.admits(false, 0, 200_000));
    assert_eq!(scope.otherwise(QueueMode::None), Some(OfferScope::Home));
    assert_eq!(
        OfferScope::Home.otherwise(QueueMode::Queue),
        Some(OfferScope::Any)
    );
}
