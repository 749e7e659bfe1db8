// Bundles the platform's daemon from its TypeScript sources into target/.
import { rmSync } from 'node:fs';
import { fileURLToPath } from 'node:url';

import { build } from 'esbuild';

// Nest imports these packages only for features that the daemon doesn't use.
const unusedPackages = [
  '@nestjs/platform-express',
  '@nestjs/microservices',
  '@nestjs/microservices/microservices-module',
  '@nestjs/websockets',
  '@nestjs/websockets/socket-module',
  '@fastify/static',
  '@fastify/view',
  'class-transformer',
  'class-validator',
];

// Packages and modules of which the daemon uses a small part, and what stands for them.
const replacements = [
  [/^undici$/, 'undici-clients.cjs'],
  [/^prom-client$/, 'prom-client-metrics.cjs'],
  [/\/client-h2\.js$/, 'no-http2.cjs'],
  [/^node:http2$/, 'no-http2.cjs'],
  [/^(node:)?assert$/, 'assert-condition.cjs'],
];

const usedPartsPlugin = {
  name: 'used-parts',
  setup({ onResolve }) {
    for (const [filter, file] of replacements) {
      const path = fileURLToPath(new URL(file, import.meta.url));
      onResolve({ filter }, () => ({ path }));
    }
  },
};

const options = {
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  conditions: ['source'],
  external: unusedPackages,
  plugins: [usedPartsPlugin],
  define: { 'Intl.DateTimeFormat': 'DeferredDateTimeFormat' },
  inject: [
    fileURLToPath(new URL('deferred-date-time-format.mjs', import.meta.url)),
  ],
  minifySyntax: true,
  // Less text to read at the start of the daemon.
  minifyWhitespace: true,
  tsconfigRaw: { compilerOptions: { experimentalDecorators: true } },
  logLevel: 'warning',
};

await build({
  ...options,
  entryPoints: { 'daemon-bundle': 'platform/src/daemon.ts' },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
});
await build({
  ...options,
  entryPoints: {
    medlarleverd: 'platform/src/launcher.ts',
    'write-code-cache': 'platform/src/write-code-cache.ts',
  },
  outdir: 'target',
  outExtension: { '.js': '.cjs' },
});
// Compiled code of an earlier bundle does not fit this one.
rmSync('target/daemon-bundle.cache', { force: true });
