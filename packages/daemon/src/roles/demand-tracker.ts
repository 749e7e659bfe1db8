/** Measures the demand for generations in this data centre. */
import {
  DemandMeter,
  prefixBlockTokens,
  digestPrefixBlocks,
} from '@medlarlever/core';
import type {
  DemandView,
  GenerationRequest,
  PeerGroup,
  PrefixIndex,
  TargetDirectory,
} from '@medlarlever/core';
import { Right } from 'purify-ts';
import { z } from 'zod';

/** Peer method that returns the arrival rates of the called instance. */
export const demandMethodName = 'roles.demand';

/** Timeout of the call of each peer. */
const demandTimeoutMs = 500;

/** Rates per second: tokens to prefill, output tokens and requests. */
const ratesSchema = z.object({
  prefillRate: z.number().nonnegative(),
  decodeRate: z.number().nonnegative(),
  requestRate: z.number().nonnegative(),
});

export interface DemandTrackerOptions {
  readonly peers: PeerGroup;
  readonly prefixIndex: PrefixIndex;
  readonly directory: TargetDirectory;
}

/** Counts the arrivals at this instance and adds up the rates of its peers. */
export class DemandTracker {
  readonly #options: DemandTrackerOptions;
  readonly #meter = new DemandMeter();

  constructor(options: DemandTrackerOptions) {
    this.#options = options;
  }

  /**
   * Counts an arriving request, whether or not it is admitted. Prompt tokens
   * that some local engine has cached do not count as prefill.
   */
  recordArrival(request: GenerationRequest): void {
    const { prompt, model, promptTokens, maxTokens } = request;
    const blocks = digestPrefixBlocks(model, prompt);
    const cachedTokens = this.#countCachedBlocks(blocks) * prefixBlockTokens;
    const prefillTokens = Math.max(0, promptTokens - cachedTokens);
    this.#meter.countRequest({ prefillTokens, outputTokens: maxTokens });
  }

  /** Returns the handler of `demandMethodName`. */
  getPeerMethods() {
    const handleDemandCall = () =>
      Promise.resolve(Right(this.#meter.computeRates()));
    return new Map([[demandMethodName, handleDemandCall]]);
  }

  /**
   * Returns the rates of the data centre: the sum over this instance and its
   * peers. Peers that do not answer in time count as zero.
   */
  async collectDemand(): Promise<DemandView> {
    const { peers } = this.#options;
    const pendingAnswers = peers.listLocalPeers().map(async peer => {
      const answer = await peer.callMethod(
        demandMethodName,
        {},
        { timeoutMs: demandTimeoutMs },
      );
      return ratesSchema.safeParse(answer.orDefault(undefined)).data;
    });
    const peerRates = await Promise.all(pendingAnswers);
    const rates = [this.#meter.computeRates(), ...peerRates].filter(
      rate => rate !== undefined,
    );
    const sumRates = (getRate: (rate: z.infer<typeof ratesSchema>) => number) =>
      rates.reduce((total, rate) => total + getRate(rate), 0);
    return {
      dataCenter: peers.dataCenter,
      prefillRate: sumRates(rate => rate.prefillRate),
      decodeRate: sumRates(rate => rate.decodeRate),
      requestRate: sumRates(rate => rate.requestRate),
      ageMs: 0,
    };
  }

  /** Returns the longest cached prefix among local engines, in blocks. */
  #countCachedBlocks(blocks: readonly string[]): number {
    const { directory, prefixIndex } = this.#options;
    const cachedBlockCounts = directory
      .listEngines()
      .filter(({ isLocal }) => isLocal)
      .map(
        ({ target }) =>
          prefixIndex.findCachedPrefix(target.name, blocks).blocks,
      );
    return Math.max(0, ...cachedBlockCounts);
  }
}
