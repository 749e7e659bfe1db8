/**
 * Loaded before a daemon: each SIGUSR2 steps its time of day, there and back.
 * The steady clock is left alone, as on a machine whose time is set.
 */
const stepMs = 120_000;

const originalNow = Date.now.bind(Date);
let offsetMs = 0;
Date.now = () => originalNow() + offsetMs;
process.on('SIGUSR2', () => {
  offsetMs = offsetMs === 0 ? stepMs : 0;
});
