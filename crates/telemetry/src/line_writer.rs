//! Writer of log lines to standard output that never blocks the event loop.

use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::stdio::stdout;

/// A pipe that polls as writable accepts at least this many bytes without blocking (`PIPE_BUF`).
const LINE_MAX_BYTES: usize = 4_096;

/// Further lines in the same second are dropped and counted.
const LINES_MAX_PER_S: u32 = 400;

/// Part of `LINES_MAX_PER_S` that info lines may not use.
const LINES_RESERVED_PER_S: u32 = 100;

const SECOND: Duration = Duration::from_secs(1);

static DROPPED: AtomicU64 = AtomicU64::new(0);

/// Returns the number of log lines dropped since the start of the process, for either reason: quota
/// exceeded or standard output not writable.
pub fn dropped_lines() -> u64 {
    DROPPED.load(Ordering::Relaxed)
}

/// Quota of log lines per second.
#[derive(Debug)]
pub(crate) struct LineQuota {
    window_start: Instant,
    lines: u32,
}

impl LineQuota {
    pub(crate) fn new(now: Instant) -> Self {
        Self { window_start: now, lines: 0 }
    }

    /// Counts one line and returns `true`, or returns `false` if the quota of this second is used up.
    pub(crate) fn try_take(&mut self, now: Instant, urgent: bool) -> bool {
        if now.saturating_duration_since(self.window_start) >= SECOND {
            *self = Self::new(now);
        }
        let reserved = if urgent { 0 } else { LINES_RESERVED_PER_S };
        let allowed = self.lines < LINES_MAX_PER_S - reserved;
        self.lines += u32::from(allowed);
        allowed
    }
}

/// Writes each line with one call, and drops lines that exceed the quota or would block.
#[derive(Debug)]
pub(crate) struct LineWriter {
    quota: LineQuota,
}

impl LineWriter {
    pub(crate) fn new() -> Self {
        Self { quota: LineQuota::new(Instant::now()) }
    }
}

impl Write for LineWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let urgent = line.windows(LEVEL_INFO.len()).all(|part| part != LEVEL_INFO);
        let truncated = &line[..line.len().min(LINE_MAX_BYTES)];
        let written = self.quota.try_take(Instant::now(), urgent)
            && is_stdout_writable()
            && rustix::io::write(stdout(), truncated).is_ok();
        if !written {
            DROPPED.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

const LEVEL_INFO: &[u8] = b"level=info";

/// Returns whether standard output accepts a line without blocking.
fn is_stdout_writable() -> bool {
    let out = stdout();
    let mut polled = [PollFd::new(&out, PollFlags::OUT)];
    let no_wait = Timespec { tv_sec: 0, tv_nsec: 0 };
    matches!(poll(&mut polled, Some(&no_wait)), Ok(1))
        && polled[0].revents().contains(PollFlags::OUT)
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a flood of info lines that uses CPU time and displaces warnings.
    #[test]
    fn quota_reserves_lines_for_warnings() {
        let start = Instant::now();
        let mut quota = LineQuota::new(start);
        let info = (0..1_000).filter(|_| quota.try_take(start, false)).count();
        let urgent = (0..1_000).filter(|_| quota.try_take(start, true)).count();
        assert_eq!((info, urgent), (300, 100));
        assert!(quota.try_take(start + SECOND, false), "the quota is not reset after a second");
    }
}
