/** Orders to engines; the wire is the implementation's. */
import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import type { TargetRecord, TargetRole } from '../targets/target-record.js';

/** What an engine says of itself; some hundred milliseconds old. */
export interface EngineReport {
  readonly role: TargetRole | undefined;
  /** True while it carries out an order. */
  readonly busy: boolean;
  /** Orders that it has accepted in this life. */
  readonly ordersAccepted: number;
}

/** Who gives an order, and under which authority. */
export interface OrderAuthority {
  readonly holder: string;
  /** Rises with each change of the holder. */
  readonly fencing: number;
}

export interface RoleOrder extends OrderAuthority {
  readonly role: TargetRole;
  /** The order fails unless the engine has accepted just so many. */
  readonly ordersAccepted: number;
}

/** `accepted` and `holds` are definite; a failure may still be carried out. */
export type OrderAnswer = 'accepted' | 'holds' | 'refused';

export abstract class EngineOrders {
  abstract report(target: TargetRecord): Promise<Either<Failure, EngineReport>>;
  abstract changeRole(
    target: TargetRecord,
    order: RoleOrder,
  ): Promise<Either<Failure, OrderAnswer>>;
}
