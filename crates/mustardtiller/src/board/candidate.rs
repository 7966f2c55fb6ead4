//! One upstream from the point of view of an entry.

use std::sync::Arc;

use crate::board::Signals;
use crate::link::LinkSlot;
use mustardtiller_config::Upstream;
use mustardtiller_core::Availability;
use mustardtiller_core::Instant;
use mustardtiller_core::RegionName;
use mustardtiller_core::Sample;
use mustardtiller_core::ServiceName;
use mustardtiller_wire::UpstreamNotice;

/// An upstream to which this entry may send requests. Written by the routes controller.
#[derive(Debug)]
pub struct Candidate {
    /// The upstream's configuration.
    pub upstream: Arc<Upstream>,
    /// The service to which the upstream belongs.
    pub service: ServiceName,
    /// Whether the upstream runs in another data centre than this daemon.
    pub in_other_data_centre: bool,
    /// Whether the upstream runs in another region than this daemon, as far as is known.
    pub in_other_region: bool,
    /// Region of the upstream's data centre, if it is known.
    pub region: Option<RegionName>,
    /// Whether its data centre is out of service, so that it gets no request.
    pub evacuated: bool,
    /// Cost of reaching the upstream from here, in microseconds of latency.
    pub price_micros: u32,
    /// Start of the upstream, in milliseconds of Unix time; zero if it is not known.
    pub started_ms: u64,
    /// Load, latency and error signals; shared between successive snapshots.
    pub signals: Arc<Signals>,
    /// The link to the upstream's daemon; shared between successive snapshots.
    pub link_slot: Arc<LinkSlot>,
}

impl Candidate {
    /// Return what the upstream said of itself, for its gate to know after a restart.
    #[must_use]
    pub fn notice(&self) -> Option<UpstreamNotice> {
        let start_milli = self.signals.start_milli();
        let leaving = self.signals.announced_leaving();
        (start_milli > 0 || leaving).then(|| UpstreamNotice {
            upstream: self.upstream.name.to_string(),
            started_ms: self.started_ms,
            start_milli,
            leaving,
        })
    }

    /// Read the inputs for choosing an upstream.
    #[must_use]
    pub fn sample(&self, now: Instant) -> Sample {
        let link_up = self.link_slot.is_up();
        let mut sample = self.signals.sample(link_up, self.price_micros, now);
        if self.evacuated {
            sample.availability = Availability::Closed;
        }
        sample
    }
}
