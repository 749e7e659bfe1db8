/** Forwards table changes from an aggregator to the members of its data centre. */
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { EraTracker, Kernel } from '@medlarlever/core';

import { streamPositionSchema } from './change-stream.js';
import type { ChangeStream, TableConfirmation } from './change-stream.js';
import { SharedChangeStream } from './shared-change-stream.js';
import type { SharedChangePage } from './shared-change-stream.js';

/** Peer method by which an aggregator sends a page of changes to a member. */
const rowsChangedMethod = 'relay.rows';

const changePageMessageSchema = z.object({
  table: z.string(),
  after: streamPositionSchema,
  position: streamPositionSchema,
  rows: z.array(
    z.object({
      key: z.string(),
      version: z.number(),
      /** Row value encoded as base64; absent if the row was removed. */
      value: z.string().optional(),
    }),
  ),
});
type ChangePageMessage = z.infer<typeof changePageMessageSchema>;

/** Dependencies of {@link ChangeDistributor}. */
export interface ChangeDistributorOptions {
  /** Lists the instances on whose behalf this one reads the tables. */
  readonly listMembers: () => readonly string[];
  /** True if the member learns from the load reports which tables are unchanged. */
  readonly acceptsConfirmations: (member: string) => boolean;
  /** Sends a notification to a member; the message may be lost. */
  readonly notifyMember: (
    member: string,
    method: string,
    params: unknown,
  ) => void;
  /** Era of the platform's store; an aggregator's page may be the first to show a new one. */
  readonly eras: EraTracker;
}

const encodeChangePage = (
  table: string,
  page: SharedChangePage,
): ChangePageMessage => ({
  table,
  after: page.after,
  position: page.position,
  rows: page.rows.map(({ key, version, value }) => ({
    key,
    version,
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

/** An empty page, or several in a row, that members have not been told of. */
interface PendingConfirmation {
  readonly page: SharedChangePage;
  /** Time of the last empty page, on the monotonic clock. */
  readonly atMs: number;
}

/** Manages the shared change streams of all tables. */
export class ChangeDistributor {
  readonly #pendingConfirmations = new Map<string, PendingConfirmation>();
  readonly #streamsByTable = new Map<string, SharedChangeStream>();

  constructor(private readonly options: ChangeDistributorOptions) {}

  /** Wraps a change stream so that aggregators can supply its changes. */
  shareChangeStream(changeStream: ChangeStream): SharedChangeStream {
    const { listMembers, eras } = this.options;
    const sharedStream = new SharedChangeStream({
      changeStream,
      eras,
      isAggregator: () => listMembers().length > 0,
      publishPage: page => {
        this.#publishPage(changeStream.name, page);
      },
    });
    this.#streamsByTable.set(changeStream.name, sharedStream);
    return sharedStream;
  }

  /** True if `takeConfirmations` would return any. */
  get hasConfirmations(): boolean {
    return this.#pendingConfirmations.size > 0;
  }

  /** Returns which tables have been found unchanged since the last call. */
  takeConfirmations(): TableConfirmation[] {
    const nowMs = performance.now();
    const confirmations = [...this.#pendingConfirmations].map(
      ([table, { page, atMs }]) => ({
        table,
        after: page.after,
        position: page.position,
        ageMs: Math.round(nowMs - atMs),
      }),
    );
    this.#pendingConfirmations.clear();
    return confirmations;
  }

  /** Applies the confirmations in a report of the aggregator. */
  applyConfirmations(confirmations: readonly TableConfirmation[]): void {
    for (const { table, after, position, ageMs } of confirmations) {
      const page = { after, position, rows: [] };
      this.#streamsByTable.get(table)?.receivePage(page, ageMs);
    }
  }

  /**
   * Sends a page with rows to all members at once. One without rows waits for the next
   * load report, except for members that expect each page.
   */
  #publishPage(table: string, page: SharedChangePage): void {
    const { listMembers, notifyMember, acceptsConfirmations } = this.options;
    const message = encodeChangePage(table, page);
    const isEmpty = page.rows.length === 0;
    for (const member of listMembers()) {
      if (!isEmpty || !acceptsConfirmations(member))
        notifyMember(member, rowsChangedMethod, message);
    }
    const pending = this.#pendingConfirmations.get(table)?.page;
    this.#pendingConfirmations.delete(table);
    if (!isEmpty) return;
    const isSuccessor =
      pending?.position.era === page.after.era &&
      pending.position.version === page.after.version;
    this.#pendingConfirmations.set(table, {
      page: isSuccessor ? { ...page, after: pending.after } : page,
      atMs: performance.now(),
    });
  }

  /** Registers the peer method that receives pages from aggregators. */
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
