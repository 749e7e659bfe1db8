/**
 * The kernel: a registry of parts, peer methods and start and stop steps, to
 * which plug-ins add themselves.
 */
import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';

/** Names a part of the system and carries its type. */
export class InjectionToken<T> {
  /** Keeps the type parameter; never set. */
  declare readonly valueType: T;

  constructor(readonly name: string) {}
}

/** Answers a peer's call; `from` is the calling instance. */
export type PeerMethodHandler = (
  params: unknown,
  from: string,
) => Promise<Either<Failure, unknown>>;

/** Steps run in order of rank at start and in reverse at stop. */
export interface LifecycleHook {
  readonly name: string;
  /** Lower starts earlier and stops later. */
  readonly rank: number;
  readonly start?: () => Promise<void>;
  readonly stop?: () => Promise<void>;
}

/** A feature that adds its parts, methods and steps to a kernel. */
export interface Plugin {
  readonly name: string;
  register(kernel: Kernel): void;
}

type ComponentFactory<T> = (kernel: Kernel) => T;

export class Kernel {
  readonly #factories = new Map<string, ComponentFactory<unknown>>();
  readonly #components = new Map<string, unknown>();
  readonly #peerMethods = new Map<string, PeerMethodHandler>();
  readonly #lifecycleHooks: LifecycleHook[] = [];
  readonly #resolutionStack: string[] = [];

  /** Installs plug-ins in the order given. */
  installPlugins(plugins: Iterable<Plugin>): this {
    for (const plugin of plugins) plugin.register(this);
    return this;
  }

  /** Provides a part, built when first asked for. */
  provide<T>(token: InjectionToken<T>, factory: ComponentFactory<T>): void {
    if (this.#factories.has(token.name)) {
      throw new Error(`part "${token.name}" is provided twice`);
    }
    this.#factories.set(token.name, factory);
  }

  /** The part, built on first use. */
  get<T>(token: InjectionToken<T>): T {
    if (this.#components.has(token.name))
      return this.#components.get(token.name) as T;
    const factory = this.#factories.get(token.name);
    if (factory === undefined) {
      throw new Error(`no plug-in provides part "${token.name}"`);
    }
    if (this.#resolutionStack.includes(token.name)) {
      const cycle = [...this.#resolutionStack, token.name].join(' -> ');
      throw new Error(`parts depend on each other: ${cycle}`);
    }
    this.#resolutionStack.push(token.name);
    const part = factory(this) as T;
    this.#resolutionStack.pop();
    this.#components.set(token.name, part);
    return part;
  }

  /** Names of all provided parts. */
  get componentNames(): readonly string[] {
    return [...this.#factories.keys()];
  }

  /** Registers a method that peers may call. */
  registerPeerMethod(name: string, handler: PeerMethodHandler): void {
    if (this.#peerMethods.has(name)) {
      throw new Error(`peer method "${name}" is registered twice`);
    }
    this.#peerMethods.set(name, handler);
  }

  /** Methods that peers may call, by name. */
  get peerMethods(): ReadonlyMap<string, PeerMethodHandler> {
    return this.#peerMethods;
  }

  /** Adds a step of start and stop. */
  addLifecycleHook(step: LifecycleHook): void {
    this.#lifecycleHooks.push(step);
  }

  /** Runs every start step in order of rank. */
  async start(): Promise<void> {
    for (const step of this.#sortHooksByRank()) await step.start?.();
  }

  /** Runs every stop step in reverse order; one failure stops no other. */
  async stop(onError: (step: string, error: unknown) => void): Promise<void> {
    for (const step of this.#sortHooksByRank().reverse()) {
      try {
        await step.stop?.();
      } catch (error) {
        onError(step.name, error);
      }
    }
  }

  #sortHooksByRank(): LifecycleHook[] {
    return [...this.#lifecycleHooks].sort((a, b) => a.rank - b.rank);
  }
}
