/** Registers the completion interfaces. */
import { registerApp } from '../kernel/app.js';
import {
  admissionPart,
  generationServicePart,
  generationsPart,
  routerPart,
} from '../kernel/parts.js';

import { DirectDispatcher } from './direct-dispatcher.js';
import { GenerationController } from './generation-controller.js';
import { Generations } from './generations.js';

registerApp('generations', kernel => {
  kernel.provide(generationsPart, k => new DirectDispatcher(k.get(routerPart)));
  kernel.provide(
    generationServicePart,
    k =>
      new Generations({
        admission: k.get(admissionPart),
        dispatcher: k.get(generationsPart),
      }),
  );
  kernel.controller('caller', GenerationController);
});
