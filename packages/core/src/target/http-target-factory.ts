/** Creates HTTP clients for the members of the fleet list. */
import type { FleetMember } from '../fleet/fleet-list.js';
import { TargetFactory } from '../membership/target-directory.js';
import { BodyMemory } from '../shared/bounded-body.js';

import type { ConnectionSettings } from './http-connections.js';
import { HttpEngine } from './http-engine.js';
import { HttpService } from './http-service.js';

/** Memory for answers of services that have begun and are not whole. */
const answerMemoryBytes = 64 * 1024 * 1024;

/** Creates every client with the same connection settings. */
export class HttpTargetFactory extends TargetFactory {
  readonly #answerMemory = new BodyMemory(answerMemoryBytes);

  constructor(private readonly settings: Partial<ConnectionSettings> = {}) {
    super();
  }

  override createEngine(member: FleetMember): HttpEngine {
    return new HttpEngine({ ...member, settings: this.settings });
  }

  override createService(member: FleetMember): HttpService {
    const { service = member.name } = member;
    return new HttpService({
      ...member,
      service,
      settings: this.settings,
      answerMemory: this.#answerMemory,
    });
  }
}
