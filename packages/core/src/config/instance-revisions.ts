/** Which revision each instance reported as in force. */

export class InstanceRevisions {
  readonly #revisions = new Map<string, number>();

  /** Called for each heartbeat of an instance. */
  report(instance: string, revision: number): void {
    this.#revisions.set(instance, revision);
  }

  /** Called when an instance is gone. */
  forget(instance: string): void {
    this.#revisions.delete(instance);
  }

  revisionsByInstance(): ReadonlyMap<string, number> {
    return this.#revisions;
  }

  /** Instances that do not yet have the revision in force. */
  lacking(revision: number): readonly string[] {
    return [...this.#revisions]
      .filter(([, held]) => held < revision)
      .map(([instance]) => instance);
  }
}
