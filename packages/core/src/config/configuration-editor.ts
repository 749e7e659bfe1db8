/** Accepts operators' changes: the head moves forward by compare-and-set. */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { runSteps } from '../shared/run-catching.js';
import { settle } from '../table/commit-with-retry.js';
import type { Row, Table, Transaction } from '../table/table.js';
import { randomToken } from '../table/random-token.js';

import { checkChange } from './validate-change.js';
import type { ConfigurationChange } from './validate-change.js';
import { toHead } from './configuration-store.js';
import type { ConfigurationStore, HeadRow } from './configuration-store.js';
import { differenceBetween } from './template-diff.js';
import type { TemplateDifference } from './template-diff.js';
import { canonicalJson, digestOf } from './digest.js';
import {
  headKey,
  operationKey,
  operationRecordSchema,
  revisionKey,
  revisionPartition,
  revisionRecordSchema,
  revisionSort,
} from './revision-records.js';
import type { Head, RevisionRecord } from './revision-records.js';
import type { Template } from './template.js';

const defaultHistoryLimit = 50;

/** Result of an accepted change. */
export interface AcceptedChange {
  readonly revision: number;
  readonly operationId: string;
}

/** `unknown` while this instance still waits for the platform's answer. */
export type OperationState =
  | { readonly state: 'committed'; readonly revision: number }
  | { readonly state: 'unknown' }
  | { readonly state: 'absent' };

export interface ConfigurationEditorOptions {
  readonly table: Table;
  readonly store: ConfigurationStore;
  readonly log: Log;
  readonly random: () => number;
  /** Checks all templates that would be in force together. */
  readonly check?: (templates: readonly Template[]) => Either<Failure, unknown>;
  /** Called before a committed change is answered. */
  readonly onCommitted?: (head: Head) => Promise<void>;
  readonly patienceMs?: number;
}

interface Proposal {
  readonly change: ConfigurationChange;
  /** Digest of what the operator asked for. */
  readonly content: string;
}

const contentOf = (change: ConfigurationChange) =>
  digestOf(canonicalJson([change.baseRevision, change.templates]));

/** The base with each named part replaced, or removed where it is `null`. */
const merge = <T>(
  base: Readonly<Record<string, T>>,
  change: Readonly<Record<string, T | null>>,
): Record<string, T> => {
  const merged: Record<string, T> = {};
  for (const [name, part] of Object.entries({ ...base, ...change })) {
    if (part !== null) merged[name] = part;
  }
  return merged;
};

const isUnknown = (result: Either<Failure, unknown>) =>
  result.isLeft() && result.extract().code === 'platform_unknown';

export class ConfigurationEditor {
  readonly #options: ConfigurationEditorOptions;
  readonly #pending = new Set<string>();

  constructor(options: ConfigurationEditorOptions) {
    this.#options = options;
  }

  /**
   * Applies a change to `baseRevision`. `platform_unknown` means that the
   * change may have been accepted: apply it again under the same id, or ask
   * `operation`.
   */
  async apply(input: unknown): Promise<Either<Failure, AcceptedChange>> {
    return runSteps(async unwrap => {
      const change = await unwrap(checkChange(input));
      const proposal = { change, content: contentOf(change) };
      this.#pending.add(change.operationId);
      const result = await this.#propose(proposal);
      if (!isUnknown(result)) this.#pending.delete(change.operationId);
      return unwrap(result);
    });
  }

  /** What became of an operation id. */
  async operation(id: string): Promise<Either<Failure, OperationState>> {
    const rows = await this.#options.table.read([operationKey(id)]);
    return rows.map(([row]): OperationState => {
      if (row === undefined) {
        return { state: this.#pending.has(id) ? 'unknown' : 'absent' };
      }
      this.#pending.delete(id);
      const { revision } = operationRecordSchema.parse(row.value);
      return { state: 'committed', revision };
    });
  }

  /** Newest revisions first. */
  history(
    limit = defaultHistoryLimit,
  ): Promise<Either<Failure, readonly RevisionRecord[]>> {
    const { store, table } = this.#options;
    return runSteps(async unwrap => {
      const head = await unwrap(store.head());
      const after = revisionSort(Math.max(0, head.revision - limit));
      const rows = await unwrap(
        table.scan(revisionPartition, { after, limit }),
      );
      return rows.map(row => revisionRecordSchema.parse(row.value)).reverse();
    });
  }

  #propose(proposal: Proposal): Promise<Either<Failure, AcceptedChange>> {
    const { change } = proposal;
    const keys = [headKey, operationKey(change.operationId)];
    return runSteps(async unwrap => {
      const [row, operationRow] = await unwrap(this.#options.table.read(keys));
      if (operationRow !== undefined) {
        return unwrap(this.#earlier(proposal, operationRow));
      }
      const head = toHead(row);
      if (head.revision !== change.baseRevision) {
        return unwrap(this.#conflict(change, head));
      }
      return unwrap(this.#store(proposal, { head, row }));
    });
  }

  #earlier(proposal: Proposal, row: Row): Either<Failure, AcceptedChange> {
    const { operationId } = proposal.change;
    const { content, revision } = operationRecordSchema.parse(row.value);
    if (content === proposal.content) return Right({ revision, operationId });
    return Left(
      new Failure(
        'operation_reused',
        `operation id "${operationId}" made revision ${revision} of another change`,
        { details: { revision } },
      ),
    );
  }

  /** Stores the bodies first, so that a committed head is always loadable. */
  #store(
    proposal: Proposal,
    headRow: HeadRow,
  ): Promise<Either<Failure, AcceptedChange>> {
    const { table, random, log, patienceMs } = this.#options;
    return runSteps(async unwrap => {
      const head = await unwrap(this.#bodies(proposal.change, headRow.head));
      const transaction = this.#transaction(proposal, headRow, head);
      const commit = await unwrap(
        settle({ table, transaction, random, log, patienceMs }),
      );
      if (commit.kind === 'conflict') return unwrap(this.#propose(proposal));
      await this.#options.onCommitted?.(head);
      return { revision: head.revision, operationId: head.operationId };
    });
  }

  #bodies(
    change: ConfigurationChange,
    head: Head,
  ): Promise<Either<Failure, Head>> {
    const { store, check } = this.#options;
    return runSteps(async unwrap => {
      const base = await unwrap(store.load(head));
      const templates = merge(base.templates, change.templates);
      if (check !== undefined) await unwrap(check(Object.values(templates)));
      const manifest = merge(
        await unwrap(store.manifest(head.manifest)),
        await unwrap(this.#saveBodies(change)),
      );
      return {
        revision: head.revision + 1,
        operationId: change.operationId,
        manifest: await unwrap(store.save(manifest)),
      };
    });
  }

  /** Digest of each changed template, `null` where one is removed. */
  #saveBodies(
    change: ConfigurationChange,
  ): Promise<Either<Failure, Record<string, string | null>>> {
    return runSteps(async unwrap => {
      const digests: Record<string, string | null> = {};
      for (const [name, template] of Object.entries(change.templates)) {
        digests[name] =
          template && (await unwrap(this.#options.store.save(template)));
      }
      return digests;
    });
  }

  #transaction(
    { change, content }: Proposal,
    { row }: HeadRow,
    head: Head,
  ): Transaction {
    const { revision, operationId } = head;
    const record: RevisionRecord = {
      ...head,
      author: change.author,
      atMs: Date.now(),
      changed: Object.keys(change.templates).sort(),
    };
    return {
      token: randomToken(this.#options.random),
      writes: [
        {
          kind: 'put',
          key: headKey,
          condition:
            row === undefined
              ? { kind: 'absent' }
              : { kind: 'version', version: row.version },
          value: head,
        },
        {
          kind: 'put',
          key: revisionKey(revision),
          condition: { kind: 'absent' },
          value: record,
        },
        {
          kind: 'put',
          key: operationKey(operationId),
          condition: { kind: 'absent' },
          value: { operationId, revision, content },
        },
      ],
    };
  }

  async #conflict(
    change: ConfigurationChange,
    head: Head,
  ): Promise<Either<Failure, never>> {
    const difference = await this.#difference(change.baseRevision, head);
    return Left(
      new Failure(
        'revision_conflict',
        `revision ${change.baseRevision} is not the head, ${head.revision} is`,
        {
          details: {
            head: head.revision,
            difference: difference.orDefault([]),
          },
        },
      ),
    );
  }

  #difference(
    baseRevision: number,
    head: Head,
  ): Promise<Either<Failure, readonly TemplateDifference[]>> {
    const { store, table } = this.#options;
    return runSteps(async unwrap => {
      const [row] = await unwrap(table.read([revisionKey(baseRevision)]));
      const base = await unwrap(store.load(toHead(row)));
      const newest = await unwrap(store.load(head));
      return differenceBetween(base.templates, newest.templates);
    });
  }
}
