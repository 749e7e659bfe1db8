/** Commands on targets, plans, orders and requests. */
import { Failure, parseModelKey } from '@medlarlever/core';
import { Left } from 'purify-ts';
import { z } from 'zod';

import { exitCodes } from '../exit-codes.js';
import { rowsSchema, statusSchema } from '../operator-schemas.js';
import type { Status } from '../operator-schemas.js';
import { toTable } from '../output.js';
import { parse } from '../parse-response.js';

import type { Command } from './command.js';

const usage = (message: string) =>
  Promise.resolve(Left(new Failure('invalid_usage', message)));

const statusText = (status: Status, roles: boolean): string => {
  const { instance, revision, ready, instances, targets, queues } = status;
  const parts = [
    `asked ${instance}: revision ${revision}, ${ready ? 'ready' : 'not ready'}`,
    `Instances\n${toTable(instances)}`,
    `Targets\n${toTable(targets)}`,
    `Queues\n${toTable(queues)}`,
  ];
  if (roles) parts.push(`Roles\n${toTable(status.roles)}`);
  return parts.join('\n\n');
};

export const status: Command = async ({ client, flags, output }) => {
  const answer = await client.get('/status');
  return parse(statusSchema, answer).map(found => {
    output.result(found, statusText(found, flags.roles));
    return exitCodes.ok;
  });
};

/** A command that submits a plan of one kind for a target. */
export const planOf =
  (kind: string): Command =>
  async ({ input, flags, client, output }) => {
    const [target] = input;
    if (target === undefined) return usage(`${kind} TARGET`);
    const { preview, role } = flags;
    const model = parseModelKey(flags.model ?? '').extract();
    const body = { kind, target, preview, role, model };
    const answer = await client.post('/plans', body);
    return parse(z.looseObject({}), answer).map(plan => {
      output.result(plan, JSON.stringify(plan, null, 2));
      return exitCodes.ok;
    });
  };

const listOf =
  (path: string): Command =>
  async ({ client, output }) => {
    const answer = await client.get(path);
    return parse(rowsSchema, answer).map(rows => {
      output.result(rows, toTable(rows));
      return exitCodes.ok;
    });
  };

export const plans: Command = async context => {
  const [id] = context.input;
  if (id === undefined) return listOf('/plans')(context);
  const answer = await context.client.get(`/plans/${encodeURIComponent(id)}`);
  return answer.map(plan => {
    context.output.result(plan, JSON.stringify(plan, null, 2));
    return exitCodes.ok;
  });
};

export const cancel: Command = async ({ input, client, output }) => {
  const [id] = input;
  if (id === undefined) return usage('cancel PLAN');
  const answer = await client.post(`/plans/${encodeURIComponent(id)}/cancel`);
  return answer.map(plan => {
    output.result(plan, `plan ${id} is cancelled`);
    return exitCodes.ok;
  });
};

export const orders: Command = listOf('/orders');

export const releaseOrder: Command = async ({
  input,
  flags,
  client,
  output,
}) => {
  const [target] = input;
  const { orderId, reason } = flags;
  if (target === undefined || orderId === undefined || reason === undefined) {
    return usage('release-order TARGET --order-id ID --reason TEXT');
  }
  const path = `/orders/${encodeURIComponent(target)}/release`;
  const answer = await client.post(path, { orderId, reason });
  return answer.map(released => {
    output.result(released, `order ${orderId} of ${target} is released`);
    return exitCodes.ok;
  });
};

export const requests: Command = context => {
  const { customer } = context.flags;
  const query =
    customer === undefined ? '' : `?customer=${encodeURIComponent(customer)}`;
  return listOf(`/requests${query}`)(context);
};
