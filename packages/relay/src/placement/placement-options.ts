/** Inputs of a placement. */
import type { StreamOrigin } from '../origins/stream-origin.js';
import type { Prompt } from '../requests/relay-request.js';
import type { RoomCheck } from '../room/room-check.js';
import type { TargetState } from '../targets/target-state.js';

import type { PrefillSpeed } from './prefill-speed.js';
import type { SamplingOptions } from './target-sampling.js';

/** Request, candidate targets and cost parameters of one placement. */
export interface PlacementOptions extends SamplingOptions {
  readonly targets: readonly TargetState[];
  /**
   * Engines that take no new requests but whose KV cache can still be copied.
   */
  readonly leavingTargets: readonly TargetState[];
  readonly prompt: Prompt;
  readonly prefillSpeed: PrefillSpeed;
  /** Requests that one engine runs at the same time. */
  readonly slots: number;
  /** Time to copy the KV cache of one token from another engine. */
  readonly transferMsPerToken: number;
  /** Engines whose memory has room for the request; all if undefined. */
  readonly room?: RoomCheck;
  /** Targets that already failed for this request. */
  readonly excluded: ReadonlySet<TargetState>;
  /** Data centres to which connections currently fail. */
  readonly unreached: ReadonlySet<string>;
  /**
   * Where the stream began that is to go on; undefined for a new one. Only targets of
   * the same software version can continue it. KV caches depend on the weights alone,
   * so any version may prefill.
   */
  readonly origin: StreamOrigin | undefined;
  /**
   * False if the target may be another incarnation than the one that is registered, of
   * which the software version is not known; true by default.
   */
  readonly isIncarnationKnown?: (target: TargetState) => boolean;
  /** True if this instance has an idle connection to the target; true by default. */
  readonly isConnected?: (target: TargetState) => boolean;
}
