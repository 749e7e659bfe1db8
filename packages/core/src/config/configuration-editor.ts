/**
 * Commits operators' configuration changes by compare-and-set on the head row.
 */
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { Failure } from '../shared/failure.js';
import type { Log } from '../shared/log.js';
import { runCatching } from '../shared/run-catching.js';
import { commitWithRetry } from '../table/commit-with-retry.js';
import { createUnchangedCondition } from '../table/table.js';
import type { Row, Table, Transaction } from '../table/table.js';
import { createRandomToken } from '../table/random-token.js';

import { validateChange } from './validate-change.js';
import type { ConfigurationChange } from './validate-change.js';
import { parseHead } from './configuration-store.js';
import type { ConfigurationStore, HeadRow } from './configuration-store.js';
import { diffTemplates } from './template-diff.js';
import type { TemplateDiff } from './template-diff.js';
import { toCanonicalJson, computeDigest } from './digest.js';
import {
  headRowKey,
  getOperationRowKey,
  changeOperationRecordSchema,
  getRevisionRowKey,
  revisionPartition,
  revisionRecordSchema,
  formatRevisionSortKey,
} from './revision-records.js';
import type { ConfigurationHead, RevisionRecord } from './revision-records.js';
import type { Template } from './template.js';

const defaultRevisionLimit = 50;

/** Revision that a change created, and the operation id of that change. */
export interface AcceptedChange {
  readonly revision: number;
  readonly operationId: string;
}

/**
 * State of a change, by its operation id. `unknown` means that this instance
 * sent the change and has no definite response from the platform.
 */
export type ChangeOperationState =
  | { readonly state: 'committed'; readonly revision: number }
  | { readonly state: 'unknown' }
  | { readonly state: 'absent' };

export interface ConfigurationEditorOptions {
  readonly table: Table;
  readonly store: ConfigurationStore;
  readonly log: Log;
  readonly random: () => number;
  /** Validates all templates of the new revision together before the commit. */
  readonly validateTemplates?: (
    templates: readonly Template[],
  ) => Either<Failure, unknown>;
  /** Runs after the commit and before `apply` returns. */
  readonly onCommitted?: (head: ConfigurationHead) => Promise<void>;
  /**
   * Milliseconds from the first call after which `commitWithRetry` starts no
   * retry.
   */
  readonly retryTimeoutMs?: number;
}

interface ChangeProposal {
  readonly change: ConfigurationChange;
  /** Digest of the base revision and the templates of the change. */
  readonly contentDigest: string;
}

const digestChange = (change: ConfigurationChange) =>
  computeDigest(toCanonicalJson([change.baseRevision, change.templates]));

/**
 * Returns `base` with each entry of `change` set, or removed if it is `null`.
 */
const mergeEntries = <T>(
  base: Readonly<Record<string, T>>,
  change: Readonly<Record<string, T | null>>,
): Record<string, T> => {
  const merged: Record<string, T> = {};
  for (const [name, entry] of Object.entries({ ...base, ...change })) {
    if (entry !== null) merged[name] = entry;
  }
  return merged;
};

const isUnknownOutcome = (result: Either<Failure, unknown>) =>
  result.isLeft() && result.extract().code === 'platform_unknown';

/** Applies configuration changes and reads the history of revisions. */
export class ConfigurationEditor {
  readonly #options: ConfigurationEditorOptions;
  readonly #pendingOperationIds = new Set<string>();

  constructor(options: ConfigurationEditorOptions) {
    this.#options = options;
  }

  /**
   * Applies a change to the revision `baseRevision`. The failure
   * `platform_unknown` means that the change may have been committed: the
   * caller then repeats it under the same operation id or calls
   * `getOperationState`.
   */
  async apply(input: unknown): Promise<Either<Failure, AcceptedChange>> {
    return runCatching(async unwrap => {
      const change = await unwrap(validateChange(input));
      const proposal = { change, contentDigest: digestChange(change) };
      this.#pendingOperationIds.add(change.operationId);
      const result = await this.#applyProposal(proposal);
      if (!isUnknownOutcome(result))
        this.#pendingOperationIds.delete(change.operationId);
      return unwrap(result);
    });
  }

  /** Reads whether the change with the operation id was committed. */
  async getOperationState(
    id: string,
  ): Promise<Either<Failure, ChangeOperationState>> {
    const rows = await this.#options.table.readRows([getOperationRowKey(id)]);
    return rows.map(([row]): ChangeOperationState => {
      if (row === undefined) {
        return {
          state: this.#pendingOperationIds.has(id) ? 'unknown' : 'absent',
        };
      }
      this.#pendingOperationIds.delete(id);
      const { revision } = changeOperationRecordSchema.parse(row.value);
      return { state: 'committed', revision };
    });
  }

  /** Lists at most `limit` revisions, the newest first. */
  listRevisions(
    limit = defaultRevisionLimit,
  ): Promise<Either<Failure, readonly RevisionRecord[]>> {
    const { store, table } = this.#options;
    return runCatching(async unwrap => {
      const head = await unwrap(store.readHead());
      const after = formatRevisionSortKey(Math.max(0, head.revision - limit));
      const rows = await unwrap(
        table.scanPartition(revisionPartition, { after, limit }),
      );
      return rows.map(row => revisionRecordSchema.parse(row.value)).reverse();
    });
  }

  #applyProposal(
    proposal: ChangeProposal,
  ): Promise<Either<Failure, AcceptedChange>> {
    const { change } = proposal;
    const keys = [headRowKey, getOperationRowKey(change.operationId)];
    return runCatching(async unwrap => {
      const [row, operationRow] = await unwrap(
        this.#options.table.readRows(keys),
      );
      if (operationRow !== undefined) {
        return unwrap(this.#resolveEarlierOperation(proposal, operationRow));
      }
      const head = parseHead(row);
      if (head.revision !== change.baseRevision) {
        return unwrap(this.#createConflict(change, head));
      }
      return unwrap(this.#commitRevision(proposal, { head, row }));
    });
  }

  #resolveEarlierOperation(
    proposal: ChangeProposal,
    row: Row,
  ): Either<Failure, AcceptedChange> {
    const { operationId } = proposal.change;
    const { content, revision } = changeOperationRecordSchema.parse(row.value);
    if (content === proposal.contentDigest)
      return Right({ revision, operationId });
    return Left(
      new Failure(
        'operation_reused',
        `operation id "${operationId}" belongs to another change, committed as revision ${revision}; use a new id`,
        { details: { revision } },
      ),
    );
  }

  /**
   * Stores the templates and the manifest before the head row, so that every
   * committed head can be loaded.
   */
  #commitRevision(
    proposal: ChangeProposal,
    headRow: HeadRow,
  ): Promise<Either<Failure, AcceptedChange>> {
    const { table, random, log, retryTimeoutMs } = this.#options;
    return runCatching(async unwrap => {
      const head = await unwrap(
        this.#saveNewHead(proposal.change, headRow.head),
      );
      const transaction = this.#createTransaction(proposal, headRow, head);
      const commit = await unwrap(
        commitWithRetry({
          table,
          transaction,
          random,
          log,
          retryTimeoutMs,
        }),
      );
      if (commit.kind === 'conflict')
        return unwrap(this.#applyProposal(proposal));
      await this.#options.onCommitted?.(head);
      return { revision: head.revision, operationId: head.operationId };
    });
  }

  #saveNewHead(
    change: ConfigurationChange,
    head: ConfigurationHead,
  ): Promise<Either<Failure, ConfigurationHead>> {
    const { store, validateTemplates } = this.#options;
    return runCatching(async unwrap => {
      const base = await unwrap(store.loadConfiguration(head));
      const templates = mergeEntries(base.templates, change.templates);
      if (validateTemplates !== undefined)
        await unwrap(validateTemplates(Object.values(templates)));
      const manifest = mergeEntries(
        await unwrap(store.loadManifest(head.manifest)),
        await unwrap(this.#saveTemplates(change)),
      );
      return {
        revision: head.revision + 1,
        operationId: change.operationId,
        manifest: await unwrap(store.saveObject(manifest)),
      };
    });
  }

  /** Stores the changed templates; returns their digests, `null` if removed. */
  #saveTemplates(
    change: ConfigurationChange,
  ): Promise<Either<Failure, Record<string, string | null>>> {
    return runCatching(async unwrap => {
      const digests: Record<string, string | null> = {};
      for (const [name, template] of Object.entries(change.templates)) {
        digests[name] =
          template && (await unwrap(this.#options.store.saveObject(template)));
      }
      return digests;
    });
  }

  #createTransaction(
    { change, contentDigest }: ChangeProposal,
    { row }: HeadRow,
    head: ConfigurationHead,
  ): Transaction {
    const { revision, operationId } = head;
    const record: RevisionRecord = {
      ...head,
      author: change.author,
      atMs: Date.now(),
      changed: Object.keys(change.templates).sort(),
    };
    return {
      token: createRandomToken(this.#options.random),
      writes: [
        {
          kind: 'put',
          key: headRowKey,
          condition: createUnchangedCondition(row?.version),
          value: head,
        },
        {
          kind: 'put',
          key: getRevisionRowKey(revision),
          condition: { kind: 'absent' },
          value: record,
        },
        {
          kind: 'put',
          key: getOperationRowKey(operationId),
          condition: { kind: 'absent' },
          value: { operationId, revision, content: contentDigest },
        },
      ],
    };
  }

  async #createConflict(
    change: ConfigurationChange,
    head: ConfigurationHead,
  ): Promise<Either<Failure, never>> {
    const diff = await this.#diffWithHead(change.baseRevision, head);
    return Left(
      new Failure(
        'revision_conflict',
        `base revision ${change.baseRevision} is not the head revision ${head.revision}; base the change on the head`,
        {
          details: {
            head: head.revision,
            difference: diff.orDefault([]),
          },
        },
      ),
    );
  }

  #diffWithHead(
    baseRevision: number,
    head: ConfigurationHead,
  ): Promise<Either<Failure, readonly TemplateDiff[]>> {
    const { store, table } = this.#options;
    return runCatching(async unwrap => {
      const [row] = await unwrap(
        table.readRows([getRevisionRowKey(baseRevision)]),
      );
      const base = await unwrap(store.loadConfiguration(parseHead(row)));
      const current = await unwrap(store.loadConfiguration(head));
      return diffTemplates(base.templates, current.templates);
    });
  }
}
