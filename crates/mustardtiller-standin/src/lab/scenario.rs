//! The parameters of a simulation run.

/// The parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// Name, used as the table's heading.
    pub name: &'static str,
    /// Number of entries, spread evenly over the data centres.
    pub entries: usize,
    /// Number of upstreams, spread evenly over the data centres.
    pub upstreams: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// One-way delay between data centres, in microseconds.
    pub delay_micros: u64,
    /// Price of a call to another data centre, in microseconds of latency.
    pub price_micros: u32,
    /// Requests that an upstream runs at once.
    pub slots: u32,
    /// Requests that can wait at an upstream; more are refused.
    pub queue: usize,
    /// Mean service time of an upstream at full speed, in microseconds.
    pub service_micros: u64,
    /// Load, in percent of the fleet's capacity.
    pub load_percent: u64,
    /// Whether each upstream's speed changes every 5 to 50 ms.
    pub varying_speed: bool,
    /// Whether the first upstream fails fast from a third of the run on.
    pub failing: bool,
    /// Number of requests.
    pub requests: usize,
    /// Seed of the random numbers.
    pub seed: u64,
}

impl Scenario {
    /// Return the scenario of one service of the forge deployment, in three data centres.
    #[must_use]
    pub const fn forge() -> Self {
        Self {
            name: "forge katalog, shifting, 85%",
            entries: 12,
            upstreams: 5,
            data_centres: 3,
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

    /// Return the scenario of one service of the doormats deployment, in four data centres.
    #[must_use]
    pub const fn doormats() -> Self {
        Self {
            name: "doormats vitrina, shifting, 85%",
            entries: 12,
            upstreams: 4,
            data_centres: 4,
            delay_micros: 5_000,
            price_micros: 6_000,
            slots: 9,
            ..Self::forge()
        }
    }
}
