/**
 * The kernel: a registry of parts, peer methods and start and stop steps, to
 * which plug-ins add themselves.
 */
import type { Either } from 'purify-ts';

import type { Failure } from '../shared/failure.js';

/** Names a part of the system and carries its type. */
export class Token<T> {
  /** Keeps the type parameter; never set. */
  declare readonly part: T;

  constructor(readonly name: string) {}
}

/** Answers a peer's call; `from` is the calling instance. */
export type PeerHandler = (
  params: unknown,
  from: string,
) => Promise<Either<Failure, unknown>>;

/** Steps run in order of rank at start and in reverse at stop. */
export interface Step {
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

type Factory<T> = (kernel: Kernel) => T;

export class Kernel {
  readonly #factories = new Map<string, Factory<unknown>>();
  readonly #parts = new Map<string, unknown>();
  readonly #methods = new Map<string, PeerHandler>();
  readonly #steps: Step[] = [];
  readonly #building: string[] = [];

  /** Installs plug-ins in the order given. */
  use(plugins: Iterable<Plugin>): this {
    for (const plugin of plugins) plugin.register(this);
    return this;
  }

  /** Provides a part, built when first asked for. */
  provide<T>(token: Token<T>, factory: Factory<T>): void {
    if (this.#factories.has(token.name)) {
      throw new Error(`part "${token.name}" is provided twice`);
    }
    this.#factories.set(token.name, factory);
  }

  /** The part, built on first use. */
  get<T>(token: Token<T>): T {
    if (this.#parts.has(token.name)) return this.#parts.get(token.name) as T;
    const factory = this.#factories.get(token.name);
    if (factory === undefined) {
      throw new Error(`no plug-in provides part "${token.name}"`);
    }
    if (this.#building.includes(token.name)) {
      const cycle = [...this.#building, token.name].join(' -> ');
      throw new Error(`parts depend on each other: ${cycle}`);
    }
    this.#building.push(token.name);
    const part = factory(this) as T;
    this.#building.pop();
    this.#parts.set(token.name, part);
    return part;
  }

  /** Names of all provided parts. */
  get partNames(): readonly string[] {
    return [...this.#factories.keys()];
  }

  /** Registers a method that peers may call. */
  method(name: string, handler: PeerHandler): void {
    if (this.#methods.has(name)) {
      throw new Error(`peer method "${name}" is registered twice`);
    }
    this.#methods.set(name, handler);
  }

  /** Methods that peers may call, by name. */
  get methods(): ReadonlyMap<string, PeerHandler> {
    return this.#methods;
  }

  /** Adds a step of start and stop. */
  step(step: Step): void {
    this.#steps.push(step);
  }

  /** Runs every start step in order of rank. */
  async start(): Promise<void> {
    for (const step of this.#ordered()) await step.start?.();
  }

  /** Runs every stop step in reverse order; one failure stops no other. */
  async stop(onError: (step: string, error: unknown) => void): Promise<void> {
    for (const step of this.#ordered().reverse()) {
      try {
        await step.stop?.();
      } catch (error) {
        onError(step.name, error);
      }
    }
  }

  #ordered(): Step[] {
    return [...this.#steps].sort((a, b) => a.rank - b.rank);
  }
}
