/** Checks of customers' keys. */
import { maxKeyDelayMs } from '../run/configuration.js';

import type { Check } from './check.js';

/** Checks that targets get the name of the caller's customer, and never a key. */
export const checkCustomerNames: Check = ({ attempts, arrivals }) => {
  const attemptsById = new Map(attempts.map(attempt => [attempt.id, attempt]));
  return arrivals.flatMap(({ attempt: id, target, customer, key }) => {
    const expected = attemptsById.get(id)?.usedKey?.customer ?? '';
    if (customer === expected && key === '') return [];
    const keyText = key === '' ? 'no key' : 'a key';
    const seen = `${id} at ${target}: customer ${customer} for ${expected}, ${keyText}`;
    return [{ promise: "targets get the caller's customer and no key", seen }];
  });
};

/** Checks that no request runs whose key was withdrawn too long before it was sent. */
export const checkWithdrawnKeys: Check = ({ attempts, arrivals }) => {
  const ranIds = new Set(
    arrivals.filter(({ ran }) => ran).map(({ attempt }) => attempt),
  );
  return attempts.flatMap(({ id, usedKey, sentAtMs, instance }) => {
    const lateMs = sentAtMs - (usedKey?.toMs ?? Infinity) - maxKeyDelayMs;
    if (lateMs <= 0 || !ranIds.has(id)) return [];
    const seen = `${id} by way of ${instance} ran ${Math.round(lateMs)} ms late`;
    return [{ promise: 'a withdrawn key ends in time', seen }];
  });
};
