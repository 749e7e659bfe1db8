/** Runs one daemon in this process. */
import { randomUUID } from 'node:crypto';

import type { Log } from '@medlarlever/core';

import './features.js';
import { createKernel } from './kernel/daemon-kernel.js';
import type { DaemonKernel } from './kernel/daemon-kernel.js';
import {
  incarnationToken,
  listenerRegistryToken,
  logToken,
  randomSourceToken,
  settingsToken,
} from './kernel/tokens.js';
import type { Settings } from './settings/settings.js';

/**
 * Creates the incarnation id of this process: a random UUID, preceded by the
 * platform's id for this start of the instance where the settings give one.
 */
const createIncarnation = ({ instance }: Settings): string =>
  [instance.incarnation, randomUUID()].filter(Boolean).join('.');

/** One instance: its kernel and the start and stop of all lifecycle hooks. */
export class Daemon {
  readonly kernel: DaemonKernel;
  readonly #log: Log;

  constructor(settings: Settings, log: Log) {
    this.#log = log;
    this.kernel = createKernel(kernel => {
      kernel.provide(settingsToken, () => settings);
      kernel.provide(logToken, () => log);
      kernel.provide(randomSourceToken, () => Math.random);
      kernel.provide(incarnationToken, () => createIncarnation(settings));
    });
  }

  /** Runs all start hooks, then logs the bound address of each interface. */
  async start(): Promise<void> {
    await this.kernel.start();
    this.#log.writeEvent('process_started', {
      incarnation: this.kernel.get(incarnationToken),
      ...this.kernel.get(listenerRegistryToken).listAddresses(),
    });
  }

  /**
   * Drains requests and runs all stop hooks. A hook that fails is logged and
   * does not keep the later hooks from running.
   */
  async stop(): Promise<void> {
    await this.kernel.stop((step, error) => {
      this.#log.writeEvent('step_failed', { step, reason: String(error) });
    });
    this.#log.writeEvent('process_stopped');
  }
}
