/** Random tokens that identify transactions, also when rows are read back. */

const tokenBytes = 16;

/** Creates a token of 128 random bits in hexadecimal; `random` gives 0 to 1. */
export const createRandomToken = (random: () => number): string => {
  const bytes = Uint8Array.from({ length: tokenBytes }, () =>
    Math.floor(random() * 256),
  );
  return Buffer.from(bytes).toString('hex');
};
