/** Converts rows and transactions to and from DynamoDB's JSON format. */
import { z } from 'zod';

import type { Condition, Row, RowKey, Write } from './table.js';

/** Attributes of a row as a DynamoDB item. */
export const dynamoItemSchema = z.object({
  pk: z.object({ S: z.string() }),
  sk: z.object({ S: z.string() }),
  version: z.object({ N: z.string() }),
  token: z.object({ S: z.string() }),
  value: z.object({ S: z.string() }).optional(),
});
export type DynamoItem = z.infer<typeof dynamoItemSchema>;

/**
 * Era of a DynamoDB table. A backup is restored there to a new table with a name
 * of its own, so the era of a table never changes.
 */
export const dynamoEra = 0;

/** Converts a DynamoDB item to a row; parses the JSON text of its value. */
export const parseDynamoItem = (item: DynamoItem): Row => ({
  partition: item.pk.S,
  sort: item.sk.S,
  version: { era: dynamoEra, number: Number(item.version.N) },
  token: item.token.S,
  value: item.value === undefined ? undefined : JSON.parse(item.value.S),
});

/** Converts a row to a DynamoDB item with its value as JSON text. */
export const toDynamoItem = (row: Row): DynamoItem => ({
  pk: { S: row.partition },
  sk: { S: row.sort },
  version: { N: String(row.version.number) },
  token: { S: row.token },
  ...(row.value === undefined
    ? {}
    : { value: { S: JSON.stringify(row.value) } }),
});

/** Converts a row key to the primary key of a DynamoDB item. */
export const toDynamoKey = (key: RowKey) => ({
  pk: { S: key.partition },
  sk: { S: key.sort },
});

/**
 * Condition expression that is true if the row is absent. The client uses no
 * other expressions than those of this file, so a stand-in of DynamoDB needs to
 * support only these.
 */
export const rowAbsentExpression = 'attribute_not_exists(pk)';
/** Condition expression that is true if the row has the expected version. */
export const versionMatchesExpression = '#version = :expected';
/** Update expressions that set or remove the value of a row. */
const putExpression = 'SET #token = :token, #value = :value ADD #version :one';
const removeValueExpression =
  'SET #token = :token REMOVE #value ADD #version :one';

type ExpressionValues = Record<string, { S: string } | { N: string }>;

interface ConditionExpression {
  readonly expression?: string;
  readonly names: Record<string, string>;
  readonly values: ExpressionValues;
}

const toConditionExpression = (condition: Condition): ConditionExpression => {
  if (condition.kind === 'any') return { names: {}, values: {} };
  if (condition.kind === 'absent') {
    return { expression: rowAbsentExpression, names: {}, values: {} };
  }
  return {
    expression: versionMatchesExpression,
    names: { '#version': 'version' },
    values: { ':expected': { N: String(condition.version.number) } },
  };
};

const omitIfEmpty = <T>(entries: Record<string, T>) =>
  Object.keys(entries).length === 0 ? undefined : entries;

const toConditionCheck = (table: string, write: Write) => {
  const { expression, names, values } = toConditionExpression(write.condition);
  return {
    TableName: table,
    Key: toDynamoKey(write.key),
    ConditionExpression: expression,
    ExpressionAttributeNames: omitIfEmpty(names),
    ExpressionAttributeValues: omitIfEmpty(values),
  };
};

const toUpdate = (
  table: string,
  write: Extract<Write, { kind: 'put' }>,
  token: string,
) => {
  const conditionCheck = toConditionCheck(table, write);
  const hasNoValue = write.value === undefined;
  const values: ExpressionValues = {
    ...conditionCheck.ExpressionAttributeValues,
    ':token': { S: token },
    ':one': { N: '1' },
  };
  if (!hasNoValue) values[':value'] = { S: JSON.stringify(write.value) };
  return {
    ...conditionCheck,
    UpdateExpression: hasNoValue ? removeValueExpression : putExpression,
    ExpressionAttributeNames: {
      '#version': 'version',
      '#token': 'token',
      '#value': 'value',
    },
    ExpressionAttributeValues: values,
  };
};

/**
 * Converts a write to an entry of `TransactItems`. The caller must filter out
 * checks with the condition `any`, for which DynamoDB has no entry.
 */
export const toTransactItem = (table: string, write: Write, token: string) => {
  if (write.kind === 'put') return { Update: toUpdate(table, write, token) };
  if (write.kind === 'delete')
    return { Delete: toConditionCheck(table, write) };
  return { ConditionCheck: toConditionCheck(table, write) };
};
