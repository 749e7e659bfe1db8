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
export const demandMethod = 'roles.demand';

const askTimeoutMs = 500;

const ratesSchema = z.object({
  prefillRate: z.number().nonnegative(),
  decodeRate: z.number().nonnegative(),
  requestRate: z.number().nonnegative(),
});

export interface DemandOptions {
  readonly peers: PeerGroup;
  readonly prefixes: PrefixIndex;
  readonly directory: TargetDirectory;
}

export class Demand {
  readonly #options: DemandOptions;
  readonly #meter = new DemandMeter();

  constructor(options: DemandOptions) {
    this.#options = options;
  }

  /** Counts an arrival, whether it is admitted or not. */
  arrived(request: GenerationRequest): void {
    const { prompt, model, promptTokens, maxTokens } = request;
    const pieces = digestPrefixBlocks(model, prompt);
    const cached = this.#cachedPieces(pieces) * prefixBlockTokens;
    const prefillTokens = Math.max(0, promptTokens - cached);
    this.#meter.countRequest({ prefillTokens, outputTokens: maxTokens });
  }

  peerMethods() {
    const rates = () => Promise.resolve(Right(this.#meter.computeRates()));
    return new Map([[demandMethod, rates]]);
  }

  /** Rates of the whole data centre; instances that are silent add nothing. */
  async view(): Promise<DemandView> {
    const { peers } = this.#options;
    const asked = peers.listLocalPeers().map(async peer => {
      const answer = await peer.callMethod(
        demandMethod,
        {},
        { timeoutMs: askTimeoutMs },
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

  #cachedPieces(pieces: readonly string[]): number {
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
