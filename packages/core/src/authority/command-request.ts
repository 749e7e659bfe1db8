/** What callers ask of the order book. */
import type { OrderAction } from '../target/target.js';

import type { Lease } from './lease.js';

/** Lease under which a target gets its orders. */
export const orderLeaseName = (target: string): string => `orders/${target}`;

export interface OrderRequest {
  readonly target: string;
  readonly action: OrderAction;
  /** Held under `orderLeaseName(target)`. */
  readonly lease: Lease;
  /** Given again to go on with an order; chosen when missing. */
  readonly orderId?: string;
}

export interface OrderRelease {
  readonly target: string;
  readonly orderId: string;
  readonly operator: string;
  readonly reason: string;
}
