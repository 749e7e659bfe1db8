/** Exit codes of the command line; docs/CLI.md lists them. */
import type { Failure } from '@medlarlever/core';

export const exitCodes = {
  ok: 0,
  failed: 1,
  usage: 2,
  conflict: 3,
  unreachable: 4,
  notYetInForce: 5,
} as const;

const conflictCodes: ReadonlySet<string> = new Set([
  'revision_conflict',
  'operation_reused',
  'plan_conflict',
  'order_conflict',
]);

/** The exit code by which a script tells failures apart. */
export const getExitCode = ({ code }: Failure): number => {
  if (code === 'invalid_usage') return exitCodes.usage;
  if (code === 'daemon_unreachable') return exitCodes.unreachable;
  return conflictCodes.has(code) ? exitCodes.conflict : exitCodes.failed;
};
