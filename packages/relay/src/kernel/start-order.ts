/** Ranks of the lifecycle hooks: they start in ascending and stop in reverse order. */
export const startOrder = {
  feeds: 10,
  callers: 20,
  readiness: 30,
  peers: 40,
  metrics: 50,
  control: 60,
  drain: 70,
} as const;
