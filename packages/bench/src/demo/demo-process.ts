/** Child processes of the demo, ended by their own id and nothing else. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import { sleep } from '@medlarlever/core';

const stopTimeoutMs = 20_000;

/** A program of this repository, relative to the packages. */
export const programPath = (path: string): string =>
  fileURLToPath(new URL(`../../../${path}`, import.meta.url));

export interface DemoProcessOptions {
  readonly name: string;
  readonly resolveProgramPath: string;
  readonly args: readonly string[];
}

export class DemoProcess {
  readonly name: string;
  readonly #child: ChildProcess;
  readonly #outputLines: string[] = [];
  readonly #exitCodePromise: Promise<number | null>;
  #hasExited = false;

  constructor({ name, resolveProgramPath: program, args }: DemoProcessOptions) {
    this.name = name;
    this.#child = spawn(process.execPath, [programPath(program), ...args], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    this.#exitCodePromise = new Promise(resolve => {
      this.#child.once('exit', code => {
        this.#hasExited = true;
        resolve(code);
      });
    });
    for (const stream of [this.#child.stdout, this.#child.stderr]) {
      if (stream === null) continue;
      createInterface({ input: stream }).on('line', line => {
        this.#outputLines.push(line);
      });
    }
  }

  get pid(): number | undefined {
    return this.#child.pid;
  }

  get isRunning(): boolean {
    return !this.#hasExited;
  }

  /** Everything it printed, for the report of a failure. */
  get outputLines(): readonly string[] {
    return this.#outputLines;
  }

  /** The first line that passes, or `undefined` when the process ends. */
  async waitForLine(
    matches: (line: string) => boolean,
    limitMs: number,
  ): Promise<string | undefined> {
    const untilMs = Date.now() + limitMs;
    while (Date.now() < untilMs) {
      const found = this.#outputLines.find(matches);
      if (found !== undefined || this.#hasExited) return found;
      await sleep(20);
    }
    return undefined;
  }

  /** Kills it without notice. */
  async kill(): Promise<void> {
    this.#child.kill('SIGKILL');
    await this.#exitCodePromise;
  }

  /** Asks it to stop; gives its exit code, or `undefined` when it did not. */
  async stop(): Promise<number | null | undefined> {
    this.#child.kill('SIGTERM');
    const limit = new AbortController();
    const late = sleep(stopTimeoutMs, limit.signal).then(() => undefined);
    const code = await Promise.race([this.#exitCodePromise, late]);
    limit.abort();
    if (code === undefined) await this.kill();
    return code;
  }

  /** Waits for its own end and gives its exit code. */
  waitForExit(): Promise<number | null> {
    return this.#exitCodePromise;
  }
}
