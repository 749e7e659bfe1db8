/** Every check of a run. */
import type { Evidence } from '../run/run-record.js';

import {
  boundedRuns,
  nothingDenied,
  nothingForeign,
  orderedEvents,
  trueRefusals,
  wholeAnswers,
} from './answer-checks.js';
import type { Check, Violation } from './check.js';
import {
  configurationInForce,
  expectedExits,
  noWayBack,
  nothingLostInStops,
  recovery,
  startsReady,
  steadyMachine,
} from './process-checks.js';
import {
  endedWork,
  goneCallers,
  leavingTargets,
  oneHolder,
  retryBudget,
} from './target-checks.js';

const checks: readonly Check[] = [
  steadyMachine,
  wholeAnswers,
  orderedEvents,
  nothingForeign,
  boundedRuns,
  trueRefusals,
  nothingDenied,
  leavingTargets,
  goneCallers,
  endedWork,
  retryBudget,
  oneHolder,
  configurationInForce,
  noWayBack,
  nothingLostInStops,
  expectedExits,
  startsReady,
  recovery,
];

export const judge = (evidence: Evidence): Violation[] =>
  checks.flatMap(check => check(evidence));
