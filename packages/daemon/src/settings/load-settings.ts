/** Reads and validates the settings file of a daemon. */
import { readFileSync } from 'node:fs';

import { Failure, formatIssue, parseToml } from '@medlarlever/core';
import { Left } from 'purify-ts';
import type { Either } from 'purify-ts';

import { settingsSchema } from './settings.js';
import type { Settings } from './settings.js';

/**
 * Parses and validates TOML text. `file` is used only in error messages. Fails
 * with `invalid_settings`, listing one problem per line.
 */
export const parseSettings = (
  file: string,
  text: string,
): Either<Failure, Settings> =>
  parseToml(text, settingsSchema).mapLeft(
    problems =>
      new Failure(
        'invalid_settings',
        problems.map(problem => formatIssue(file, problem)).join('\n'),
      ),
  );

/**
 * Reads and validates the file. Fails with `unreadable_file` or
 * `invalid_settings`.
 */
export const loadSettings = (file: string): Either<Failure, Settings> => {
  try {
    return parseSettings(file, readFileSync(file, 'utf8'));
  } catch (error) {
    const reason = error instanceof Error ? error.message : String(error);
    return Left(
      new Failure(
        'unreadable_file',
        `settings file ${file} cannot be read: ${reason}`,
      ),
    );
  }
};
