/** A daemon that relays requests; an adapter provides the platform's parts. */
import { randomUUID } from 'node:crypto';

import { Kernel } from '@medlarlever/core';

import { feedApp } from './change-streams/plugin.js';
import {
  drainPart,
  incarnationPart,
  leavingPart,
  logPart,
  randomPart,
  settingsPart,
  stoppingPart,
} from './kernel/tokens.js';
import { newsApp } from './peers/plugin.js';
import { relayApp } from './relay/app.js';
import { rolesApp } from './roles/plugin.js';
import { serverApp } from './server/plugin.js';

const apps = [feedApp, newsApp, relayApp, rolesApp, serverApp];

export class RelayDaemon {
  readonly #kernel = new Kernel();

  /** `provide` registers the parts that the platform's adapter builds. */
  constructor(provide: (kernel: Kernel) => void) {
    const incarnation = randomUUID();
    this.#kernel.provide(randomPart, () => Math.random);
    this.#kernel.provide(incarnationPart, () => incarnation);
    this.#kernel.provide(leavingPart, () => new AbortController());
    this.#kernel.provide(stoppingPart, () => new AbortController());
    provide(this.#kernel);
    this.#kernel.use(apps);
  }

  /** Opens every interface and starts the background tasks. */
  async start(): Promise<void> {
    await this.#kernel.start();
    const { instance, callers } = this.#kernel.get(settingsPart).current;
    this.#kernel.get(logPart).event('process_started', {
      instance,
      incarnation: this.#kernel.get(incarnationPart),
      callers: callers.port,
    });
  }

  /** Stops gracefully within the time that the platform gives. */
  async stop(): Promise<void> {
    const log = this.#kernel.get(logPart);
    await this.#kernel.stop((step, error) => {
      log.event('step_failed', { step, reason: String(error) });
    });
    const { running } = this.#kernel.get(drainPart);
    log.event('process_stopped', { running });
  }
}
