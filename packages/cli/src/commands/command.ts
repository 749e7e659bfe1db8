/** What every command gets and gives back. */
import type { Failure } from '@medlarlever/core';
import type { Either } from 'purify-ts';

import type { OperatorClient } from '../operator-client.js';
import type { Output } from '../output.js';

export interface CommandFlags {
  readonly operationId?: string;
  readonly remove: readonly string[];
  readonly roles: boolean;
  readonly preview: boolean;
  readonly role?: string;
  readonly model?: string;
  readonly reason?: string;
  readonly orderId?: string;
  readonly customer?: string;
  readonly limit: number;
  readonly waitMs: number;
}

export interface CommandContext {
  readonly input: readonly string[];
  readonly flags: CommandFlags;
  readonly client: OperatorClient;
  readonly output: Output;
}

/** Runs a command; the number is the exit code. */
export type Command = (
  context: CommandContext,
) => Promise<Either<Failure, number>>;
