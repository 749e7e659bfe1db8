/** Passes the changes of tables on from hubs to the instances they tell. */
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { Kernel } from '@medlarlever/core';

import { RelayedFeed } from './shared-change-stream.js';
import type { RelayedPage } from './shared-change-stream.js';
import type { RowFeed } from './change-stream.js';

const rowsMethod = 'relay.rows';

const messageSchema = z.object({
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
type Message = z.infer<typeof messageSchema>;

/** Whom the changes are passed on to, and how. */
export interface RowNewsOptions {
  /** Instances that this one follows the tables for. */
  readonly members: () => readonly string[];
  readonly tell: (member: string, method: string, params: unknown) => void;
}

const toMessage = (table: string, page: RelayedPage): Message => ({
  table,
  after: page.after,
  position: page.position,
  rows: page.rows.map(({ key, position, value }) => ({
    key,
    position,
    value: value?.toString('base64'),
  })),
});

const toPage = ({ after, position, rows }: Message): RelayedPage => ({
  after,
  position,
  rows: rows.map(row => ({
    ...row,
    value:
      row.value === undefined ? undefined : Buffer.from(row.value, 'base64'),
  })),
});

/** The shared feeds by table. */
export class RowNews {
  readonly #feeds = new Map<string, RelayedFeed>();

  constructor(private readonly options: RowNewsOptions) {}

  /** The feed with what hubs tell of it. */
  share(feed: RowFeed): RelayedFeed {
    const { members, tell } = this.options;
    const shared = new RelayedFeed({
      feed,
      isHub: () => members().length > 0,
      publish: page => {
        const message = toMessage(feed.name, page);
        for (const member of members()) tell(member, rowsMethod, message);
      },
    });
    this.#feeds.set(feed.name, shared);
    return shared;
  }

  /** Registers the method by which hubs pass changes on. */
  register(kernel: Kernel): void {
    kernel.method(rowsMethod, params => {
      const message = messageSchema.parse(params);
      this.#feeds.get(message.table)?.take(toPage(message));
      return Promise.resolve(Right(null));
    });
  }
}
