/**
 * Notifies all instances which engines are changing their role and accept no
 * requests in the meantime.
 */
import type { Kernel } from '@medlarlever/core';
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { PeerTopology } from '../peers/peer-topology.js';
import type { TargetRegistry } from '../targets/target-registry.js';

const closeTargetMethod = 'relay.close';

const closeTargetSchema = z.object({
  target: z.string(),
  /** Duration of the closure in milliseconds; zero reopens the target. */
  forMs: z.number().nonnegative(),
});

/** Closes and reopens targets on this instance and on all peers. */
export class TargetClosureBroadcaster {
  constructor(
    private readonly topology: PeerTopology,
    private readonly targets: TargetRegistry,
  ) {}

  /** Registers the peer method through which other instances close targets. */
  registerMethods(kernel: Kernel): void {
    kernel.registerPeerMethod(closeTargetMethod, params => {
      const { target, forMs } = closeTargetSchema.parse(params);
      this.targets.findTarget(target)?.startRoleChange(forMs);
      return Promise.resolve(Right(null));
    });
  }

  /**
   * Closes the target for `forMs` milliseconds. Instances that receive the
   * notification send no new requests to the target during that time.
   */
  closeTarget(target: string, forMs: number): void {
    this.targets.findTarget(target)?.startRoleChange(forMs);
    this.topology.notifyAll(closeTargetMethod, { target, forMs });
  }

  reopenTarget(target: string): void {
    this.closeTarget(target, 0);
  }
}
