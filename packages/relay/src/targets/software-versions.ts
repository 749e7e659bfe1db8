/** Knows which software versions of a service served lately. */
import type { TargetRecord } from './target-record.js';

/** Shortest time for which a stream may go on, over all tries of its caller. */
const minStreamLifetimeMs = 15_000;

/** Tries of a caller for one stream, each of which may take the time of its route. */
const maxTriesPerStream = 3;

/**
 * Returns the time after which a stream has ended, over all tries of its caller.
 * `longestTimeoutMs` is the longest timeout of the routes that lead to the service.
 */
export const computeStreamLifetimeMs = (longestTimeoutMs = 0): number =>
  Math.max(minStreamLifetimeMs, maxTriesPerStream * longestTimeoutMs);

/** How long the versions of a service must have been known. */
export interface VersionHistory {
  /** Time for which each target that there was has been known. */
  readonly knownForMs: number;
  /** Time after which a stream of the service has ended. */
  readonly streamLifetimeMs: number;
}

/** Tracks the versions of registered and of recently removed targets. */
export class SoftwareVersions {
  /** Time of the removal of the last target of a version, by service. */
  readonly #removedAtMs = new Map<string, Map<string, number>>();

  /** Records that a target was removed, or has changed its version. */
  recordRemoval({ service, softwareVersion = '' }: TargetRecord): void {
    const versions =
      this.#removedAtMs.get(service) ?? new Map<string, number>();
    versions.set(softwareVersion, performance.now());
    this.#removedAtMs.set(service, versions);
  }

  /**
   * Returns the version that all streams of the service began at, if there has been
   * just one for as long as a stream may go on.
   */
  findOnlyVersion(
    service: string,
    records: readonly TargetRecord[],
    { knownForMs, streamLifetimeMs }: VersionHistory,
  ): string | undefined {
    if (knownForMs < streamLifetimeMs) return undefined;
    const sinceMs = performance.now() - streamLifetimeMs;
    const removed = [...(this.#removedAtMs.get(service) ?? [])]
      .filter(([, atMs]) => atMs >= sinceMs)
      .map(([version]) => version);
    const registered = records
      .filter(record => record.service === service)
      .map(({ softwareVersion = '' }) => softwareVersion);
    const [version, ...others] = new Set([...registered, ...removed]);
    return others.length > 0 || version === '' ? undefined : version;
  }
}
