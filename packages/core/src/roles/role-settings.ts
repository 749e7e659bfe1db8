/** The deployment's settings of the role policy. */
import { z } from 'zod';

import type { EngineSpeed } from '../routing/cost-model.js';

import { FixedPolicy, GreedyPolicy, MixedPolicy } from './baseline-policies.js';
import { HorizonPolicy } from './horizon-policy.js';
import type { RolePolicy } from './role-policy.js';

export const policyNameSchema = z.enum(['horizon', 'mixed', 'fixed', 'greedy']);
export type PolicyName = z.infer<typeof policyNameSchema>;

/** Section `roles` of the settings file. */
export const roleSettingsSchema = z.strictObject({
  policy: policyNameSchema.default('horizon'),
  /** Answers that one role change must gain beyond those it loses. */
  change_cost: z.number().min(0).default(20),
});
export type RoleSettings = z.infer<typeof roleSettingsSchema>;

/** Makes the policy that the settings name. */
export const createRolePolicy = (
  settings: RoleSettings,
  speed: EngineSpeed,
): RolePolicy => {
  switch (settings.policy) {
    case 'horizon':
      return new HorizonPolicy({
        engineSpeed: speed,
        changeCost: settings.change_cost,
      });
    case 'mixed':
      return new MixedPolicy();
    case 'fixed':
      return new FixedPolicy();
    case 'greedy':
      return new GreedyPolicy(speed);
  }
};
