/**
 * Parses the subset of DynamoDB's JSON API that the simulated platform
 * supports.
 */
import {
  dynamoEra,
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

/** Body of `TransactWriteItems`. */
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

/** Body of `TransactGetItems`. */
export const transactGetSchema = z.object({
  TransactItems: z.array(z.object({ Get: z.object({ Key: itemKeySchema }) })),
});

/** Body of `Query`. */
export const querySchema = z.object({
  KeyConditionExpression: z.string(),
  ExpressionAttributeValues: z.record(z.string(), stringAttributeSchema),
  ExclusiveStartKey: itemKeySchema.optional(),
  Limit: z.number().int().optional(),
});
/** Parsed body of `Query`. */
export type QueryRequest = z.infer<typeof querySchema>;

const toRowKey = ({ pk, sk }: z.infer<typeof itemKeySchema>): RowKey => ({
  partition: pk.S,
  sort: sk.S,
});

const toCondition = (conditionalWrite: ConditionalWrite): Condition => {
  const { ConditionExpression: expression } = conditionalWrite;
  if (expression === undefined) return { kind: 'any' };
  if (expression === rowAbsentExpression) return { kind: 'absent' };
  const expectedAttribute =
    conditionalWrite.ExpressionAttributeValues[':expected'];
  const version =
    expectedAttribute !== undefined && 'N' in expectedAttribute
      ? expectedAttribute.N
      : '';
  return {
    kind: 'version',
    version: { era: dynamoEra, number: Number(version) },
  };
};

const toPutWrite = (conditionalWrite: ConditionalWrite): Write => {
  const valueAttribute = conditionalWrite.ExpressionAttributeValues[':value'];
  const value: unknown =
    valueAttribute !== undefined && 'S' in valueAttribute
      ? JSON.parse(valueAttribute.S)
      : undefined;
  const key = toRowKey(conditionalWrite.Key);
  return { kind: 'put', key, condition: toCondition(conditionalWrite), value };
};

/** Converts the body of `TransactWriteItems` to a transaction. */
export const toTransaction = (
  request: z.infer<typeof transactWriteSchema>,
): Transaction => ({
  token: request.ClientRequestToken,
  writes: request.TransactItems.map(item => {
    if ('Update' in item) return toPutWrite(item.Update);
    const kind = 'Delete' in item ? 'delete' : 'check';
    const conditionalWrite =
      'Delete' in item ? item.Delete : item.ConditionCheck;
    const key = toRowKey(conditionalWrite.Key);
    return { kind, key, condition: toCondition(conditionalWrite) };
  }),
});

/** Returns the keys of the rows that `TransactGetItems` requests. */
export const toRowKeys = (
  request: z.infer<typeof transactGetSchema>,
): RowKey[] => request.TransactItems.map(item => toRowKey(item.Get.Key));

/** Returns the partition, range and limit of a query. */
export const toScanRequest = (query: QueryRequest) => {
  const values = query.ExpressionAttributeValues;
  return {
    partition: values[':pk']?.S ?? '',
    after: query.ExclusiveStartKey?.sk.S ?? values[':after']?.S,
    prefix: values[':prefix']?.S,
    limit: query.Limit,
  };
};
