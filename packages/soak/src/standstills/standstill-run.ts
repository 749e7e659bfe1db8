/** A run with standstills: daemons and targets as processes, callers and faults. */
import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';

import {
  DaemonProcess,
  FakeStore,
  TargetProcess,
  allocatePort,
  listTargetRuns,
} from '@medlarlever/platform/stand-ins';
import type { TargetProcessOptions } from '@medlarlever/platform/stand-ins';

import { SeededRandom } from '../shared/seeded-random.js';

import {
  createStandstillConfiguration,
  engineServices,
  plainService,
} from './standstill-configuration.js';
import { StandstillCaller } from './standstill-caller.js';
import type { StandstillRecord } from './standstill-record.js';

/** Size and length of a run. */
export interface StandstillRunOptions {
  readonly seed: number;
  readonly seconds: number;
  readonly instanceCount: number;
  readonly callerCount: number;
  readonly decodeEnginesPerService: number;
  /** Retries that the budget allows in each window. */
  readonly retryAllowance: number;
  /** False for a run in which only targets stand still. */
  readonly holdsInstances: boolean;
}

const daemonCommand = [
  '--max-old-space-size=160',
  fileURLToPath(
    new URL('../../../../target/medlarleverd.cjs', import.meta.url),
  ),
];

const dataCenters = ['a', 'b'];
const slots = 64;
const plainTargetCount = 4;
const prefillEnginesPerService = 1;
/** Daemons that start at the same time. */
const startBatchSize = 4;

/** From a change of the configuration to the silence that follows. */
const configurationLeadMs = 600;
const silenceMs = { min: 1_000, max: 1_300 };
const silentShare = { min: 0.6, max: 1 };
/** Pause after a silence before the next one, or the next change. */
const calmMs = { min: 200, max: 1_500 };
const maxSilencesInARow = 3;

/** Short standstills of instances, as on a busy machine, and long ones. */
const shortHoldMs = { min: 100, max: 500 };
const longHoldMs = { min: 500, max: 3_500 };
const shortHoldShare = 0.6;
const holdIntervalMs = { min: 150, max: 900 };

/** Time after the faults in which what is under way ends. */
const endMs = 5_000;

const sleep = (ms: number) => new Promise(resolve => setTimeout(resolve, ms));

/** Runs the seed; returns the record and the log lines by instance. */
export const runStandstills = async (options: StandstillRunOptions) => {
  const folder = await mkdtemp(join(tmpdir(), 'standstills-'));
  const run = await StandstillRun.start(options, folder);
  try {
    return await run.execute();
  } finally {
    await run.stop();
    await rm(folder, { recursive: true });
  }
};

class StandstillRun {
  readonly #random: SeededRandom;
  readonly #held = new Set<DaemonProcess>();
  #version = 1;

  private constructor(
    private readonly options: StandstillRunOptions,
    private readonly store: FakeStore,
    private readonly targets: readonly TargetProcess[],
    private readonly daemons: readonly DaemonProcess[],
  ) {
    this.#random = new SeededRandom(options.seed);
  }

  static async start(
    options: StandstillRunOptions,
    folder: string,
  ): Promise<StandstillRun> {
    const store = await FakeStore.start();
    store.putRow(
      'op',
      'config',
      createStandstillConfiguration(1, new SeededRandom(options.seed)),
    );
    const targets = await Promise.all(
      listTargetOptions(options, folder).map(each => TargetProcess.start(each)),
    );
    for (const {
      options: { id },
      registration,
    } of targets)
      store.putRow('servers', id, registration);
    const seedAddress = `127.0.0.1:${await allocatePort()}`;
    const daemons: DaemonProcess[] = [];
    while (daemons.length < options.instanceCount) {
      const batch = await Promise.all(
        Array.from({ length: startBatchSize }, (_, i) => daemons.length + i)
          .filter(number => number < options.instanceCount)
          .map(number =>
            DaemonProcess.start({
              name: `instance-${number}`,
              dataCenter: dataCenters[number % dataCenters.length] ?? '',
              folder,
              storeAddress: store.address,
              seedAddress,
              retryAllowance: options.retryAllowance,
              command: daemonCommand,
            }),
          ),
      );
      daemons.push(...batch);
      await Promise.all(batch.map(daemon => daemon.waitUntilReady()));
    }
    return new StandstillRun(options, store, targets, daemons);
  }

  async execute() {
    const { callerCount, seed, seconds } = this.options;
    const stopCallers = new AbortController();
    const stopFaults = new AbortController();
    const callers = Array.from(
      { length: callerCount },
      (_, i) =>
        new StandstillCaller({
          name: `c${i}`,
          instances: this.daemons,
          random: new SeededRandom(seed * callerCount + i),
        }),
    );
    const ends = callers.map(caller => caller.run(stopCallers.signal));
    const faults = [
      this.#silenceTargets(stopFaults.signal),
      this.#holdInstances(stopFaults.signal),
    ];
    await sleep(seconds * 1_000);
    stopFaults.abort();
    await Promise.all(faults);
    stopCallers.abort();
    await Promise.all(ends);
    await sleep(endMs);
    const logs = await Promise.all(
      this.targets.map(target => target.readLog()),
    );
    const record: StandstillRecord = {
      attempts: callers.flatMap(({ attempts }) => attempts),
      runs: listTargetRuns(logs.flat()),
      instanceStandstills: new Map(
        this.daemons.map(({ name, standstills }) => [name, standstills]),
      ),
      targetStandstills: new Map(
        this.targets.map(({ options: { id }, standstills }) => [
          id,
          standstills,
        ]),
      ),
    };
    const logLinesByInstance = new Map(
      this.daemons.map(({ name, logLines }) => [name, logLines]),
    );
    return { record, logLinesByInstance };
  }

  async stop(): Promise<void> {
    await Promise.all(this.daemons.map(daemon => daemon.stop()));
    await Promise.all(this.targets.map(target => target.stop()));
    await this.store.stop();
  }

  /** Changes the configuration and silences most targets of services shortly after. */
  async #silenceTargets(signal: AbortSignal): Promise<void> {
    const random = this.#random;
    while (!signal.aborted) {
      await sleep(random.nextBetween(calmMs.min, calmMs.max));
      const count = Math.ceil(random.nextFraction() * maxSilencesInARow);
      for (let i = 0; i < count; i += 1) {
        this.#version += 1;
        const configuration = createStandstillConfiguration(
          this.#version,
          random,
        );
        this.store.putRow('op', 'config', configuration);
        await sleep(configurationLeadMs);
        const ms = random.nextBetween(silenceMs.min, silenceMs.max);
        await Promise.all(
          this.#pickSilentTargets().map(target => target.standStill(ms)),
        );
      }
    }
  }

  #pickSilentTargets(): TargetProcess[] {
    const random = this.#random;
    const services = [...engineServices, plainService];
    const silentServices = random.nextBoolean(0.3)
      ? services
      : [random.pickItem(services)];
    return silentServices.flatMap(service => {
      const targets = this.targets.filter(
        ({ options }) => options.service === service,
      );
      const share = random.nextBetween(silentShare.min, silentShare.max);
      return random.sampleItems(targets, Math.round(share * targets.length));
    });
  }

  /** Lets single instances stand still for a while, one after the other. */
  async #holdInstances(signal: AbortSignal): Promise<void> {
    const random = new SeededRandom(-this.options.seed);
    const pending: Promise<void>[] = [];
    while (!signal.aborted && this.options.holdsInstances) {
      await sleep(random.nextBetween(holdIntervalMs.min, holdIntervalMs.max));
      const range = random.nextBoolean(shortHoldShare)
        ? shortHoldMs
        : longHoldMs;
      const ms = random.nextBetween(range.min, range.max);
      const daemon = random.pickItem(this.daemons);
      if (this.#held.has(daemon)) continue;
      this.#held.add(daemon);
      const hold = daemon.standStill(ms).finally(() => {
        this.#held.delete(daemon);
      });
      pending.push(hold);
    }
    await Promise.all(pending);
  }
}

const listTargetOptions = (
  { decodeEnginesPerService }: StandstillRunOptions,
  folder: string,
): TargetProcessOptions[] => {
  const createOptions = (
    id: string,
    number: number,
    fields: Pick<TargetProcessOptions, 'service' | 'role'>,
  ): TargetProcessOptions => ({
    ...fields,
    id,
    dataCenter: dataCenters[number % dataCenters.length] ?? '',
    slots,
    logPath: join(folder, `${id}.log`),
  });
  const list = (
    count: number,
    prefix: string,
    fields: Pick<TargetProcessOptions, 'service' | 'role'>,
  ) =>
    Array.from({ length: count }, (_, i) =>
      createOptions(`${prefix}-${i}`, i, fields),
    );
  return [
    ...list(plainTargetCount, plainService, { service: plainService }),
    ...engineServices.flatMap(service => [
      ...list(decodeEnginesPerService, `${service}-decode`, {
        service,
        role: 'decode',
      }),
      ...list(prefillEnginesPerService, `${service}-prefill`, {
        service,
        role: 'prefill',
      }),
    ]),
  ];
};
