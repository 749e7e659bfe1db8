/** What an instance knows of how many instances there are. */

/**
 * Minimum instance count assumed while no other instance is known. Budgets are divided by
 * the count, and too small a share does less harm than too large a share.
 */
export const minAssumedInstances = 16;

/** Names of instances, and whether there may be others. */
export interface KnownInstancesOptions {
  /** Name of this instance. */
  readonly self: string;
  /** Instances that this one has heard of. */
  readonly heardNames: readonly string[];
  /** Names of all instances that have ever started, as far as they could be read. */
  readonly directoryNames: readonly string[];
  /**
   * True once the others have had the time to write their rows: only then an instance that
   * has read no row but its own is alone.
   */
  readonly isDirectorySettled: boolean;
}

/** The instances that may send to targets. */
export interface KnownInstances {
  /** Names of all instances ever seen, and of assumed ones if some may be unknown. */
  readonly names: readonly string[];
  /** True if none of the names is assumed. */
  readonly isComplete: boolean;
  /**
   * Number of instances seen, or the assumed minimum until the directory has been read. For
   * shares that may be too large for a while, such as that of the connections to a target.
   */
  readonly seenCount: number;
}

/**
 * Lists every instance ever seen, and assumed ones while no other one is known. An instance
 * that is cut off must not claim the share of the others, nor may one that does not
 * know them yet.
 */
export const listKnownInstances = ({
  self,
  heardNames,
  directoryNames,
  isDirectorySettled,
}: KnownInstancesOptions): KnownInstances => {
  const names = [...new Set([self, ...heardNames, ...directoryNames])];
  const isDirectoryRead = directoryNames.length > 0;
  const seenCount = isDirectoryRead
    ? names.length
    : Math.max(names.length, minAssumedInstances);
  const knowsOthers = isDirectoryRead && names.length > 1;
  if (knowsOthers || isDirectorySettled)
    return { names, isComplete: true, seenCount };
  const missingCount = Math.max(0, minAssumedInstances - names.length);
  const assumedNames = Array.from(
    { length: missingCount },
    (_, i) => `assumed ${i}`,
  );
  return { names: [...names, ...assumedNames], isComplete: false, seenCount };
};
