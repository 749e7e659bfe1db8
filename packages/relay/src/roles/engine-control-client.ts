/** Orders to engines; the wire is the implementation's. */
import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import type { TargetRecord, TargetRole } from '../targets/target-record.js';

/** What an engine says of itself; some hundred milliseconds old. */
export interface EngineStatus {
  readonly role: TargetRole | undefined;
  /** True while it carries out an order. */
  readonly busy: boolean;
  /** Orders that it has accepted in this life. */
  readonly acceptedCommandCount: number;
}

/** Who gives an order, and under which authority. */
export interface CommandAuthority {
  readonly holder: string;
  /** Rises with each change of the holder. */
  readonly fencing: number;
}

export interface RoleChangeCommand extends CommandAuthority {
  readonly role: TargetRole;
  /** The order fails unless the engine has accepted just so many. */
  readonly acceptedCommandCount: number;
}

/** `accepted` and `holds` are definite; a failure may still be carried out. */
export type CommandResult = 'accepted' | 'holds' | 'refused';

export abstract class EngineControlClient {
  abstract fetchStatus(
    target: TargetRecord,
  ): Promise<Either<Failure, EngineStatus>>;
  abstract changeRole(
    target: TargetRecord,
    order: RoleChangeCommand,
  ): Promise<Either<Failure, CommandResult>>;
}
