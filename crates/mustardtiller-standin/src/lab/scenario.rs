//! What a run of the lab is about.

/// The settings of one run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Its name.
    pub name: &'static str,
    /// Entries, spread over the places.
    pub entries: usize,
    /// Upstreams, spread over the places.
    pub upstreams: usize,
    /// Places.
    pub places: usize,
    /// One-way delay between places, in microseconds.
    pub delay_micros: u64,
    /// Price of a call to another place, in microseconds.
    pub price_micros: u32,
    /// Slots of an upstream.
    pub slots: u32,
    /// Requests that wait at an upstream before it refuses.
    pub queue: usize,
    /// Mean time of a request at an upstream, in microseconds.
    pub service_micros: u64,
    /// Load as a share of the capacity, in percent.
    pub load_percent: u64,
    /// Whether the upstreams' speed shifts each 5 to 50 ms.
    pub varying_speed: bool,
    /// Whether the first upstream fails fast from a third of the run on.
    pub failing: bool,
    /// Requests.
    pub requests: usize,
    /// The seed of all draws.
    pub seed: u64,
}

impl Scenario {
    /// Return the forge association's deployment of one service.
    #[must_use]
    pub const fn forge() -> Self {
        Self {
            name: "forge katalog, shifting, 85%",
            entries: 12,
            upstreams: 5,
            places: 3,
            delay_micros: 3_000,
            price_micros: 2_000,
            slots: 12,
            queue: 200,
            service_micros: 8_000,
            load_percent: 85,
            varying_speed: true,
            failing: false,
            requests: 200_000,
            seed: 1,
        }
    }

    /// Return the Villaseñor workshop's deployment of one service.
    #[must_use]
    pub const fn doormats() -> Self {
        Self {
            name: "doormats vitrina, shifting, 85%",
            entries: 12,
            upstreams: 4,
            places: 4,
            delay_micros: 5_000,
            price_micros: 6_000,
            slots: 9,
            ..Self::forge()
        }
    }
}
