// Fails if a TypeScript file outside platform/ contains a name of the platform's
// wire protocol.
import { execFileSync } from 'node:child_process';
import { readFileSync } from 'node:fs';

const platformNames =
  /X-Medlarlever-|rows-(tx|get|feed)|kv-(fetch|list|handle|source)|api\/(report|order|readyz)|MEDLARLEVER_CONFIG/i;

const files = execFileSync('git', ['ls-files', '*.ts'], { encoding: 'utf8' })
  .split('\n')
  .filter(file => file !== '' && !file.startsWith('platform/'));

for (const file of files) {
  readFileSync(file, 'utf8')
    .split('\n')
    .forEach((line, i) => {
      if (!platformNames.test(line)) return;
      console.error(
        `${file}:${i + 1}: name of the platform outside platform/: ${line.trim()}`,
      );
      process.exitCode = 1;
    });
}
