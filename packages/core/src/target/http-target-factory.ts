/** Creates HTTP clients for the members of the fleet list. */
import type { FleetMember } from '../fleet/fleet-list.js';
import { TargetFactory } from '../membership/target-directory.js';

import type { ConnectionSettings } from './http-connections.js';
import { HttpEngine } from './http-engine.js';
import { HttpService } from './http-service.js';

/** Creates every client with the same connection settings. */
export class HttpTargetFactory extends TargetFactory {
  constructor(private readonly settings: Partial<ConnectionSettings> = {}) {
    super();
  }

  override createEngine(member: FleetMember): HttpEngine {
    return new HttpEngine({ ...member, settings: this.settings });
  }

  override createService(member: FleetMember): HttpService {
    const { service = member.name } = member;
    return new HttpService({ ...member, service, settings: this.settings });
  }
}
