/** Which processes may still send an order. */
import type { FleetList } from '../fleet/fleet-list.js';

import type { ProcessIdentity } from './lease-manager.js';
import type { CommandRecord, CommandSender } from './command-record.js';

export interface CommandSendersOptions {
  readonly fleet: FleetList;
  readonly self: ProcessIdentity;
}

export class CommandSenders {
  readonly #options: CommandSendersOptions;

  constructor(options: CommandSendersOptions) {
    this.#options = options;
  }

  removeSelf(senders: readonly CommandSender[]): CommandSender[] {
    const { incarnation } = this.#options.self;
    return senders.filter(sender => sender.incarnation !== incarnation);
  }

  addSelf(senders: readonly CommandSender[]): CommandSender[] {
    const { name, incarnation } = this.#options.self;
    return [...this.removeSelf(senders), { name, incarnation }];
  }

  /** True when this process is among them. */
  includesSelf(senders: readonly CommandSender[]): boolean {
    return this.removeSelf(senders).length < senders.length;
  }

  /** Other processes that are not confirmed gone; a timeout proves nothing. */
  async listPossibleSenders(
    record: CommandRecord,
  ): Promise<readonly CommandSender[]> {
    const others = this.removeSelf(record.senders);
    if (others.length === 0) return [];
    const members = (await this.#options.fleet.listMembers()).orDefault([]);
    const gone = new Set(
      members
        .filter(({ state }) => state === 'gone')
        .map(({ incarnation }) => incarnation),
    );
    return others.filter(({ incarnation }) => !gone.has(incarnation));
  }
}
