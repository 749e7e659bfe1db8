/**
 * Divides the limit that a target names for all instances together. Every instance
 * works out its own part from the names of all instances, without communication.
 */
import { createHash } from 'node:crypto';

/** Instances among which a limit is divided. */
export interface LimitGroup {
  /** Name of this instance. */
  readonly self: string;
  /**
   * Names of all instances that may send, this one included. Those that are out of
   * reach stay in it, so that an instance that is cut off doesn't take their part.
   */
  readonly names: readonly string[];
}

/** Part of one instance that may send. */
export interface LimitShare {
  readonly requestsPerSecond: number;
  /** Requests that may be sent at once after a pause. */
  readonly burst: number;
}

/**
 * Rate at which requests are sent even if a target names a lower limit: only the
 * answers to requests show that the limit has ended.
 */
const minRequestsPerSecond = 0.25;

/**
 * Each instance that may send adds a burst of at least one request to what the target
 * gets, so that few may send at a low limit.
 */
const minSenderCount = 3;
const sendersPerRequestPerSecond = 0.5;

/** Part of one second's requests that all instances together may send at once. */
const burstSeconds = 0.5;

/** Requests a second that the instances together send to a target with the limit. */
export const computeSendRate = (limit: number): number =>
  Math.max(minRequestsPerSecond, limit);

/** The same at every instance, and different for each target. */
const computeWeight = (target: string, instance: string): string =>
  createHash('sha1').update(`${target} ${instance}`).digest('hex');

/** Number of instances that the target's hash places before this one. */
const computeRank = (target: string, { self, names }: LimitGroup): number => {
  const ownWeight = computeWeight(target, self);
  return names.filter(
    name => name !== self && computeWeight(target, name) > ownWeight,
  ).length;
};

/**
 * Returns the part of this instance in a target's limit, in requests a second;
 * undefined if others send to that target and not this instance.
 */
export const computeLimitShare = (
  limit: number,
  target: string,
  group: LimitGroup,
): LimitShare | undefined => {
  const sendRate = computeSendRate(limit);
  const maxSenders = Math.floor(
    minSenderCount + sendersPerRequestPerSecond * limit,
  );
  const senderCount = Math.max(1, Math.min(group.names.length, maxSenders));
  if (computeRank(target, group) >= senderCount) return undefined;
  return {
    requestsPerSecond: sendRate / senderCount,
    burst: Math.max(1, (burstSeconds * sendRate) / senderCount),
  };
};
