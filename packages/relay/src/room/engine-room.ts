/**
 * Decides at which engines a request fits into the memory, although the reports of the
 * other instances are late. An engine crashes when its requests exceed its memory, and
 * many instances may choose the same engine before they hear of each other.
 */
import { boundPoisson } from './poisson-bound.js';

/** Longest delay after which a send appears in the reports of the other instances. */
export const maxReportLagMs = 500;

/**
 * Time for which a send counts against the turn of its instance. It is twice the lag,
 * because a report that is seen now may be as old as the lag when it is acted on.
 */
export const turnWindowMs = 2 * maxReportLagMs;

/**
 * Most parts into which the turns divide an engine's memory. With 413,721 tokens, one
 * part takes three prompts of 17,000 tokens.
 */
const maxParts = 8;
const minParts = 2;

/** Typical requests that fit into one part; with fewer, most would exceed their part. */
const minRequestsPerPart = 1.5;

/** Requests that all instances may place within the lag, for each one that ends. */
const burstFactor = 3;

/** Random targets among which an instance of a large deployment chooses the best. */
const sampleCount = 3;

/** What one instance knows of the memory of one engine. */
export interface EngineMemory {
  /** Tokens of this instance's requests, with the output that may come. */
  readonly ownTokens: number;
  /** Tokens that this instance has added within `turnWindowMs`. */
  readonly recentOwnTokens: number;
  /** Tokens of the other instances' requests, as far as they are known. */
  readonly otherTokens: number;
  /** Lowest use that was known within `turnWindowMs`, own requests included. */
  readonly lowestRecentTokens: number;
  /** Instances whose turn at the engine comes before this one's. */
  readonly instancesAhead: number;
}

/** What one instance knows of the deployment and of the load of a service. */
export interface RoomConditions {
  readonly capacityTokens: number;
  readonly otherInstances: number;
  /** Requests that end at the service within the lag, which others replace. */
  readonly endingRequests: number;
  /** Mean tokens that a request of the service takes. */
  readonly typicalTokens: number;
  /** False if every instance chooses the best of all engines. */
  readonly drawsSample: boolean;
}

/** Engines at which all instances may send, with what may have been sent there unseen. */
interface OpenEngines {
  /** Highest use of such an engine; negative if there is none. */
  readonly maxUsedTokens: number;
  readonly unseenTokens: number;
}

const sumUsedTokens = ({ ownTokens, otherTokens }: EngineMemory): number =>
  ownTokens + otherTokens;

const computePartTokens = ({
  capacityTokens,
  typicalTokens,
}: RoomConditions): number => {
  const parts = Math.floor(
    capacityTokens / (minRequestsPerPart * Math.max(1, typicalTokens)),
  );
  return capacityTokens / Math.min(maxParts, Math.max(minParts, parts));
};

/** Room at the engines of one service at one moment. */
export class EngineRoom {
  readonly #conditions: RoomConditions;
  readonly #partTokens: number;
  readonly #open: OpenEngines;
  /** Engines that were open within the window, so that others may still send there. */
  readonly #recentlyOpen: OpenEngines;

  constructor(engines: readonly EngineMemory[], conditions: RoomConditions) {
    this.#conditions = conditions;
    this.#partTokens = computePartTokens(conditions);
    this.#open = this.#findOpenEngines(engines.map(sumUsedTokens));
    this.#recentlyOpen = this.#findOpenEngines(
      engines.map(({ lowestRecentTokens }) => lowestRecentTokens),
    );
  }

  /**
   * True if a request that adds the tokens fits. Any instance may send while the engine
   * would hold what all others may have sent unseen. Beyond that, instances take turns
   * in an order of their own at each engine: each may add one part within the window,
   * and leaves a part for each instance ahead of it. The parts add up to at most the
   * memory, however many instances send at the same moment.
   */
  hasRoom(engine: EngineMemory, tokens: number): boolean {
    const { capacityTokens, otherInstances } = this.#conditions;
    const usedTokens = sumUsedTokens(engine);
    const totalTokens = usedTokens + tokens;
    if (totalTokens > capacityTokens) return false;
    if (otherInstances === 0) return true;
    const isOpen = usedTokens <= this.#open.maxUsedTokens;
    if (isOpen && totalTokens + this.#open.unseenTokens <= this.#openCapacity)
      return true;
    if (tokens > this.#partTokens)
      return usedTokens === 0 && engine.instancesAhead === 0;
    if (engine.recentOwnTokens + tokens > this.#partTokens) return false;
    const { maxUsedTokens, unseenTokens } = this.#recentlyOpen;
    const wasOpen = engine.lowestRecentTokens <= maxUsedTokens;
    const unseenInTurn = engine.instancesAhead * this.#partTokens;
    return (
      totalTokens + unseenInTurn + (wasOpen ? unseenTokens : 0) <=
      capacityTokens
    );
  }

  /** One part stays for instances in their turn, which would else never find room. */
  get #openCapacity(): number {
    return this.#conditions.capacityTokens - this.#partTokens;
  }

  /**
   * Finds the largest number of emptiest engines that would each hold what all others
   * may send there, if the others choose among these.
   */
  #findOpenEngines(usedTokens: readonly number[]): OpenEngines {
    const ascending = [...usedTokens].sort((a, b) => a - b);
    for (let count = ascending.length; count > 0; count -= 1) {
      const maxUsedTokens = ascending[count - 1] ?? 0;
      const unseenTokens = this.#estimateUnseenTokens(count);
      const tokens = maxUsedTokens + this.#conditions.typicalTokens;
      if (tokens + unseenTokens <= this.#openCapacity)
        return { maxUsedTokens, unseenTokens };
    }
    return { maxUsedTokens: -1, unseenTokens: 0 };
  }

  /**
   * Tokens that the other instances may have sent to one of the engines since their
   * reports, if each places one request within the lag, or all together several times
   * as many as end.
   */
  #estimateUnseenTokens(engineCount: number): number {
    const { otherInstances, endingRequests, typicalTokens, drawsSample } =
      this.#conditions;
    const sends = Math.max(otherInstances, burstFactor * endingRequests);
    const share = drawsSample ? Math.min(1, sampleCount / engineCount) : 1;
    return Math.min(sends, boundPoisson(sends * share)) * typicalTokens;
  }
}
