/** The policies that a replay can run, each with the roles it starts from. */
import {
  FixedPolicy,
  GreedyPolicy,
  HorizonPolicy,
  MixedPolicy,
  RolePolicy,
  createHalfSplit,
  createInitialSplit,
  assignRoles,
} from '@medlarlever/core';
import type { EngineSpeed, RoleDecision, RoleSplit } from '@medlarlever/core';

import { defaultEngineCostModel } from './engine-cost-model.js';
import type { RoleAssignment } from './replay-fleet.js';

/** Speeds of the fake engines as the deployment's settings would give them. */
export const replayEngineSpeed: EngineSpeed = {
  prefill_tokens_per_second: defaultEngineCostModel.prefillTokensPerSecond,
  decode_step_ms: defaultEngineCostModel.decodeStepMs,
  decode_step_request_ms: defaultEngineCostModel.decodeMsPerSequence,
  handover_ms_per_token:
    defaultEngineCostModel.kvBytesPerToken /
    defaultEngineCostModel.intraDataCenterBytesPerMs,
  cross_center_ms: 10,
};

export const policyNames = ['horizon', 'mixed', 'fixed', 'greedy'] as const;
export type ReplayPolicyName = (typeof policyNames)[number];

/** A policy and the roles at the start of the trace. */
export interface PolicySetup {
  readonly policy: RolePolicy;
  readonly initialRoles: RoleAssignment;
}

export interface PolicySetupOptions {
  readonly engineSpeed: EngineSpeed;
  readonly changeCost: number;
}

const assignMixedRoles: RoleAssignment = engines =>
  assignRoles(engines, { prefill: 0, decode: 0 });
const assignHalfSplit: RoleAssignment = engines =>
  assignRoles(engines, createHalfSplit(engines));

const assignInitialSplit: RoleAssignment = engines =>
  assignRoles(engines, createInitialSplit(engines));

export const createPolicySetup = (
  name: ReplayPolicyName,
  { engineSpeed: speed, changeCost }: PolicySetupOptions,
): PolicySetup => {
  switch (name) {
    case 'horizon':
      return {
        policy: new HorizonPolicy({ engineSpeed: speed, changeCost }),
        initialRoles: assignInitialSplit,
      };
    case 'mixed':
      return { policy: new MixedPolicy(), initialRoles: assignMixedRoles };
    case 'fixed':
      return { policy: new FixedPolicy(), initialRoles: assignHalfSplit };
    case 'greedy':
      return { policy: new GreedyPolicy(speed), initialRoles: assignHalfSplit };
  }
};

/** Never changes a role. */
class StaticPolicy extends RolePolicy {
  override readonly name = 'static';

  override decideChanges(): RoleDecision {
    return { changes: [], explanation: 'the roles are given' };
  }
}

/** The same split from start to end. */
export const createStaticPolicySetup = (
  splitOf: (engines: number) => RoleSplit,
): PolicySetup => ({
  policy: new StaticPolicy(),
  initialRoles: engines => assignRoles(engines, splitOf(engines)),
});
