/** Registers the interface of the plain services. */
import { registerApp } from '../kernel/app.js';

import { OperationController } from './operation-controller.js';

registerApp('operations', kernel => {
  kernel.controller('caller', OperationController);
});
