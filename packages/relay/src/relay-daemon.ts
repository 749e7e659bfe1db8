/** Daemon process of the relay; an adapter provides the platform-specific parts. */
import { randomUUID } from 'node:crypto';

import { Kernel } from '@medlarlever/core';

import { changeStreamsPlugin } from './change-streams/app.js';
import { crashesPlugin } from './crashes/app.js';
import { customersPlugin } from './customers/app.js';
import { dutiesPlugin } from './duties/app.js';
import { forwardingPlugin } from './forwarding/app.js';
import {
  requestDrainerToken,
  incarnationToken,
  shutdownStartControllerToken,
  logToken,
  randomToken,
  settingsToken,
  servingEndControllerToken,
} from './kernel/tokens.js';
import { peersPlugin } from './peers/app.js';
import { relayApp } from './relay/app.js';
import { rolesPlugin } from './roles/app.js';
import { scalingPlugin } from './scaling/app.js';
import { serverPlugin } from './server/app.js';
import { usagePlugin } from './usage/app.js';

const plugins = [
  changeStreamsPlugin,
  crashesPlugin,
  customersPlugin,
  forwardingPlugin,
  peersPlugin,
  relayApp,
  dutiesPlugin,
  rolesPlugin,
  scalingPlugin,
  serverPlugin,
  usagePlugin,
];

/** Wires the relay's plugins and controls their start and stop. */
export class RelayDaemon {
  readonly #kernel = new Kernel();
  /** Milliseconds from the start of the process until the program was loaded. */
  readonly #loadedAtMs = performance.now();

  /** `provide` registers the dependencies that the platform adapter creates. */
  constructor(provide: (kernel: Kernel) => void) {
    const incarnation = randomUUID();
    this.#kernel.provide(randomToken, () => Math.random);
    this.#kernel.provide(incarnationToken, () => incarnation);
    this.#kernel.provide(
      shutdownStartControllerToken,
      () => new AbortController(),
    );
    this.#kernel.provide(
      servingEndControllerToken,
      () => new AbortController(),
    );
    provide(this.#kernel);
    this.#kernel.installPlugins(plugins);
  }

  /** Opens every interface and starts the background tasks. */
  async start(): Promise<void> {
    await this.#kernel.start();
    const { instance, callers } = this.#kernel.get(settingsToken).current;
    this.#kernel.get(logToken).writeEvent('process_started', {
      instance,
      incarnation: this.#kernel.get(incarnationToken),
      callers: callers.port,
      loaded_ms: Math.round(this.#loadedAtMs),
      started_ms: Math.round(performance.now()),
    });
  }

  /** Stops gracefully within the grace period of the settings. */
  async stop(): Promise<void> {
    const log = this.#kernel.get(logToken);
    await this.#kernel.stop((step, error) => {
      log.writeEvent('step_failed', { step, reason: String(error) });
    });
    const drainer = this.#kernel.get(requestDrainerToken);
    log.writeEvent('process_stopped', { running: drainer.runningRequests });
    drainer.abortAnswers();
  }
}
