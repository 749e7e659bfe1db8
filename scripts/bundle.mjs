// Bundles the platform's daemon from its TypeScript sources into target/.
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

await build({
  entryPoints: ['platform/src/main.ts'],
  outfile: 'target/medlarleverd.cjs',
  bundle: true,
  platform: 'node',
  format: 'cjs',
  target: 'node20',
  conditions: ['source'],
  external: unusedPackages,
  minifySyntax: true,
  tsconfigRaw: { compilerOptions: { experimentalDecorators: true } },
  logLevel: 'warning',
});
