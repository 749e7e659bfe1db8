/** Where a generation can go now, or why it is turned away. */
import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { checkAdmission } from '../placement/admission.js';
import { chooseDecodeTarget, placeGeneration } from '../placement/placement.js';
import type { Placement, PlacementOptions } from '../placement/placement.js';
import type { Prompt } from '../requests/relay-request.js';
import type { EngineSettings } from '../routes/route-configuration.js';
import type { TargetState } from '../targets/target-state.js';

import type { RequestContext } from './request-context.js';
import type { RelayDependencies } from './relay.js';
import { noTargetRetryAfterMs } from './request-runner.js';

/** When to come back while no engine decodes: one has to change its role. */
const noDecodeTargetRetryAfterMs = 1_200;

export interface GenerationPlacerOptions {
  readonly dependencies: RelayDependencies;
  readonly context: RequestContext;
  readonly prompt: Prompt;
  readonly engineSettings: EngineSettings;
  /** Engines that were tried; the run adds to them. */
  readonly excludedTargets: ReadonlySet<TargetState>;
}

/** The placements of one generation, each noted for its line at the end. */
export class GenerationPlacer {
  constructor(private readonly options: GenerationPlacerOptions) {}

  /** The placement on arrival; refused when it would come too late. */
  placeWithAdmission(): Either<Failure, Placement> {
    return this.#placeGeneration().chain(placement =>
      this.#checkAdmission(placement),
    );
  }

  /** The placement after a failed try. */
  placeRetry(): Either<Failure, Placement> {
    return this.#placeGeneration();
  }

  /** The engine that makes the answer, once the prompt has been read. */
  chooseDecodeTarget(): Either<Failure, TargetState> {
    const decode = chooseDecodeTarget(this.#createPlacementOptions());
    return decode === undefined
      ? Left(this.#createNoTargetFailure())
      : Right(decode);
  }

  #placeGeneration(): Either<Failure, Placement> {
    const placement = placeGeneration(this.#createPlacementOptions());
    if (placement === undefined) return Left(this.#createNoTargetFailure());
    const {
      prefillTarget: prefill,
      findCopySource: copyFrom,
      prefillTokens: tokens,
      expectedFirstEventMs: firstEventMs,
    } = placement;
    this.options.context.addLogFields({
      prefill: prefill?.record.id,
      copied_from: copyFrom?.record.id,
      tokens,
      expected_ms: Math.round(firstEventMs),
    });
    return Right(placement);
  }

  #checkAdmission(placement: Placement): Either<Failure, Placement> {
    const { remainingMs: leftMs } = this.options.context;
    const { expectedFirstEventMs: firstEventMs } = placement;
    const refusal = checkAdmission({
      expectedFirstEventMs: firstEventMs,
      remainingMs: leftMs,
    });
    if (refusal === undefined) return Right(placement);
    const { reason, retryAfterMs } = refusal;
    return Left(new Failure('overloaded', reason, { retryAfterMs }));
  }

  #createPlacementOptions(): PlacementOptions {
    const {
      dependencies: parts,
      context: journey,
      prompt,
      engineSettings: engine,
      excludedTargets: excluded,
    } = this.options;
    const {
      targets,
      serviceStates: services,
      dataCenter,
      dataCenterReachability: reach,
      random,
    } = parts;
    return {
      targets: targets.listOpenTargets(journey.service),
      leavingTargets: targets.listRecentlyLeavingTargets(journey.service),
      prompt,
      prefillSpeed: services.getState(journey.service).prefillSpeed,
      slots: engine.slots,
      transferMsPerToken: engine.transferMsPerToken,
      dataCenter,
      excluded,
      unreached: reach.takeUnreachableDataCenters(),
      random: parts.isLargeDeployment() ? random : undefined,
    };
  }

  #createNoTargetFailure(): Failure {
    const {
      dependencies: parts,
      context: journey,
      excludedTargets: excluded,
    } = this.options;
    const open = parts.targets.listOpenTargets(journey.service);
    const decoding = open.filter(({ record }) => record.role !== 'prefill');
    journey.addLogFields({
      engines: open.length,
      decoding: decoding.length,
      changing: open.filter(({ isChangingRole: closed }) => closed).length,
      avoided: open.filter(({ isAvoided: avoided }) => avoided).length,
      tried: excluded.size,
    });
    return new Failure('no_target', 'no engine can take the request now', {
      executed: journey.mayHaveExecuted ? 'unknown' : 'no',
      retryAfterMs:
        decoding.length > 0 ? noTargetRetryAfterMs : noDecodeTargetRetryAfterMs,
    });
  }
}
