/** Registers the operators' interface. */
import { registerApp } from '../kernel/daemon-kernel.js';
import { requestLogPart } from '../kernel/tokens.js';
import { RequestLog } from '../requests/request-log.js';

import { ConfigurationController } from './configuration-controller.js';
import { OrderController } from './order-controller.js';
import { PlanController } from './plan-controller.js';
import { StatusController } from './status-controller.js';

registerApp('operator', kernel => {
  kernel.provide(requestLogPart, () => new RequestLog());
  kernel.controller('operator', ConfigurationController);
  kernel.controller('operator', PlanController);
  kernel.controller('operator', OrderController);
  kernel.controller('operator', StatusController);
});
