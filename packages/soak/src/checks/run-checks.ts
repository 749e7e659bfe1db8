/** Runs all checks on the record of a soak run. */
import type { RunRecord } from '../run/run-record.js';

import {
  checkExecutionCounts,
  checkValidRequestsAccepted,
  checkUnchangedRequests,
  checkEventOrder,
  checkRefusedRequests,
  checkCompleteAnswers,
} from './answer-checks.js';
import {
  checkAnnouncedDepartures,
  checkPauses,
} from './announcement-checks.js';
import { checkDutyHolders, checkUsageReports } from './duty-checks.js';
import { checkCrashingParts, checkSoundPrompts } from './crash-checks.js';
import { checkTargetCuts } from './cut-checks.js';
import { checkCustomerNames, checkWithdrawnKeys } from './key-checks.js';
import { checkRequestLimits } from './limit-checks.js';
import type { Check, Violation } from './check.js';
import {
  checkConfigurationInForce,
  checkProcessExits,
  checkNoConfigurationRollback,
  checkPlannedStops,
  checkRecovery,
  checkInstanceReadiness,
  checkSoakStalls,
} from './process-checks.js';
import {
  checkWorkCancellation,
  checkDisconnectedCallers,
  checkLeavingTargets,
  checkSingleLeaseHolder,
  checkRetryBudget,
} from './target-checks.js';
import { checkResumptions, checkStreamVersions } from './version-checks.js';

const allChecks: readonly Check[] = [
  checkSoakStalls,
  checkCompleteAnswers,
  checkEventOrder,
  checkUnchangedRequests,
  checkExecutionCounts,
  checkRefusedRequests,
  checkValidRequestsAccepted,
  checkCustomerNames,
  checkWithdrawnKeys,
  checkLeavingTargets,
  checkAnnouncedDepartures,
  checkPauses,
  checkRequestLimits,
  checkCrashingParts,
  checkSoundPrompts,
  checkTargetCuts,
  checkStreamVersions,
  checkResumptions,
  checkDisconnectedCallers,
  checkWorkCancellation,
  checkRetryBudget,
  checkSingleLeaseHolder,
  checkDutyHolders,
  checkUsageReports,
  checkConfigurationInForce,
  checkNoConfigurationRollback,
  checkPlannedStops,
  checkProcessExits,
  checkInstanceReadiness,
  checkRecovery,
];

/** Returns the violations of all checks. */
export const runChecks = (record: RunRecord): Violation[] =>
  allChecks.flatMap(check => check(record));
