//! Work that comes while the daemon stops.

use crate::board::LongestTimes;
use crate::daemon::Node;
use mustardtiller_core::Deadline;
use mustardtiller_core::LateWork;
use mustardtiller_core::NotRunReason;

impl Node {
    /// Return the deadline with which work may begin here.
    ///
    /// It is `deadline` unless the daemon stops. `times` are the times that such work
    /// took lately.
    ///
    /// # Errors
    ///
    /// Returns [`NotRunReason::Leaving`] if the stop might cut the work.
    pub fn work_deadline(
        &self,
        deadline: Deadline,
        idempotent: bool,
        kind_digest: u32,
        times: &LongestTimes,
    ) -> Result<Deadline, NotRunReason> {
        let stop = self.board.stop.read();
        let Some(schedule) = stop.as_ref() else {
            return Ok(deadline);
        };
        let work = LateWork {
            deadline,
            idempotent,
            longest_micros: times.micros(kind_digest),
        };
        let deadline = schedule.deadline_of(&work, self.clock.now());
        deadline.ok_or(NotRunReason::Leaving)
    }
}
