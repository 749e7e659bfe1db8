/**
 * The kernel: a dependency injection container that also holds the peer
 * methods and lifecycle hooks which plug-ins register.
 */
import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';

/** Identifies a component by name and carries its type. */
export class InjectionToken<T> {
  /** Makes the type parameter part of the type; has no value at run time. */
  declare readonly valueType: T;

  constructor(readonly name: string) {}
}

/** Handles a peer's call; `from` is the name of the calling instance. */
export type PeerMethodHandler = (
  params: unknown,
  from: string,
) => Promise<Either<Failure, unknown>>;

/** Functions that the kernel runs when it starts and when it stops. */
export interface LifecycleHook {
  readonly name: string;
  /** Hooks with a lower rank start earlier and stop later. */
  readonly rank: number;
  readonly start?: () => Promise<void>;
  readonly stop?: () => Promise<void>;
}

/** A feature that registers its components, peer methods and hooks. */
export interface Plugin {
  readonly name: string;
  register(kernel: Kernel): void;
}

type ComponentFactory<T> = (kernel: Kernel) => T;

/** Creates components on demand and runs the lifecycle hooks of plug-ins. */
export class Kernel {
  readonly #factories = new Map<string, ComponentFactory<unknown>>();
  readonly #components = new Map<string, unknown>();
  readonly #peerMethods = new Map<string, PeerMethodHandler>();
  readonly #lifecycleHooks: LifecycleHook[] = [];
  readonly #resolutionStack: string[] = [];

  /** Calls `register` of each plug-in, in the order given. */
  installPlugins(plugins: Iterable<Plugin>): this {
    for (const plugin of plugins) plugin.register(this);
    return this;
  }

  /**
   * Registers the factory of a component; throws if the token already has one.
   */
  provide<T>(token: InjectionToken<T>, factory: ComponentFactory<T>): void {
    if (this.#factories.has(token.name)) {
      throw new Error(`component "${token.name}" is provided twice`);
    }
    this.#factories.set(token.name, factory);
  }

  /**
   * Returns the component, created on first use; throws on a dependency cycle.
   */
  get<T>(token: InjectionToken<T>): T {
    if (this.#components.has(token.name))
      return this.#components.get(token.name) as T;
    const factory = this.#factories.get(token.name);
    if (factory === undefined) {
      throw new Error(`no plug-in provides component "${token.name}"`);
    }
    if (this.#resolutionStack.includes(token.name)) {
      const cycle = [...this.#resolutionStack, token.name].join(' -> ');
      throw new Error(`components depend on each other: ${cycle}`);
    }
    this.#resolutionStack.push(token.name);
    const component = factory(this) as T;
    this.#resolutionStack.pop();
    this.#components.set(token.name, component);
    return component;
  }

  /** Names of all components that have a factory. */
  get componentNames(): readonly string[] {
    return [...this.#factories.keys()];
  }

  /** Registers a method that peers may call; throws if the name is taken. */
  registerPeerMethod(name: string, handler: PeerMethodHandler): void {
    if (this.#peerMethods.has(name)) {
      throw new Error(`peer method "${name}" is registered twice`);
    }
    this.#peerMethods.set(name, handler);
  }

  /** Handlers of the methods that peers may call, by method name. */
  get peerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    return this.#peerMethods;
  }

  /** Adds a hook that `start` and `stop` run. */
  addLifecycleHook(hook: LifecycleHook): void {
    this.#lifecycleHooks.push(hook);
  }

  /**
   * Runs the start functions in order of rank; ends at the first that throws.
   */
  async start(): Promise<void> {
    for (const hook of this.#sortHooksByRank()) await hook.start?.();
  }

  /** Runs all stop functions by descending rank; passes errors to `onError`. */
  async stop(onError: (name: string, error: unknown) => void): Promise<void> {
    for (const hook of this.#sortHooksByRank().reverse()) {
      try {
        await hook.stop?.();
      } catch (error) {
        onError(hook.name, error);
      }
    }
  }

  #sortHooksByRank(): LifecycleHook[] {
    return [...this.#lifecycleHooks].sort((a, b) => a.rank - b.rank);
  }
}
