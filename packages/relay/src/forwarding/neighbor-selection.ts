/** Chooses the instance that gets a request which this one can't send to a target. */

/** Another instance, as far as the choice needs to know it. */
export interface Neighbor {
  readonly name: string;
  readonly address: string;
  readonly isLocal: boolean;
  /** Requests that this instance has forwarded there and that run. */
  readonly forwardedCount: number;
}

/** So many more requests go to an instance of the same data centre, whose links are free. */
const localAdvantage = 2;

const computeCost = ({ isLocal, forwardedCount }: Neighbor): number =>
  isLocal ? forwardedCount : forwardedCount + localAdvantage;

/** Returns the least loaded neighbour, near ones first; undefined if there is none. */
export const chooseNeighbor = (
  neighbors: readonly Neighbor[],
  random: () => number,
): Neighbor | undefined => {
  const lowestCost = Math.min(...neighbors.map(computeCost));
  const cheapest = neighbors.filter(
    neighbor => computeCost(neighbor) === lowestCost,
  );
  return cheapest[Math.floor(random() * cheapest.length)];
};
