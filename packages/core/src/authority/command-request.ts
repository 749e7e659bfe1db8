/** Requests to the command coordinator. */
import type { EngineCommandAction } from '../target/target.js';

import type { Lease } from './lease.js';

/** Name of the lease that allows a process to send commands to a target. */
export const getCommandLeaseName = (target: string): string =>
  `orders/${target}`;

/** A command to send to an engine. */
export interface CommandRequest {
  readonly target: string;
  readonly action: EngineCommandAction;
  /** Lease with the name `getCommandLeaseName(target)`. */
  readonly lease: Lease;
  /** Id of an existing command to continue; random by default. */
  readonly commandId?: string;
}

/** An operator's confirmation that no process will send a command again. */
export interface CommandRelease {
  readonly target: string;
  readonly orderId: string;
  readonly operator: string;
  readonly reason: string;
}
