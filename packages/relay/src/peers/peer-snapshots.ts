/** Lets an instance that cannot reach the platform learn from a neighbour. */
import type { Kernel, Log, PeerMesh } from '@medlarlever/core';
import { Right } from 'purify-ts';
import { z } from 'zod';

import { routeConfigurationSchema } from '../routes/route-configuration.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { TargetRegistry } from '../targets/target-registry.js';
import { targetRecordSchema } from '../targets/target-record.js';

const snapshotMethod = 'relay.snapshot';
const snapshotTimeoutMs = 1_000;

const snapshotSchema = z.object({
  configuration: routeConfigurationSchema.optional(),
  targets: z.array(targetRecordSchema),
});

export interface PeerSnapshotsOptions {
  readonly getMesh: () => PeerMesh;
  readonly routes: RouteTableHolder;
  readonly targets: TargetRegistry;
  readonly log: Log;
}

export class PeerSnapshots {
  #isRequesting = false;

  constructor(private readonly options: PeerSnapshotsOptions) {}

  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(snapshotMethod, () => {
      const { routes, targets } = this.options;
      return Promise.resolve(
        Right({
          configuration: routes.currentTable?.configuration,
          targets: targets.listTargets().map(({ record }) => record),
        }),
      );
    });
  }

  /**
   * Asks one neighbour. Its targets are taken only while none are known here:
   * a registration that was removed must not come back by hearsay.
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
    const { configuration, targets: records } = parsed.data;
    if (configuration !== undefined) routes.applyIfNewer(configuration, name);
    if (targets.targetCount > 0) return;
    log.writeEvent('peer_heard', { from: name, targets: records.length });
    for (const record of records) targets.registerTarget(record);
  }
}
