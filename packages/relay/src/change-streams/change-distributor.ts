/** Passes the changes of tables on from hubs to the instances they tell. */
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { Kernel } from '@medlarlever/core';

import { SharedChangeStream } from './shared-change-stream.js';
import type { SharedChangePage } from './shared-change-stream.js';
import type { ChangeStream } from './change-stream.js';

const rowsChangedMethod = 'relay.rows';

const changePageMessageSchema = z.object({
  table: z.string(),
  after: z.number(),
  position: z.number(),
  rows: z.array(
    z.object({
      key: z.string(),
      position: z.number(),
      /** base64; absent on a removed row. */
      value: z.string().optional(),
    }),
  ),
});
type ChangePageMessage = z.infer<typeof changePageMessageSchema>;

/** Whom the changes are passed on to, and how. */
export interface ChangeDistributorOptions {
  /** Instances that this one follows the tables for. */
  readonly listMembers: () => readonly string[];
  readonly notifyMember: (
    member: string,
    method: string,
    params: unknown,
  ) => void;
}

const encodeChangePage = (
  table: string,
  page: SharedChangePage,
): ChangePageMessage => ({
  table,
  after: page.after,
  position: page.position,
  rows: page.rows.map(({ key, position, value }) => ({
    key,
    position,
    value: value?.toString('base64'),
  })),
});

const decodeChangePage = ({
  after,
  position,
  rows,
}: ChangePageMessage): SharedChangePage => ({
  after,
  position,
  rows: rows.map(row => ({
    ...row,
    value:
      row.value === undefined ? undefined : Buffer.from(row.value, 'base64'),
  })),
});

/** The shared feeds by table. */
export class ChangeDistributor {
  readonly #streamsByTable = new Map<string, SharedChangeStream>();

  constructor(private readonly options: ChangeDistributorOptions) {}

  /** The feed with what hubs tell of it. */
  shareChangeStream(feed: ChangeStream): SharedChangeStream {
    const { listMembers: members, notifyMember: tell } = this.options;
    const shared = new SharedChangeStream({
      changeStream: feed,
      isAggregator: () => members().length > 0,
      publishPage: page => {
        const message = encodeChangePage(feed.name, page);
        for (const member of members())
          tell(member, rowsChangedMethod, message);
      },
    });
    this.#streamsByTable.set(feed.name, shared);
    return shared;
  }

  /** Registers the method by which hubs pass changes on. */
  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(rowsChangedMethod, params => {
      const message = changePageMessageSchema.parse(params);
      this.#streamsByTable
        .get(message.table)
        ?.receivePage(decodeChangePage(message));
      return Promise.resolve(Right(null));
    });
  }
}
