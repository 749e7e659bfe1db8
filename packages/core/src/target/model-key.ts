/** A model as one text, for maps and for the engines' interface. */
import { Maybe } from 'purify-ts';

import { modelIdSchema } from './target.js';
import type { ModelId } from './target.js';

/** `name@version`, with `+adapter` when there is one. */
export const formatModelKey = (model: ModelId): string => {
  const base = `${model.name}@${model.version}`;
  return model.adapter === undefined ? base : `${base}+${model.adapter}`;
};

const modelKeyPattern =
  /^(?<name>[^@]+)@(?<version>[^+]+)(?:\+(?<adapter>.+))?$/;

/** The model that `modelKey` wrote, if the text has that form. */
export const parseModelKey = (text: string): Maybe<ModelId> => {
  const groups = modelKeyPattern.exec(text)?.groups;
  return Maybe.fromNullable(modelIdSchema.safeParse(groups).data);
};
