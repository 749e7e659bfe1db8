/** Gauges of what an instance believes, read when the metrics are fetched. */
import type { InstanceRegistry } from '@medlarlever/core';
import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

import type { TableWatcher } from '../change-streams/table-watcher.js';
import type { ServiceStates } from '../relay/service-state.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { TargetRegistry } from '../targets/target-registry.js';

const msPerSecond = 1_000;

export interface StateGaugesOptions {
  readonly registry: Registry;
  readonly routes: RouteTableHolder;
  readonly targets: TargetRegistry;
  readonly services: ServiceStates;
  readonly instances: InstanceRegistry;
  readonly watchers: readonly TableWatcher[];
  /** How far the process is behind with its connections. */
  readonly eventLoopDelayMs: () => number;
  /** Log lines dropped because their reader was slow. */
  readonly droppedLogLines: () => number;
}

/** Registers the gauges. */
export const registerStateGauges = (options: StateGaugesOptions): void => {
  const registers = [options.registry];
  const gauge = (name: string, help: string, read: () => number) =>
    new Gauge({
      name: `medlarlever_relay_${name}`,
      help,
      registers,
      collect() {
        this.set(read());
      },
    });
  gauge('revision', 'Configuration in force', () => options.routes.version);
  gauge(
    'instances',
    'Instances heard of, this one included',
    () => options.instances.listInstances().length,
  );
  gauge(
    'revision_age_seconds',
    'Time since the configuration in force was taken',
    () => options.routes.ageMs / msPerSecond,
  );
  gauge(
    'suspected_instances',
    'Instances that do not answer heartbeats',
    () =>
      options.instances
        .listInstances()
        .filter(({ state }) => state === 'suspected').length,
  );
  gauge(
    'behind_seconds',
    'Delay of the event loop',
    () => options.eventLoopDelayMs() / msPerSecond,
  );
  gauge('dropped_log_lines', 'Log lines dropped', options.droppedLogLines);
  registerTargetGauge(options, registers);
  registerRetryGauge(options, registers);
  registerWatcherGauge(options, registers);
};

const registerTargetGauge = (
  { targets }: StateGaugesOptions,
  registers: Registry[],
): void => {
  new Gauge({
    name: 'medlarlever_relay_targets',
    help: 'Targets by service, role and state',
    labelNames: ['service', 'role', 'state'],
    registers,
    collect() {
      this.reset();
      for (const {
        record,
        isLeaving: leaving,
        isAvoided: avoided,
        isChangingRole: closed,
      } of targets.listTargets()) {
        const state = leaving
          ? 'leaving'
          : closed
            ? 'changing'
            : avoided
              ? 'avoided'
              : 'open';
        const role = record.role ?? 'service';
        this.inc({ service: record.service, role, state });
      }
    },
  });
};

const registerRetryGauge = (
  { services }: StateGaugesOptions,
  registers: Registry[],
): void => {
  new Gauge({
    name: 'medlarlever_relay_retries_left',
    help: 'Retries that this instance has left in the window',
    labelNames: ['service'],
    registers,
    collect() {
      this.reset();
      for (const [service, { retryBudget: retries }] of services.listStates()) {
        this.set({ service }, retries.remainingRetries);
      }
    },
  });
};

const registerWatcherGauge = (
  { watchers: feeds }: StateGaugesOptions,
  registers: Registry[],
): void => {
  new Gauge({
    name: 'medlarlever_relay_feed_up',
    help: '1 while the platform answers for the table',
    labelNames: ['feed'],
    registers,
    collect() {
      for (const feed of feeds) {
        this.set({ feed: feed.name }, feed.isConnected ? 1 : 0);
      }
    },
  });
};
