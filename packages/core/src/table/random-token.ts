/** Tokens by which a transaction is recognised when it is read back. */

const tokenBytes = 16;

/** A token that no other transaction carries. */
export const createRandomToken = (random: () => number): string => {
  const bytes = Uint8Array.from({ length: tokenBytes }, () =>
    Math.floor(random() * 256),
  );
  return Buffer.from(bytes).toString('hex');
};
