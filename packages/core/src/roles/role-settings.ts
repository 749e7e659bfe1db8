/**
 * Settings of the role policy and the creation of the policy that they name.
 */
import { z } from 'zod';

import type { EngineSpeed } from '../routing/cost-model.js';

import { FixedPolicy, GreedyPolicy, MixedPolicy } from './baseline-policies.js';
import { HorizonPolicy } from './horizon-policy.js';
import type { RolePolicy } from './role-policy.js';

/** Schema of the name of a role policy. */
export const policyNameSchema = z.enum(['horizon', 'mixed', 'fixed', 'greedy']);
export type PolicyName = z.infer<typeof policyNameSchema>;

/** Schema of the section `roles` of the settings file. */
export const roleSettingsSchema = z.strictObject({
  policy: policyNameSchema.default('horizon'),
  /**
   * Minimum net gain of a role change over the policy's horizon, as a number of
   * answers.
   */
  change_cost: z.number().min(0).default(20),
});
export type RoleSettings = z.infer<typeof roleSettingsSchema>;

/** Creates the policy that the settings name. */
export const createRolePolicy = (
  settings: RoleSettings,
  engineSpeed: EngineSpeed,
): RolePolicy => {
  switch (settings.policy) {
    case 'horizon':
      return new HorizonPolicy({
        engineSpeed,
        changeCost: settings.change_cost,
      });
    case 'mixed':
      return new MixedPolicy();
    case 'fixed':
      return new FixedPolicy();
    case 'greedy':
      return new GreedyPolicy(engineSpeed);
  }
};
