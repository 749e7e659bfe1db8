/** Registers the role policy of this instance's data centre. */
import { registerApp } from '../kernel/app.js';
import { rolesPart } from '../kernel/parts.js';

import { Roles } from './roles.js';

registerApp('roles', kernel => {
  kernel.provide(rolesPart, () => new Roles(undefined));
});
