/** Demand of this data centre, counted by its instances. */
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

/** Asks an instance for the rates of its own arrivals. */
export const demandMethodName = 'roles.demand';

const demandTimeoutMs = 500;

const ratesSchema = z.object({
  prefillRate: z.number().nonnegative(),
  decodeRate: z.number().nonnegative(),
  requestRate: z.number().nonnegative(),
});

export interface DemandTrackerOptions {
  readonly peers: PeerGroup;
  readonly prefixes: PrefixIndex;
  readonly directory: TargetDirectory;
}

export class DemandTracker {
  readonly #options: DemandTrackerOptions;
  readonly #meter = new DemandMeter();

  constructor(options: DemandTrackerOptions) {
    this.#options = options;
  }

  /** Counts an arrival, whether it is admitted or not. */
  recordArrival(request: GenerationRequest): void {
    const { prompt, model, promptTokens, maxTokens } = request;
    const pieces = digestPrefixBlocks(model, prompt);
    const cached = this.#countCachedPieces(pieces) * prefixBlockTokens;
    const prefillTokens = Math.max(0, promptTokens - cached);
    this.#meter.countRequest({ prefillTokens, outputTokens: maxTokens });
  }

  peerMethods() {
    const rates = () => Promise.resolve(Right(this.#meter.computeRates()));
    return new Map([[demandMethodName, rates]]);
  }

  /** Rates of the whole data centre; instances that are silent add nothing. */
  async collectDemand(): Promise<DemandView> {
    const { peers } = this.#options;
    const asked = peers.listLocalPeers().map(async peer => {
      const answer = await peer.callMethod(
        demandMethodName,
        {},
        { timeoutMs: demandTimeoutMs },
      );
      return ratesSchema.safeParse(answer.orDefault(undefined)).data;
    });
    const answers = await Promise.all(asked);
    const rates = [this.#meter.computeRates(), ...answers].filter(
      rate => rate !== undefined,
    );
    const sum = (pick: (rate: z.infer<typeof ratesSchema>) => number) =>
      rates.reduce((total, rate) => total + pick(rate), 0);
    return {
      dataCenter: peers.dataCenter,
      prefillRate: sum(rate => rate.prefillRate),
      decodeRate: sum(rate => rate.decodeRate),
      requestRate: sum(rate => rate.requestRate),
      ageMs: 0,
    };
  }

  #countCachedPieces(pieces: readonly string[]): number {
    const { directory, prefixes } = this.#options;
    const held = directory
      .listEngines()
      .filter(({ isLocal: local }) => local)
      .map(
        ({ target }) => prefixes.findCachedPrefix(target.name, pieces).blocks,
      );
    return Math.max(0, ...held);
  }
}
