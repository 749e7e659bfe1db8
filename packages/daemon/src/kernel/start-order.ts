/**
 * Ranks of the lifecycle hooks. Hooks start in ascending order and stop in
 * descending order. Hooks of one rank start in the order of their registration
 * and stop in the reverse order.
 */
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
