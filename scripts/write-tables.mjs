// Generates docs/ERRORS.md and docs/EVENTS.md from the tables in the code. With
// --check, writes nothing and exits with 1 if a page differs from the code.
import { readFileSync, writeFileSync } from 'node:fs';

import { logEvents, resultCodes } from '../packages/core/dist/index.js';
import {
  renderErrorsPage,
  renderEventsPage,
} from '../packages/core/dist/shared/reference-pages.js';

const isCheck = process.argv.includes('--check');
const pages = {
  'docs/ERRORS.md': renderErrorsPage(resultCodes),
  'docs/EVENTS.md': renderEventsPage(logEvents),
};
for (const [name, text] of Object.entries(pages)) {
  const file = new URL(`../${name}`, import.meta.url);
  if (!isCheck) {
    writeFileSync(file, text);
  } else if (readFileSync(file, 'utf8') !== text) {
    console.error(`${name} differs from the code; run "npm run tables"`);
    process.exitCode = 1;
  }
}
