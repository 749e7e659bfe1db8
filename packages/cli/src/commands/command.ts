/** The signature that all commands share. */
import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import type { OperatorClient } from '../operator-client.js';
import type { Output } from '../output.js';

/** Parsed flags; `meow` in `main.ts` sets the defaults. */
export interface CommandFlags {
  readonly operationId?: string;
  /** Names of templates to remove. */
  readonly remove: readonly string[];
  /** True if `status` also prints the roles of engines. */
  readonly roles: boolean;
  /** True if a plan is computed but not started. */
  readonly preview: boolean;
  readonly role?: string;
  /** `NAME@VERSION` of a model. */
  readonly model?: string;
  readonly reason?: string;
  readonly orderId?: string;
  readonly customer?: string;
  /** Maximum number of history entries. */
  readonly limit: number;
  /** Milliseconds that `apply` waits for all instances. */
  readonly waitMs: number;
}

/** Arguments and services that a command receives. */
export interface CommandContext {
  /** Positional arguments after the command's name. */
  readonly input: readonly string[];
  readonly flags: CommandFlags;
  readonly client: OperatorClient;
  readonly output: Output;
}

/** Runs a command and returns its exit code or a failure. */
export type Command = (
  context: CommandContext,
) => Promise<Either<Failure, number>>;
