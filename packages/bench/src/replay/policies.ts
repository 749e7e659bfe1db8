/** Role policies that a replay can run, each with its initial role assignment. */
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

/** Speeds of the simulated engines in the form of the deployment's settings. */
export const replayEngineSpeed: EngineSpeed = {
  prefill_tokens_per_second: defaultEngineCostModel.prefillTokensPerSecond,
  decode_step_ms: defaultEngineCostModel.decodeStepMs,
  decode_step_request_ms: defaultEngineCostModel.decodeMsPerSequence,
  handover_ms_per_token:
    defaultEngineCostModel.kvBytesPerToken /
    defaultEngineCostModel.intraDataCenterBytesPerMs,
  cross_center_ms: 10,
};

/** Names of the policies; the figures print them. */
export const policyNames = ['horizon', 'mixed', 'fixed', 'greedy'] as const;
export type ReplayPolicyName = (typeof policyNames)[number];

/** A policy and the roles of the engines at the start of the trace. */
export interface PolicySetup {
  readonly policy: RolePolicy;
  readonly initialRoles: RoleAssignment;
}

/** Settings of the policies that depend on the deployment. */
export interface PolicySetupOptions {
  readonly engineSpeed: EngineSpeed;
  /**
   * Minimum net gain of a role change over the policy's horizon, as a number of
   * answers.
   */
  readonly changeCost: number;
}

const assignMixedRoles: RoleAssignment = engines =>
  assignRoles(engines, { prefill: 0, decode: 0 });
const assignHalfSplit: RoleAssignment = engines =>
  assignRoles(engines, createHalfSplit(engines));

const assignInitialSplit: RoleAssignment = engines =>
  assignRoles(engines, createInitialSplit(engines));

/** Creates a new policy by name with its initial role assignment. */
export const createPolicySetup = (
  name: ReplayPolicyName,
  { engineSpeed, changeCost }: PolicySetupOptions,
): PolicySetup => {
  switch (name) {
    case 'horizon':
      return {
        policy: new HorizonPolicy({ engineSpeed, changeCost }),
        initialRoles: assignInitialSplit,
      };
    case 'mixed':
      return { policy: new MixedPolicy(), initialRoles: assignMixedRoles };
    case 'fixed':
      return { policy: new FixedPolicy(), initialRoles: assignHalfSplit };
    case 'greedy':
      return {
        policy: new GreedyPolicy(engineSpeed),
        initialRoles: assignHalfSplit,
      };
  }
};

/** Policy that never changes a role. */
class StaticPolicy extends RolePolicy {
  override readonly name = 'static';

  override decideChanges(): RoleDecision {
    return { changes: [], explanation: 'the static policy changes no role' };
  }
}

/** Creates a policy that keeps the same split during the whole trace. */
export const createStaticPolicySetup = (
  createSplit: (engines: number) => RoleSplit,
): PolicySetup => ({
  policy: new StaticPolicy(),
  initialRoles: engines => assignRoles(engines, createSplit(engines)),
});
