/**
 * Decides whether a request may run with its key. A request runs only if its key was in a
 * configuration that is known to be recent, and is refused for good only if its key is in no
 * configuration that was accepted before it arrived.
 */
import type { Customer, Route } from '../routes/route-configuration.js';

/**
 * Share of the longest delay of a withdrawal up to which a configuration is recent enough.
 * The rest is left for the clocks of the instances, which may shift by 250 ms unseen.
 */
export const maxAgeShare = 0.8;

/** What the decision about one request depends on. */
export interface KeyCheckInput {
  readonly route: Pick<Route, 'anonymous'>;
  readonly keyHash: string | undefined;
  /** Finds the customer of a key; undefined if requests need no key. */
  readonly findCustomer:
    ((keyHash: string) => Customer | undefined) | undefined;
  /** Milliseconds since all accepted configurations were known; Infinity if never. */
  readonly configurationAgeMs: number;
  /** Longest delay of a withdrawal; undefined if the platform sets none. */
  readonly maxDelayMs: number | undefined;
}

/** `anonymous`: the request needs no key. */
export type KeyVerdict =
  | { readonly kind: 'allowed'; readonly customer: Customer }
  | { readonly kind: 'anonymous' }
  | { readonly kind: 'unknown_key' }
  | { readonly kind: 'stale' };

const anonymous: KeyVerdict = { kind: 'anonymous' };

/** Judges a request by the configuration in force. */
export const checkKey = ({
  route,
  keyHash,
  findCustomer,
  configurationAgeMs,
  maxDelayMs = Infinity,
}: KeyCheckInput): KeyVerdict => {
  if (findCustomer === undefined || route.anonymous) return anonymous;
  const customer = keyHash === undefined ? undefined : findCustomer(keyHash);
  if (customer === undefined) return { kind: 'unknown_key' };
  return configurationAgeMs <= maxDelayMs * maxAgeShare
    ? { kind: 'allowed', customer }
    : { kind: 'stale' };
};

/** How a request with an unknown key goes on. */
export type UnknownKeyStep = 'refuse' | 'wait' | 'give_up';

/** What is known about the configuration since a request with an unknown key arrived. */
export interface UnknownKeyInput {
  /** False if the request carries no key at all; no configuration can change that. */
  readonly hasKey: boolean;
  readonly arrivedAtMs: number;
  /** Monotonic time up to which all configurations are known. */
  readonly knownAsOfMs: number | undefined;
  /** Time for which the request has waited for a read. */
  readonly waitedMs: number;
}

/** Time within which a read must show that a key is unknown. */
export const unknownKeyTimeoutMs = 400;

/** Only a configuration that is as recent as the request makes its key unknown for good. */
export const decideUnknownKey = ({
  hasKey,
  arrivedAtMs,
  knownAsOfMs = -Infinity,
  waitedMs,
}: UnknownKeyInput): UnknownKeyStep => {
  if (!hasKey || knownAsOfMs >= arrivedAtMs) return 'refuse';
  return waitedMs >= unknownKeyTimeoutMs ? 'give_up' : 'wait';
};
