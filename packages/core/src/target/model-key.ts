/** Text form of a model id, for map keys and requests to engines. */
import { Maybe } from 'purify-ts';

import { modelIdSchema } from './target.js';
import type { ModelId } from './target.js';

/** Formats a model id as `name@version` or `name@version+adapter`. */
export const formatModelKey = (model: ModelId): string => {
  const keyWithoutAdapter = `${model.name}@${model.version}`;
  return model.adapter === undefined
    ? keyWithoutAdapter
    : `${keyWithoutAdapter}+${model.adapter}`;
};

const modelKeyPattern =
  /^(?<name>[^@]+)@(?<version>[^+]+)(?:\+(?<adapter>.+))?$/;

/** Parses the format of `formatModelKey`; `Nothing` for any other text. */
export const parseModelKey = (text: string): Maybe<ModelId> => {
  const groups = modelKeyPattern.exec(text)?.groups;
  return Maybe.fromNullable(modelIdSchema.safeParse(groups).data);
};
