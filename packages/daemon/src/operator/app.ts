/** Registers the controllers of the operators' interface and the request log. */
import { registerFeature } from '../kernel/daemon-kernel.js';
import { requestLogToken } from '../kernel/tokens.js';
import { RequestLog } from '../requests/request-log.js';

import { ConfigurationController } from './configuration-controller.js';
import { OrderController } from './order-controller.js';
import { PlanController } from './plan-controller.js';
import { StatusController } from './status-controller.js';

registerFeature('operator', kernel => {
  kernel.provide(requestLogToken, () => new RequestLog());
  kernel.addController('operator', ConfigurationController);
  kernel.addController('operator', PlanController);
  kernel.addController('operator', OrderController);
  kernel.addController('operator', StatusController);
});
