/** Gauges of the targets that run and those that were ordered. */
import { Gauge } from 'prom-client';
import type { Registry } from 'prom-client';

import type { RouteTableHolder } from '../routes/route-table-holder.js';
import type { TargetRegistry } from '../targets/target-registry.js';

import type { ScalingDuty } from './scaling-duty.js';

const labelNames = ['service', 'data_center', 'kind'] as const;

/** Parts whose state the gauges report. */
export interface ScalingGaugesOptions {
  readonly registry: Registry;
  readonly routes: RouteTableHolder;
  readonly targets: TargetRegistry;
  readonly duty: ScalingDuty;
}

/** Registers both gauges in the registry. */
export const registerScalingGauges = (options: ScalingGaugesOptions): void => {
  registerGauge(
    options,
    'medlarlever_relay_scaled_targets',
    'Targets that take new work, of services whose targets are ordered',
    (service, dataCenter, isSpot) =>
      options.targets
        .listOpenTargets(service)
        .filter(
          ({ record }) =>
            record.dataCenter === dataCenter &&
            (record.isSpot ?? false) === isSpot,
        ).length,
  );
  registerGauge(
    options,
    'medlarlever_relay_desired_targets',
    'Targets that there should be after the last order; at the instance that orders',
    (service, dataCenter, isSpot) =>
      options.duty.getDesired(service, dataCenter, isSpot),
  );
};

const registerGauge = (
  { registry, routes }: ScalingGaugesOptions,
  name: string,
  help: string,
  getValue: (
    service: string,
    dataCenter: string,
    isSpot: boolean,
  ) => number | undefined,
): void => {
  new Gauge({
    name,
    help,
    labelNames,
    registers: [registry],
    collect() {
      this.reset();
      for (const { name: service, scaling } of routes.currentTable?.services ??
        []) {
        for (const dataCenter of Object.keys(scaling?.prices ?? {})) {
          for (const isSpot of [false, true]) {
            const value = getValue(service, dataCenter, isSpot);
            const kind = isSpot ? 'spot' : 'on_demand';
            if (value === undefined) continue;
            this.set({ service, data_center: dataCenter, kind }, value);
          }
        }
      }
    },
  });
};
