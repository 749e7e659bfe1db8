/** Registers the quarantine of requests that crash their targets. */
import { OpenQuarantine } from '@medlarlever/core';

import { registerApp } from '../kernel/app.js';
import { quarantinePart } from '../kernel/parts.js';

registerApp('quarantine', kernel => {
  kernel.provide(quarantinePart, () => new OpenQuarantine());
});
