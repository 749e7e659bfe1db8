/** Tells where a stream began, once a target has made its first event. */
import type { StreamOrigin } from '../origins/stream-origin.js';
import type { TargetRecord } from '../targets/target-record.js';

import type { RelayDependencies } from './relay-dependencies.js';
import type { RequestContext } from './request-context.js';

/**
 * One send of a stream to a target. Where the stream begins is told with the first event and
 * not with the send: if the target makes none, the stream may begin at another version, and
 * an instance that misses that report would believe in the first.
 */
export class StreamOriginTeller {
  readonly #wasKnown: boolean;
  #origin: StreamOrigin | undefined;
  #hasBegun = false;
  /** True once the target has said which incarnation it is, over a connection that lasts. */
  #isVerified = false;

  /** To be created when the request is sent to the target with the record. */
  constructor(
    private readonly dependencies: RelayDependencies,
    private readonly context: RequestContext,
    private readonly record: TargetRecord,
  ) {
    this.#wasKnown = dependencies.targetClient.isIncarnationKnown(record);
    if (!this.#wasKnown) this.#askTarget();
  }

  /**
   * To be called before events are passed on; later calls of a send change nothing. Returns
   * the origin of what this target makes, of which the other instances have been told;
   * undefined if it may be of another software version than its registration said.
   */
  recordEvent(): StreamOrigin | undefined {
    if (this.#hasBegun) return this.#origin;
    this.#hasBegun = true;
    if (!this.#isSameIncarnation) return undefined;
    const { service, softwareVersion } = this.record;
    this.#origin = { service, softwareVersion };
    const { request, route } = this.context;
    if (route.kind === 'stream' && route.resumable) {
      const firstRequest = request.resumedRequestId ?? request.id;
      this.dependencies.onStreamBegin(firstRequest, this.#origin);
    }
    return this.#origin;
  }

  /** Asks a target that may have restarted; its answer is due before the first event. */
  #askTarget(): void {
    const { targets } = this.dependencies;
    const { route } = this.context;
    if (route.kind !== 'stream' || !route.resumable) return;
    const target = targets.findTarget(this.record.id);
    if (target?.tryTakeProbePermit() === true) void this.#verify();
  }

  async #verify(): Promise<void> {
    const { targetClient } = this.dependencies;
    this.#isVerified = await targetClient.verifyIncarnation(this.record);
  }

  /** False if the target may have restarted before the request reached it. */
  get #isSameIncarnation(): boolean {
    const { id, startedAtMs, softwareVersion } = this.record;
    const { targets } = this.dependencies;
    const current = targets.findTarget(id)?.record ?? this.record;
    return (
      (this.#wasKnown || this.#isVerified) &&
      current.startedAtMs === startedAtMs &&
      current.softwareVersion === softwareVersion
    );
  }
}
