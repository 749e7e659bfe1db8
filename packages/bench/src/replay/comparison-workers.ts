/** Runs replay comparisons in worker threads and prints their outputs in order. */
import { availableParallelism } from 'node:os';
import { text } from 'node:stream/consumers';
import { Worker } from 'node:worker_threads';

const maxWorkerThreads = Math.min(8, availableParallelism());

/** Standard output and exit code of one worker thread. */
interface WorkerResult {
  readonly output: string;
  readonly exitCode: number;
}

/** Runs the program in a worker thread with `argv` as its command line. */
const runInWorker = async (
  program: URL,
  argv: readonly string[],
): Promise<WorkerResult> => {
  const worker = new Worker(program, { argv: [...argv], stdout: true });
  const exitPromise = new Promise<number>((resolve, reject) => {
    worker.once('exit', resolve);
    worker.once('error', reject);
  });
  const output = await text(worker.stdout);
  return { output, exitCode: await exitPromise };
};

/**
 * Runs `program` once for each command line in `jobs`, in at most
 * `maxWorkerThreads` threads at a time, and prints the outputs in the order of
 * `jobs`. Returns the number of runs with an exit code other than 0: those
 * that missed a performance target or failed.
 */
export const runComparisons = async (
  program: URL,
  jobs: readonly (readonly string[])[],
): Promise<number> => {
  const results = new Map<number, Promise<WorkerResult>>();
  let nextIndex = 0;
  const runNextJobs = async (): Promise<void> => {
    while (nextIndex < jobs.length) {
      const index = nextIndex;
      nextIndex += 1;
      const comparison = runInWorker(program, jobs[index] ?? []);
      results.set(index, comparison);
      await comparison;
    }
  };
  const workers = Array.from({ length: maxWorkerThreads }, runNextJobs);
  await Promise.all(workers);
  let failedCount = 0;
  for (const index of jobs.keys()) {
    const { output, exitCode } = (await results.get(index)) ?? failedResult;
    process.stdout.write(output);
    if (exitCode !== 0) failedCount += 1;
  }
  return failedCount;
};

/** Used for a job without a recorded result. */
const failedResult: WorkerResult = { output: '', exitCode: 1 };
