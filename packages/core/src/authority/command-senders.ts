/** Which processes may still send an order. */
import type { FleetList } from '../fleet/fleet-list.js';

import type { Holder } from './lease-manager.js';
import type { OrderRecord, Sender } from './command-record.js';

export interface OrderSendersOptions {
  readonly fleet: FleetList;
  readonly self: Holder;
}

export class OrderSenders {
  readonly #options: OrderSendersOptions;

  constructor(options: OrderSendersOptions) {
    this.#options = options;
  }

  others(senders: readonly Sender[]): Sender[] {
    const { incarnation } = this.#options.self;
    return senders.filter(sender => sender.incarnation !== incarnation);
  }

  withSelf(senders: readonly Sender[]): Sender[] {
    const { name, incarnation } = this.#options.self;
    return [...this.others(senders), { name, incarnation }];
  }

  /** True when this process is among them. */
  includesSelf(senders: readonly Sender[]): boolean {
    return this.others(senders).length < senders.length;
  }

  /** Other processes that are not confirmed gone; a timeout proves nothing. */
  async mayStillSend(record: OrderRecord): Promise<readonly Sender[]> {
    const others = this.others(record.senders);
    if (others.length === 0) return [];
    const members = (await this.#options.fleet.list()).orDefault([]);
    const gone = new Set(
      members
        .filter(({ state }) => state === 'gone')
        .map(({ incarnation }) => incarnation),
    );
    return others.filter(({ incarnation }) => !gone.has(incarnation));
  }
}
