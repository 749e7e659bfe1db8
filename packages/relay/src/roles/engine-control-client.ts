/**
 * Interface for reading engine status and changing engine roles. The
 * implementation defines the wire protocol.
 */
import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import type { TargetRecord, TargetRole } from '../targets/target-record.js';

/** Status reported by an engine; it may be a few hundred milliseconds old. */
export interface EngineStatus {
  readonly role: TargetRole | undefined;
  /** True while the engine executes a command. */
  readonly busy: boolean;
  /** Number of commands that the engine has accepted since its process started. */
  readonly acceptedCommandCount: number;
}

/** Identifies the sender of a command and the lease that authorizes it. */
export interface CommandAuthority {
  /** Name of the instance that holds the role lease. */
  readonly holder: string;
  /** Fencing token of the lease; it increases whenever the holder changes. */
  readonly fencing: number;
}

/** Command that assigns a new role to an engine. */
export interface RoleChangeCommand extends CommandAuthority {
  readonly role: TargetRole;
  /** The engine refuses the command unless it has accepted exactly this many. */
  readonly acceptedCommandCount: number;
}

/**
 * Answer of an engine to a command. `accepted` and `holds` are definite. If the
 * call fails instead, the engine may still execute the command.
 */
export type CommandResult = 'accepted' | 'holds' | 'refused';

/** Client for the control interface of engines. */
export abstract class EngineControlClient {
  abstract fetchStatus(
    target: TargetRecord,
  ): Promise<Either<Failure, EngineStatus>>;
  abstract changeRole(
    target: TargetRecord,
    command: RoleChangeCommand,
  ): Promise<Either<Failure, CommandResult>>;
}
