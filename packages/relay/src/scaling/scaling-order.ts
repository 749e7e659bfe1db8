/** Orders that the scaling policy decides on. */
import type { DutyResult, TargetOrder } from '../duties/duty-client.js';

import type { OrderReason } from './order-bounds.js';

/** An order with its reason. */
export interface ScalingOrder extends TargetOrder {
  /** Targets that there should have been before. */
  readonly before: number;
  readonly reason: OrderReason;
}

/**
 * Returns the orders that may still be sent after the answer to an order of the same
 * decision. Others of its data centre may rely on targets that it was to give back.
 */
export const listOrdersAfter = (
  rest: readonly ScalingOrder[],
  { dataCenter, before, desired }: ScalingOrder,
  result: DutyResult | undefined,
): readonly ScalingOrder[] => {
  if (result === 'rate_limited') return [];
  if (result === 'accepted' || desired > before) return rest;
  return rest.filter(order => order.dataCenter !== dataCenter);
};
