/**
 * Chooses the instances that are asked how recent their configuration is: one of the own
 * data centre, and one of another in case the whole data centre is cut off from the store.
 */

/** Another instance, as far as the choice needs to know it. */
export interface Voucher {
  readonly name: string;
  readonly dataCenter: string;
}

/** What the choice depends on. */
export interface VoucherChoice {
  /** Other instances that are live and can answer. */
  readonly candidates: readonly Voucher[];
  readonly dataCenter: string;
  /** Instances that read the store on behalf of others; they know most. */
  readonly aggregators: ReadonlySet<string>;
  /** Returns uniform numbers in [0, 1). */
  readonly random: () => number;
}

const maxVouchers = 2;

const pick = (
  vouchers: readonly Voucher[],
  { aggregators, random }: VoucherChoice,
): Voucher | undefined => {
  const preferred = vouchers.filter(({ name }) => aggregators.has(name));
  const pool = preferred.length > 0 ? preferred : vouchers;
  return pool[Math.floor(random() * pool.length)];
};

/** Returns the names of at most two instances, in different data centres if possible. */
export const chooseVouchers = (choice: VoucherChoice): string[] => {
  const { candidates, dataCenter } = choice;
  const near = candidates.filter(item => item.dataCenter === dataCenter);
  const far = candidates.filter(item => item.dataCenter !== dataCenter);
  const chosen = [pick(near, choice), pick(far, choice)].filter(
    item => item !== undefined,
  );
  if (chosen.length < maxVouchers) {
    const rest = candidates.filter(item => !chosen.includes(item));
    const another = pick(rest, choice);
    if (another !== undefined) chosen.push(another);
  }
  return chosen.map(({ name }) => name);
};
