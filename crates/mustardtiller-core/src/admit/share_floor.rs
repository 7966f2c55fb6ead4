//! The least share of an upstream's starts that each rank keeps.

use crate::WaitRank;

/// Part of its share of the offered requests that a rank keeps, as a divisor.
const FLOOR_DIVISOR: u64 = 4;

/// Offered requests above which all counts are halved, so that older ones count less.
const MAX_OFFERED: u64 = 256;

/// Offered requests from which the shares of the ranks are known.
const MIN_OFFERED: u64 = 32;

/// Counts of one rank.
#[derive(Clone, Copy, Debug, Default)]
struct ClassCounts {
    offered: u64,
    started: u64,
}

/// Keeps a quarter of its share for each rank while higher ones take the rest.
///
/// Answers the burst of a high rank that lasts: without a floor, lower ranks would get
/// nothing until it ends. The shares are those of the requests that found no free slot.
#[derive(Clone, Debug, Default)]
pub struct ShareFloor {
    classes: [ClassCounts; WaitRank::CLASSES],
    offered: u64,
    started: u64,
}

impl ShareFloor {
    /// Count a request that found no free slot.
    pub fn note_offered(&mut self, rank: WaitRank) {
        self.classes[rank.class()].offered += 1;
        self.offered += 1;
        if self.offered > MAX_OFFERED {
            self.halve();
        }
    }

    /// Count a request that has waited and starts.
    pub fn note_started(&mut self, rank: WaitRank) {
        self.classes[rank.class()].started += 1;
        self.started += 1;
    }

    /// Report whether a rank has had less than its floor of the starts.
    #[must_use]
    pub fn is_owed(&self, rank: WaitRank) -> bool {
        let class = self.classes[rank.class()];
        self.offered >= MIN_OFFERED
            && class.started * self.offered * FLOOR_DIVISOR < class.offered * self.started
    }

    fn halve(&mut self) {
        for class in &mut self.classes {
            class.offered /= 2;
            class.started /= 2;
        }
        self.offered = self.classes.iter().map(|class| class.offered).sum();
        self.started = self.classes.iter().map(|class| class.started).sum();
    }
}
