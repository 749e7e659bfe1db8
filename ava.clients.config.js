/** Tests that run one at a time, apart from the others. */
export default {
  files: ['packages/bench/dist/clients/*.test.js'],
  timeout: '2m',
  workerThreads: true,
  serial: true,
  concurrency: 1,
};
