/** Reproducible random numbers, for tests and experiments. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** A seeded generator of random numbers. */
export interface Random {
  /** Returns a number from 0 (inclusive) to 1 (exclusive). */
  readonly next: () => number;
  /** Returns a random item of the list; throws if the list is empty. */
  readonly pick: <Item>(items: readonly Item[]) => Item;
  /**
   * Returns an exponentially distributed number, such as the time to the next arrival of a Poisson
   * process.
   */
  readonly exponential: (mean: number) => number;
}

/**
 * Creates a generator of random numbers.
 *
 * @param seed - An integer; the same seed yields the same sequence.
 * @returns The generator.
 */
export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const next = (): number => uniformFloat64(generator);
  return {
    next,
    pick: <Item>(items: readonly Item[]): Item => {
      const item = items[Math.floor(next() * items.length)];
      if (item === undefined) throw new Error('cannot pick an item from an empty list');
      return item;
    },
    exponential: (mean) => -mean * Math.log(1 - next()),
  };
}
