/** Rows and transactions in the shape of DynamoDB's JSON API. */
import { z } from 'zod';

import type { Condition, Row, RowKey, Write } from './table.js';

/** Attributes of a row as DynamoDB carries them. */
export const dynamoItemSchema = z.object({
  pk: z.object({ S: z.string() }),
  sk: z.object({ S: z.string() }),
  version: z.object({ N: z.string() }),
  token: z.object({ S: z.string() }),
  value: z.object({ S: z.string() }).optional(),
});
export type DynamoItem = z.infer<typeof dynamoItemSchema>;

export const toRow = (item: DynamoItem): Row => ({
  partition: item.pk.S,
  sort: item.sk.S,
  version: Number(item.version.N),
  token: item.token.S,
  value: item.value === undefined ? undefined : JSON.parse(item.value.S),
});

export const toItem = (row: Row): DynamoItem => ({
  pk: { S: row.partition },
  sk: { S: row.sort },
  version: { N: String(row.version) },
  token: { S: row.token },
  ...(row.value === undefined
    ? {}
    : { value: { S: JSON.stringify(row.value) } }),
});

export const toKey = (key: RowKey) => ({
  pk: { S: key.partition },
  sk: { S: key.sort },
});

/** Expressions that this client writes; a stand-in needs only these. */
export const absentExpression = 'attribute_not_exists(pk)';
export const versionExpression = '#version = :expected';
const putExpression = 'SET #token = :token, #value = :value ADD #version :one';
const putNothingExpression =
  'SET #token = :token REMOVE #value ADD #version :one';

type Values = Record<string, { S: string } | { N: string }>;

interface Guard {
  readonly expression?: string;
  readonly names: Record<string, string>;
  readonly values: Values;
}

const guardOf = (condition: Condition): Guard => {
  if (condition.kind === 'any') return { names: {}, values: {} };
  if (condition.kind === 'absent') {
    return { expression: absentExpression, names: {}, values: {} };
  }
  return {
    expression: versionExpression,
    names: { '#version': 'version' },
    values: { ':expected': { N: String(condition.version) } },
  };
};

const filled = <T>(entries: Record<string, T>) =>
  Object.keys(entries).length === 0 ? undefined : entries;

const checkOf = (table: string, write: Write) => {
  const { expression, names, values } = guardOf(write.condition);
  return {
    TableName: table,
    Key: toKey(write.key),
    ConditionExpression: expression,
    ExpressionAttributeNames: filled(names),
    ExpressionAttributeValues: filled(values),
  };
};

const updateOf = (
  table: string,
  write: Extract<Write, { kind: 'put' }>,
  token: string,
) => {
  const check = checkOf(table, write);
  const empty = write.value === undefined;
  const values: Values = {
    ...check.ExpressionAttributeValues,
    ':token': { S: token },
    ':one': { N: '1' },
  };
  if (!empty) values[':value'] = { S: JSON.stringify(write.value) };
  return {
    ...check,
    UpdateExpression: empty ? putNothingExpression : putExpression,
    ExpressionAttributeNames: {
      '#version': 'version',
      '#token': 'token',
      '#value': 'value',
    },
    ExpressionAttributeValues: values,
  };
};

/** One entry of `TransactItems`. A check without a condition is left out. */
export const toTransactItem = (table: string, write: Write, token: string) => {
  if (write.kind === 'put') return { Update: updateOf(table, write, token) };
  if (write.kind === 'delete') return { Delete: checkOf(table, write) };
  return { ConditionCheck: checkOf(table, write) };
};
