/** Admits everything; replaced by the library's admission. */
import { Admission } from '@medlarlever/core';
import type { Failure, Ticket } from '@medlarlever/core';
import { Right } from 'purify-ts';
import type { Either } from 'purify-ts';

export class OpenAdmission extends Admission {
  override enter(): Promise<Either<Failure, Ticket>> {
    return Promise.resolve(Right({ waitedMs: 0, release: () => undefined }));
  }
}
