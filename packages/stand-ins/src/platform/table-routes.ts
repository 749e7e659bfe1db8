/** Serves an in-memory table with DynamoDB's JSON API. */
import { Failure, toDynamoItem } from '@medlarlever/core';
import type { CommitResult, Row } from '@medlarlever/core';
import type { FastifyInstance, FastifyReply, FastifyRequest } from 'fastify';
import type { Either } from 'purify-ts';

import { holdUntilDisconnect } from '../shared/fake-server.js';

import {
  querySchema,
  toRowKeys,
  toScanRequest,
  toTransaction,
  transactGetSchema,
  transactWriteSchema,
} from './dynamo-requests.js';
import type { MemoryTable } from './memory-table.js';

const errorTypePrefix = 'com.amazonaws.dynamodb.v20120810#';

const sendError = (reply: FastifyReply, name: string, details: object = {}) =>
  reply.status(400).send({ __type: errorTypePrefix + name, ...details });

/**
 * Sends a result or its failure as DynamoDB does; a request whose answer is
 * lost stays unanswered.
 */
const sendResult = async <T>(
  request: FastifyRequest,
  reply: FastifyReply,
  result: Either<Failure, T>,
  toBody: (value: T) => unknown,
) => {
  const value = result.extract();
  if (!(value instanceof Failure)) {
    await reply.send(toBody(value));
    return;
  }
  if (value.code === 'platform_unknown') await holdUntilDisconnect(request);
  else if (value.code === 'platform_unavailable') {
    await sendError(reply, 'ThrottlingException');
  } else await sendError(reply, 'IdempotentParameterMismatchException');
};

const toCancellationReason = (row: Row | undefined) => ({
  Code: 'ConditionalCheckFailed',
  Item: row === undefined ? undefined : toDynamoItem(row),
});

const sendCommit = async (reply: FastifyReply, commit: CommitResult) => {
  if (commit.kind === 'committed') return reply.send({});
  const CancellationReasons = commit.rows.map(toCancellationReason);
  const name = 'TransactionCanceledException';
  return sendError(reply, name, { CancellationReasons });
};

/** Adds the routes of the table to the server. */
export const addTableRoutes = (
  app: FastifyInstance,
  table: MemoryTable,
): void => {
  const actions: Record<
    string,
    (request: FastifyRequest, reply: FastifyReply) => Promise<unknown>
  > = {
    TransactWriteItems: async (request, reply) => {
      const transactWrite = transactWriteSchema.parse(request.body);
      const result = await table.commitTransaction(
        toTransaction(transactWrite),
      );
      const commit = result.extract();
      if (!(commit instanceof Failure)) return sendCommit(reply, commit);
      return sendResult(request, reply, result, () => ({}));
    },
    TransactGetItems: async (request, reply) => {
      const keys = toRowKeys(transactGetSchema.parse(request.body));
      const rowsResult = await table.readRows(keys);
      return sendResult(request, reply, rowsResult, rows => ({
        Responses: rows.map(row =>
          row === undefined ? {} : { Item: toDynamoItem(row) },
        ),
      }));
    },
    Query: async (request, reply) => {
      const { partition, ...options } = toScanRequest(
        querySchema.parse(request.body),
      );
      const rowsResult = await table.scanPartition(partition, options);
      return sendResult(request, reply, rowsResult, rows => ({
        Items: rows.map(toDynamoItem),
      }));
    },
  };
  app.post('/', async (request, reply) => {
    const amzTarget = String(request.headers['x-amz-target']);
    const action = actions[amzTarget.split('.').at(-1) ?? ''];
    if (action === undefined) return sendError(reply, 'ValidationException');
    await action(request, reply);
    return reply;
  });
};
