export default {
  files: [
    'packages/*/dist/**/*.test.js',
    'platform/dist/**/*.test.js',
    '!packages/bench/dist/clients/**',
  ],
  timeout: '2m',
  workerThreads: true,
  concurrency: 6,
};
