/** Commands on targets, plans, orders and requests. */
import { Failure, parseModelKey } from '@medlarlever/core';
import { Left } from 'purify-ts';
import { z } from 'zod';

import { exitCodes } from '../exit-codes.js';
import { rowsSchema, statusSchema } from '../operator-schemas.js';
import type { Status } from '../operator-schemas.js';
import { formatTable } from '../output.js';
import { parseResponse } from '../parse-response.js';

import type { Command } from './command.js';

const createUsageFailure = (message: string) =>
  Promise.resolve(Left(new Failure('invalid_usage', message)));

const formatStatus = (status: Status, roles: boolean): string => {
  const { instance, revision, ready, instances, targets, queues } = status;
  const parts = [
    `asked ${instance}: revision ${revision}, ${ready ? 'ready' : 'not ready'}`,
    `Instances\n${formatTable(instances)}`,
    `Targets\n${formatTable(targets)}`,
    `Queues\n${formatTable(queues)}`,
  ];
  if (roles) parts.push(`Roles\n${formatTable(status.roles)}`);
  return parts.join('\n\n');
};

export const statusCommand: Command = async ({ client, flags, output }) => {
  const answer = await client.get('/status');
  return parseResponse(statusSchema, answer).map(found => {
    output.printResult(found, formatStatus(found, flags.roles));
    return exitCodes.ok;
  });
};

/** A command that submits a plan of one kind for a target. */
export const createPlanCommand =
  (kind: string): Command =>
  async ({ input, flags, client, output }) => {
    const [target] = input;
    if (target === undefined) return createUsageFailure(`${kind} TARGET`);
    const { preview, role } = flags;
    const model = parseModelKey(flags.model ?? '').extract();
    const body = { kind, target, preview, role, model };
    const answer = await client.post('/plans', body);
    return parseResponse(z.looseObject({}), answer).map(plan => {
      output.printResult(plan, JSON.stringify(plan, null, 2));
      return exitCodes.ok;
    });
  };

const createListCommand =
  (path: string): Command =>
  async ({ client, output }) => {
    const answer = await client.get(path);
    return parseResponse(rowsSchema, answer).map(rows => {
      output.printResult(rows, formatTable(rows));
      return exitCodes.ok;
    });
  };

export const plansCommand: Command = async context => {
  const [id] = context.input;
  if (id === undefined) return createListCommand('/plans')(context);
  const answer = await context.client.get(`/plans/${encodeURIComponent(id)}`);
  return answer.map(plan => {
    context.output.printResult(plan, JSON.stringify(plan, null, 2));
    return exitCodes.ok;
  });
};

export const cancelCommand: Command = async ({ input, client, output }) => {
  const [id] = input;
  if (id === undefined) return createUsageFailure('cancel PLAN');
  const answer = await client.post(`/plans/${encodeURIComponent(id)}/cancel`);
  return answer.map(plan => {
    output.printResult(plan, `plan ${id} is cancelled`);
    return exitCodes.ok;
  });
};

export const ordersCommand: Command = createListCommand('/orders');

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
  const answer = await client.post(path, { orderId, reason });
  return answer.map(released => {
    output.printResult(released, `order ${orderId} of ${target} is released`);
    return exitCodes.ok;
  });
};

export const requestsCommand: Command = context => {
  const { customer } = context.flags;
  const query =
    customer === undefined ? '' : `?customer=${encodeURIComponent(customer)}`;
  return createListCommand(`/requests${query}`)(context);
};
