/** One daemon in this process: kernel, parts and steps. */
import { randomUUID } from 'node:crypto';

import type { Log } from '@medlarlever/core';

import './features.js';
import { createKernel } from './kernel/daemon-kernel.js';
import type { DaemonKernel } from './kernel/daemon-kernel.js';
import {
  incarnationToken,
  listenerRegistryToken,
  logToken,
  randomToken,
  settingsToken,
} from './kernel/tokens.js';
import type { Settings } from './settings/settings.js';

/** Unique for this process, below the platform's name for the instance. */
const createIncarnation = ({ instance }: Settings): string =>
  [instance.incarnation, randomUUID()].filter(Boolean).join('.');

export class Daemon {
  readonly kernel: DaemonKernel;
  readonly #log: Log;

  constructor(settings: Settings, log: Log) {
    this.#log = log;
    this.kernel = createKernel(kernel => {
      kernel.provide(settingsToken, () => settings);
      kernel.provide(logToken, () => log);
      kernel.provide(randomToken, () => Math.random);
      kernel.provide(incarnationToken, () => createIncarnation(settings));
    });
  }

  async start(): Promise<void> {
    await this.kernel.start();
    this.#log.writeEvent('process_started', {
      incarnation: this.kernel.get(incarnationToken),
      ...this.kernel.get(listenerRegistryToken).listAddresses(),
    });
  }

  async stop(): Promise<void> {
    await this.kernel.stop((step, error) => {
      this.#log.writeEvent('step_failed', { step, reason: String(error) });
    });
    this.#log.writeEvent('process_stopped');
  }
}
