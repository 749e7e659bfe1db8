/** A model as one text, for maps and for the engines' interface. */
import type { ModelId } from './target.js';

/** `name@version`, with `+adapter` when there is one. */
export const modelKey = (model: ModelId): string => {
  const base = `${model.name}@${model.version}`;
  return model.adapter === undefined ? base : `${base}+${model.adapter}`;
};
