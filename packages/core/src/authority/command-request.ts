/** What callers ask of the order book. */
import type { EngineCommandAction } from '../target/target.js';

import type { Lease } from './lease.js';

/** Lease under which a target gets its orders. */
export const getCommandLeaseName = (target: string): string =>
  `orders/${target}`;

export interface CommandRequest {
  readonly target: string;
  readonly action: EngineCommandAction;
  /** Held under `orderLeaseName(target)`. */
  readonly lease: Lease;
  /** Given again to go on with an order; chosen when missing. */
  readonly commandId?: string;
}

export interface CommandRelease {
  readonly target: string;
  readonly orderId: string;
  readonly operator: string;
  readonly reason: string;
}
