/** The subset of DynamoDB's JSON API that the stand-in understands. */
import {
  rowAbsentExpression,
  versionMatchesExpression,
} from '@medlarlever/core';
import type { Condition, RowKey, Transaction, Write } from '@medlarlever/core';
import { z } from 'zod';

const textSchema = z.object({ S: z.string() });
const keySchema = z.object({ pk: textSchema, sk: textSchema });

const guardedSchema = z.object({
  Key: keySchema,
  ConditionExpression: z
    .enum([rowAbsentExpression, versionMatchesExpression])
    .optional(),
  ExpressionAttributeValues: z
    .record(z.string(), z.union([textSchema, z.object({ N: z.string() })]))
    .default({}),
});
type Guarded = z.infer<typeof guardedSchema>;

export const transactWriteSchema = z.object({
  ClientRequestToken: z.string(),
  TransactItems: z.array(
    z.union([
      z.object({ Update: guardedSchema }),
      z.object({ Delete: guardedSchema }),
      z.object({ ConditionCheck: guardedSchema }),
    ]),
  ),
});

export const transactGetSchema = z.object({
  TransactItems: z.array(z.object({ Get: z.object({ Key: keySchema }) })),
});

export const querySchema = z.object({
  KeyConditionExpression: z.string(),
  ExpressionAttributeValues: z.record(z.string(), textSchema),
  ExclusiveStartKey: keySchema.optional(),
  Limit: z.number().int().optional(),
});
export type Query = z.infer<typeof querySchema>;

const toRowKey = ({ pk, sk }: z.infer<typeof keySchema>): RowKey => ({
  partition: pk.S,
  sort: sk.S,
});

const toCondition = (guarded: Guarded): Condition => {
  const { ConditionExpression: expression } = guarded;
  if (expression === undefined) return { kind: 'any' };
  if (expression === rowAbsentExpression) return { kind: 'absent' };
  const expected = guarded.ExpressionAttributeValues[':expected'];
  const version = expected !== undefined && 'N' in expected ? expected.N : '';
  return { kind: 'version', version: Number(version) };
};

const toPut = (guarded: Guarded): Write => {
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
    if ('Update' in item) return toPut(item.Update);
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
export const toScan = (query: Query) => {
  const values = query.ExpressionAttributeValues;
  return {
    partition: values[':pk']?.S ?? '',
    after: query.ExclusiveStartKey?.sk.S ?? values[':after']?.S,
    prefix: values[':prefix']?.S,
    limit: query.Limit,
  };
};
