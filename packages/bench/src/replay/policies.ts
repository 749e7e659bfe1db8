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

import { defaultEngineModel } from './engine-cost-model.js';
import type { RolePlan } from './replay-fleet.js';

/** Speeds of the fake engines as the deployment's settings would give them. */
export const replaySpeed: EngineSpeed = {
  prefill_tokens_per_second: defaultEngineModel.prefillTokensPerSecond,
  decode_step_ms: defaultEngineModel.decodeStepMs,
  decode_step_request_ms: defaultEngineModel.decodeSequenceMs,
  handover_ms_per_token:
    defaultEngineModel.kvBytesPerToken / defaultEngineModel.localBytesPerMs,
  cross_center_ms: 10,
};

export const policyNames = ['horizon', 'mixed', 'fixed', 'greedy'] as const;
export type ReplayPolicy = (typeof policyNames)[number];

/** A policy and the roles at the start of the trace. */
export interface Contender {
  readonly policy: RolePolicy;
  readonly start: RolePlan;
}

export interface ContenderOptions {
  readonly speed: EngineSpeed;
  readonly changeCost: number;
}

const allMixed: RolePlan = engines =>
  assignRoles(engines, { prefill: 0, decode: 0 });
const halves: RolePlan = engines =>
  assignRoles(engines, createHalfSplit(engines));

const starts: RolePlan = engines =>
  assignRoles(engines, createInitialSplit(engines));

export const createContender = (
  name: ReplayPolicy,
  { speed, changeCost }: ContenderOptions,
): Contender => {
  switch (name) {
    case 'horizon':
      return {
        policy: new HorizonPolicy({ engineSpeed: speed, changeCost }),
        start: starts,
      };
    case 'mixed':
      return { policy: new MixedPolicy(), start: allMixed };
    case 'fixed':
      return { policy: new FixedPolicy(), start: halves };
    case 'greedy':
      return { policy: new GreedyPolicy(speed), start: halves };
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
export const createStaticContender = (
  splitOf: (engines: number) => RoleSplit,
): Contender => ({
  policy: new StaticPolicy(),
  start: engines => assignRoles(engines, splitOf(engines)),
});
