/** The subset of DynamoDB's JSON API that the stand-in understands. */
import {
  rowAbsentExpression,
  versionMatchesExpression,
} from '@medlarlever/core';
import type { Condition, RowKey, Transaction, Write } from '@medlarlever/core';
import { z } from 'zod';

const stringAttributeSchema = z.object({ S: z.string() });
const itemKeySchema = z.object({
  pk: stringAttributeSchema,
  sk: stringAttributeSchema,
});

const conditionalWriteSchema = z.object({
  Key: itemKeySchema,
  ConditionExpression: z
    .enum([rowAbsentExpression, versionMatchesExpression])
    .optional(),
  ExpressionAttributeValues: z
    .record(
      z.string(),
      z.union([stringAttributeSchema, z.object({ N: z.string() })]),
    )
    .default({}),
});
type ConditionalWrite = z.infer<typeof conditionalWriteSchema>;

export const transactWriteSchema = z.object({
  ClientRequestToken: z.string(),
  TransactItems: z.array(
    z.union([
      z.object({ Update: conditionalWriteSchema }),
      z.object({ Delete: conditionalWriteSchema }),
      z.object({ ConditionCheck: conditionalWriteSchema }),
    ]),
  ),
});

export const transactGetSchema = z.object({
  TransactItems: z.array(z.object({ Get: z.object({ Key: itemKeySchema }) })),
});

export const querySchema = z.object({
  KeyConditionExpression: z.string(),
  ExpressionAttributeValues: z.record(z.string(), stringAttributeSchema),
  ExclusiveStartKey: itemKeySchema.optional(),
  Limit: z.number().int().optional(),
});
export type QueryRequest = z.infer<typeof querySchema>;

const toRowKey = ({ pk, sk }: z.infer<typeof itemKeySchema>): RowKey => ({
  partition: pk.S,
  sort: sk.S,
});

const toCondition = (guarded: ConditionalWrite): Condition => {
  const { ConditionExpression: expression } = guarded;
  if (expression === undefined) return { kind: 'any' };
  if (expression === rowAbsentExpression) return { kind: 'absent' };
  const expected = guarded.ExpressionAttributeValues[':expected'];
  const version = expected !== undefined && 'N' in expected ? expected.N : '';
  return { kind: 'version', version: Number(version) };
};

const toPutWrite = (guarded: ConditionalWrite): Write => {
  const stored = guarded.ExpressionAttributeValues[':value'];
  const value: unknown =
    stored !== undefined && 'S' in stored ? JSON.parse(stored.S) : undefined;
  const key = toRowKey(guarded.Key);
  return { kind: 'put', key, condition: toCondition(guarded), value };
};

export const toTransaction = (
  request: z.infer<typeof transactWriteSchema>,
): Transaction => ({
  token: request.ClientRequestToken,
  writes: request.TransactItems.map(item => {
    if ('Update' in item) return toPutWrite(item.Update);
    const kind = 'Delete' in item ? 'delete' : 'check';
    const guarded = 'Delete' in item ? item.Delete : item.ConditionCheck;
    const key = toRowKey(guarded.Key);
    return { kind, key, condition: toCondition(guarded) };
  }),
});

export const toRowKeys = (
  request: z.infer<typeof transactGetSchema>,
): RowKey[] => request.TransactItems.map(item => toRowKey(item.Get.Key));

/** Partition and range of a query. */
export const toScanRequest = (query: QueryRequest) => {
  const values = query.ExpressionAttributeValues;
  return {
    partition: values[':pk']?.S ?? '',
    after: query.ExclusiveStartKey?.sk.S ?? values[':after']?.S,
    prefix: values[':prefix']?.S,
    limit: query.Limit,
  };
};
