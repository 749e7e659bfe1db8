/**
 * Transfers configuration and targets between peers, for instances that cannot
 * reach the platform.
 */
import type { Kernel, Log, PeerMesh } from '@medlarlever/core';
import { Right } from 'purify-ts';
import { z } from 'zod';

import { routeConfigurationSchema } from '../routes/route-configuration.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import { targetRecordsSchema } from '../targets/target-record.js';

const snapshotMethod = 'relay.snapshot';
const snapshotTimeoutMs = 1_000;

const snapshotSchema = z.object({
  configuration: routeConfigurationSchema.optional(),
  targets: targetRecordsSchema,
  /** False in the snapshot of an older instance, which knows no customers. */
  includesCustomers: z.boolean().default(false),
});

/** Dependencies of {@link PeerSnapshots}. */
export interface PeerSnapshotsOptions {
  readonly getMesh: () => PeerMesh;
  readonly routes: RouteTableHolder;
  readonly targets: TargetRegistry;
  readonly log: Log;
  /** True if the platform bounds the delay of withdrawn keys, so that there may be some. */
  readonly mayHaveCustomers: () => boolean;
}

/** Serves snapshots of this instance's state and requests those of peers. */
export class PeerSnapshots {
  #isRequesting = false;

  constructor(private readonly options: PeerSnapshotsOptions) {}

  /** Registers the peer method that returns a snapshot. */
  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(snapshotMethod, () => {
      const { routes, targets } = this.options;
      return Promise.resolve(
        Right({
          configuration: routes.currentTable?.configuration,
          includesCustomers: true,
          targets: targets.listTargets().map(({ record, isLeaving }) => ({
            ...record,
            leaving: isLeaving,
          })),
        }),
      );
    });
  }

  /**
   * Requests a snapshot from one peer. Its targets are applied only while this
   * instance knows no target, because otherwise a removed registration could be
   * restored from an outdated peer.
   */
  async requestSnapshot(name: string): Promise<void> {
    if (this.#isRequesting) return;
    this.#isRequesting = true;
    try {
      const peer = this.options.getMesh().getPeer(name).extract();
      const reply = await peer?.callMethod(
        snapshotMethod,
        {},
        { timeoutMs: snapshotTimeoutMs },
      );
      reply?.ifRight(value => {
        this.#applySnapshot(value, name);
      });
    } finally {
      this.#isRequesting = false;
    }
  }

  /**
   * A configuration without its customers would let every request in, so it is not used
   * where there are customers or may be some.
   */
  #isWhole(includesCustomers: boolean): boolean {
    const { routes, mayHaveCustomers } = this.options;
    const hasCustomers = routes.currentTable?.requiresKeys ?? false;
    return includesCustomers || !(hasCustomers || mayHaveCustomers());
  }

  #applySnapshot(value: unknown, name: string): void {
    const { routes, targets, log } = this.options;
    const parsed = snapshotSchema.safeParse(value);
    if (!parsed.success) {
      log.writeEvent('row_unreadable', {
        from: name,
        reason: parsed.error.message,
      });
      return;
    }
    const { configuration, targets: records, includesCustomers } = parsed.data;
    if (configuration !== undefined && this.#isWhole(includesCustomers))
      routes.applyIfNewer(configuration, name);
    if (targets.targetCount > 0) return;
    log.writeEvent('peer_heard', { from: name, targets: records.length });
    for (const record of records) targets.registerTarget(record);
  }
}
