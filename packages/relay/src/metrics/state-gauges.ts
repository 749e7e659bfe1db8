/** Gauges of an instance's state, read whenever the metrics are scraped. */
import type { EraTracker, InstanceRegistry } from '@medlarlever/core';
import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

import type { CallerBuffers } from '../buffers/caller-buffers.js';
import type { PromptQuarantine } from '../crashes/prompt-quarantine.js';
import type { TableWatcher } from '../change-streams/table-watcher.js';
import type { ServiceStates } from '../relay/service-state.js';
import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { TargetAnnouncements } from '../targets/target-announcements.js';
import type { TargetLink } from '../targets/target-link.js';
import type { TargetRegistry } from '../targets/target-registry.js';

const msPerSecond = 1_000;

/** Components whose state the gauges report. */
export interface StateGaugesOptions {
  readonly registry: Registry;
  readonly routes: RouteTableHolder;
  readonly targets: TargetRegistry;
  readonly services: ServiceStates;
  readonly instances: InstanceRegistry;
  readonly watchers: readonly TableWatcher[];
  readonly eras: EraTracker;
  readonly announcements: TargetAnnouncements;
  readonly promptQuarantine: PromptQuarantine;
  readonly targetLink: TargetLink;
  /** Returns the milliseconds since all accepted configurations were known. */
  readonly configurationAgeMs: () => number;
  readonly callerBuffers: CallerBuffers;
  /** Returns the event loop delay in milliseconds. */
  readonly eventLoopDelayMs: () => number;
  /** Returns the seconds for which the event loop has been busy. */
  readonly eventLoopBusySeconds: () => number;
  /** Returns the number of log lines dropped because their reader was slow. */
  readonly droppedLogLines: () => number;
}

/** Registers all state gauges in the registry. */
export const registerStateGauges = (options: StateGaugesOptions): void => {
  const registers = [options.registry];
  const registerGauge = (name: string, help: string, getValue: () => number) =>
    new Gauge({
      name: `medlarlever_relay_${name}`,
      help,
      registers,
      collect() {
        this.set(getValue());
      },
    });
  registerGauge(
    'revision',
    'Configuration in force',
    () => options.routes.version,
  );
  registerGauge(
    'instances',
    'Instances heard of, this one included',
    () => options.instances.listInstances().length,
  );
  registerGauge(
    'revision_age_seconds',
    'Time since the configuration in force was taken',
    () => options.routes.ageMs / msPerSecond,
  );
  registerGauge(
    'configuration_known_age_seconds',
    'Time since all accepted configurations were known; infinite if they are not',
    () => options.configurationAgeMs() / msPerSecond,
  );
  registerGauge(
    'suspected_instances',
    'Instances that do not answer heartbeats',
    () =>
      options.instances
        .listInstances()
        .filter(({ state }) => state === 'suspected').length,
  );
  registerGauge(
    'behind_seconds',
    'Delay of the event loop',
    () => options.eventLoopDelayMs() / msPerSecond,
  );
  registerGauge(
    'event_loop_busy_seconds',
    'Time for which the event loop has been busy since the start',
    options.eventLoopBusySeconds,
  );
  registerGauge(
    'dropped_log_lines',
    'Log lines dropped',
    options.droppedLogLines,
  );
  registerGauge(
    'store_era',
    "Era of the platform's store",
    () => options.eras.currentEra,
  );
  registerGauge(
    'store_restores',
    "Restores of the platform's store since the start",
    () => options.eras.changeCount,
  );
  registerGauge(
    'targets_announced_leaving',
    'Targets that announced in a response to this instance that they leave',
    () => options.announcements.leavingCount,
  );
  registerGauge(
    'target_quiet_periods',
    'Pauses that targets asked this instance for',
    () => options.announcements.quietPeriodCount,
  );
  registerGauge(
    'target_link_up',
    '1 while this instance reaches targets',
    () => (options.targetLink.isCutOff ? 0 : 1),
  );
  registerGauge(
    'refused_prompt_parts',
    'Parts of prompts that are held to crash targets',
    () => options.promptQuarantine.causeCount,
  );
  registerGauge(
    'target_limits',
    'New limits that targets named to this instance',
    () => options.announcements.limitCount,
  );
  registerGauge(
    'unread_answer_bytes',
    'Bytes of answers that slow callers have not read',
    () => options.callerBuffers.totalBytes,
  );
  registerGauge(
    'answers_given_way',
    'Answers ended because the buffers for slow callers were full',
    () => options.callerBuffers.givenWayCount,
  );
  registerGauge(
    'waiting_for_room',
    'Requests that wait for memory of an engine',
    () =>
      options.services
        .listStates()
        .reduce((sum, [, { roomQueue }]) => sum + roomQueue.length, 0),
  );
  registerTokenGauge(options, registers);
  registerTargetGauge(options, registers);
  registerRetryGauge(options, registers);
  registerRetryHistoryGauge(options, registers);
  registerWatcherGauge(options, registers);
};

const registerTokenGauge = (
  { targets, services }: StateGaugesOptions,
  registers: Registry[],
): void => {
  new Gauge({
    name: 'medlarlever_relay_engine_tokens',
    help: 'Tokens that requests take at engines: of this instance and reported by others',
    labelNames: ['service', 'source'],
    registers,
    collect() {
      this.reset();
      for (const {
        record,
        heldTokens,
        reportedTokens,
      } of targets.listTargets()) {
        const { service, role } = record;
        if (role === undefined) continue;
        const typical = services.getState(service).requestTokensAverage.value;
        this.inc({ service, source: 'own' }, heldTokens.tokens);
        this.inc(
          { service, source: 'reported' },
          reportedTokens.countTokens(typical ?? 0),
        );
      }
    },
  });
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
        isLeaving,
        isAvoided,
        isChangingRole,
        remainingQuietMs,
        isLimited,
      } of targets.listTargets()) {
        const state = isLeaving
          ? 'leaving'
          : isChangingRole
            ? 'changing'
            : remainingQuietMs > 0
              ? 'quiet'
              : isAvoided
                ? 'avoided'
                : isLimited
                  ? 'limited'
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
      for (const [service, { retryBudget }] of services.listStates()) {
        this.set({ service }, retryBudget.remainingRetries);
      }
    },
  });
};

const registerRetryHistoryGauge = (
  { services }: StateGaugesOptions,
  registers: Registry[],
): void => {
  new Gauge({
    name: 'medlarlever_relay_retry_history_seconds',
    help: 'Time for which this instance has counted the retries of the service',
    labelNames: ['service'],
    registers,
    collect() {
      this.reset();
      for (const [service, { retryBudget }] of services.listStates()) {
        this.set({ service }, retryBudget.historyMs / msPerSecond);
      }
    },
  });
};

const registerWatcherGauge = (
  { watchers }: StateGaugesOptions,
  registers: Registry[],
): void => {
  new Gauge({
    name: 'medlarlever_relay_feed_up',
    help: '1 while the platform answers for the table',
    labelNames: ['feed'],
    registers,
    collect() {
      for (const watcher of watchers) {
        this.set({ feed: watcher.name }, watcher.isConnected ? 1 : 0);
      }
    },
  });
};
