/**
 * Client of the platform's table by DynamoDB's JSON API, version 2012-08-10.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';
import { Pool } from 'undici';
import { z } from 'zod';

import { readBoundedText } from '../shared/bounded-body.js';
import { Failure } from '../shared/failure.js';
import { createHttpConnector } from '../shared/http-connector.js';
import { describeError, isUnsentError } from '../shared/http-errors.js';

import {
  dynamoItemSchema,
  toDynamoKey,
  parseDynamoItem,
  toTransactItem,
} from './dynamo-items.js';
import { EraTracker } from './era-tracker.js';
import { Table } from './table.js';
import type {
  CommitResult,
  Row,
  RowKey,
  ScanOptions,
  Transaction,
} from './table.js';

const defaultCallTimeoutMs = 5_000;
const maxConnections = 16;
const maxKeysPerRead = 100;

/** Longest body of a response; a page of rows is a fraction of it. */
const maxResponseBytes = 32 * 1024 * 1024;

export interface HttpTableOptions {
  /** Origin of the service, `http://ip:port`. */
  readonly url: string;
  readonly tableName: string;
  readonly timeoutMs?: number;
}

type DynamoAction = 'TransactWriteItems' | 'TransactGetItems' | 'Query';

/** A complete HTTP response of the table service. */
interface DynamoResponse {
  readonly status: number;
  readonly body: unknown;
}

const errorSchema = z.object({
  __type: z.string(),
  message: z.string().optional(),
  Message: z.string().optional(),
});

const transactGetResponseSchema = z.object({
  Responses: z.array(z.object({ Item: dynamoItemSchema.optional() })),
});

const queryResponseSchema = z.object({
  Items: z.array(dynamoItemSchema),
  LastEvaluatedKey: z.unknown().optional(),
});

/** Names of errors that guarantee that the call had no effect. */
const rejectionErrorNames: ReadonlySet<string> = new Set([
  'ThrottlingException',
  'ProvisionedThroughputExceededException',
  'RequestLimitExceeded',
  'ValidationException',
  'ResourceNotFoundException',
  'AccessDeniedException',
  'IdempotentParameterMismatchException',
]);

const createUnavailableFailure = (message: string) =>
  new Failure('platform_unavailable', message);

const createUnknownFailure = (message: string, cause?: unknown) =>
  new Failure('platform_unknown', message, { executed: 'unknown', cause });

/** Reads and writes the rows of one table over HTTP; doesn't retry calls. */
export class HttpTable extends Table {
  override readonly eras = new EraTracker();
  readonly #pool: Pool;
  readonly #timeoutMs: number;

  constructor(private readonly options: HttpTableOptions) {
    super();
    this.#timeoutMs = options.timeoutMs ?? defaultCallTimeoutMs;
    this.#pool = new Pool(options.url, {
      connections: maxConnections,
      connect: createHttpConnector({ connectTimeoutMs: this.#timeoutMs }),
    });
  }

  override async readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, readonly (Row | undefined)[]>> {
    const rows: (Row | undefined)[] = [];
    for (let start = 0; start < keys.length; start += maxKeysPerRead) {
      const batch = await this.#readRows(
        keys.slice(start, start + maxKeysPerRead),
      );
      const batchRows = batch.extract();
      if (batchRows instanceof Failure) return Left(batchRows);
      rows.push(...batchRows);
    }
    return Right(rows);
  }

  override async scanPartition(
    partition: string,
    options: ScanOptions = {},
  ): Promise<Either<Failure, readonly Row[]>> {
    const rows: Row[] = [];
    const limit = options.limit ?? Number.MAX_SAFE_INTEGER;
    const query = this.#createQuery(partition, options);
    let startKey: unknown = query.ExclusiveStartKey;
    do {
      const result = await this.#sendRead('Query', {
        ...query,
        Limit: options.limit === undefined ? undefined : limit - rows.length,
        ExclusiveStartKey: startKey,
      });
      const page = result.chain(body =>
        this.#parseResponse(queryResponseSchema, body),
      );
      const response = page.extract();
      if (response instanceof Failure) return Left(response);
      rows.push(...response.Items.map(parseDynamoItem));
      startKey = response.LastEvaluatedKey;
    } while (startKey !== undefined && rows.length < limit);
    return Right(rows);
  }

  override async commitTransaction(
    transaction: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    const { token, writes } = transaction;
    const result = await this.#sendRequest('TransactWriteItems', {
      ClientRequestToken: token,
      TransactItems: writes
        .filter(
          write => write.kind !== 'check' || write.condition.kind !== 'any',
        )
        .map(write => toTransactItem(this.options.tableName, write, token)),
    });
    const response = result.extract();
    if (response instanceof Failure) return Left(response);
    if (response.status === 200) return Right({ kind: 'committed' });
    return this.#toCommitResult(response, transaction);
  }

  /** Closes the connections after the running calls have ended. */
  close(): Promise<void> {
    return this.#pool.close();
  }

  async #toCommitResult(
    { status, body }: DynamoResponse,
    { writes }: Transaction,
  ): Promise<Either<Failure, CommitResult>> {
    const error = errorSchema.safeParse(body).data;
    const name = error?.__type.split('#').at(-1) ?? `status ${status}`;
    if (name === 'TransactionCanceledException') {
      if (!JSON.stringify(body).includes('ConditionalCheckFailed')) {
        return Left(
          createUnavailableFailure(
            'the transaction was cancelled because of a concurrent transaction; retry it',
          ),
        );
      }
      const rows = await this.readRows(writes.map(write => write.key));
      return rows.map(currentRows => ({ kind: 'conflict', rows: currentRows }));
    }
    if (rejectionErrorNames.has(name))
      return Left(
        createUnavailableFailure(`the table refused the transaction: ${name}`),
      );
    return Left(
      createUnknownFailure(`the table answered the transaction with ${name}`),
    );
  }

  async #readRows(
    keys: readonly RowKey[],
  ): Promise<Either<Failure, (Row | undefined)[]>> {
    const result = await this.#sendRead('TransactGetItems', {
      TransactItems: keys.map(key => ({
        Get: { TableName: this.options.tableName, Key: toDynamoKey(key) },
      })),
    });
    return result
      .chain(body => this.#parseResponse(transactGetResponseSchema, body))
      .map(response =>
        response.Responses.map(({ Item }) =>
          Item === undefined ? undefined : parseDynamoItem(Item),
        ),
      );
  }

  #createQuery(partition: string, { after, prefix }: ScanOptions) {
    const values: Record<string, { S: string }> = { ':pk': { S: partition } };
    let expression = 'pk = :pk';
    if (prefix !== undefined && prefix !== '') {
      expression += ' AND begins_with(sk, :prefix)';
      values[':prefix'] = { S: prefix };
    } else if (after !== undefined) {
      expression += ' AND sk > :after';
      values[':after'] = { S: after };
    }
    const needsStartKey =
      after !== undefined && values[':prefix'] !== undefined;
    return {
      TableName: this.options.tableName,
      ConsistentRead: true,
      KeyConditionExpression: expression,
      ExpressionAttributeValues: values,
      ExclusiveStartKey: needsStartKey
        ? toDynamoKey({ partition, sort: after })
        : undefined,
    };
  }

  /**
   * Sends a read. All failures are `platform_unavailable`: reads have no
   * effect.
   */
  async #sendRead(
    action: DynamoAction,
    body: unknown,
  ): Promise<Either<Failure, unknown>> {
    const result = await this.#sendRequest(action, body);
    return result
      .mapLeft(failure => createUnavailableFailure(failure.message))
      .chain(({ status, body: responseBody }) =>
        status === 200
          ? Right(responseBody)
          : Left(
              createUnavailableFailure(
                `the table answered ${action} with status ${status}`,
              ),
            ),
      );
  }

  async #sendRequest(
    action: DynamoAction,
    body: unknown,
  ): Promise<Either<Failure, DynamoResponse>> {
    try {
      const response = await this.#pool.request({
        method: 'POST',
        path: '/',
        headers: {
          'content-type': 'application/x-amz-json-1.0',
          'x-amz-target': `DynamoDB_20120810.${action}`,
        },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(this.#timeoutMs),
      });
      const text = await readBoundedText(response.body, {
        maxBytes: maxResponseBytes,
      });
      const parsed: unknown = JSON.parse(text);
      return Right({ status: response.statusCode, body: parsed });
    } catch (error) {
      const message = `the table gave no response to ${action}: ${describeError(error)}`;
      if (isUnsentError(error)) return Left(createUnavailableFailure(message));
      return Left(createUnknownFailure(message, error));
    }
  }

  #parseResponse<S extends z.ZodType>(
    schema: S,
    body: unknown,
  ): Either<Failure, z.output<S>> {
    const parsed = schema.safeParse(body);
    if (parsed.success) return Right(parsed.data);
    return Left(
      createUnavailableFailure('the table gave a malformed response'),
    );
  }
}
