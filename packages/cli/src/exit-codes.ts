/** Exit codes of the command line, documented in docs/CLI.md. */
import type { Failure } from '@medlarlever/core';

/** Process exit codes by meaning. */
export const exitCodes = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  unreachable: 4,
  notYetInForce: 5,
} as const;

/** Failure codes that report a conflict with an earlier or a concurrent operation. */
const conflictCodes: ReadonlySet<string> = new Set([
  'revision_conflict',
  'operation_reused',
  'plan_conflict',
  'order_conflict',
]);

/** Maps a failure to the exit code that scripts check. */
export const getExitCode = ({ code }: Failure): number => {
  if (code === 'invalid_usage') return exitCodes.usage;
  if (code === 'daemon_unreachable') return exitCodes.unreachable;
  return conflictCodes.has(code) ? exitCodes.conflict : exitCodes.failed;
};
