/**
 * Chooses the owner of a fingerprint, which is the instance that tracks the
 * runs of its requests.
 */

const fnvOffsetBasis = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** 32-bit FNV-1a hash with a final mixing step. */
const hashText = (text: string): number => {
  let hash = fnvOffsetBasis;
  for (let i = 0; i < text.length; i += 1) {
    hash = Math.imul(hash ^ text.charCodeAt(i), fnvPrime);
  }
  hash = Math.imul(hash ^ (hash >>> 15), 0x2c1b3c6d);
  return (hash ^ (hash >>> 13)) >>> 0;
};

/**
 * Chooses the owner among the instance names by rendezvous hashing, so that
 * instances that see the same names choose the same owner. Returns `undefined`
 * if there are no names.
 */
export const findOwner = (
  fingerprint: string,
  names: readonly string[],
): string | undefined => {
  let owner: string | undefined;
  let highestWeight = -1;
  for (const name of names) {
    const weight = hashText(`${fingerprint}@${name}`);
    const isHigher =
      weight > highestWeight ||
      (weight === highestWeight && name > (owner ?? ''));
    if (!isHigher) continue;
    owner = name;
    highestWeight = weight;
  }
  return owner;
};
