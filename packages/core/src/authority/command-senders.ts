/** Determines which processes may still send a command. */
import type { FleetList } from '../fleet/fleet-list.js';

import type { ProcessIdentity } from './leases.js';
import type { CommandRecord, CommandSender } from './command-record.js';

export interface CommandSenderResolverOptions {
  readonly fleet: FleetList;
  readonly self: ProcessIdentity;
}

/** Edits the senders of a command and checks them against the fleet list. */
export class CommandSenderResolver {
  readonly #options: CommandSenderResolverOptions;

  constructor(options: CommandSenderResolverOptions) {
    this.#options = options;
  }

  /** Returns the senders without this process. */
  removeSelf(senders: readonly CommandSender[]): CommandSender[] {
    const { incarnation } = this.#options.self;
    return senders.filter(sender => sender.incarnation !== incarnation);
  }

  /** Returns the senders with this process. */
  addSelf(senders: readonly CommandSender[]): CommandSender[] {
    const { name, incarnation } = this.#options.self;
    return [...this.removeSelf(senders), { name, incarnation }];
  }

  /** True when this process is one of the senders. */
  includesSelf(senders: readonly CommandSender[]): boolean {
    return this.removeSelf(senders).length < senders.length;
  }

  /**
   * Lists the other senders that the fleet list does not confirm as gone. A
   * process that only fails to answer may still send the command.
   */
  async listPossibleSenders(
    record: CommandRecord,
  ): Promise<readonly CommandSender[]> {
    const otherSenders = this.removeSelf(record.senders);
    if (otherSenders.length === 0) return [];
    const members = (await this.#options.fleet.listMembers()).orDefault([]);
    const goneIncarnations = new Set(
      members
        .filter(({ state }) => state === 'gone')
        .map(({ incarnation }) => incarnation),
    );
    return otherSenders.filter(
      ({ incarnation }) => !goneIncarnations.has(incarnation),
    );
  }
}
