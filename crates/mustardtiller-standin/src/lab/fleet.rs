//! One simulation run: entries, upstreams and the events between them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::VecDeque;

use super::policy::LabPolicy;
use super::policy::POLL_INTERVAL_MICROS;
use super::scenario::Scenario;
use super::tables::LabResult;
use mustardtiller::Signals;
use mustardtiller::core::Instant;
use mustardtiller::core::Sample;
use mustardtiller::core::choose;
use mustardtiller::wire::LoadReport;

/// Time that a failing upstream takes to answer with an error, in microseconds.
const ERROR_MICROS: u64 = 200;

/// Time that a policy gets to detect the failure, in microseconds.
///
/// Requests to the failing upstream are counted only after it.
const DETECTION_MICROS: u64 = 100_000;

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    /// A new request arrives at an entry.
    Arrival,
    /// A request reaches its upstream.
    Delivery { upstream: usize, request: usize },
    /// The upstream answers or refuses a request.
    Completion {
        upstream: usize,
        request: usize,
        failed: bool,
    },
    /// The answer reaches the entry, with the load of the upstream.
    Answer {
        upstream: usize,
        request: usize,
        failed: bool,
        in_flight: u32,
    },
    /// The speed of an upstream changes.
    SpeedChange { upstream: usize },
    /// The load of every upstream is polled.
    Poll,
}

struct Upstream {
    running: u32,
    waiting: VecDeque<usize>,
    speed_percent: u64,
}

struct Request {
    entry: usize,
    started_at: u64,
}

/// The state of one run; times are in microseconds since its start.
struct Simulation<'a> {
    scenario: &'a Scenario,
    policy: LabPolicy,
    /// Pending events by time, then by order of insertion.
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    sequence: u64,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    /// Signals by entry and upstream.
    signals: Vec<Vec<Signals>>,
    /// Requests in flight at each upstream, as of the last poll.
    polled_in_flight: Vec<u32>,
    /// Round-robin counter of each entry.
    round_robin: Vec<usize>,
    arrival_rng: fastrand::Rng,
    speed_rng: fastrand::Rng,
    choice_rng: fastrand::Rng,
    /// Time at which the first upstream starts to fail.
    fails_at: u64,
    result: LabResult,
}

/// Run a scenario under a policy.
#[must_use]
pub fn run_scenario(scenario: &Scenario, policy: LabPolicy) -> LabResult {
    let mut simulation = Simulation::new(scenario, policy);
    while let Some(Reverse((now, _, event))) = simulation.events.pop() {
        simulation.handle(now, event);
    }
    simulation.result.sorted_micros.sort_unstable();
    simulation.result
}

impl<'a> Simulation<'a> {
    fn new(scenario: &'a Scenario, policy: LabPolicy) -> Self {
        let upstreams = (0..scenario.upstreams).map(|_| Upstream {
            running: 0,
            waiting: VecDeque::new(),
            speed_percent: 100,
        });
        let signals = (0..scenario.entries).map(|_| {
            let per_upstream = (0..scenario.upstreams).map(|_| Signals::new(scenario.slots));
            per_upstream.collect()
        });
        let run_micros = scenario.requests as u64 * mean_gap_micros(scenario);
        let mut simulation = Self {
            scenario,
            policy,
            events: BinaryHeap::new(),
            sequence: 0,
            upstreams: upstreams.collect(),
            requests: Vec::with_capacity(scenario.requests),
            signals: signals.collect(),
            polled_in_flight: vec![0; scenario.upstreams],
            round_robin: (0..scenario.entries).collect(),
            arrival_rng: fastrand::Rng::with_seed(scenario.seed),
            speed_rng: fastrand::Rng::with_seed(scenario.seed + 1),
            choice_rng: fastrand::Rng::with_seed(scenario.seed + 2),
            fails_at: if scenario.failing {
                run_micros / 3
            } else {
                u64::MAX
            },
            result: LabResult {
                policy: policy.name(),
                sorted_micros: Vec::with_capacity(scenario.requests),
                errors: 0,
                polls: 0,
                to_other_data_centres: 0,
                to_failing: 0,
                since_failing: 0,
                requests: 0,
            },
        };
        simulation.push(0, Event::Arrival);
        if scenario.varying_speed {
            for upstream in 0..scenario.upstreams {
                simulation.push(0, Event::SpeedChange { upstream });
            }
        }
        if policy.polls() {
            simulation.push(0, Event::Poll);
        }
        simulation
    }

    fn push(&mut self, at: u64, event: Event) {
        self.sequence += 1;
        self.events.push(Reverse((at, self.sequence, event)));
    }

    fn all_arrived(&self) -> bool {
        self.requests.len() >= self.scenario.requests
    }

    fn handle(&mut self, now: u64, event: Event) {
        match event {
            Event::Arrival => self.arrive(now),
            Event::Delivery { upstream, request } => self.deliver(now, upstream, request),
            Event::Completion {
                upstream,
                request,
                failed,
            } => self.complete(now, upstream, request, failed),
            Event::Answer {
                upstream,
                request,
                failed,
                in_flight,
            } => {
                self.answer(now, upstream, request, failed, in_flight);
            }
            Event::SpeedChange { upstream } => self.change_speed(now, upstream),
            Event::Poll => self.poll(now),
        }
    }

    fn arrive(&mut self, now: u64) {
        let entry = self.arrival_rng.usize(..self.scenario.entries);
        let gap = exponential(&mut self.arrival_rng, mean_gap_micros(self.scenario));
        let request = self.requests.len();
        self.requests.push(Request {
            entry,
            started_at: now,
        });
        let upstream = self.choose(now, entry);
        self.signals[entry][upstream].request_started();
        self.count_request(now, entry, upstream);
        let delay = self.delay(entry, upstream);
        self.push(now + delay, Event::Delivery { upstream, request });
        if !self.all_arrived() {
            self.push(now + gap, Event::Arrival);
        }
    }

    fn count_request(&mut self, now: u64, entry: usize, upstream: usize) {
        self.result.requests += 1;
        self.result.to_other_data_centres += u64::from(self.is_far(entry, upstream));
        if now > self.fails_at.saturating_add(DETECTION_MICROS) {
            self.result.since_failing += 1;
            self.result.to_failing += u64::from(upstream == 0);
        }
    }

    fn deliver(&mut self, now: u64, upstream: usize, request: usize) {
        let failing = upstream == 0 && now >= self.fails_at;
        let server = &mut self.upstreams[upstream];
        if failing {
            self.push(
                now + ERROR_MICROS,
                Event::Completion {
                    upstream,
                    request,
                    failed: true,
                },
            );
        } else if server.running < self.scenario.slots {
            server.running += 1;
            self.serve(now, upstream, request);
        } else if server.waiting.len() < self.scenario.queue {
            server.waiting.push_back(request);
        } else {
            self.push(
                now,
                Event::Completion {
                    upstream,
                    request,
                    failed: true,
                },
            );
        }
    }

    fn serve(&mut self, now: u64, upstream: usize, request: usize) {
        let mean = self.scenario.service_micros * 100 / self.upstreams[upstream].speed_percent;
        // Half of the service time is fixed, half is exponentially distributed.
        let mut rng = fastrand::Rng::with_seed(self.scenario.seed << 32 | request as u64);
        let micros = mean / 2 + exponential(&mut rng, mean / 2);
        self.push(
            now + micros,
            Event::Completion {
                upstream,
                request,
                failed: false,
            },
        );
    }

    fn complete(&mut self, now: u64, upstream: usize, request: usize, failed: bool) {
        if !failed {
            match self.upstreams[upstream].waiting.pop_front() {
                Some(next) => self.serve(now, upstream, next),
                None => self.upstreams[upstream].running -= 1,
            }
        }
        let server = &self.upstreams[upstream];
        let in_flight = server.running + server.waiting.len() as u32;
        let delay = self.delay(self.requests[request].entry, upstream);
        self.push(
            now + delay,
            Event::Answer {
                upstream,
                request,
                failed,
                in_flight,
            },
        );
    }

    fn answer(&mut self, now: u64, upstream: usize, request: usize, failed: bool, in_flight: u32) {
        let Request { entry, started_at } = self.requests[request];
        let signals = &self.signals[entry][upstream];
        let at = Instant::from_micros(now);
        let load = LoadReport {
            in_flight,
            limit: self.scenario.slots,
            ramp_milli: 1_000,
            work_percent: 100,
            leaving: false,
            announced_leaving: false,
            start_milli: 0,
            start_wait_ms: 0,
            shed_wait_ms: 0,
            queue_wait_ms: 0,
            nested_kinds: 0,
        };
        signals.record_load(load, at);
        signals.record_answer(now - started_at, failed, at);
        signals.request_ended();
        if failed {
            self.result.errors += 1;
        } else {
            self.result.sorted_micros.push(now - started_at);
        }
    }

    fn change_speed(&mut self, now: u64, upstream: usize) {
        // During a quarter of the periods, a noisy neighbour lowers the speed to
        // between 33% and 69%.
        self.upstreams[upstream].speed_percent = if self.speed_rng.u8(0..4) == 0 {
            self.speed_rng.u64(33..70)
        } else {
            100
        };
        let next = now + self.speed_rng.u64(5_000..50_000);
        if !self.all_arrived() {
            self.push(next, Event::SpeedChange { upstream });
        }
    }

    fn poll(&mut self, now: u64) {
        for (polled_in_flight, server) in self.polled_in_flight.iter_mut().zip(&self.upstreams) {
            *polled_in_flight = server.running + server.waiting.len() as u32;
        }
        self.result.polls += (self.scenario.upstreams * self.scenario.entries) as u64;
        if !self.all_arrived() {
            self.push(now + POLL_INTERVAL_MICROS, Event::Poll);
        }
    }

    fn choose(&mut self, now: u64, entry: usize) -> usize {
        let count = self.scenario.upstreams;
        match self.policy {
            LabPolicy::RoundRobin => {
                self.round_robin[entry] += 1;
                self.round_robin[entry] % count
            }
            LabPolicy::Random => self.choice_rng.usize(..count),
            LabPolicy::LeastLoaded => self.least_polled(0..count),
            LabPolicy::TwoChoices => {
                let (one, other) = (
                    self.choice_rng.usize(..count),
                    self.choice_rng.usize(..count),
                );
                self.least_polled([one, other].into_iter())
            }
            LabPolicy::Daemon(policy) => {
                let at = Instant::from_micros(now);
                let samples: Vec<Sample> = (0..count)
                    .map(|upstream| {
                        let price = self.price(entry, upstream);
                        self.signals[entry][upstream].sample(true, price, at)
                    })
                    .collect();
                let choice = choose(&samples, &policy, &mut self.choice_rng);
                choice.map_or(0, |choice| choice.index)
            }
            LabPolicy::Oracle => self.fastest_upstream(now, entry),
        }
    }

    fn least_polled(&self, candidates: impl Iterator<Item = usize>) -> usize {
        candidates
            .min_by_key(|upstream| self.polled_in_flight[*upstream])
            .unwrap_or(0)
    }

    /// Return the upstream that would answer first, by its current queue and speed.
    fn fastest_upstream(&self, now: u64, entry: usize) -> usize {
        let expected = |upstream: usize| {
            let server = &self.upstreams[upstream];
            let mean = self.scenario.service_micros * 100 / server.speed_percent;
            let ahead = u64::from(server.running) + server.waiting.len() as u64 + 1;
            let slots = u64::from(self.scenario.slots);
            let waiting = mean * ahead.saturating_sub(slots) / slots;
            let failing = upstream == 0 && now >= self.fails_at;
            let penalty = if failing { u64::MAX / 4 } else { 0 };
            mean + waiting + mean * ahead / slots / 100 + self.delay(entry, upstream) * 2 + penalty
        };
        (0..self.scenario.upstreams)
            .min_by_key(|upstream| expected(*upstream))
            .unwrap_or(0)
    }

    const fn is_far(&self, entry: usize, upstream: usize) -> bool {
        entry % self.scenario.data_centres != upstream % self.scenario.data_centres
    }

    /// Return the one-way network delay, in microseconds.
    const fn delay(&self, entry: usize, upstream: usize) -> u64 {
        if self.is_far(entry, upstream) {
            self.scenario.delay_micros
        } else {
            100
        }
    }

    /// Return the price of an upstream for the daemon's policy, in microseconds.
    ///
    /// For another data centre, it is the price of the call and the round trip.
    const fn price(&self, entry: usize, upstream: usize) -> u32 {
        if self.is_far(entry, upstream) {
            self.scenario.price_micros + self.scenario.delay_micros as u32 * 2
        } else {
            0
        }
    }
}

/// Return the mean time between two requests, in microseconds.
///
/// It follows from the capacity of the fleet and the load of the scenario.
fn mean_gap_micros(scenario: &Scenario) -> u64 {
    // With varying speed, an upstream runs at 88% of its speed on average.
    let speed_percent = if scenario.varying_speed { 88 } else { 100 };
    let slots = u64::from(scenario.slots) * scenario.upstreams as u64;
    scenario.service_micros * 10_000 / (slots * scenario.load_percent * speed_percent)
}

/// Draw from an exponential distribution with the given mean.
fn exponential(rng: &mut fastrand::Rng, mean: u64) -> u64 {
    let draw = rng.f64().max(1e-9);
    (-draw.ln() * mean as f64) as u64
}
