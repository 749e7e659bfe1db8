/** Tells all instances which engines change their role and take no work. */
import type { Kernel } from '@medlarlever/core';
import { Right } from 'purify-ts';
import { z } from 'zod';

import type { NewsTopology } from '../peers/peer-topology.js';
import type { TargetRegistry } from '../targets/target-registry.js';

const closeMethod = 'relay.close';

const closeSchema = z.object({
  target: z.string(),
  /** Zero opens the target again. */
  forMs: z.number().nonnegative(),
});

export class RoleNews {
  constructor(
    private readonly topology: NewsTopology,
    private readonly targets: TargetRegistry,
  ) {}

  register(kernel: Kernel): void {
    kernel.method(closeMethod, params => {
      const { target, forMs } = closeSchema.parse(params);
      this.targets.findTarget(target)?.startRoleChange(forMs);
      return Promise.resolve(Right(null));
    });
  }

  /** No instance that hears of it sends new work there for the time. */
  close(target: string, forMs: number): void {
    this.targets.findTarget(target)?.startRoleChange(forMs);
    this.topology.spread(closeMethod, { target, forMs });
  }

  reopen(target: string): void {
    this.close(target, 0);
  }
}
