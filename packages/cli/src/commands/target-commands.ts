/** Commands that show targets and requests, and create or cancel plans and orders. */
import { Failure, parseModelKey } from '@medlarlever/core';
import { Left } from 'purify-ts';
import { z } from 'zod';

import { exitCodes } from '../exit-codes.js';
import { rowsSchema, statusSchema } from '../operator-schemas.js';
import type { Status } from '../operator-schemas.js';
import { formatTable } from '../output.js';
import { parseResponse } from '../parse-response.js';

import type { Command } from './command.js';

/** Returns a failure whose message is the command's usage. */
const createUsageFailure = (message: string) =>
  Promise.resolve(Left(new Failure('invalid_usage', message)));

const formatStatus = (status: Status, showRoles: boolean): string => {
  const { instance, revision, ready, instances, targets, queues } = status;
  const sections = [
    `instance ${instance}: revision ${revision}, ${ready ? 'ready' : 'not ready'}`,
    `Instances\n${formatTable(instances)}`,
    `Targets\n${formatTable(targets)}`,
    `Queues\n${formatTable(queues)}`,
  ];
  if (showRoles) sections.push(`Roles\n${formatTable(status.roles)}`);
  return sections.join('\n\n');
};

/** Runs `status`. */
export const statusCommand: Command = async ({ client, flags, output }) => {
  const response = await client.get('/status');
  return parseResponse(statusSchema, response).map(status => {
    output.printResult(status, formatStatus(status, flags.roles));
    return exitCodes.ok;
  });
};

/** Creates a command that submits a plan of the given kind for one target. */
export const createPlanCommand =
  (kind: string): Command =>
  async ({ input, flags, client, output }) => {
    const [target] = input;
    if (target === undefined) return createUsageFailure(`${kind} TARGET`);
    const { preview, role } = flags;
    const model = parseModelKey(flags.model ?? '').extract();
    const body = { kind, target, preview, role, model };
    const response = await client.post('/plans', body);
    return parseResponse(z.looseObject({}), response).map(plan => {
      output.printResult(plan, JSON.stringify(plan, null, 2));
      return exitCodes.ok;
    });
  };

/** Creates a command that prints the list found at a path of the operators' API. */
const createListCommand =
  (path: string): Command =>
  async ({ client, output }) => {
    const response = await client.get(path);
    return parseResponse(rowsSchema, response).map(rows => {
      output.printResult(rows, formatTable(rows));
      return exitCodes.ok;
    });
  };

/** Runs `plans [ID]`: prints one plan, or all plans. */
export const plansCommand: Command = async context => {
  const [planId] = context.input;
  if (planId === undefined) return createListCommand('/plans')(context);
  const response = await context.client.get(
    `/plans/${encodeURIComponent(planId)}`,
  );
  return response.map(plan => {
    context.output.printResult(plan, JSON.stringify(plan, null, 2));
    return exitCodes.ok;
  });
};

/** Runs `cancel ID`. */
export const cancelCommand: Command = async ({ input, client, output }) => {
  const [planId] = input;
  if (planId === undefined) return createUsageFailure('cancel ID');
  const response = await client.post(
    `/plans/${encodeURIComponent(planId)}/cancel`,
  );
  return response.map(plan => {
    output.printResult(plan, `plan ${planId} is cancelled`);
    return exitCodes.ok;
  });
};

/**
 * Runs `orders`: prints the unfinished commands (`orders` on the wire) of
 * engines.
 */
export const ordersCommand: Command = createListCommand('/orders');

/**
 * Runs `release-order`: confirms to the operators' API, with a reason, that no
 * process will send this unfinished command (`order` on the wire) any more.
 */
export const releaseOrderCommand: Command = async ({
  input,
  flags,
  client,
  output,
}) => {
  const [target] = input;
  const { orderId, reason } = flags;
  if (target === undefined || orderId === undefined || reason === undefined) {
    return createUsageFailure(
      'release-order TARGET --order-id ID --reason TEXT',
    );
  }
  const path = `/orders/${encodeURIComponent(target)}/release`;
  const response = await client.post(path, { orderId, reason });
  return response.map(released => {
    output.printResult(released, `order ${orderId} of ${target} is released`);
    return exitCodes.ok;
  });
};

/** Runs `requests`: prints recent requests, optionally of one customer only. */
export const requestsCommand: Command = context => {
  const { customer } = context.flags;
  const query =
    customer === undefined ? '' : `?customer=${encodeURIComponent(customer)}`;
  return createListCommand(`/requests${query}`)(context);
};
