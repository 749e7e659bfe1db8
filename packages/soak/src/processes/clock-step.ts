/**
 * Preloaded into a daemon: each SIGUSR2 steps its wall clock (`Date.now`), first
 * forward, then back. The monotonic clock is unchanged, as when the time of a
 * machine is set.
 */
const stepMs = 120_000;

const originalNow = Date.now.bind(Date);
let offsetMs = 0;
Date.now = () => originalNow() + offsetMs;
process.on('SIGUSR2', () => {
  offsetMs = offsetMs === 0 ? stepMs : 0;
});
