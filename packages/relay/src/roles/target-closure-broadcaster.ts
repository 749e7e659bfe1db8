/** Tells all instances which engines change their role and take no work. */
import type { Kernel } from '@medlarlever/core';
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { PeerTopology } from '../peers/peer-topology.js';
import type { TargetRegistry } from '../targets/target-registry.js';

const closeTargetMethod = 'relay.close';

const closeTargetSchema = z.object({
  target: z.string(),
  /** Zero opens the target again. */
  forMs: z.number().nonnegative(),
});

export class TargetClosureBroadcaster {
  constructor(
    private readonly topology: PeerTopology,
    private readonly targets: TargetRegistry,
  ) {}

  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(closeTargetMethod, params => {
      const { target, forMs } = closeTargetSchema.parse(params);
      this.targets.findTarget(target)?.startRoleChange(forMs);
      return Promise.resolve(Right(null));
    });
  }

  /** No instance that hears of it sends new work there for the time. */
  closeTarget(target: string, forMs: number): void {
    this.targets.findTarget(target)?.startRoleChange(forMs);
    this.topology.notifyAll(closeTargetMethod, { target, forMs });
  }

  reopenTarget(target: string): void {
    this.closeTarget(target, 0);
  }
}
