/** Where a generation can go now, or why it is turned away. */
import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { admission } from '../placement/admission.js';
import { placeDecoding, placeGeneration } from '../placement/placement.js';
import type { Placement, PlacementOptions } from '../placement/placement.js';
import type { Prompt } from '../requests/relay-request.js';
import type { EngineSettings } from '../routes/route-configuration.js';
import type { TargetState } from '../targets/target-state.js';

import type { Journey } from './request-context.js';
import type { RelayParts } from './relay.js';
import { noTargetRetryMs } from './request-runner.js';

/** When to come back while no engine decodes: one has to change its role. */
const noDecoderRetryMs = 1_200;

export interface GenerationPlacesOptions {
  readonly parts: RelayParts;
  readonly journey: Journey;
  readonly prompt: Prompt;
  readonly engine: EngineSettings;
  /** Engines that were tried; the run adds to them. */
  readonly excluded: ReadonlySet<TargetState>;
}

/** The placements of one generation, each noted for its line at the end. */
export class GenerationPlaces {
  constructor(private readonly options: GenerationPlacesOptions) {}

  /** The placement on arrival; refused when it would come too late. */
  first(): Either<Failure, Placement> {
    return this.#place().chain(placement => this.#admit(placement));
  }

  /** The placement after a failed try. */
  next(): Either<Failure, Placement> {
    return this.#place();
  }

  /** The engine that makes the answer, once the prompt has been read. */
  decoder(): Either<Failure, TargetState> {
    const decode = placeDecoding(this.#placementOptions());
    return decode === undefined ? Left(this.#noTarget()) : Right(decode);
  }

  #place(): Either<Failure, Placement> {
    const placement = placeGeneration(this.#placementOptions());
    if (placement === undefined) return Left(this.#noTarget());
    const { prefill, copyFrom, tokens, firstEventMs } = placement;
    this.options.journey.note({
      prefill: prefill?.record.id,
      copied_from: copyFrom?.record.id,
      tokens,
      expected_ms: Math.round(firstEventMs),
    });
    return Right(placement);
  }

  #admit(placement: Placement): Either<Failure, Placement> {
    const { leftMs } = this.options.journey;
    const { firstEventMs } = placement;
    const refusal = admission({ firstEventMs, leftMs });
    if (refusal === undefined) return Right(placement);
    const { reason, retryAfterMs } = refusal;
    return Left(new Failure('overloaded', reason, { retryAfterMs }));
  }

  #placementOptions(): PlacementOptions {
    const { parts, journey, prompt, engine, excluded } = this.options;
    const { targets, services, dataCenter, reach, random } = parts;
    return {
      targets: targets.open(journey.service),
      leaving: targets.leftLately(journey.service),
      prompt,
      speed: services.get(journey.service).speed,
      slots: engine.slots,
      transferMsPerToken: engine.transferMsPerToken,
      dataCenter,
      excluded,
      unreached: reach.avoided(),
      random: parts.largeDeployment() ? random : undefined,
    };
  }

  #noTarget(): Failure {
    const { parts, journey, excluded } = this.options;
    const open = parts.targets.open(journey.service);
    const decoding = open.filter(({ record }) => record.role !== 'prefill');
    journey.note({
      engines: open.length,
      decoding: decoding.length,
      changing: open.filter(({ closed }) => closed).length,
      avoided: open.filter(({ avoided }) => avoided).length,
      tried: excluded.size,
    });
    return new Failure('no_target', 'no engine can take the request now', {
      executed: journey.mayHaveRun ? 'unknown' : 'no',
      retryAfterMs: decoding.length > 0 ? noTargetRetryMs : noDecoderRetryMs,
    });
  }
}
