/** The role policy of this instance's data centre, if it has one. */
import type { RoleController } from '@medlarlever/core';

export class Roles {
  constructor(readonly controller: RoleController | undefined) {}
}
