/** Child processes of the demo, each stopped by its own process id. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';
import { fileURLToPath } from 'node:url';

import { sleep } from '@medlarlever/core';

const stopTimeoutMs = 20_000;

/** Returns the absolute path of a program, given its path relative to the packages folder. */
export const resolveProgramPath = (path: string): string =>
  fileURLToPath(new URL(`../../../${path}`, import.meta.url));

/** Name, program and arguments of a process. */
export interface DemoProcessOptions {
  /** Name of the process in error messages. */
  readonly name: string;
  /** Path of the program, relative to the packages folder. */
  readonly programPath: string;
  readonly args: readonly string[];
}

/** A Node.js child process whose output lines are recorded. */
export class DemoProcess {
  readonly name: string;
  readonly #child: ChildProcess;
  readonly #outputLines: string[] = [];
  readonly #exitCodePromise: Promise<number | null>;
  #hasExited = false;

  constructor({ name, programPath: relativePath, args }: DemoProcessOptions) {
    this.name = name;
    this.#child = spawn(
      process.execPath,
      [resolveProgramPath(relativePath), ...args],
      {
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
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

  /** Lines that the process has printed to standard output and standard error, in order of arrival. */
  get outputLines(): readonly string[] {
    return this.#outputLines;
  }

  /** Returns the first matching output line, or `undefined` if the process exits or `limitMs` pass without one. */
  async waitForLine(
    matches: (line: string) => boolean,
    limitMs: number,
  ): Promise<string | undefined> {
    const deadlineMs = Date.now() + limitMs;
    while (Date.now() < deadlineMs) {
      const matchingLine = this.#outputLines.find(matches);
      if (matchingLine !== undefined || this.#hasExited) return matchingLine;
      await sleep(20);
    }
    return undefined;
  }

  /** Kills the process with SIGKILL and waits for its exit. */
  async kill(): Promise<void> {
    this.#child.kill('SIGKILL');
    await this.#exitCodePromise;
  }

  /** Sends SIGTERM and returns the exit code; kills the process after 20 s and returns `undefined`. */
  async stop(): Promise<number | null | undefined> {
    this.#child.kill('SIGTERM');
    const timeoutAbort = new AbortController();
    const timeout = sleep(stopTimeoutMs, timeoutAbort.signal).then(
      () => undefined,
    );
    const code = await Promise.race([this.#exitCodePromise, timeout]);
    timeoutAbort.abort();
    if (code === undefined) await this.kill();
    return code;
  }

  /** Waits until the process exits and returns its exit code (`null` after a signal). */
  waitForExit(): Promise<number | null> {
    return this.#exitCodePromise;
  }
}
