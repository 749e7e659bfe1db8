/** Knows which software versions of a service served lately. */
import type { TargetRecord } from './target-record.js';

/** Streams end sooner than this after they began, over all tries of a caller. */
const streamLifetimeMs = 15_000;

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
   * just one. `knownForMs` is the time for which the list of targets has been complete.
   */
  findOnlyVersion(
    service: string,
    records: readonly TargetRecord[],
    knownForMs: number,
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
