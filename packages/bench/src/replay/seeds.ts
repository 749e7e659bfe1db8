/** Seeds of generated traces; figures are given only for held-out ones. */
export const tuningSeeds: readonly number[] = [1, 2, 3];
export const heldOutSeeds: readonly number[] = [101, 102, 103];
