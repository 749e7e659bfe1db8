/** Chooses targets for a generation or returns the failure to answer with. */
import { Failure } from '@medlarlever/core';
import { Left, Right } from 'purify-ts';
import type { Either } from 'purify-ts';

import { checkAdmission } from '../placement/admission.js';
import { chooseDecodeTarget, placeGeneration } from '../placement/placement.js';
import type { Placement } from '../placement/placement.js';
import type { PlacementOptions } from '../placement/placement-options.js';
import { createRoomCheck } from '../room/room-check.js';
import type { RoomCheck } from '../room/room-check.js';
import type { Prompt } from '../requests/relay-request.js';
import type { EngineSettings } from '../routes/route-configuration.js';
import type { TargetState } from '../targets/target-state.js';

import type { RequestContext } from './request-context.js';
import type { RelayDependencies } from './relay-dependencies.js';
import { RoomShortage } from './room-wait.js';
import {
  canBeContinued,
  computeRetryAfterMs,
  createVersionGoneFailure,
  noTargetRetryAfterMs,
} from './request-runner.js';

/**
 * Retry delay for the caller when there is no decode engine: one must first change
 * its role.
 */
const noDecodeTargetRetryAfterMs = 1_200;

/** The generation to place and the relay's state. */
export interface GenerationPlacerOptions {
  readonly dependencies: RelayDependencies;
  readonly context: RequestContext;
  readonly prompt: Prompt;
  readonly engineSettings: EngineSettings;
  /** Engines that failed for this request; the request runner adds to the set. */
  readonly excludedTargets: ReadonlySet<TargetState>;
}

/**
 * Places one generation, repeatedly if needed, and records each placement in the
 * log fields of the request.
 */
export class GenerationPlacer {
  constructor(private readonly options: GenerationPlacerOptions) {}

  /** Places a new request; fails if the first event would be too late. */
  placeWithAdmission(): Either<Failure, Placement> {
    return this.#placeGeneration().chain(placement =>
      this.#checkAdmission(placement),
    );
  }

  /** Places a request again after a failed attempt. */
  placeRetry(): Either<Failure, Placement> {
    return this.#placeGeneration();
  }

  /** Chooses the decode engine after the prefill at another engine. */
  chooseDecodeTarget(): Either<Failure, TargetState> {
    const options = this.#createPlacementOptions();
    const decodeTarget = chooseDecodeTarget(options);
    return decodeTarget === undefined
      ? Left(this.#createPlacementFailure(options))
      : Right(decodeTarget);
  }

  #placeGeneration(): Either<Failure, Placement> {
    const options = this.#createPlacementOptions();
    const placement = placeGeneration(options);
    if (placement === undefined)
      return Left(this.#createPlacementFailure(options));
    const { prefillTarget, copySource, prefillTokens, expectedFirstEventMs } =
      placement;
    this.options.context.addLogFields({
      prefill: prefillTarget?.record.id,
      copied_from: copySource?.record.id,
      tokens: prefillTokens,
      expected_ms: Math.round(expectedFirstEventMs),
    });
    return Right(placement);
  }

  #checkAdmission(placement: Placement): Either<Failure, Placement> {
    const { remainingMs } = this.options.context;
    const { expectedFirstEventMs } = placement;
    const rejection = checkAdmission({
      expectedFirstEventMs,
      remainingMs,
    });
    if (rejection === undefined) return Right(placement);
    const { reason, retryAfterMs } = rejection;
    return Left(new Failure('overloaded', reason, { retryAfterMs }));
  }

  #createPlacementOptions(): PlacementOptions {
    const { dependencies, context, prompt, engineSettings, excludedTargets } =
      this.options;
    const {
      targets,
      serviceStates,
      dataCenter,
      dataCenterReachability,
      random,
    } = dependencies;
    const openTargets = targets.listOpenTargets(context.service);
    const serviceState = serviceStates.getState(context.service);
    const drawsSample = dependencies.isLargeDeployment();
    return {
      targets: openTargets,
      room: this.#createRoomCheck(openTargets, drawsSample),
      leavingTargets: targets.listRecentlyLeavingTargets(context.service),
      prompt,
      prefillSpeed: serviceState.prefillSpeed,
      slots: engineSettings.slots,
      transferMsPerToken: engineSettings.transferMsPerToken,
      dataCenter,
      excluded: excludedTargets,
      origin: context.origin,
      unreached: dataCenterReachability.takeUnreachableDataCenters(),
      isConnected: ({ record }) =>
        dependencies.targetClient.hasIdleConnection(record),
      isIncarnationKnown: ({ record }) =>
        dependencies.targetClient.isIncarnationKnown(record),
      random: drawsSample ? random : undefined,
    };
  }

  /** Undefined where an engine that is full puts requests back and goes on. */
  #createRoomCheck(
    targets: readonly TargetState[],
    drawsSample: boolean,
  ): RoomCheck | undefined {
    const { dependencies, context, prompt, engineSettings } = this.options;
    if (!dependencies.boundsEngineMemory()) return undefined;
    const { requestTokensAverage, decodeMsAverage } =
      dependencies.serviceStates.getState(context.service);
    return createRoomCheck({
      targets,
      prompt,
      capacityTokens: engineSettings.kvTokens,
      typicalTokens: requestTokensAverage.value,
      holdMs: decodeMsAverage.value,
      turns: dependencies.engineTurns,
      drawsSample,
    });
  }

  /** Returns a shortage of room if an engine could take the request but for that. */
  #createPlacementFailure(options: PlacementOptions): Failure {
    const withoutRoom = { ...options, room: undefined };
    return chooseDecodeTarget(withoutRoom) === undefined
      ? this.#createNoTargetFailure()
      : new RoomShortage();
  }

  #createNoTargetFailure(): Failure {
    const { dependencies, context, excludedTargets } = this.options;
    const openTargets = dependencies.targets.listOpenTargets(context.service);
    const decodeTargets = openTargets.filter(
      ({ record }) => record.role !== 'prefill',
    );
    context.addLogFields({
      engines: openTargets.length,
      decoding: decodeTargets.length,
      changing: openTargets.filter(({ isChangingRole }) => isChangingRole)
        .length,
      avoided: openTargets.filter(({ isAvoided }) => isAvoided).length,
      quiet: openTargets.filter(({ remainingQuietMs }) => remainingQuietMs > 0)
        .length,
      limited: openTargets.filter(({ limiter }) => !limiter.hasPermit).length,
      tried: excludedTargets.size,
    });
    if (!canBeContinued(context.origin, openTargets))
      return createVersionGoneFailure(context);
    return new Failure(
      'no_target',
      'no engine of the service can take the request now; retry later',
      {
        executed: context.mayHaveExecuted ? 'unknown' : 'no',
        retryAfterMs:
          decodeTargets.length > 0
            ? computeRetryAfterMs(decodeTargets, noTargetRetryAfterMs)
            : noDecodeTargetRetryAfterMs,
      },
    );
  }
}
