/** Shares the turns of the event loop among connections that have received much at once. */

/** Work of one turn of the event loop, in lines; a few milliseconds. */
const maxCostPerTurn = 1_024;

/** Work that a connection may do at once when it has received something, in lines. */
export const maxCostPerRead = 128;

/** Has input that waits to be parsed. */
export abstract class InputConsumer {
  /** Parses some of the input, and returns the work in lines. */
  abstract parseSome(): number;
}

/** Lets each waiting connection parse a part in turn, and everything else run in between. */
export class InputTurns {
  readonly #waiting = new Set<InputConsumer>();
  #isScheduled = false;

  /** Lets the consumer parse in one of the next turns. */
  add(consumer: InputConsumer): void {
    this.#waiting.add(consumer);
    if (this.#isScheduled) return;
    this.#isScheduled = true;
    setImmediate(() => {
      this.#runTurn();
    });
  }

  remove(consumer: InputConsumer): void {
    this.#waiting.delete(consumer);
  }

  #runTurn(): void {
    this.#isScheduled = false;
    let cost = 0;
    for (const consumer of [...this.#waiting]) {
      if (cost >= maxCostPerTurn) break;
      this.#waiting.delete(consumer);
      cost += consumer.parseSome();
    }
    const [next] = this.#waiting;
    if (next !== undefined) this.add(next);
  }
}
