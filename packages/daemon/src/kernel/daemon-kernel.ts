/** The daemon's kernel: the library's, with controllers for each interface. */
import { Kernel } from '@medlarlever/core';
import type { PeerMethodHandler, InjectionToken } from '@medlarlever/core';
import { Inject } from '@nestjs/common';
import type { Type } from '@nestjs/common';

/** The interfaces on which a daemon listens. */
export type Interface = 'caller' | 'operator' | 'peer';

type MethodSource = () => ReadonlyMap<string, PeerMethodHandler>;

export class DaemonKernel extends Kernel {
  readonly #deferred: MethodSource[] = [];
  readonly #controllers = new Map<Interface, Type[]>();

  /** Adds peer methods of a part that is built later. */
  deferMethods(methods: MethodSource): void {
    this.#deferred.push(methods);
  }

  /** Registers the deferred methods; called once all apps are installed. */
  collectMethods(): ReadonlyMap<string, PeerMethodHandler> {
    for (const source of this.#deferred.splice(0)) {
      for (const [name, handler] of source())
        this.registerPeerMethod(name, handler);
    }
    return this.peerMethods;
  }

  /** Adds a controller to an interface. */
  controller(name: Interface, controller: Type): void {
    this.#controllers.set(name, [...this.controllers(name), controller]);
  }

  controllers(name: Interface): readonly Type[] {
    return this.#controllers.get(name) ?? [];
  }
}

/** A feature of the daemon; its `app.ts` registers it. */
export interface App {
  readonly name: string;
  register(kernel: DaemonKernel): void;
}

const registered: App[] = [];

/** Adds an app to every kernel made later. */
export const registerApp = (
  name: string,
  register: (kernel: DaemonKernel) => void,
): void => {
  registered.push({ name, register });
};

/** A kernel with every registered app installed. */
export const createKernel = (prepare: (kernel: DaemonKernel) => void) => {
  const kernel = new DaemonKernel();
  prepare(kernel);
  for (const app of registered) app.register(kernel);
  return kernel;
};

/** Injects a part into a controller. */
export const InjectPart = (token: InjectionToken<unknown>) =>
  Inject(token.name);
