/**
 * The kernel of the daemon: the kernel of the core library, extended by the
 * controllers of each HTTP interface and by deferred peer methods.
 */
import { Kernel } from '@medlarlever/core';
import type { PeerMethodHandler, InjectionToken } from '@medlarlever/core';
import { Inject } from '@nestjs/common';
import type { Type } from '@nestjs/common';

/** Names of the HTTP interfaces on which a daemon listens. */
export type InterfaceName = 'caller' | 'operator' | 'peer';

type PeerMethodSource = () => ReadonlyMap<string, PeerMethodHandler>;

/** Component registry of one daemon. */
export class DaemonKernel extends Kernel {
  readonly #deferredMethods: PeerMethodSource[] = [];
  readonly #controllersByInterface = new Map<InterfaceName, Type[]>();

  /**
   * Adds a function that returns peer methods. It is called only when the
   * methods are collected, so that it may use components that other features
   * register later.
   */
  deferPeerMethods(getMethods: PeerMethodSource): void {
    this.#deferredMethods.push(getMethods);
  }

  /**
   * Registers the deferred peer methods and returns all peer methods. Called
   * after every feature is installed.
   */
  collectPeerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    for (const source of this.#deferredMethods.splice(0)) {
      for (const [name, handler] of source())
        this.registerPeerMethod(name, handler);
    }
    return this.peerMethods;
  }

  /** Adds a controller to an interface; interfaces that are open ignore it. */
  addController(name: InterfaceName, controller: Type): void {
    this.#controllersByInterface.set(name, [
      ...this.getControllers(name),
      controller,
    ]);
  }

  /** Returns the controllers of an interface in the order of their addition. */
  getControllers(name: InterfaceName): readonly Type[] {
    return this.#controllersByInterface.get(name) ?? [];
  }
}

/** A feature of the daemon, registered by the `app.ts` in its folder. */
export interface Feature {
  readonly name: string;
  register(kernel: DaemonKernel): void;
}

const registeredFeatures: Feature[] = [];

/** Adds a feature to every kernel that is created later. */
export const registerFeature = (
  name: string,
  register: (kernel: DaemonKernel) => void,
): void => {
  registeredFeatures.push({ name, register });
};

/**
 * Creates a kernel and installs every registered feature. `prepare` provides
 * the components on which the features depend, before they are installed.
 */
export const createKernel = (prepare: (kernel: DaemonKernel) => void) => {
  const kernel = new DaemonKernel();
  prepare(kernel);
  for (const feature of registeredFeatures) feature.register(kernel);
  return kernel;
};

/** Parameter decorator that injects a kernel component into a controller. */
export const InjectToken = (token: InjectionToken<unknown>) =>
  Inject(token.name);
