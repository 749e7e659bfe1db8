/** Order in which the relay's steps start; they stop in reverse. */
export const startOrder = {
  feeds: 10,
  callers: 20,
  readiness: 30,
  peers: 40,
  metrics: 50,
  control: 60,
  drain: 70,
} as const;
