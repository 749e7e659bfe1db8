/** Seeds of generated traces. */

/** Seeds on which policies may be tuned; published figures do not use them. */
export const tuningSeeds: readonly number[] = [1, 2, 3];

/** Seeds of the published figures; no policy is tuned on them. */
export const heldOutSeeds: readonly number[] = [101, 102, 103];
