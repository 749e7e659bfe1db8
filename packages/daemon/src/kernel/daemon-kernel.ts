/** The daemon's kernel: the library's, with controllers for each interface. */
import { Kernel } from '@medlarlever/core';
import type { PeerMethodHandler, InjectionToken } from '@medlarlever/core';
import { Inject } from '@nestjs/common';
import type { Type } from '@nestjs/common';

/** The interfaces on which a daemon listens. */
export type InterfaceName = 'caller' | 'operator' | 'peer';

type PeerMethodSource = () => ReadonlyMap<string, PeerMethodHandler>;

export class DaemonKernel extends Kernel {
  readonly #deferredMethods: PeerMethodSource[] = [];
  readonly #controllersByInterface = new Map<InterfaceName, Type[]>();

  /** Adds peer methods of a part that is built later. */
  deferPeerMethods(methods: PeerMethodSource): void {
    this.#deferredMethods.push(methods);
  }

  /** Registers the deferred methods; called once all apps are installed. */
  collectPeerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    for (const source of this.#deferredMethods.splice(0)) {
      for (const [name, handler] of source())
        this.registerPeerMethod(name, handler);
    }
    return this.peerMethods;
  }

  /** Adds a controller to an interface. */
  addController(name: InterfaceName, controller: Type): void {
    this.#controllersByInterface.set(name, [
      ...this.getControllers(name),
      controller,
    ]);
  }

  getControllers(name: InterfaceName): readonly Type[] {
    return this.#controllersByInterface.get(name) ?? [];
  }
}

/** A feature of the daemon; its `app.ts` registers it. */
export interface Feature {
  readonly name: string;
  register(kernel: DaemonKernel): void;
}

const registeredFeatures: Feature[] = [];

/** Adds an app to every kernel made later. */
export const registerFeature = (
  name: string,
  register: (kernel: DaemonKernel) => void,
): void => {
  registeredFeatures.push({ name, register });
};

/** A kernel with every registered app installed. */
export const createKernel = (prepare: (kernel: DaemonKernel) => void) => {
  const kernel = new DaemonKernel();
  prepare(kernel);
  for (const app of registeredFeatures) app.register(kernel);
  return kernel;
};

/** Injects a part into a controller. */
export const InjectToken = (token: InjectionToken<unknown>) =>
  Inject(token.name);
