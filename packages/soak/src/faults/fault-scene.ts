/** What faults act on: the instances, targets, keys and store of a running soak. */
import type {
  FakeDutyInterface,
  StoreBackup,
} from '@medlarlever/platform/stand-ins';

import type { InstanceProcess } from '../processes/instance-process.js';
import type { CustomerKeys } from '../run/customer-keys.js';
import type { FaultLog } from '../run/fault-log.js';
import type { TargetFleet } from '../run/target-fleet.js';

/** A scene in which faults can be injected. */
export abstract class FaultScene {
  abstract readonly faultLog: FaultLog;
  abstract readonly instances: readonly InstanceProcess[];
  abstract readonly targetFleet: TargetFleet;
  abstract readonly customerKeys: CustomerKeys;
  abstract readonly dutyInterface: FakeDutyInterface;

  /** Aborts when the run ends. */
  abstract get stopSignal(): AbortSignal;

  /** Part of prompts that crashes engines at present, if there is one. */
  abstract get crashingPart(): string | undefined;

  /** Returns the instances that no signal fault has reserved. */
  abstract listIdleInstances(): InstanceProcess[];

  /**
   * Runs the action with the instance reserved, so that no other signal fault
   * picks it.
   */
  abstract runWithReservedInstance(
    instance: InstanceProcess,
    action: () => Promise<void>,
  ): Promise<void>;

  /**
   * Waits until a started instance is ready; records the instance when it does
   * not become ready.
   */
  abstract waitUntilReady(instance: InstanceProcess): Promise<void>;

  /**
   * Writes a new configuration in which the moving route leads to the other
   * service.
   */
  abstract switchMovingRoute(): void;

  /** Gives the customer one more key. */
  abstract addKey(customer: string): void;

  /** Withdraws the customer's oldest key, unless it is the only one. */
  abstract withdrawKey(customer: string): void;

  /** Lets callers send prompts with a part that crashes engines; ends it when called. */
  abstract startCrashingPart(): () => void;

  /** Records that the instances reach no target; call the result when they do again. */
  abstract startTargetCut(instances: readonly string[]): () => void;

  /** Copies all rows of the store. */
  abstract createStoreBackup(): StoreBackup;

  /** Restores the store; what was written since the backup is lost. */
  abstract restoreStore(backup: StoreBackup): void;

  /** Writes again what the operator and the targets wrote last. */
  abstract writeLostRows(): Promise<void>;
}
