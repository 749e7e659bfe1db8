/** Order in which steps start; they stop in reverse. */
export const startOrder = {
  peerListener: 10,
  membership: 20,
  configuration: 30,
  targets: 40,
  controlLoops: 50,
  operatorListener: 60,
  callerListener: 70,
  drain: 80,
} as const;
