/** Chooses the instance that keeps track of a fingerprint. */

const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** 32-bit FNV-1a with a final mix. */
const hashText = (text: string): number => {
  let value = fnvOffsetBasis;
  for (let i = 0; i < text.length; i += 1) {
    value = Math.imul(value ^ text.charCodeAt(i), fnvPrime);
  }
  value = Math.imul(value ^ (value >>> 15), 0x2c1b3c6d);
  return (value ^ (value >>> 13)) >>> 0;
};

/** Rendezvous hashing: instances that see the same names agree. */
export const findOwner = (
  fingerprint: string,
  names: readonly string[],
): string | undefined => {
  let best: string | undefined;
  let bestWeight = -1;
  for (const name of names) {
    const weight = hashText(`${fingerprint}@${name}`);
    const wins =
      weight > bestWeight || (weight === bestWeight && name > (best ?? ''));
    if (!wins) continue;
    best = name;
    bestWeight = weight;
  }
  return best;
};
